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

BOX_LIFE = BoxLife(BoxId('box'), Incarnation(1))
"""The replica."""

HALL = HallName('hall-0')
"""Its data hall."""


@attrs.define
class PermitNode:
    """One node: what it knows, and what it deals."""

    name: NodeId
    hall: HallName
    limits: ReportedLimits = attrs.Factory(ReportedLimits)
    partition: int = 0
    assignment: IssuerAssignment = attrs.field(init=False)
    issuer: PermitIssuer = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """See nobody else yet."""
        self.issuer = PermitIssuer(self.limits)
        self.set_visible_nodes({self.name: self.hall}, 1, has_joined=False)

    def set_visible_nodes(
        self,
        halls: Mapping[NodeId, HallName],
        known_count: int,
        *,
        has_joined: bool = True,
    ) -> None:
        """See other nodes from now on."""
        view = MembershipView(self.name, dict(halls), known_count, has_joined)
        self.assignment = IssuerAssignment(view)


class PermitFleet:
    """All nodes, and what came to the replica.

    Parameters
    ----------
    random
        Draws the order in which dealers are asked.
    """

    def __init__(self, random: Random) -> None:
        """Start without nodes."""
        self.nodes: dict[NodeId, PermitNode] = {}
        self.sent_at: list[float] = []
        self._random = random

    def add_node(self, name: str, hall: HallName = HALL) -> PermitNode:
        """Add a node that sees nobody yet."""
        node = PermitNode(NodeId(name), hall)
        self.nodes[node.name] = node
        return node

    def update_visible_nodes(self) -> None:
        """Let every node see the nodes that are in its part."""
        for node in self.nodes.values():
            self.show_partition(node)

    def show_partition(self, node: PermitNode) -> None:
        """Let a node see who is in its part, and that there are others."""
        live = {
            other.name: other.hall
            for other in self.nodes.values()
            if other.partition == node.partition
        }
        known_nodes = node.assignment.view.halls.keys() | self.nodes.keys()
        node.set_visible_nodes(
            live, max(node.assignment.view.known_count, len(known_nodes))
        )

    def report_limit(self, limit: float, now: float) -> None:
        """Let every node hear of a limit."""
        report = LimitReport(limit, now, now, now, HALL)
        for node in self.nodes.values():
            node.limits.record(BOX_LIFE, report, 'test')
            node.issuer.update(node.assignment, now)

    def update_issuers(self, now: float) -> None:
        """Let every node look at the limits and the nodes of now."""
        for node in self.nodes.values():
            node.issuer.update(node.assignment, now)

    def request_permit(self, name: NodeId, now: float, rank: int = 0) -> bool:
        """Let a node send a request, if it gets a turn for it."""
        node = self.nodes[name]
        issuers = list(node.assignment.choose(BOX_LIFE.box, HALL))
        self._random.shuffle(issuers)
        for issuer in issuers:
            other = self.nodes.get(issuer)
            if other is None or other.partition != node.partition:
                continue
            if other.issuer.grant(BOX_LIFE, rank, now).permits:
                self.sent_at.append(now)
                return True
        return False
