"""What watches and replaces a node's links to replicas, put together."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from waywell.connection.exchange import is_reachable
from waywell.health.partition import PartitionParts, PartitionWatch
from waywell.health.probed_boxes import ProbedBoxes
from waywell.ids import ModelName
from waywell.request.attempt import CONNECT_SECONDS
from waywell.request.peer_chooser import PeerChooser
from waywell.request.replica_table import ReplicaTable

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from waywell.ids import BoxId, ServiceName
    from waywell.knowledge.outlook import Outlook
    from waywell.membership.gossip import Gossip
    from waywell.membership.links import PeerLinks
    from waywell.process.clock import Clock
    from waywell.version.fleet import FleetBox


@attrs.frozen
class NodePaths:
    """A node's links to replicas, and the peers that stand in for them."""

    watch: PartitionWatch
    """Finds out whether links are lost."""

    peer_book: ReplicaTable
    """What this node has seen of peers that forward its requests."""


class ListedBoxes(ProbedBoxes):
    """The boxes of the box list.

    Parameters
    ----------
    outlook
        Routes and boxes in force.
    """

    def __init__(self, outlook: Outlook) -> None:
        """Keep where they are read."""
        self._outlook = outlook

    def find_box(self, box: BoxId) -> FleetBox | None:
        """Return a box of the list."""
        return self._outlook.fleet.boxes.get(box)

    def list_boxes(self, service: ServiceName) -> list[FleetBox]:
        """Return the boxes that take requests; all where none does yet."""
        outlook = self._outlook
        known = outlook.index.find_service(service)
        models = known.engine.models if known and known.engine else ()
        names = [model.name for model in models] or [ModelName('')]
        heads = [
            replica.head
            for name in names
            for replica in outlook.list_replicas(service, name)
        ]
        return heads or [
            box
            for box in outlook.fleet.boxes.values()
            if box.service == service and not box.leaving
        ]


def make_node_paths(
    gossip: Gossip,
    links: PeerLinks,
    clock: Clock,
    boxes: ProbedBoxes,
    random: Random,
    on_restored: Callable[[], None],
) -> NodePaths:
    """Return what a daemon runs to know its links.

    Parameters
    ----------
    gossip
        Membership.
    links
        Streams to peers.
    clock
        Where the time is read.
    boxes
        Boxes that are connected to.
    random
        Draws boxes and peers.
    on_restored
        Called when lost links are back.
    """
    peer_book = ReplicaTable()
    parts = PartitionParts(
        gossip,
        links,
        clock,
        boxes,
        random,
        PeerChooser(gossip.table, peer_book, random),
        _connect,
        on_restored,
    )
    return NodePaths(PartitionWatch(parts), peer_book)


async def _connect(box: FleetBox) -> bool:
    return await is_reachable(box.host, box.port, CONNECT_SECONDS)
