"""Membership among entry boxes: who is live, leaving or lost.

Each node is watched by a few neighbours only.  A neighbour that hears
nothing suspects it; the word spreads, and unless the node answers with a
higher stamp it counts as lost.  Records of higher incarnation, stamp and
state replace lower ones, so every node comes to the same view whatever
the order in which records arrive.
"""

from __future__ import annotations

import enum
import hashlib
import zlib
from typing import TYPE_CHECKING

import msgspec

from waywell.ids import HallName, Incarnation, NodeId, ServiceName

if TYPE_CHECKING:
    from collections.abc import Iterable

RINGS = 3
"""Rings on which a node has a next neighbour."""

MIN_HALL_RING_NODES = 8
"""Nodes of a hall from which on it has rings of its own; with fewer, rings of
all halls keep a word going round when a node on the way is lost."""

EXPECTED_DIALERS = 8
"""Nodes that are expected to call one that is lost or unknown at each look."""

MIN_LINKED_FRACTION = 0.6
"""Part of the entry boxes that must have their links to all services for the
others to be left out of the list: callers keep their connections, so the few
would carry all load for long after links are back."""

FORGET_SECONDS = 7200.0
"""Seconds after which a lost node is forgotten; longer than regions part."""


class NodeState(enum.IntEnum):
    """State of an entry box; at one stamp the higher one holds."""

    LIVE = 0
    LEAVING = 1
    SUSPECT = 2
    LOST = 3


class NodeRecord(msgspec.Struct, frozen=True, array_like=True):
    """What is known of one entry box."""

    node: NodeId
    """Name of the entry box."""

    incarnation: Incarnation
    """Its run; a later run has a higher one."""

    hall: HallName
    """Its data hall."""

    region: str
    """Region of the data hall."""

    host: str
    """IP number."""

    caller_port: int
    """Port for callers."""

    peer_port: int
    """Port for other entry boxes."""

    admin_port: int
    """Port for operators."""

    stamp: int = 0
    """Counts the node's own changes to its record."""

    state: NodeState = NodeState.LIVE
    """Live, leaving, suspect or lost."""

    was_leaving: bool = False
    """Whether it said that it is leaving before it was suspected."""

    configuration: int = 0
    """Version of the configuration in force there."""

    roster: int = 0
    """Version of the roster in force there."""

    link_mbps: int = 0
    """Bandwidth of its link, in Mbit/s; 0 where it is not told."""

    cores: float = 0.0
    """Processor that it may use, in cores of an ordinary box; 0 where it is
    not told."""

    lost_services: tuple[ServiceName, ...] | None = None
    """Services whose replicas it does not reach by links of its own; ``None``
    where it does not tell, and then it forwards no requests either."""

    @property
    def rank(self) -> tuple[int, int, int]:
        """Return what decides between two records of one node."""
        return (self.incarnation, self.stamp, self.state)


