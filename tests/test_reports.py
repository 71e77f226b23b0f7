"""What a box tells of itself when it is asked."""

from __future__ import annotations

import pytest

from tests.boxes import make_box
from waywell.platform.orders import decode_report
from waywell.version.box_report import SLOW_PACE


def test_a_report_tells_how_slow_a_box_is() -> None:
    box = make_box('a')
    assert not decode_report(box, b'{"running":3,"pace":1.2}').is_slow()
    assert decode_report(box, b'{"pace":5.5}').is_slow()
    assert decode_report(box, b'{"pace":%r}' % SLOW_PACE).is_slow()


@pytest.mark.parametrize('raw', [b'', b'{}', b'{"pace":"x"}', b'[1]'])
def test_an_unreadable_report_is_still_a_sign_of_life(raw: bytes) -> None:
    assert not decode_report(make_box('a'), raw).is_slow()
