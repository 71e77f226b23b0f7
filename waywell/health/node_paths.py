"""What watches and replaces a node's links to replicas, put together."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from waywell.connection.exchange import is_reachable
from waywell.health.partition import PartitionParts, PartitionWatch
from waywell.request.attempt import CONNECT_SECONDS
from waywell.request.peer_chooser import PeerChooser
from waywell.request.replica_book import ReplicaBook

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

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

    peer_book: ReplicaBook
    """What this node has seen of peers that forward its requests."""


def make_node_paths(
    gossip: Gossip,
    links: PeerLinks,
    clock: Clock,
    outlook: Outlook,
    random: Random,
    on_restored: Callable[[], None],
) -> NodePaths:
    """Return what a front daemon runs to know its links.

    Parameters
    ----------
    gossip
        Membership.
    links
        Streams to peers.
    clock
        Where the time is read.
    outlook
        Routes and boxes in force.
    random
        Draws boxes and peers.
    on_restored
        Called when lost links are back.
    """
    peer_book = ReplicaBook()
    parts = PartitionParts(
        gossip,
        links,
        clock,
        outlook,
        random,
        PeerChooser(gossip.table, peer_book, random),
        _connect,
        on_restored,
    )
    return NodePaths(PartitionWatch(parts), peer_book)


async def _connect(box: FleetBox) -> bool:
    return await is_reachable(box.host, box.port, CONNECT_SECONDS)
