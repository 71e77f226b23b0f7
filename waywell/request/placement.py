"""Choice of the replica for one request.

Many nodes choose by load reports that are older than the time in which the
nodes together fill a replica.  If every node chose the least loaded replica,
they would overload it together, so replicas are drawn at random by their free
capacity.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING

import attrs
import msgspec

from waywell.ids import HallName
from waywell.request.shared_loads import SharedLoads
from waywell.version.fleet import BoxLife, Replica

if TYPE_CHECKING:
    from collections.abc import Sequence

    from waywell.request.replica_table import ReplicaTable
    from waywell.version.fleet import ReplicaKey

OTHER_HALL_COST = 0.4
"""Cost of a replica in another data hall, in requests in flight.  A message
between halls takes some 3 ms more and its bytes are charged for, while one
more request slows an engine step by only a few percent."""

OTHER_HALL_WEIGHT = 0.01
"""Smallest weight of a free place in another hall relative to the own one, as
traffic between halls is charged for.  With four other halls that have as much
free capacity as the own one, 4 of 100 requests leave the hall."""

ENOUGH_CAPACITY = 0.75
"""Ratio of the free share of places in the own hall to that of all halls above
which nearly all requests stay in the hall.  In a simulation (69 nodes, three
seeds) in which a hall had lost two of three groups, this reduced the requests
that met a full replica while others had free places from 12 to 15 of 100 to 3
to 5."""

FULL_CAPACITY = 0.25
"""Free places assumed for a replica that has just become full.  A replica with
queued requests counts for less, so the shortest queue gets the most."""

MIN_CAPACITY = 0.05
"""Free places assumed at least for a replica with a rate limit.  Such a
replica counts for no more places than the requests it takes in a second,
however many are free."""

MAX_CANDIDATES = 3
"""Maximum number of replicas that one node draws and compares."""

TOTAL_CANDIDATES = 24
"""Number of candidates that all nodes draw in total; each draws its share.
Load reports of other nodes are a third of a second old, half the length of a
stream, so the more nodes choose, the more of them choose the same idle
replica.  In a simulation with 195 nodes and 0.6 of the places taken (three
seeds, 7 places per replica, streams of 1.2 s, reports 0.7 s old), 16 to 20 of
100 requests met a replica without a free place when each node compared four
replicas, and 8 to 11 when none compared."""

REMOTE_LOAD_WEIGHT = 0.8
"""Weight of requests that other nodes reported, as some have ended since."""


def _count_one() -> int:
    return 1


def _get_no_limit(_life: BoxLife) -> float:
    return math.inf


class _Capacity(msgspec.Struct, frozen=True):
    """Estimated number of further requests that a replica can run."""

    replica: Replica
    free: float


def _compute_free_share(capacities: list[_Capacity]) -> float:
    """Return the share of the replicas' places that is free."""
    places = sum(capacity.replica.head.places for capacity in capacities)
    return sum(capacity.free for capacity in capacities) / places


@attrs.frozen
class ReplicaChooser:
    """Chooses replicas for the requests of one node."""

    hall: HallName
    """Data hall of the node."""

    loads: SharedLoads
    """Requests in flight that other nodes reported."""

    random: Random
    """Source of the random draws of candidates."""

    count_nodes: Callable[[], int] = _count_one
    """Returns the number of nodes that choose among the same replicas."""

    get_limit: Callable[[BoxLife], float] = _get_no_limit
    """Returns the requests per second that a box accepts from all nodes."""

    def choose(
        self,
        replicas: Sequence[Replica],
        tried: frozenset[ReplicaKey],
        records: ReplicaTable,
        now: float,
    ) -> Replica | None:
        """Return a replica that should answer soon, if one is left.

        Candidates are drawn at random by their free capacity, and the least
        loaded candidate is chosen.  A replica in backoff is chosen only if no
        other is left.

        Parameters
        ----------
        replicas
            Replicas that may get the request.
        tried
            Replicas that the request was already sent to.
        records
            This node's records of the replicas.
        now
            Current time, in seconds.
        """
        untried = [replica for replica in replicas if replica.key not in tried]
        available = [
            replica
            for replica in untried
            if records.get(replica.key).backoff_until <= now
        ]
        candidates = self._draw_candidates(available or untried, records)
        return min(
            candidates,
            key=lambda replica: self._compute_cost(replica, records),
            default=None,
        )

    def _draw_candidates(
        self,
        replicas: list[Replica],
        records: ReplicaTable,
    ) -> list[Replica]:
        if not replicas:
            return []
        capacities = [
            _Capacity(replica, self._estimate_capacity(replica, records))
            for replica in replicas
        ]
        factor = self._get_other_hall_weight(capacities)
        weights = [
            capacity.free
            if self._is_in_own_hall(capacity.replica)
            else factor * capacity.free
            for capacity in capacities
        ]
        candidates = round(TOTAL_CANDIDATES / max(1, self.count_nodes()))
        count = max(1, min(MAX_CANDIDATES, candidates))
        return self.random.choices(replicas, weights, k=count)

    def _get_other_hall_weight(self, capacities: list[_Capacity]) -> float:
        """Return the weight of a free place in another data hall.

        It is small while the own hall's share of free places is about that of
        all halls, and rises to 1 as the own hall fills up.
        """
        local = [
            capacity
            for capacity in capacities
            if self._is_in_own_hall(capacity.replica)
        ]
        if not local:
            return 1.0
        ratio = _compute_free_share(local) / _compute_free_share(capacities)
        return max(OTHER_HALL_WEIGHT, 1.0 - ratio / ENOUGH_CAPACITY)

    def _is_in_own_hall(self, replica: Replica) -> bool:
        return replica.head.hall == self.hall

    def _estimate_capacity(
        self, replica: Replica, records: ReplicaTable
    ) -> float:
        """Return about how many more requests a replica can run."""
        record = records.get(replica.key)
        load = self._estimate_load(replica, records)
        free = replica.head.places - load
        capacity = (
            free if free > FULL_CAPACITY else FULL_CAPACITY / (1.0 - free)
        )
        limit = max(MIN_CAPACITY, self.get_limit(replica.key.life))
        return min(capacity, limit) / max(1.0, record.slowness)

    def _estimate_load(self, replica: Replica, records: ReplicaTable) -> float:
        """Return about how many requests of all nodes a replica runs."""
        others = self.loads.get(replica.key.life)
        return records.get(replica.key).in_flight + REMOTE_LOAD_WEIGHT * others

    def _compute_cost(self, replica: Replica, records: ReplicaTable) -> float:
        """Return the cost of sending a request, in requests in flight."""
        record = records.get(replica.key)
        cost = self._estimate_load(replica, records) * max(
            1.0, record.slowness
        )
        cost += max(0.0, record.slowness - 1.0)
        if replica.head.hall != self.hall:
            cost += OTHER_HALL_COST
        return cost
