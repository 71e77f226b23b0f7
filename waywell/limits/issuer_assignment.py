"""Assignment of the nodes that issue permits for a rate-limited replica.

Nodes with the same membership view compute the same assignment, so no election
is needed.  Nodes with different views may assign different issuers.  Each
issuer therefore scales its rate by the fraction of the known nodes that it
sees live, so that all sides of a network partition together stay within the
limit.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import attrs

from waywell.ids import HallName, NodeId
from waywell.membership.membership import NodeState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from waywell.ids import BoxId
    from waywell.membership.membership import MembershipTable

ISSUERS_PER_REPLICA = 2
"""Nodes that issue permits for one replica.  With two, half of the permits are
still issued while one of them has failed but is not yet known to be lost."""

ISSUERS_PER_HALL = 8
"""Nodes of a data hall that may be issuers.  The bound limits the streams that
each node keeps open when all replicas are rate limited."""


@attrs.frozen
class MembershipView:
    """The entry boxes as seen by one of them."""

    own: NodeId
    """Node that holds this view."""

    halls: dict[NodeId, HallName]
    """Data hall of each live node."""

    known_count: int
    """Number of nodes that are live or were lost without leaving."""

    has_joined: bool = True
    """Whether the node has met other nodes or knows that it is alone."""

    @property
    def live_fraction(self) -> float:
        """Return the fraction of the known nodes that are live."""
        return len(self.halls) / max(1, self.known_count)


class IssuerAssignment:
    """Assigns permit issuers to replicas and caches the result.

    Parameters
    ----------
    view
        Membership view that the assignment is computed from.
    """

    def __init__(self, view: MembershipView) -> None:
        """Start with an empty cache."""
        self.view = view
        self._by_hall: dict[HallName, list[NodeId]] = {}
        self._by_box: dict[tuple[BoxId, HallName], tuple[NodeId, ...]] = {}

    def choose(self, box: BoxId, hall: HallName) -> tuple[NodeId, ...]:
        """Return the nodes that issue permits for a replica.

        Issuers are chosen from the replica's data hall if it has live nodes:
        most of the replica's requests come from there, and a hall that is cut
        off keeps its permits.

        Parameters
        ----------
        box
            Box that receives the replica's requests.
        hall
            Data hall of the box.
        """
        chosen = self._by_box.get((box, hall))
        if chosen is None:
            chosen = tuple(
                _rank(self._list_candidates(hall), box)[:ISSUERS_PER_REPLICA]
            )
            self._by_box[box, hall] = chosen
        return chosen

    def _list_candidates(self, hall: HallName) -> list[NodeId]:
        """Return the nodes that may be issuers for replicas of a data hall."""
        candidates = self._by_hall.get(hall)
        if candidates is None:
            halls = self.view.halls
            local = [
                node for node, its_hall in halls.items() if its_hall == hall
            ]
            candidates = _rank(local or halls, hall)[:ISSUERS_PER_HALL]
            self._by_hall[hall] = candidates
        return candidates


def make_view(table: MembershipTable, *, has_joined: bool) -> MembershipView:
    """Return the view that a membership table gives."""
    known_count = sum(
        not record.was_leaving and record.state is not NodeState.LEAVING
        for record in table.records
    )
    halls = {record.node: record.hall for record in table.list_live()}
    return MembershipView(table.own.node, halls, known_count, has_joined)


def _rank(nodes: Iterable[NodeId], key: str) -> list[NodeId]:
    """Return nodes in the order of rendezvous hashing for a key."""
    return sorted(nodes, key=lambda node: _hash_pair(node, key))


def _hash_pair(node: NodeId, key: str) -> bytes:
    return hashlib.blake2b(f'{key}\n{node}'.encode(), digest_size=8).digest()
