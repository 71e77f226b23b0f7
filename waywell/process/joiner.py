"""How an entry daemon finds the other entry boxes."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from returns.result import Failure

from waywell.connection.platform import Kind
from waywell.membership.gossip import Gossip

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from waywell.connection.platform import Platform
    from waywell.membership.links import PeerLinks
    from waywell.process.clock import Clock

JOIN_SECONDS = 1.0
"""Seconds between two attempts to find other entry boxes."""

JOIN_DIALS = 2
"""Entry boxes that a new one calls at each attempt."""


class Joiner:
    """Looks for other entry boxes until a stream stands.

    Parameters
    ----------
    platform
        Where other entry boxes are listed.
    gossip
        Membership.
    links
        Streams to other nodes.
    clock
        Where the time is read.
    seeds
        Addresses from the settings.
    random
        Draws those that are called.
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
        """Call nobody yet."""
        self._platform = platform
        self._gossip = gossip
        self._links = links
        self._clock = clock
        self._seeds = seeds
        self._random = random

    async def run(self) -> None:
        """Call others for as long as no stream stands."""
        while True:
            if not self._links.list_peers():
                found = await self._find_others()
                count = min(JOIN_DIALS, len(found))
                for host, port in self._random.sample(found, count):
                    self._links.dial(host, port)
            await asyncio.sleep(JOIN_SECONDS)

    def has_cluster_contact(self) -> bool:
        """Answer whether this node has met others, or heard of none."""
        age = self._gossip.get_platform_age(self._clock.read())
        return bool(self._links.list_peers()) or math.isfinite(age)

    async def _find_others(self) -> list[tuple[str, int]]:
        """Return addresses from the settings and the platform."""
        found = []
        for seed in self._seeds:
            host, _, port = seed.rpartition(':')
            found.append((host, int(port)))
        answer = await self._platform.fetch_all(Kind.PRESENCE)
        if not isinstance(answer, Failure):
            self._gossip.post(Gossip.Reached())
            own = self._gossip.table.own.node
            for stored in answer.unwrap().objects:
                found.extend(
                    (listed['host'], listed['peer_port'])
                    for listed in stored.body
                    if listed['node'] != own
                )
        return found
