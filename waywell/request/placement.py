"""The choice of a replica for one request."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

import attrs

from waywell.ids import HallName, NodeId

if TYPE_CHECKING:
    from collections.abc import Sequence

    from waywell.request.replica_book import ReplicaBook
    from waywell.version.fleet import Replica, ReplicaKey

OTHER_HALL_LOAD = 0.4
"""Requests in flight that the way to another data hall is worth: some 3 ms a
message and the price of the bytes, against a step that one more request slows
by a few per cent."""

SPREAD_LOAD = 0.3
"""Requests in flight by which each node prefers replicas of its own, so that
nodes that do not know of each other's requests meet less often."""

HASH_BITS = 32
HASH_RANGE = 1 << HASH_BITS
"""Values of the hash that sets a node's preference."""


@attrs.frozen
class Chooser:
    """Chooses for one node.

    Parameters
    ----------
    node
        This entry box.
    hall
        Its data hall.
    """

    node: NodeId
    """This entry box."""

    hall: HallName
    """Its data hall."""

    def choose(
        self,
        replicas: Sequence[Replica],
        tried: frozenset[ReplicaKey],
        book: ReplicaBook,
        now: float,
    ) -> Replica | None:
        """Return the replica that should answer soonest.

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
        return min(
            awake or left,
            key=lambda one: self._weigh(one, book),
            default=None,
        )

    def _weigh(self, replica: Replica, book: ReplicaBook) -> float:
        record = book.get(replica.key)
        load = record.in_flight * max(1.0, record.slowness)
        load += max(0.0, record.slowness - 1.0)
        if replica.head.hall != self.hall:
            load += OTHER_HALL_LOAD
        return load + SPREAD_LOAD * self._prefer(replica)

    def _prefer(self, replica: Replica) -> float:
        text = f'{self.node}/{replica.key.box}/{replica.key.epoch}'
        return zlib.crc32(text.encode()) / HASH_RANGE
