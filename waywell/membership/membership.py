"""Membership among entry boxes: who is live, leaving or lost.

Each node is monitored by a few neighbours only.  A neighbour that receives
nothing from it suspects it, and the suspicion spreads by gossip.  Unless the
node refutes it with a higher stamp, the node counts as lost.  Records are
ordered by incarnation, stamp and state, and a higher record replaces a lower
one, so all nodes converge to the same view in whatever order records arrive.
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
"""Rings on each of which a node dials its successor."""

MIN_HALL_RING_NODES = 8
"""Minimum number of nodes for a hall to have rings of its own.  With fewer,
all rings span all halls, so that messages still spread when a node on the
path is lost."""

EXPECTED_DIALERS = 8
"""Expected number of nodes that dial a lost or unknown node per attempt."""

MIN_LINKED_FRACTION = 0.6
"""Fraction of the entry boxes that must have links to all services before the
others are left out of the list.  Callers keep their connections, so with fewer
listed boxes those would carry all load long after the links are restored."""

FORGET_SECONDS = 7200.0
"""Seconds after which the record of a lost node is deleted; longer than a
partition between regions lasts."""


class NodeState(enum.IntEnum):
    """State of an entry box; at equal stamps the higher state wins."""

    LIVE = 0
    LEAVING = 1
    SUSPECT = 2
    LOST = 3


class NodeRecord(msgspec.Struct, frozen=True, array_like=True):
    """Membership record of one entry box."""

    node: NodeId
    """Name of the entry box."""

    incarnation: Incarnation
    """Number of the run of the node; a later run has a higher one."""

    hall: HallName
    """Data hall of the entry box."""

    region: str
    """Region of the data hall."""

    host: str
    """IP address of the entry box."""

    caller_port: int
    """TCP port for callers."""

    peer_port: int
    """TCP port for other entry boxes."""

    admin_port: int
    """TCP port for operators."""

    stamp: int = 0
    """Number of changes that the node has made to its own record."""

    state: NodeState = NodeState.LIVE
    """State of the node as last reported by itself or its neighbours."""

    was_leaving: bool = False
    """Whether the node had announced to leave before it was suspected."""

    configuration: int = 0
    """Version of the configuration in force at the node."""

    roster: int = 0
    """Version of the roster in force at the node."""

    link_mbps: int = 0
    """Bandwidth of the node's link, in Mbit/s; 0 if unknown."""

    cores: float = 0.0
    """Processor capacity of the node, in cores of an ordinary box; 0 if
    unknown."""

    lost_services: tuple[ServiceName, ...] | None = None
    """Services whose replicas the node can't reach directly; ``None`` if it
    doesn't report them, in which case it forwards no requests either."""

    @property
    def rank(self) -> tuple[int, int, int]:
        """Return the precedence of this record among those of the node."""
        return (self.incarnation, self.stamp, self.state)


