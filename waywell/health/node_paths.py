"""Construction of the parts that watch a node's links to replicas."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from waywell.connection.exchange import is_reachable
from waywell.health.partition import PartitionParts, PartitionWatch
from waywell.health.probed_boxes import ProbedBoxes
from waywell.ids import ModelName
from waywell.request.attempt import CONNECT_TIMEOUT_SECONDS
from waywell.request.peer_chooser import PeerChooser
from waywell.request.replica_table import ReplicaTable

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from waywell.ids import BoxId, ServiceName
    from waywell.knowledge.cluster_view import ClusterView
    from waywell.membership.gossip import Gossip
    from waywell.membership.links import PeerLinks
    from waywell.process.clock import Clock
    from waywell.version.fleet import FleetBox


@attrs.frozen
class NodePaths:
    """Watch over a node's links, and state of the peers that replace them."""

    watch: PartitionWatch
    """Detects whether links to replicas are lost."""

    peer_table: ReplicaTable
    """Observations of this node about peers that forward its requests."""


class ListedBoxes(ProbedBoxes):
    """Finds boxes in the box list of the platform.

    Parameters
    ----------
    cluster
        Routes and box list in force.
    """

    def __init__(self, cluster: ClusterView) -> None:
        """Start with the given routes and boxes."""
        self._cluster = cluster

    def find_box(self, box: BoxId) -> FleetBox | None:
        """Return a box of the list, or ``None`` if it is not listed."""
        return self._cluster.fleet.boxes.get(box)

    def list_boxes(self, service: ServiceName) -> list[FleetBox]:
        """Return the boxes that take requests, or all if none does yet."""
        cluster = self._cluster
        known = cluster.index.find_service(service)
        models = known.engine.models if known and known.engine else ()
        names = [model.name for model in models] or [ModelName('')]
        heads = [
            replica.head
            for name in names
            for replica in cluster.list_replicas(service, name)
        ]
        return heads or [
            box
            for box in cluster.fleet.boxes.values()
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
    """Return the parts that watch a daemon's links to replicas.

    Parameters
    ----------
    gossip
        Task that keeps the membership.
    links
        Streams to peers.
    clock
        Source of the current time.
    boxes
        Boxes that the links are tested with.
    random
        Selects boxes and peers.
    on_restored
        Called when lost links work again.
    """
    peer_table = ReplicaTable()
    parts = PartitionParts(
        gossip,
        links,
        clock,
        boxes,
        random,
        PeerChooser(gossip.table, peer_table, random),
        _connect,
        on_restored,
    )
    return NodePaths(PartitionWatch(parts), peer_table)


async def _connect(box: FleetBox) -> bool:
    return await is_reachable(box.host, box.port, CONNECT_TIMEOUT_SECONDS)
