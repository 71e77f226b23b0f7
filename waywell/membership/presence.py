"""Discovery of entry boxes through a list in the platform's store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs
import msgspec
from returns.result import Failure

from waywell.bounded_types import HostAddress, Port
from waywell.connection.platform import Kind
from waywell.connection.stored_body import decode_body
from waywell.ids import NodeId
from waywell.membership.membership import may_dial
from waywell.process.front_settings import Address, parse_address
from waywell.telemetry.events import log_warning

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence
    from random import Random

    from waywell.connection.platform import Platform, Stored
    from waywell.connection.store_era import EraChange
    from waywell.membership.links import PeerLinks
    from waywell.membership.membership import MembershipTable, NodeRecord

JOIN_INTERVAL_SECONDS = 1.0
"""Seconds between attempts to find other entry boxes after the start."""

JOIN_DIALS = 2
"""Maximum number of entry boxes that are dialled per attempt."""

FIRST_DIALS = 8
"""Entry boxes that a starting one dials after its first read of the list, to
compare its routes with theirs; each is expected to be dialled by as many."""

FAST_JOIN_ATTEMPTS = 8
"""Attempts at the short interval after the start, while all other nodes may be
starting as well."""

REWRITE_SPREAD_SECONDS = 2.0
"""Seconds over which nodes spread their writes after the store is restored."""

LIST_CHECK_SECONDS = 5.0
"""Seconds between reads of the list for unknown entry boxes."""


class _PresenceEntry(msgspec.Struct):
    """Body of a node's entry in the list."""

    host: HostAddress
    peer_port: Port


@attrs.frozen
class PeerContacts:
    """Progress of a starting node in contacting the others."""

    has_read_list: bool
    """Whether the list has been read and nodes on it dialled."""

    pending_dials: int
    """Number of dialled streams that have neither failed nor been answered."""

    peers: frozenset[NodeId]
    """Nodes with an established stream to this one."""