class MembershipTable:
    """All entry boxes that one node knows.

    Parameters
    ----------
    own
        This node's record.
    suspicion
        Seconds from a suspicion to a loss.
    """

    def __init__(self, own: NodeRecord, suspicion: float) -> None:
        """Start with this node alone."""
        self.own_name = own.node
        self._suspicion = suspicion
        self._records: dict[NodeId, NodeRecord] = {own.node: own}
        self._since: dict[NodeId, float] = {}
        self._digest = _digest_record(own)
        self._count_is_old = True
        self._present_key: frozenset[NodeId] = frozenset()
        self._neighbours: list[NodeId] = []
        self._live_count = 1

    @property
    def own(self) -> NodeRecord:
        """Return this node's record."""
        return self._records[self.own_name]

    @property
    def records(self) -> tuple[NodeRecord, ...]:
        """Return all records."""
        return tuple(self._records.values())

    @property
    def digest(self) -> int:
        """Return a number that is equal where the views are equal."""
        return self._digest

    def find(self, node: NodeId) -> NodeRecord | None:
        """Return the record of a node."""
        return self._records.get(node)

    def list_live(self) -> list[NodeRecord]:
        """Return nodes that are live, or suspect but not yet lost."""
        return [
            record
            for record in self._records.values()
            if record.state is not NodeState.LOST
            and record.state is not NodeState.LEAVING
            and not record.was_leaving
        ]

    def list_present(self) -> list[NodeRecord]:
        """Return nodes that are not lost: live, leaving or suspect."""
        return [
            record
            for record in self._records.values()
            if record.state is not NodeState.LOST
        ]

    def list_lost(self) -> list[NodeRecord]:
        """Return lost nodes that are not forgotten yet."""
        return [
            record
            for record in self._records.values()
            if record.state is NodeState.LOST
        ]

    def count_live(self) -> int:
        """Return the number of nodes that ``list_live`` returns."""
        if self._count_is_old:
            self._live_count = len(self.list_live())
            self._count_is_old = False
        return self._live_count

    def count_states(self) -> dict[str, int]:
        """Return how many nodes are in each state."""
        states = [record.state for record in self._records.values()]
        return {state.name.lower(): states.count(state) for state in NodeState}

    def update_own(
        self,
        state: NodeState | None = None,
        configuration: int | None = None,
        roster: int | None = None,
        lost_services: tuple[ServiceName, ...] | None = None,
    ) -> NodeRecord:
        """Change this node's record and return it."""
        own = self.own
        changed = msgspec.structs.replace(
            own,
            stamp=own.stamp + 1,
            state=own.state if state is None else state,
            configuration=_pick(configuration, own.configuration),
            roster=_pick(roster, own.roster),
            lost_services=(
                own.lost_services if lost_services is None else lost_services
            ),
        )
        self._store(changed)
        return changed

    def merge(self, record: NodeRecord, now: float) -> NodeRecord | None:
        """Take in a record heard at ``now``.

        Returns
        -------
        NodeRecord or None
            The record to pass on: the one heard where it was news, this
            node's answer where it was wrongly held for gone.
        """
        if record.node == self.own_name:
            return self._answer(record)
        known = self._records.get(record.node)
        if known is not None and record.rank <= known.rank:
            return None
        self._store(record)
        if record.state in {NodeState.SUSPECT, NodeState.LOST}:
            self._since[record.node] = now
        else:
            self._since.pop(record.node, None)
        return record

    def suspect(self, node: NodeId, now: float) -> NodeRecord | None:
        """Note that a neighbour was not heard; return what to pass on."""
        known = self._records.get(node)
        if known is None or known.state >= NodeState.SUSPECT:
            return None
        changed = msgspec.structs.replace(
            known,
            state=NodeState.SUSPECT,
            was_leaving=known.state is NodeState.LEAVING,
        )
        self._store(changed)
        self._since[node] = now
        return changed

    def tick(self, now: float) -> list[NodeRecord]:
        """Turn old suspicions to losses; return what to pass on."""
        lost = []
        for record in self.records:
            age = now - self._since.get(record.node, now)
            if record.state is NodeState.SUSPECT and age >= self._suspicion:
                changed = msgspec.structs.replace(record, state=NodeState.LOST)
                self._store(changed)
                self._since[record.node] = now
                lost.append(changed)
            elif record.state is NodeState.LOST and age >= FORGET_SECONDS:
                self._drop(record.node)
                self._since.pop(record.node)
        return lost

    def list_neighbours(self) -> list[NodeRecord]:
        """Return the nodes that this one keeps a stream to.

        On each of a few rings, on which nodes stand in an order of their own,
        it is the next one.  One ring goes through all halls; the others stay
        in the own hall where that has nodes enough, as what is said on a
        stream between halls is paid for: of three rings over three halls, two
        streams of each node led to others.
        """
        present = frozenset(record.node for record in self.list_present())
        if present != self._present_key:
            self._present_key = present
            near = self._list_near(present)
            followers = {_find_follower(present, 0, self.own_name)}
            followers.update(
                _find_follower(near, ring, self.own_name)
                for ring in range(1, RINGS)
            )
            self._neighbours = sorted(followers - {self.own_name})
        return [self._records[node] for node in self._neighbours]

    def _list_near(self, present: frozenset[NodeId]) -> frozenset[NodeId]:
        """Return the nodes of the rings that stay near."""
        hall = self.own.hall
        near = frozenset(
            node for node in present if self._records[node].hall == hall
        )
        return near if len(near) >= MIN_HALL_RING_NODES else present

    def _answer(self, record: NodeRecord) -> NodeRecord | None:
        own = self.own
        if record.rank <= own.rank:
            return None
        incarnation = own.incarnation
        if record.incarnation > incarnation:
            if record.host != own.host:
                # Another box with this name, not an earlier run of this one.
                return None
            # The earlier run began by a clock that was ahead of today's.
            incarnation = Incarnation(record.incarnation + 1)
        self._store(
            msgspec.structs.replace(
                own, incarnation=incarnation, stamp=record.stamp
            ),
        )
        return self.update_own()

    def _store(self, record: NodeRecord) -> None:
        self._drop(record.node)
        self._records[record.node] = record
        self._digest ^= _digest_record(record)

    def _drop(self, node: NodeId) -> None:
        known = self._records.pop(node, None)
        if known is not None:
            self._digest ^= _digest_record(known)
        self._count_is_old = True


def _find_follower(
    nodes: Iterable[NodeId],
    ring: int,
    node: NodeId,
) -> NodeId:
    """Return the node that comes after a node on a ring."""
    order = sorted(nodes, key=lambda name: _place(ring, name))
    return order[(order.index(node) + 1) % len(order)]


def _pick(number: int | None, default: int) -> int:
    return default if number is None else number


def _place(ring: int, node: NodeId) -> bytes:
    return hashlib.blake2b(f'{ring}\n{node}'.encode(), digest_size=8).digest()


def _digest_record(record: NodeRecord) -> int:
    """Return a record's part of a digest that no order changes."""
    text = f'{record.node} {record.rank}'
    return zlib.crc32(text.encode())


def may_dial(live: int, draw: float) -> bool:
    """Answer whether this node is one of the few that call another now.

    All nodes know of a lost or unknown node at one moment; if each called it,
    the calls alone would keep a small box from answering.

    Parameters
    ----------
    live
        Entry boxes that are live.
    draw
        A number from 0 up to 1, drawn anew for each call.
    """
    return draw * live < EXPECTED_DIALERS


def rank_candidates(
    records: Iterable[NodeRecord],
    duty: str,
    count: int,
) -> list[NodeId]:
    """Return the nodes that should contend for a duty.

    A few of the live nodes, the same at every node of one view, so that
    the platform doesn't hear all of them.  Those with the most processor go
    first: where boxes differ, a duty that fills a small one (0.6 of a core,
    one day of 195 nodes and 760 target boxes) leaves a large one half idle.
    """
    ranked = sorted(
        records,
        key=lambda record: (
            -record.cores,
            hashlib.blake2b(
                f'{duty}\n{record.node}'.encode(),
                digest_size=8,
            ).digest(),
        ),
    )
    return [record.node for record in ranked[:count]]


def select_linked(nodes: list[NodeRecord]) -> list[NodeRecord]:
    """Return the nodes with links to all services, where they are enough."""
    linked = [record for record in nodes if not record.lost_services]
    if len(linked) < MIN_LINKED_FRACTION * len(nodes):
        return nodes
    return linked
