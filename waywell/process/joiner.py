"""Discovery of the other entry boxes by an entry daemon."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from returns.result import Failure

from waywell.connection.platform import Kind
from waywell.membership.gossip import Gossip
from waywell.process.present_nodes import list_present_nodes

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from waywell.connection.platform import Platform
    from waywell.membership.links import PeerLinks
    from waywell.process.clock import Clock

JOIN_INTERVAL_SECONDS = 1.0
"""Seconds between attempts to find other entry boxes."""

JOIN_DIALS = 2
"""Number of entry boxes to dial in each attempt."""


class Joiner:
    """Dials other entry boxes while this node has no stream to any of them.

    Parameters
    ----------
    platform
        Client of the platform, which lists the entry boxes.
    gossip
        Membership, as exchanged with other entry boxes.
    links
        Streams to other nodes.
    clock
        Clock of the node.
    seeds
        Peer addresses from the settings.
    random
        Source of randomness for choosing the boxes to dial.
    """

    def __init__(
        self,
        platform: Platform,
        gossip: Gossip,
        links: PeerLinks,
        clock: Clock,
        seeds: Sequence[str],
        random: Random,
    ) -> None:
        """Create the joiner; ``run`` dials."""
        self._platform = platform
        self._gossip = gossip
        self._links = links
        self._clock = clock
        self._seeds = seeds
        self._random = random

    async def run(self) -> None:
        """Dial other entry boxes whenever no stream is open."""
        while True:
            if not self._links.list_peers():
                addresses = await self._list_addresses()
                count = min(JOIN_DIALS, len(addresses))
                for host, port in self._random.sample(addresses, count):
                    self._links.dial(host, port)
            await asyncio.sleep(JOIN_INTERVAL_SECONDS)

    def has_cluster_contact(self) -> bool:
        """Return whether a peer or the platform has been reached.

        A node that has reached the platform only may be the first one.
        """
        age = self._gossip.get_platform_age(self._clock.read())
        return bool(self._links.list_peers()) or math.isfinite(age)

    async def _list_addresses(self) -> list[tuple[str, int]]:
        """Return addresses of other nodes from settings and platform."""
        addresses = []
        for seed in self._seeds:
            host, _, port = seed.rpartition(':')
            addresses.append((host, int(port)))
        answer = await self._platform.fetch_all(Kind.PRESENCE)
        if not isinstance(answer, Failure):
            self._gossip.post(Gossip.PlatformReached())
            own = self._gossip.table.own.node
            addresses.extend(
                (listed.host, listed.peer_port)
                for listed in list_present_nodes(answer.unwrap().objects)
                if listed.node != own
            )
        return addresses
