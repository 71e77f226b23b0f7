"""Monitoring of an entry daemon's links to the boxes of the roster."""

from __future__ import annotations

from typing import TYPE_CHECKING

from waywell.health.node_paths import make_node_paths
from waywell.health.probed_boxes import ProbedBoxes
from waywell.request.group_views import make_fleet_box
from waywell.version.roster import GroupState

if TYPE_CHECKING:
    from random import Random

    from waywell.health.health import HealthTable
    from waywell.health.partition import PartitionWatch
    from waywell.ids import BoxId, ServiceName
    from waywell.membership.gossip import Gossip
    from waywell.membership.links import PeerLinks
    from waywell.process.clock import Clock
    from waywell.process.documents import InForce
    from waywell.version.fleet import FleetBox


class RosterBoxes(ProbedBoxes):
    """Finds boxes in the groups of the current roster.

    Parameters
    ----------
    in_force
        Versions of roster and configuration in force.
    """

    def __init__(self, in_force: InForce) -> None:
        """Start with the given versions."""
        self._in_force = in_force

    def find_box(self, box: BoxId) -> FleetBox | None:
        """Return a box of a group, or ``None`` if no group has it."""
        roster = self._in_force.roster
        holder = roster.find_holder(box)
        if holder is None:
            return None
        group = roster.groups[holder]
        member = next(known for known in group.members if known.box == box)
        return make_fleet_box(group, member)

    def list_boxes(self, service: ServiceName) -> list[FleetBox]:
        """Return the head boxes of the serving groups of a service."""
        return [
            make_fleet_box(group, group.head)
            for group in self._in_force.roster
            if group.service == service and group.state is GroupState.SERVING
        ]


def make_entry_paths(
    gossip: Gossip,
    links: PeerLinks,
    clock: Clock,
    in_force: InForce,
    health: HealthTable,
    random: Random,
) -> PartitionWatch:
    """Return the task that watches an entry daemon's links to targets.

    Parameters
    ----------
    gossip
        Task that keeps the membership.
    links
        Streams to peers.
    clock
        Source of the current time.
    in_force
        Versions of roster and configuration in force.
    health
        Health of the groups; their rests end when lost links are restored.
    random
        Selects boxes and peers.
    """
    paths = make_node_paths(
        gossip, links, clock, RosterBoxes(in_force), random, health.end_rests
    )
    return paths.watch
