"""The duty of a data hall: watching the platform for its entry boxes.

The holder watches the configuration for the whole hall, so that the number of
watches at the platform doesn't grow with the number of entry boxes.  It also
maintains the hall's presence object, by which new entry boxes find the others.
"""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from returns.result import Failure

from waywell.connection.platform import ANY_VERSION, Kind
from waywell.connection.stored_body import decode_body
from waywell.duties.duty import Duty
from waywell.membership.gossip import Gossip
from waywell.membership.membership import NodeState
from waywell.process.actor import Message
from waywell.process.present_nodes import list_present_nodes
from waywell.process.store import DocumentStore
from waywell.version.document import Document, DocumentKind

if TYPE_CHECKING:
    from waywell.connection.platform import Platform, Stored
    from waywell.ids import NodeId
    from waywell.membership.membership import NodeRecord
    from waywell.process.clock import Clock
    from waywell.process.documents import Documents
    from waywell.telemetry.timing import TimingSettings

WATCH_SECONDS = 20.0
"""Seconds that a watch waits for a change."""

RETRY_SECONDS = 1.0
"""Seconds before a failed call is retried."""

DISCOVERY_SECONDS = 3.0
"""Period of the search for unknown entry boxes, in seconds."""

PRESENCE_SECONDS = 1.0
"""Period of checks whether the presence object is outdated, in seconds."""


class HallDuty(Duty):
    """Watches the documents and maintains the presence object of one hall.

    Parameters
    ----------
    platform
        Client of the platform's object API.
    gossip
        Membership, as exchanged with other entry boxes.
    clock
        Clock of the node.
    documents
        Documents in force, which adopt the stored versions.
    timing
        Terms and periods.
    """

    class PresenceTick(Message, frozen=True):
        """Starts a check of the presence object."""

    class DiscoveryTick(Message, frozen=True):
        """Starts a search for entry boxes that this one doesn't know."""

    class RecheckTick(Message, frozen=True):
        """Starts a read of whole documents, as a watch may miss a change."""

    def __init__(
        self,
        platform: Platform,
        gossip: Gossip,
        clock: Clock,
        documents: Documents,
        timing: TimingSettings,
    ) -> None:
        """Create the duty, which doesn't hold its lease yet."""
        self._recheck = timing.recheck
        self._hall = gossip.table.own.hall
        name = f'hall-{self._hall}'
        super().__init__(name, platform, gossip, clock, timing.lease)
        self._documents = documents
        self._random = Random(gossip.table.own.incarnation)
        self._stores = {
            kind: DocumentStore(kind, platform) for kind in DocumentKind
        }
        self._written_nodes: list[dict[str, object]] = []

    def start(self) -> None:
        """Start to check the lease, and to watch while it is held."""
        super().start()
        self.repeat(PRESENCE_SECONDS, self.PresenceTick())
        self.repeat(DISCOVERY_SECONDS, self.DiscoveryTick())
        self.repeat(self._recheck, self.RecheckTick())
        self.spawn(self._watch_documents())

    def list_eligible(self) -> list[NodeRecord]:
        """Return the live nodes of this hall."""
        return [
            record
            for record in self.gossip.table.list_live()
            if record.hall == self._hall
        ]

    async def on_presence_tick(self, _tick: PresenceTick) -> None:
        """Write the presence object when the hall's nodes changed."""
        if not self.is_held():
            return
        nodes = self._list_present_nodes()
        if nodes == self._written_nodes:
            return
        answer = await self.platform.write(
            Kind.PRESENCE,
            self._hall,
            nodes,
            ANY_VERSION,
        )
        if not isinstance(answer, Failure):
            self._written_nodes = nodes

    async def on_discovery_tick(self, _tick: DiscoveryTick) -> None:
        """Dial a listed entry box that this one doesn't know.

        Entry boxes that started in separate partitions know only their own
        partition, and nothing else makes them search for other nodes.
        """
        if not self.is_held():
            return
        answer = await self.platform.fetch_all(Kind.PRESENCE)
        if isinstance(answer, Failure):
            return
        unknown_nodes = [
            listed
            for listed in list_present_nodes(answer.unwrap().objects)
            if self._is_unknown(listed.node)
        ]
        if unknown_nodes:
            # One stream joins two partitions, so one call at a time is enough.
            listed = self._random.choice(unknown_nodes)
            self.gossip.dial(listed.host, listed.peer_port)

    async def on_recheck_tick(self, _tick: RecheckTick) -> None:
        """Read both documents, as a watch may have missed a change."""
        if not self.is_held():
            return
        for kind, store in self._stores.items():
            read = await store.read()
            if isinstance(read, Failure):
                return
            self.gossip.post(Gossip.PlatformReached())
            stored = read.unwrap()
            self._documents.adopt(kind, stored.document)
            await self._restore(kind, stored.document, stored.version)

    async def start_work(self) -> None:
        """Read the stored documents when the lease has been acquired."""
        self._written_nodes = []
        await self.on_recheck_tick(self.RecheckTick())

    def _is_unknown(self, node: NodeId) -> bool:
        record = self.gossip.table.find(node)
        return record is None or record.state is NodeState.LOST

    async def _restore(
        self,
        kind: DocumentKind,
        stored: Document,
        version: int,
    ) -> None:
        """Write the version in force back if the stored one is older."""
        current = self._documents.get_current(kind)
        if current.number > stored.number:
            await self._stores[kind].write(current, version)

    async def _watch_documents(self) -> None:
        revision = 0
        while True:
            if not self.is_held():
                await asyncio.sleep(RETRY_SECONDS)
                continue
            answer = await self.platform.watch(
                (Kind.CONFIGURATION, Kind.ROSTER),
                revision,
                WATCH_SECONDS,
            )
            if isinstance(answer, Failure):
                await asyncio.sleep(RETRY_SECONDS)
                continue
            self.gossip.post(Gossip.PlatformReached())
            changes = answer.unwrap()
            revision = changes.revision
            for stored in changes.objects:
                self._adopt_stored(stored)

    def _adopt_stored(self, stored: Stored) -> None:
        if stored.body is None:
            return
        document = decode_body(stored, Document)
        if document is not None:
            self._documents.adopt(DocumentKind(stored.kind), document)

    def _list_present_nodes(self) -> list[dict[str, object]]:
        """Return the peer addresses of the hall's present nodes.

        Fields of the membership records that change often are omitted.
        """
        return [
            {
                'node': record.node,
                'host': record.host,
                'peer_port': record.peer_port,
            }
            for record in sorted(
                self.gossip.table.records,
                key=lambda record: record.node,
            )
            if record.hall == self._hall and record.state <= NodeState.SUSPECT
        ]
