"""The duty of a data hall: watch the platform for its entry boxes.

The holder watches the configuration, so that a few watches wait at the
platform however many entry boxes there are, and keeps the hall's
presence object, by which new entry boxes find the others.
"""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

import msgspec
from returns.result import Failure

from waywell.connection.platform import ANY_VERSION, Kind
from waywell.duties.duty import Duty
from waywell.ids import NodeId
from waywell.membership.gossip import Gossip
from waywell.membership.membership import NodeState
from waywell.process.actor import Message
from waywell.process.store import DocumentStore
from waywell.version.document import Document, DocumentKind

if TYPE_CHECKING:
    from waywell.connection.platform import Platform, Stored
    from waywell.membership.membership import NodeRecord
    from waywell.process.clock import Clock
    from waywell.process.documents import Documents
    from waywell.telemetry.timing import TimingSettings

WATCH_SECONDS = 20.0
"""Seconds for which one watch waits."""

FAILED_WAIT = 1.0
"""Seconds until a failed call is tried again."""

MEET_SECONDS = 3.0
"""Seconds between two looks for entry boxes of another part."""

PRESENCE_SECONDS = 1.0
"""Seconds between two looks at whether the presence object is old."""


class HallDuty(Duty):
    """Watches the configuration and keeps the presence of one hall.

    Parameters
    ----------
    documents
        Where stored versions are offered.
    timing
        Periods and bounds.
    """

    class PresenceTick(Message, frozen=True):
        """A look at the presence object is due."""

    class MeetTick(Message, frozen=True):
        """A look for entry boxes that this one doesn't know is due."""

    class RecheckTick(Message, frozen=True):
        """A read that repairs what a watch missed is due."""

    def __init__(
        self,
        platform: Platform,
        gossip: Gossip,
        clock: Clock,
        documents: Documents,
        timing: TimingSettings,
    ) -> None:
        """Start without the lease."""
        self._recheck = timing.recheck
        self._hall = gossip.table.own.hall
        name = f'hall-{self._hall}'
        super().__init__(name, platform, gossip, clock, timing.lease)
        self._documents = documents
        self._random = Random(gossip.table.own.incarnation)
        self._stores = {
            kind: DocumentStore(kind, platform) for kind in DocumentKind
        }
        self._written: list[dict[str, object]] = []

    def start(self) -> None:
        """Begin to look at the lease, and to watch when it is held."""
        super().start()
        self.repeat(PRESENCE_SECONDS, self.PresenceTick())
        self.repeat(MEET_SECONDS, self.MeetTick())
        self.repeat(self._recheck, self.RecheckTick())
        self.spawn(self._watch_on())

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
        present = self._list_present()
        if present == self._written:
            return
        answer = await self.platform.write(
            Kind.PRESENCE,
            self._hall,
            present,
            ANY_VERSION,
        )
        if not isinstance(answer, Failure):
            self._written = present

    async def on_meet_tick(self, _tick: MeetTick) -> None:
        """Call a listed entry box that this one doesn't know.

        Entry boxes that started apart know only those of their part, and
        have no reason of their own to look for more.
        """
        if not self.is_held():
            return
        answer = await self.platform.fetch_all(Kind.PRESENCE)
        if isinstance(answer, Failure):
            return
        strangers = [
            listed
            for stored in answer.unwrap().objects
            for listed in stored.body
            if self._is_strange(NodeId(listed['node']))
        ]
        if strangers:
            # Each call makes two parts one, so one at a time is enough.
            listed = self._random.choice(strangers)
            self.gossip.dial(listed['host'], listed['peer_port'])

    async def on_recheck_tick(self, _tick: RecheckTick) -> None:
        """Read both documents: a watch may have missed a change."""
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
        """Read what is stored as soon as the lease is held."""
        self._written = []
        await self.on_recheck_tick(self.RecheckTick())

    def _is_strange(self, node: NodeId) -> bool:
        record = self.gossip.table.find(node)
        return record is None or record.state is NodeState.LOST

    async def _restore(
        self,
        kind: DocumentKind,
        stored: Document,
        version: int,
    ) -> None:
        """Write back what is in force over an older stored version."""
        current = self._documents.get_current(kind)
        if current.number > stored.number:
            await self._stores[kind].write(current, version)

    async def _watch_on(self) -> None:
        revision = 0
        while True:
            if not self.is_held():
                await asyncio.sleep(FAILED_WAIT)
                continue
            answer = await self.platform.watch(
                (Kind.CONFIGURATION, Kind.ROSTER),
                revision,
                WATCH_SECONDS,
            )
            if isinstance(answer, Failure):
                await asyncio.sleep(FAILED_WAIT)
                continue
            self.gossip.post(Gossip.PlatformReached())
            changes = answer.unwrap()
            revision = changes.revision
            for stored in changes.objects:
                self._adopt_stored(stored)

    def _adopt_stored(self, stored: Stored) -> None:
        if stored.body is not None:
            self._documents.adopt(
                DocumentKind(stored.kind),
                msgspec.convert(stored.body, Document),
            )

    def _list_present(self) -> list[dict[str, object]]:
        """Return where the hall's nodes are, without what changes often."""
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
