"""Limit on the groups of each model that are closed at the same time."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from waywell.version.fleet import parse_group_model

if TYPE_CHECKING:
    from collections.abc import Iterable

    from waywell.ids import ModelName
    from waywell.version.fleet import FleetGroup

MAX_CLOSING_SHARE = 0.5
"""Share of a model's groups that may be closed at the same time, but at least
one group; the others take their requests meanwhile."""


def count_closable(
    serving: Iterable[FleetGroup],
    closing: Iterable[FleetGroup],
) -> Counter[ModelName]:
    """Return how many more groups of each model may be closed now.

    Parameters
    ----------
    serving
        Groups that serve.
    closing
        Groups that were ordered to close.
    """
    serving_counts = Counter(
        parse_group_model(group.group) for group in serving
    )
    closing_counts = Counter(
        parse_group_model(group.group) for group in closing
    )
    return Counter(
        {
            model: max(1, int(count * MAX_CLOSING_SHARE))
            - closing_counts[model]
            for model, count in serving_counts.items()
        },
    )
