"""Nodes that draw permits for one limited replica, without sockets.

The daemons' own code, with the time as an argument, decides which nodes issue
permits, at which rate and to whom.  The test or benchmark sets which other
nodes each node sees, so that the views of the nodes can differ.
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
"""Life of the box whose replica has the limit."""

HALL = HallName('hall-0')
"""Data hall of that box, and default data hall of the nodes."""


@attrs.define
class PermitNode:
    """A node with its view of the membership and its permit issuer."""

    name: NodeId
    hall: HallName
    limits: ReportedLimits = attrs.Factory(ReportedLimits)
    partition: int = 0
    assignment: IssuerAssignment = attrs.field(init=False)
    issuer: PermitIssuer = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start with a view that contains only the node itself."""
        self.issuer = PermitIssuer(self.limits)
        self.set_visible_nodes({self.name: self.hall}, 1, has_joined=False)

    def set_visible_nodes(
        self,
        halls: Mapping[NodeId, HallName],
        known_count: int,
        *,
        has_joined: bool = True,
    ) -> None:
        """Set which nodes this node sees, by their data halls."""
        view = MembershipView(self.name, dict(halls), known_count, has_joined)
        self.assignment = IssuerAssignment(view)


class PermitFleet:
    """All nodes, and the times of the requests sent to the replica.

    Parameters
    ----------
    random
        Source of the order in which issuers are asked.
    """

    def __init__(self, random: Random) -> None:
        """Create a fleet without nodes."""
        self.nodes: dict[NodeId, PermitNode] = {}
        self.sent_at: list[float] = []
        self._random = random

    def add_node(self, name: str, hall: HallName = HALL) -> PermitNode:
        """Add a node that sees only itself."""
        node = PermitNode(NodeId(name), hall)
        self.nodes[node.name] = node
        return node

    def update_visible_nodes(self) -> None:
        """Show every node the nodes of its network partition."""
        for node in self.nodes.values():
            self.show_partition(node)

    def show_partition(self, node: PermitNode) -> None:
        """Show a node the nodes of its partition and the number of all."""
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
        """Record a limit of the replica at every node."""
        report = LimitReport(limit, now, now, now, HALL)
        for node in self.nodes.values():
            node.limits.record(BOX_LIFE, report, 'test')
            node.issuer.update(node.assignment, now)

    def update_issuers(self, now: float) -> None:
        """Update every node's issuer for its current limits and view."""
        for node in self.nodes.values():
            node.issuer.update(node.assignment, now)

    def request_permit(self, name: NodeId, now: float, rank: int = 0) -> bool:
        """Request a permit for a node and send a request if it is granted.

        Return whether the request was sent.  Only issuers in the partition of
        the node are reachable.
        """
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