class MembershipTable:
    """Records of all entry boxes that one node knows.

    Parameters
    ----------
    own
        This node's record.
    suspicion
        Seconds after which a suspected node counts as lost.
    """

    def __init__(self, own: NodeRecord, suspicion: float) -> None:
        """Start with this node's record only."""
        self.own_name = own.node
        self._suspicion = suspicion
        self._records: dict[NodeId, NodeRecord] = {own.node: own}
        self._state_since: dict[NodeId, float] = {}
        self._digest = _digest_record(own)
        self._is_count_stale = True
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
        """Return a digest that is equal for equal views."""
        return self._digest

    def find(self, node: NodeId) -> NodeRecord | None:
        """Return the record of a node, or ``None`` if it is unknown."""
        return self._records.get(node)

    def list_live(self) -> list[NodeRecord]:
        """Return the nodes that are live, or suspect but not leaving."""
        return [
            record
            for record in self._records.values()
            if record.state is not NodeState.LOST
            and record.state is not NodeState.LEAVING
            and not record.was_leaving
        ]

    def list_present(self) -> list[NodeRecord]:
        """Return the nodes that are live, leaving or suspect."""
        return [
            record
            for record in self._records.values()
            if record.state is not NodeState.LOST
        ]

    def list_lost(self) -> list[NodeRecord]:
        """Return the lost nodes whose records are not deleted yet."""
        return [
            record
            for record in self._records.values()
            if record.state is NodeState.LOST
        ]

    def count_live(self) -> int:
        """Return the number of nodes that ``list_live`` returns."""
        if self._is_count_stale:
            self._live_count = len(self.list_live())
            self._is_count_stale = False
        return self._live_count

    def count_states(self) -> dict[str, int]:
        """Return the number of nodes by state."""
        states = [record.state for record in self._records.values()]
        return {state.name.lower(): states.count(state) for state in NodeState}

    def update_own(
        self,
        state: NodeState | None = None,
        configuration: int | None = None,
        roster: int | None = None,
        lost_services: tuple[ServiceName, ...] | None = None,
    ) -> NodeRecord:
        """Update this node's record with a higher stamp and return it."""
        own = self.own
        changed = msgspec.structs.replace(
            own,
            stamp=own.stamp + 1,
            state=own.state if state is None else state,
            configuration=_default_to(configuration, own.configuration),
            roster=_default_to(roster, own.roster),
            lost_services=(
                own.lost_services if lost_services is None else lost_services
            ),
        )
        self._store(changed)
        return changed

    def merge(self, record: NodeRecord, now: float) -> NodeRecord | None:
        """Merge a record received at ``now`` into the view.

        Returns
        -------
        NodeRecord or None
            Record to spread: the received one if it replaces the known one,
            or this node's refutation of a wrong record about itself.
        """
        if record.node == self.own_name:
            return self._refute(record)
        known = self._records.get(record.node)
        if known is not None and record.rank <= known.rank:
            return None
        self._store(record)
        if record.state in {NodeState.SUSPECT, NodeState.LOST}:
            self._state_since[record.node] = now
        else:
            self._state_since.pop(record.node, None)
        return record

    def suspect(self, node: NodeId, now: float) -> NodeRecord | None:
        """Mark a silent node as suspect; return the record to spread."""
        known = self._records.get(node)
        if known is None or known.state >= NodeState.SUSPECT:
            return None
        changed = msgspec.structs.replace(
            known,
            state=NodeState.SUSPECT,
            was_leaving=known.state is NodeState.LEAVING,
        )
        self._store(changed)
        self._state_since[node] = now
        return changed

    def tick(self, now: float) -> list[NodeRecord]:
        """Mark long suspected nodes as lost; return the records to spread."""
        lost = []
        for record in self.records:
            age = now - self._state_since.get(record.node, now)
            if record.state is NodeState.SUSPECT and age >= self._suspicion:
                changed = msgspec.structs.replace(record, state=NodeState.LOST)
                self._store(changed)
                self._state_since[record.node] = now
                lost.append(changed)
            elif record.state is NodeState.LOST and age >= FORGET_SECONDS:
                self._remove(record.node)
                self._state_since.pop(record.node)
        return lost

    def list_neighbours(self) -> list[NodeRecord]:
        """Return the nodes to which this node keeps a stream.

        These are its successors on a few rings, each of which orders the nodes
        differently.  The first ring spans all halls.  The others stay within
        this node's hall if it has enough nodes, because traffic between halls
        is billed: with three rings across three halls, two of the three
        streams of each node led to other halls.
        """
        present = frozenset(record.node for record in self.list_present())
        if present != self._present_key:
            self._present_key = present
            local = self._list_local(present)
            successors = {_find_successor(present, 0, self.own_name)}
            successors.update(
                _find_successor(local, ring, self.own_name)
                for ring in range(1, RINGS)
            )
            self._neighbours = sorted(successors - {self.own_name})
        return [self._records[node] for node in self._neighbours]

    def _list_local(self, present: frozenset[NodeId]) -> frozenset[NodeId]:
        """Return the nodes on all rings but the first."""
        hall = self.own.hall
        local = frozenset(
            node for node in present if self._records[node].hall == hall
        )
        return local if len(local) >= MIN_HALL_RING_NODES else present

    def _refute(self, record: NodeRecord) -> NodeRecord | None:
        own = self.own
        if record.rank <= own.rank:
            return None
        incarnation = own.incarnation
        if record.incarnation > incarnation:
            if record.host != own.host:
                # Another box with this name, not an earlier run of this node.
                return None
            # The clock was ahead when the earlier run began.
            incarnation = Incarnation(record.incarnation + 1)
        self._store(
            msgspec.structs.replace(
                own, incarnation=incarnation, stamp=record.stamp
            ),
        )
        return self.update_own()

    def _store(self, record: NodeRecord) -> None:
        self._remove(record.node)
        self._records[record.node] = record
        self._digest ^= _digest_record(record)

    def _remove(self, node: NodeId) -> None:
        known = self._records.pop(node, None)
        if known is not None:
            self._digest ^= _digest_record(known)
        self._is_count_stale = True


def _find_successor(
    nodes: Iterable[NodeId],
    ring: int,
    node: NodeId,
) -> NodeId:
    """Return the successor of a node on a ring."""
    order = sorted(nodes, key=lambda name: _hash_position(ring, name))
    return order[(order.index(node) + 1) % len(order)]


def _default_to(version: int | None, default: int) -> int:
    return default if version is None else version


def _hash_position(ring: int, node: NodeId) -> bytes:
    return hashlib.blake2b(f'{ring}\n{node}'.encode(), digest_size=8).digest()


def _digest_record(record: NodeRecord) -> int:
    """Return a record's contribution to the order-independent digest."""
    text = f'{record.node} {record.rank}'
    return zlib.crc32(text.encode())


def may_dial(live: int, draw: float) -> bool:
    """Return whether this node is one of the few that dial another now.

    All nodes learn of a lost or unknown node at the same time.  If each of
    them dialled it, the connections alone would overload a small box.

    Parameters
    ----------
    live
        Number of live entry boxes.
    draw
        Random number in [0, 1), drawn separately for each call.
    """
    return draw * live < EXPECTED_DIALERS


def rank_candidates(
    records: Iterable[NodeRecord],
    duty: str,
    count: int,
) -> list[NodeId]:
    """Return the nodes that should compete for the lease of a duty.

    Only a few nodes compete, to limit the load on the platform, and nodes with
    equal views choose the same ones.  Nodes with the most cores come first: a
    duty can saturate a small box (0.6 of a core with 195 nodes and 760 target
    boxes) and still leave a large one half idle.
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
    """Return the nodes with links to all services, or all if these are few."""
    linked = [record for record in nodes if not record.lost_services]
    if len(linked) < MIN_LINKED_FRACTION * len(nodes):
        return nodes
    return linked
