"""Label selectors."""

from __future__ import annotations

import pytest

from waywell.version.selector import Selector


@pytest.mark.parametrize(
    ('selector', 'labels', 'admitted'),
    [
        (Selector(), {}, True),
        (Selector(match={'a': ['1', '2']}), {'a': '2'}, True),
        (Selector(match={'a': ['1']}), {'a': '2'}, False),
        (Selector(match={'a': ['1']}), {}, False),
        (Selector(exclude={'a': ['1']}), {'a': '1'}, False),
        (Selector(exclude={'a': ['1']}), {}, True),
        (
            Selector(match={'a': ['1']}, exclude={'b': ['x']}),
            {'a': '1', 'b': 'x'},
            False,
        ),
    ],
)
def test_a_selector_admits_labels_that_satisfy_its_requirements(
    selector: Selector, labels: dict, admitted: bool
) -> None:
    assert selector.admits(labels) is admitted
