"""How many groups of each model may be closed at one time."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from waywell.version.fleet import parse_group_model

if TYPE_CHECKING:
    from collections.abc import Iterable

    from waywell.ids import ModelName
    from waywell.version.fleet import FleetGroup

CLOSABLE_PART = 0.5
"""Part of a model's groups that may be closed at one time, but one at least:
the rest takes their requests meanwhile."""


def count_closable(
    serving: Iterable[FleetGroup],
    closing: Iterable[FleetGroup],
) -> Counter[ModelName]:
    """Return how many groups of each model may be closed now.

    Parameters
    ----------
    serving
        Groups that serve.
    closing
        Groups that were ordered to close.
    """
    served = Counter(parse_group_model(one.group) for one in serving)
    closed = Counter(parse_group_model(one.group) for one in closing)
    return Counter(
        {
            model: max(1, int(count * CLOSABLE_PART)) - closed[model]
            for model, count in served.items()
        },
    )