class Presence:
    """Lists this node in the platform's store and dials other listed nodes.

    Parameters
    ----------
    platform
        Client of the platform's store.
    members
        Membership view of this node.
    links
        Streams to other entry boxes.
    seeds
        Peer addresses, ``IP:PORT``, through which to reach the first peer.
    random
        Random source for the choice of the entry boxes to dial.
    first_dials
        Number of entry boxes to dial after the first read of the list.
    """

    def __init__(
        self,
        platform: Platform,
        members: MembershipTable,
        links: PeerLinks,
        seeds: Sequence[str],
        random: Random,
        first_dials: int = JOIN_DIALS,
    ) -> None:
        """Start without having read the list."""
        self._platform = platform
        self._members = members
        self._links = links
        self._seeds = seeds
        self._random = random
        self._first_dials = first_dials
        self._has_read_list = False
        self._listed_count = 0
        self._is_listed = False
        self._delay_seconds = 0.0

    async def run(self) -> None:
        """Keep this node listed and keep dialling unknown nodes.

        Nodes that start at the same time may form separate clusters that do
        not know each other; the list shows the nodes a cluster lacks.
        """
        attempts = 0
        while True:
            attempts += 1
            await asyncio.sleep(self._delay_seconds)
            self._delay_seconds = 0.0
            if not self._is_listed:
                self._is_listed = await self._write_entry()
            await self._dial_listed()
            is_settled = self._is_listed and attempts > FAST_JOIN_ATTEMPTS
            await asyncio.sleep(
                LIST_CHECK_SECONDS if is_settled else JOIN_INTERVAL_SECONDS
            )

    def schedule_rewrite(self, _change: EraChange) -> None:
        """Schedule a write of this node's entry, as a copy may lack it."""
        self._is_listed = False
        self._delay_seconds = self._random.uniform(0, REWRITE_SPREAD_SECONDS)

    async def withdraw(self, seconds: float) -> None:
        """Remove this node from the list, within a time limit.

        Without the limit, an unresponsive platform keeps a node that has
        finished its work from exiting until the process is killed.  A stale
        entry only costs other nodes a dial, and the next run overwrites it.

        Parameters
        ----------
        seconds
            Time limit, in seconds.
        """
        withdrawing = self._platform.delete(
            Kind.PRESENCE, self._members.own.node
        )
        try:
            await asyncio.wait_for(withdrawing, seconds)
        except TimeoutError:
            log_warning('not_withdrawn', node=self._members.own.node)

    def count_nodes(self) -> int:
        """Return the number of nodes that share budgets, even if unreached.

        It is 0 until the list has been read or another node is known.
        """
        known = len(self._members.records)
        return max(self._listed_count, known if known > 1 else 0)

    def get_contacts(self) -> PeerContacts:
        """Return the progress of this node in contacting the others."""
        return PeerContacts(
            self._has_read_list,
            self._links.count_pending_dials(),
            frozenset(self._links.list_peers()),
        )

    def count_reachable_nodes(self) -> int:
        """Return the number of live nodes within reach, including this one."""
        return self._members.count_live() if self._links.list_peers() else 1

    async def _dial_listed(self) -> None:
        """Read the list if due and dial nodes on it."""
        if not self._has_read_list:
            self._dial_first(await self._find_unknown())
        elif self._may_read_list():
            self._dial_some(await self._find_unknown())

    def _is_linked(self, record: NodeRecord) -> bool:
        """Return whether a node is this one or has a stream to it."""
        if record.node == self._members.own_name:
            return True
        return record.node in self._links.list_peers()

    def _may_read_list(self) -> bool:
        """Return whether this node reads the list now.

        Of the nodes that are listed and have peers, only a few read it at a
        time: one read finds the nodes unknown to all nodes that know each
        other.
        With 195 nodes and pages of 50 objects, a read by each node every 5 s
        made up 16 of 96 calls per second to the platform.
        """
        if not self._is_listed or not self._links.list_peers():
            return True
        live = self._members.count_live()
        return may_dial(live, self._random.random())

    def _dial_some(self, unknown: list[Address]) -> None:
        """Dial some of the unknown nodes."""
        live = self.count_reachable_nodes()
        for address in self._sample(unknown, JOIN_DIALS):
            if may_dial(live, self._random.random()):
                self._links.dial(address.host, address.port)

    def _dial_first(self, others: list[Address]) -> None:
        """Dial nodes that may have later routes."""
        for address in self._sample(others, self._first_dials):
            self._links.dial(address.host, address.port)

    def _sample(self, addresses: list[Address], most: int) -> list[Address]:
        return self._random.sample(addresses, min(most, len(addresses)))

    async def _write_entry(self) -> bool:
        """Write this node's entry to the store; return whether it is there."""
        own = self._members.own
        read = await self._platform.fetch(Kind.PRESENCE, own.node)
        if isinstance(read, Failure):
            return False
        stored = read.unwrap()
        body = {'host': own.host, 'peer_port': own.peer_port}
        if stored is not None and stored.body == body:
            return True
        version = stored.version if stored else 0
        written = await self._platform.write(
            Kind.PRESENCE, own.node, body, version
        )
        if isinstance(written, Failure):
            log_warning('not_listed', fault=written.failure().value)
            return False
        return True

    async def _find_unknown(self) -> list[Address]:
        """Return the addresses of unknown nodes.

        Nodes that are known and lost are dialled by ``Gossip``.  At the first
        read, nodes without a stream count as unknown too, as nothing may have
        been received from them.
        """
        known = {
            Address(record.host, record.peer_port)
            for record in self._members.records
            if self._has_read_list or self._is_linked(record)
        }
        found = {parse_address(seed) for seed in self._seeds}
        if self._links.list_peers():
            # Seeds may be outdated; they only serve to reach the first peer.
            found.clear()
        listing = await self._platform.fetch_all(Kind.PRESENCE, False)
        if not isinstance(listing, Failure):
            self._has_read_list = True
            objects = listing.unwrap().objects
            # A former run's delayed delete may remove this run's entry.
            self._is_listed = self._members.own.node in {
                stored.name for stored in objects
            }
            self._listed_count = max(self._listed_count, len(objects))
            found.update(_list_addresses(objects))
        return sorted(found - known, key=str)


def _list_addresses(objects: Iterable[Stored]) -> Iterator[Address]:
    """Return the addresses of the listed nodes; skip malformed entries."""
    for stored in objects:
        entry = decode_body(stored, _PresenceEntry)
        if entry is not None:
            yield Address(entry.host, entry.peer_port)
