"""Which entry boxes deal the turns of a replica that has a limit.

All nodes of one view choose the same ones, so nobody has to be elected.  Nodes
of two views may choose others: the rate that a dealer deals at is cut by the
part of all known nodes that it sees, so that the parts of a cut together deal
no more than the limit.
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
"""Nodes that deal the turns of one replica: the second one deals half of them
while the first is not known to be lost."""

ISSUERS_PER_HALL = 8
"""Nodes of a hall that deal at all, so that each node keeps few streams where
all replicas have a limit."""


@attrs.frozen
class MembershipView:
    """The entry boxes as one of them sees them."""

    own: NodeId
    """The one that sees."""

    halls: dict[NodeId, HallName]
    """Data halls of the nodes that are live."""

    known_count: int
    """Nodes that are live, or were lost without having left."""

    is_placed: bool = True
    """Whether it knows that it knows the others, or that there are none."""

    @property
    def live_fraction(self) -> float:
        """Return the part of the known nodes that is live here."""
        return len(self.halls) / max(1, self.known_count)


class IssuerAssignment:
    """Chooses the dealers of replicas in one view, and remembers them.

    Parameters
    ----------
    view
        The view.
    """

    def __init__(self, view: MembershipView) -> None:
        """Choose nothing yet."""
        self.view = view
        self._by_hall: dict[HallName, list[NodeId]] = {}
        self._by_box: dict[tuple[BoxId, HallName], tuple[NodeId, ...]] = {}

    def choose(self, box: BoxId, hall: HallName) -> tuple[NodeId, ...]:
        """Return the nodes that deal a replica's turns.

        They stand in the replica's hall where that has live nodes: most of its
        requests come from there, and a hall that is cut off keeps its turns.

        Parameters
        ----------
        box
            The box that takes the replica's requests.
        hall
            Its data hall.
        """
        chosen = self._by_box.get((box, hall))
        if chosen is None:
            chosen = tuple(
                _rank(self._list_dealing(hall), box)[:ISSUERS_PER_REPLICA]
            )
            self._by_box[box, hall] = chosen
        return chosen

    def _list_dealing(self, hall: HallName) -> list[NodeId]:
        """Return the nodes that deal for a hall."""
        dealing = self._by_hall.get(hall)
        if dealing is None:
            halls = self.view.halls
            near = [
                node for node, its_hall in halls.items() if its_hall == hall
            ]
            dealing = _rank(near or halls, hall)[:ISSUERS_PER_HALL]
            self._by_hall[hall] = dealing
        return dealing


def make_view(table: MembershipTable, *, is_placed: bool) -> MembershipView:
    """Return how a membership table shows the nodes."""
    known = sum(
        not record.was_leaving and record.state is not NodeState.LEAVING
        for record in table.records
    )
    halls = {record.node: record.hall for record in table.list_live()}
    return MembershipView(table.own.node, halls, known, is_placed)


def _rank(nodes: Iterable[NodeId], name: str) -> list[NodeId]:
    """Return nodes in an order that only a name decides."""
    return sorted(nodes, key=lambda node: _hash_pair(node, name))


def _hash_pair(node: NodeId, name: str) -> bytes:
    return hashlib.blake2b(f'{name}\n{node}'.encode(), digest_size=8).digest()
