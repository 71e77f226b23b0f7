"""How much work callers ask of each model."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

from waywell.version.fleet import parse_group

if TYPE_CHECKING:
    from collections.abc import Mapping

    from waywell.ids import ModelName
    from waywell.request.replica_book import ReplicaBook
    from waywell.request.shared_loads import SharedLoads
    from waywell.version.fleet import BoxLife, Fleet

MEMORY_SECONDS = 3.0
"""Time in which the weight of what was seen falls to about a third: a few
streams, and well under the time in which a model is loaded."""


class DemandEstimator:
    """Keeps a running mean of the requests in flight, by model.

    Any node can work it out from what all nodes tell of their requests, so a
    node that takes up the forming duty knows it at once.
    """

    def __init__(self) -> None:
        """Start without a look."""
        self._means: dict[ModelName, float] = {}
        self._looked_at: float | None = None

    def observe(
        self,
        in_flight: Mapping[ModelName, int],
        now: float,
    ) -> Mapping[ModelName, float]:
        """Take in the requests in flight and return their mean.

        Parameters
        ----------
        in_flight
            Requests of all nodes, by model.
        now
            The present time, in seconds.
        """
        kept = 0.0
        if self._looked_at is not None:
            kept = math.exp((self._looked_at - now) / MEMORY_SECONDS)
        self._looked_at = now
        self._means = {
            model: kept * self._means.get(model, 0.0)
            + (1.0 - kept) * in_flight.get(model, 0)
            for model in self._means.keys() | in_flight.keys()
        }
        return self._means


def count_by_model(
    loads: Mapping[BoxLife, int],
    fleet: Fleet,
) -> Counter[ModelName]:
    """Return the requests in flight by the model of the box's group."""
    counts: Counter[ModelName] = Counter()
    for life, requests in loads.items():
        box = fleet.find_life(life)
        if box is not None and box.standing is not None:
            counts[parse_group(box.standing.group)] += requests
    return counts


def count_in_flight_at(
    book: ReplicaBook, loads: SharedLoads, life: BoxLife
) -> int:
    """Return the requests in flight at a box, of this node and all others."""
    return book.list_loads().get(life, 0) + loads.get(life)
