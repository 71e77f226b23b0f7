"""Demand for each model, estimated from requests in flight."""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING

from waywell.version.fleet import parse_group_model

if TYPE_CHECKING:
    from collections.abc import Mapping

    from waywell.ids import ModelName
    from waywell.request.replica_table import ReplicaTable
    from waywell.request.shared_loads import SharedLoads
    from waywell.version.fleet import BoxLife, Fleet

TIME_CONSTANT = 3.0
"""Time constant of the moving average, in seconds.  It spans a few streams and
is well below the time that loading a model takes."""


class DemandEstimator:
    """Keeps an exponential moving average of requests in flight, by model.

    Every node can compute it from the loads that all nodes report, so a node
    that takes over the forming duty has the estimate at once.
    """

    def __init__(self) -> None:
        """Create an estimator without observations."""
        self._means: dict[ModelName, float] = {}
        self._observed_at: float | None = None

    def observe(
        self,
        in_flight: Mapping[ModelName, int],
        now: float,
    ) -> Mapping[ModelName, float]:
        """Add an observation and return the updated averages.

        Parameters
        ----------
        in_flight
            Requests in flight from all nodes, by model.
        now
            Current time, in seconds.
        """
        decay = 0.0
        if self._observed_at is not None:
            decay = math.exp((self._observed_at - now) / TIME_CONSTANT)
        self._observed_at = now
        self._means = {
            model: decay * self._means.get(model, 0.0)
            + (1.0 - decay) * in_flight.get(model, 0)
            for model in self._means.keys() | in_flight.keys()
        }
        return self._means


def count_by_model(
    loads: Mapping[BoxLife, int],
    fleet: Fleet,
) -> Counter[ModelName]:
    """Return the requests in flight by model, from loads by box.

    Boxes that are unknown or that belong to no group are skipped.
    """
    counts: Counter[ModelName] = Counter()
    for life, requests in loads.items():
        box = fleet.find_life(life)
        if box is not None and box.standing is not None:
            counts[parse_group_model(box.standing.group)] += requests
    return counts


def count_in_flight_at(
    records: ReplicaTable, loads: SharedLoads, life: BoxLife
) -> int:
    """Return the requests in flight at a box, from this and other nodes."""
    return records.list_loads().get(life, 0) + loads.get(life)
