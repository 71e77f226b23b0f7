"""The choice of a replica for one request."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import attrs

from waywell.ids import HallName
from waywell.request.shared_loads import SharedLoads

if TYPE_CHECKING:
    from collections.abc import Sequence

    from waywell.request.replica_book import ReplicaBook
    from waywell.version.fleet import Replica, ReplicaKey

OTHER_HALL_LOAD = 0.4
"""Requests in flight that the way to another data hall is worth: some 3 ms a
message and the price of the bytes, against a step that one more request slows
by a few per cent."""

COMPARED_NEAR = 3
"""Replicas of the own data hall that are drawn and compared with one of any
hall.  What other nodes tell is a third of a second old, half the length of a
stream: taking the least loaded of all would send every node's requests to the
same few."""

OTHERS_WEIGHT = 0.8
"""Weight of other nodes' requests beside own ones: some have ended since."""


@attrs.frozen
class Chooser:
    """Chooses for one node."""

    hall: HallName
    """Its data hall."""

    loads: SharedLoads
    """What other nodes tell."""

    random: Random
    """Draws the replicas that are compared."""

    def choose(
        self,
        replicas: Sequence[Replica],
        tried: frozenset[ReplicaKey],
        book: ReplicaBook,
        now: float,
    ) -> Replica | None:
        """Return a replica that should answer soon.

        One that rests is taken only when no other is left.

        Parameters
        ----------
        replicas
            Replicas that may get the request.
        tried
            Replicas that it was sent to before.
        book
            What this node has seen of them.
        now
            The present time, in seconds.
        """
        left = [one for one in replicas if one.key not in tried]
        awake = [one for one in left if book.get(one.key).rests_until <= now]
        fit = awake or left
        near = [one for one in fit if one.head.hall == self.hall]
        drawn = self._draw(near, COMPARED_NEAR) + self._draw(fit, 1)
        return min(
            drawn,
            key=lambda one: self._weigh(one, book),
            default=None,
        )

    def _draw(self, replicas: list[Replica], count: int) -> list[Replica]:
        return self.random.sample(replicas, min(count, len(replicas)))

    def _weigh(self, replica: Replica, book: ReplicaBook) -> float:
        record = book.get(replica.key)
        others = self.loads.get(replica.key.box)
        load = record.in_flight + OTHERS_WEIGHT * others
        load *= max(1.0, record.slowness)
        load += max(0.0, record.slowness - 1.0)
        if replica.head.hall != self.hall:
            load += OTHER_HALL_LOAD
        return load
