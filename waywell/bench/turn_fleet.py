"""Nodes that send to one replica with a limit, without sockets.

The decisions are those of the daemons, with the time as an argument: who
deals, at which rate, and to whom.  What each node knows of the others is set
from outside, so that nodes may see different fleets.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from waywell.ids import BoxId, HallName, Incarnation, NodeId
from waywell.limits.issuer_assignment import IssuerAssignment, MembershipView
from waywell.limits.permit_issuer import PermitIssuer
from waywell.limits.reported_limits import LimitReport, ReportedLimits
from waywell.version.fleet import BoxLife

if TYPE_CHECKING:
    from collections.abc import Mapping
    from random import Random

LIFE = BoxLife(BoxId('box'), Incarnation(1))
"""The replica."""

HALL = HallName('hall-0')
"""Its data hall."""


@attrs.define
class TurnNode:
    """One node: what it knows, and what it deals."""

    name: NodeId
    hall: HallName
    limits: ReportedLimits = attrs.Factory(ReportedLimits)
    part: int = 0
    choice: IssuerAssignment = attrs.field(init=False)
    dealer: PermitIssuer = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """See nobody else yet."""
        self.dealer = PermitIssuer(self.limits)
        self.see({self.name: self.hall}, 1, has_joined=False)

    def see(
        self,
        halls: Mapping[NodeId, HallName],
        known: int,
        *,
        has_joined: bool = True,
    ) -> None:
        """See other nodes from now on."""
        view = MembershipView(self.name, dict(halls), known, has_joined)
        self.choice = IssuerAssignment(view)


class TurnFleet:
    """All nodes, and what came to the replica.

    Parameters
    ----------
    random
        Draws the order in which dealers are asked.
    """

    def __init__(self, random: Random) -> None:
        """Start without nodes."""
        self.nodes: dict[NodeId, TurnNode] = {}
        self.sent: list[float] = []
        self._random = random

    def add(self, name: str, hall: HallName = HALL) -> TurnNode:
        """Add a node that sees nobody yet."""
        node = TurnNode(NodeId(name), hall)
        self.nodes[node.name] = node
        return node

    def see_all(self) -> None:
        """Let every node see the nodes that are in its part."""
        for node in self.nodes.values():
            self.see(node)

    def see(self, node: TurnNode) -> None:
        """Let a node see who is in its part, and that there are others."""
        live = {
            other.name: other.hall
            for other in self.nodes.values()
            if other.part == node.part
        }
        known = node.choice.view.halls.keys() | self.nodes.keys()
        node.see(live, max(node.choice.view.known_count, len(known)))

    def name_limit(self, limit: float, now: float) -> None:
        """Let every node hear of a limit."""
        word = LimitReport(limit, now, now, now, HALL)
        for node in self.nodes.values():
            node.limits.record(LIFE, word, 'test')
            node.dealer.update(node.choice, now)

    def tend(self, now: float) -> None:
        """Let every node look at the limits and the nodes of now."""
        for node in self.nodes.values():
            node.dealer.update(node.choice, now)

    def ask(self, name: NodeId, now: float, rank: int = 0) -> bool:
        """Let a node send a request, if it gets a turn for it."""
        node = self.nodes[name]
        dealers = list(node.choice.choose(LIFE.box, HALL))
        self._random.shuffle(dealers)
        for dealer in dealers:
            other = self.nodes.get(dealer)
            if other is None or other.part != node.part:
                continue
            if other.dealer.grant(LIFE, rank, now).permits:
                self.sent.append(now)
                return True
        return False
