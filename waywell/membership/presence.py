"""How an entry box is found by others, and finds those it does not know."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs
import msgspec
from returns.result import Failure

from waywell.connection.platform import Kind
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
"""Seconds between two attempts to find other entry boxes."""

JOIN_DIALS = 2
"""Entry boxes that a new one calls at each attempt."""

FIRST_DIALS = 8
"""Entry boxes that one which has started calls at its first look, to compare
its routes with theirs; each is expected to be called by as many."""

FAST_JOIN_ATTEMPTS = 8
"""Looks in quick order after the start, while all others may start as well."""

REWRITE_SPREAD_SECONDS = 2.0
"""Seconds over which nodes spread their writes after the store's return."""

LIST_CHECK_SECONDS = 5.0
"""Seconds between two looks for entry boxes that this one does not know."""


class _Listed(msgspec.Struct):
    """What a node writes of itself."""

    host: str
    peer_port: int


@attrs.frozen
class PeerContacts:
    """How far a node has reached the others."""

    has_read_list: bool
    """Whether the platform's list was read, and nodes on it were called."""

    pending_dials: int
    """Calls that have neither failed nor been answered."""

    peers: frozenset[NodeId]
    """Nodes with a stream to this one."""


class Presence:
    """Lists this node in the platform and calls the others listed there.

    Parameters
    ----------
    platform
        The platform.
    members
        Entry boxes that this one knows.
    links
        Streams to other entry boxes.
    seeds
        Peer addresses, ``IP:PORT``, to find the first entry box by.
    random
        Draws the entry boxes that are called.
    first_dials
        Entry boxes that are called at the first look.
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
        """Know of no other entry box."""
        self._platform = platform
        self._members = members
        self._links = links
        self._seeds = seeds
        self._random = random
        self._first_dials = first_dials
        self._has_looked = False
        self._listed_nodes = 0
        self._is_listed = False
        self._wait_seconds = 0.0

    async def run(self) -> None:
        """Be found by others, and go on looking for those not known.

        Nodes that start at one moment may meet in parts that know nothing of
        each other; the list in the platform shows whom a part lacks.
        """
        looks = 0
        while True:
            looks += 1
            await asyncio.sleep(self._wait_seconds)
            self._wait_seconds = 0.0
            if not self._is_listed:
                self._is_listed = await self._list_self()
            await self._look()
            is_settled = self._is_listed and looks > FAST_JOIN_ATTEMPTS
            await asyncio.sleep(
                LIST_CHECK_SECONDS if is_settled else JOIN_INTERVAL_SECONDS
            )

    def schedule_rewrite(self, _change: EraChange) -> None:
        """Write this node again, as a copy of the store may lack it."""
        self._is_listed = False
        self._wait_seconds = self._random.uniform(0, REWRITE_SPREAD_SECONDS)

    async def withdraw(self, seconds: float) -> None:
        """Take this node off the platform's list, if that is done in time.

        A platform that is silent kept a node whose work had ended until the
        process was ended by force.  An entry that is left only costs others a
        call; the next run of the node writes over it.
        """
        withdrawing = self._platform.delete(
            Kind.PRESENCE, self._members.own.node
        )
        try:
            await asyncio.wait_for(withdrawing, seconds)
        except TimeoutError:
            log_warning('not_withdrawn', node=self._members.own.node)

    def count_nodes(self) -> int:
        """Return the entry boxes that share budgets, also unheard ones.

        It is 0 until the platform or another entry box has told.
        """
        known = len(self._members.records)
        return max(self._listed_nodes, known if known > 1 else 0)

    def get_contacts(self) -> PeerContacts:
        """Return how far this node has reached the others."""
        return PeerContacts(
            self._has_looked,
            self._links.count_pending_dials(),
            frozenset(self._links.list_peers()),
        )

    def count_reachable_nodes(self) -> int:
        """Return the nodes that this one hears from, itself counted."""
        return self._members.count_live() if self._links.list_peers() else 1

    async def _look(self) -> None:
        """Call entry boxes on the platform's list, where it is time to."""
        if not self._has_looked:
            self._call_first(await self._find_strangers())
        elif self._may_look():
            self._call(await self._find_strangers())

    def _is_linked(self, record: NodeRecord) -> bool:
        """Answer whether a node is this one or has a stream to it."""
        if record.node == self._members.own_name:
            return True
        return record.node in self._links.list_peers()

    def _may_look(self) -> bool:
        """Answer whether this node looks at the platform's list now.

        One that is listed and has peers is one of the few that look: each
        look finds those that the node and all whom it knows lack.  At 195
        nodes and pages of 50 objects, each node's look each 5 s was 16 of 96
        calls a second (worked out from the calls of one day).
        """
        if not self._is_listed or not self._links.list_peers():
            return True
        live = self._members.count_live()
        return may_dial(live, self._random.random())

    def _call(self, strangers: list[Address]) -> None:
        """Call some of the entry boxes that are not known."""
        live = self.count_reachable_nodes()
        for address in self._draw(strangers, JOIN_DIALS):
            if may_dial(live, self._random.random()):
                self._links.dial(address.host, address.port)

    def _call_first(self, others: list[Address]) -> None:
        """Call entry boxes that may know of later routes."""
        for address in self._draw(others, self._first_dials):
            self._links.dial(address.host, address.port)

    def _draw(self, addresses: list[Address], most: int) -> list[Address]:
        return self._random.sample(addresses, min(most, len(addresses)))

    async def _list_self(self) -> bool:
        """Write this node's address into the platform, once a run."""
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

    async def _find_strangers(self) -> list[Address]:
        """Return addresses of entry boxes that are not known at all.

        Those that are known and lost are called by the task that keeps the
        membership view.  At the first look those without a stream count as
        unknown, as nothing may have been heard from them.
        """
        known = {
            Address(record.host, record.peer_port)
            for record in self._members.records
            if self._has_looked or self._is_linked(record)
        }
        found = {parse_address(seed) for seed in self._seeds}
        if self._links.list_peers():
            # Seeds may be old; they only help to find the first peer.
            found.clear()
        listed = await self._platform.fetch_all(Kind.PRESENCE, False)
        if not isinstance(listed, Failure):
            self._has_looked = True
            objects = listed.unwrap().objects
            # A former run's word to remove this node may be carried out late.
            self._is_listed = self._members.own.node in {
                stored.name for stored in objects
            }
            self._listed_nodes = max(self._listed_nodes, len(objects))
            found.update(_list_addresses(objects))
        return sorted(found - known, key=str)


def _list_addresses(objects: Iterable[Stored]) -> Iterator[Address]:
    """Return the addresses that nodes have listed."""
    for stored in objects:
        try:
            listed = msgspec.convert(stored.body, _Listed)
        except msgspec.ValidationError as error:
            log_warning(
                'presence_unreadable', node=stored.name, error=str(error)
            )
            continue
        yield Address(listed.host, listed.peer_port)
