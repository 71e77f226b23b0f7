"""The choice of a replica for one request.

Answers the load of many nodes that choose by knowledge which is older than the
time in which they fill a replica: if all of them take the least loaded one,
they meet there.
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

    from waywell.request.replica_book import ReplicaBook
    from waywell.version.fleet import ReplicaKey

OTHER_HALL_LOAD = 0.4
"""Requests in flight that the way to another data hall is worth: some 3 ms a
message and the price of the bytes, against a step that one more request slows
by a few per cent."""

OTHER_HALL_PART = 0.01
"""Part of its free places that counts of a replica in another hall, as bytes
between halls are paid for: with four other halls that have as much room as the
own one 4 of 100 requests go there."""

ENOUGH_ROOM = 0.75
"""Part of the room of all halls, by places, that the own hall has at least
while nearly all requests stay in it.  Where it had lost two of three groups,
12 to 15 of 100 requests met a full replica while others had room (simulated,
69 nodes, three seeds), 3 to 5 with this."""

FULL_ROOM = 0.25
"""Free places that a replica counts for whose places are just taken; one with
requests waiting counts for less, so that the shortest queue gets most."""

LEAST_ROOM = 0.05
"""Free places that a replica counts for whose limit is lowest; one with a
limit counts for no more than it takes in a second, whatever is free."""

COMPARED_MOST = 3
"""Replicas that are drawn and compared where few nodes choose."""

DECIDERS = 24
"""Nodes among which, all together, replicas are compared.  What other nodes
tell is a third of a second old, half the length of a stream: the more nodes
choose, the more of them meet where it was empty.  At 195 nodes and 0.6 of the
places taken 16 to 20 of 100 requests met a replica without a free place when
each compared four replicas, 8 to 11 when none is compared (simulated, three
seeds, 7 places, streams of 1.2 s, knowledge 0.7 s old)."""

OTHERS_WEIGHT = 0.8
"""Weight of other nodes' requests beside own ones: some have ended since."""


def _count_one() -> int:
    return 1


def _get_no_limit(_life: BoxLife) -> float:
    return math.inf


class _Room(msgspec.Struct, frozen=True):
    """How many more requests a replica has room for, about."""

    replica: Replica
    free: float


def _get_part(rooms: list[_Room]) -> float:
    """Return the part of the places of some replicas that is free."""
    places = sum(room.replica.head.places for room in rooms)
    return sum(room.free for room in rooms) / places


@attrs.frozen
class ReplicaChooser:
    """Chooses for one node."""

    hall: HallName
    """Its data hall."""

    loads: SharedLoads
    """What other nodes tell."""

    random: Random
    """Draws the replicas that are compared."""

    count_nodes: Callable[[], int] = _count_one
    """Returns the nodes that choose among the same replicas."""

    get_limit: Callable[[BoxLife], float] = _get_no_limit
    """Returns the requests a second that a box takes from all nodes."""

    def choose(
        self,
        replicas: Sequence[Replica],
        tried: frozenset[ReplicaKey],
        book: ReplicaBook,
        now: float,
    ) -> Replica | None:
        """Return a replica that should answer soon.

        Some are drawn by the room that they have, and the least loaded of
        them is taken.  One that rests is taken only when no other is left.

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
        awake = [one for one in left if book.get(one.key).backoff_until <= now]
        drawn = self._draw(awake or left, book)
        return min(
            drawn,
            key=lambda one: self._weigh(one, book),
            default=None,
        )

    def _draw(
        self,
        replicas: list[Replica],
        book: ReplicaBook,
    ) -> list[Replica]:
        if not replicas:
            return []
        rooms = [_Room(one, self._measure_room(one, book)) for one in replicas]
        part = self._choose_part(rooms)
        weights = [
            room.free if self._is_near(room.replica) else part * room.free
            for room in rooms
        ]
        compared = round(DECIDERS / max(1, self.count_nodes()))
        count = max(1, min(COMPARED_MOST, compared))
        return self.random.choices(replicas, weights, k=count)

    def _choose_part(self, rooms: list[_Room]) -> float:
        """Return the part of its room that counts of a replica elsewhere.

        It is small while the own hall has about as much room as all have, and
        rises to the whole as the own hall has none.
        """
        near = [room for room in rooms if self._is_near(room.replica)]
        if not near:
            return 1.0
        compared = _get_part(near) / _get_part(rooms)
        return max(OTHER_HALL_PART, 1.0 - compared / ENOUGH_ROOM)

    def _is_near(self, replica: Replica) -> bool:
        return replica.head.hall == self.hall

    def _measure_room(self, replica: Replica, book: ReplicaBook) -> float:
        """Return how many more requests a replica has room for, about."""
        record = book.get(replica.key)
        taken = self._count_taken(replica, book)
        free = replica.head.places - taken
        room = free if free > FULL_ROOM else FULL_ROOM / (1.0 - free)
        limit = max(LEAST_ROOM, self.get_limit(replica.key.life))
        return min(room, limit) / max(1.0, record.slowness)

    def _count_taken(self, replica: Replica, book: ReplicaBook) -> float:
        others = self.loads.get(replica.key.life)
        return book.get(replica.key).in_flight + OTHERS_WEIGHT * others

    def _weigh(self, replica: Replica, book: ReplicaBook) -> float:
        record = book.get(replica.key)
        load = self._count_taken(replica, book) * max(1.0, record.slowness)
        load += max(0.0, record.slowness - 1.0)
        if replica.head.hall != self.hall:
            load += OTHER_HALL_LOAD
        return load
