"""Actor that maintains the membership view and the streams to neighbours."""

from __future__ import annotations

import asyncio
import math
from itertools import chain
from random import Random
from typing import TYPE_CHECKING

import msgspec

from waywell.connection.peer import Heartbeat, MembershipRecords
from waywell.ids import ServiceName
from waywell.membership.links import PeerLinks
from waywell.membership.membership import (
    MembershipTable,
    NodeRecord,
    NodeState,
    may_dial,
)
from waywell.process.actor import Actor, Message
from waywell.telemetry.events import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from waywell.ids import NodeId
    from waywell.process.clock import Clock
    from waywell.telemetry.timing import TimingSettings

FLUSH_DELAY_SECONDS = 0.1
"""Seconds for which changed records are batched before they are sent."""

MAX_REJOINS = 2
"""Lost nodes that are dialled in one attempt to reach them."""

REJOIN_BEATS = 5
"""Beats between attempts to reach lost nodes and to close unwanted streams."""

MISMATCHED_BEATS = 3
"""Consecutive beats with another digest before all records are sent."""


class VersionNumbers(msgspec.Struct, frozen=True):
    """Version numbers in force at one node."""

    configuration: int = 0
    """Version of the configuration; 0 if none is in force."""

    roster: int = 0
    """Version of the roster; 0 if none is in force."""


class Gossip(Actor):
    """Owns the membership view and spreads changes of it by gossip.

    Parameters
    ----------
    table
        Membership view, which contains this node's record.
    links
        Streams to other nodes.
    clock
        Time source.
    timing
        Intervals and timeouts.
    """

    class Tick(Message, frozen=True):
        """A beat is due."""

    class Flush(Message, frozen=True):
        """Batched changes are due to be sent."""

    class OwnRecordChange(Message, frozen=True):
        """This node's own record changes; ``None`` keeps a value."""

        state: NodeState | None = None
        """New state of this node."""

        numbers: VersionNumbers | None = None
        """New version numbers in force at this node."""

        lost_services: tuple[ServiceName, ...] | None = None
        """Services whose replicas this node can't reach."""

    class PlatformReached(Message, frozen=True):
        """This node has reached the platform."""

    def __init__(
        self,
        table: MembershipTable,
        links: PeerLinks,
        clock: Clock,
        timing: TimingSettings,
    ) -> None:
        """Start with the given view."""
        super().__init__('gossip')
        self.table = table
        self.numbers = VersionNumbers()
        self._links = links
        self._clock = clock
        self._timing = timing
        self._random = Random(table.own.incarnation)
        self._received_at: dict[NodeId, float] = {}
        self._mismatches: dict[NodeId, int] = {}
        self._beats = 0
        self._reached_at = -math.inf
        self._pending: dict[NodeId, tuple[NodeRecord, NodeId | None]] = {}
        self._watchers: list[Callable[[NodeRecord], None]] = []
        self._extra_streams: dict[str, tuple[NodeRecord, ...]] = {}
        links.subscribe(
            self,
            PeerLinks.Opened,
            PeerLinks.Unreachable,
            Heartbeat,
            MembershipRecords,
        )

    def watch_changes(self, watcher: Callable[[NodeRecord], None]) -> None:
        """Call ``watcher`` with each record that changes."""
        self._watchers.append(watcher)

    def keep_streams(
        self,
        user: str,
        records: tuple[NodeRecord, ...],
    ) -> None:
        """Keep streams to nodes that need not be neighbours.

        Parameters
        ----------
        user
            Name of the actor that needs the streams.
        records
            Nodes to keep streams to; replaces the user's previous nodes.
        """
        if records != self._extra_streams.get(user, ()):
            self._extra_streams[user] = records
            self._dial_neighbours(self._clock.read())

    def get_platform_age(self, now: float) -> float:
        """Return the seconds since any node is known to have reached it."""
        return now - self._reached_at

    def on_tick(self, _tick: Tick) -> None:
        """Send a beat, suspect silent peers and dial missing streams."""
        now = self._clock.read()
        self._beats += 1
        self._publish_changes(self.table.tick(now))
        self._send_heartbeat(now)
        self._suspect_silent(now)
        self._dial_neighbours(now)
        if self._beats % REJOIN_BEATS == 0:
            self._dial_lost()

    def on_flush(self, _flush: Flush) -> None:
        """Send the batched changes, in one message per peer.

        All nodes announce a new version at almost the same time, so a short
        batch delay saves most of the messages.
        """
        pending = tuple(self._pending.values())
        self._pending.clear()
        for peer in self._links.list_peers() if pending else ():
            changes = tuple(
                record for record, source in pending if source != peer
            )
            if changes:
                self._links.send(peer, MembershipRecords(changes))

    def on_own_record_change(self, change: OwnRecordChange) -> None:
        """Update this node's record and spread it."""
        numbers = change.numbers or self.numbers
        self.numbers = numbers
        record = self.table.update_own(
            change.state,
            numbers.configuration,
            numbers.roster,
            change.lost_services,
        )
        self._publish_changes([record])

    def on_platform_reached(self, _reached: PlatformReached) -> None:
        """Record the time at which the platform was reached."""
        self._reached_at = self._clock.read()

    def on_opened(self, opened: PeerLinks.Opened) -> None:
        """Send all records to a new peer."""
        now = self._clock.read()
        record = opened.record
        self._received_at[record.node] = now
        self._merge([record], record.node)
        self._links.send(
            record.node,
            MembershipRecords(self.table.records, is_complete=True),
        )

    def on_unreachable(self, unreachable: PeerLinks.Unreachable) -> None:
        """Suspect a peer whose stream broke and can't be dialled again."""
        node = unreachable.node
        if node in self._links.list_peers():
            return
        if self._received_at.pop(node, None) is not None:
            # First loss of the stream: dial again before suspecting the peer.
            self._dial_neighbours(self._clock.read())
            return
        self._suspect(node)

    def on_received(self, received: PeerLinks.Received) -> None:
        """Process a beat or records from a peer."""
        message = received.message
        if isinstance(message, MembershipRecords):
            self._merge(message.records, received.node)
            if message.is_complete:
                self._send_missing(received.node, message.records)
            return
        self._process_heartbeat(received.node, message)

    def dial(self, host: str, peer_port: int) -> None:
        """Open a stream to an entry box that may be unknown."""
        self._links.dial(host, peer_port)

    def dump(self) -> dict[str, object]:
        """Return the membership view as plain values."""
        return {
            'nodes': [
                msgspec.structs.asdict(record) for record in self.table.records
            ],
            'neighbours': sorted(
                record.node for record in self.table.list_neighbours()
            ),
        }

    def _process_heartbeat(self, node: NodeId, heartbeat: Heartbeat) -> None:
        now = self._clock.read()
        self._received_at[node] = now
        self._reached_at = max(self._reached_at, now - heartbeat.platform_age)
        if heartbeat.digest == self.table.digest:
            self._mismatches.pop(node, None)
            return
        count = self._mismatches.get(node, 0) + 1
        self._mismatches[node] = count % MISMATCHED_BEATS
        if count >= MISMATCHED_BEATS:
            full_view = MembershipRecords(self.table.records, is_complete=True)
            self._links.send(node, full_view)

    def _send_heartbeat(self, now: float) -> None:
        heartbeat = Heartbeat(
            self.numbers.configuration,
            self.numbers.roster,
            self.table.digest,
            round(now - self._reached_at, 1),
        )
        self._links.broadcast(heartbeat)

    def _suspect_silent(self, now: float) -> None:
        for node in self._links.list_dialled():
            received_at = self._received_at.setdefault(node, now)
            if now - received_at >= self._timing.silence:
                # A stream may stay silent forever while a new one would work.
                self._links.disconnect(node)
                self._suspect(node)

    def _suspect(self, node: NodeId) -> None:
        record = self.table.suspect(node, self._clock.read())
        if record is not None:
            log_event('node_suspected', node=node)
            self._publish_changes([record])

    def _dial_neighbours(self, now: float) -> None:
        wanted = set()
        extra = chain.from_iterable(self._extra_streams.values())
        for record in (*self.table.list_neighbours(), *extra):
            address = (record.host, record.peer_port)
            wanted.add(address)
            self._links.dial(*address, record.node)
        if self._beats % REJOIN_BEATS == 0:
            self._links.close_dialled_except(wanted)

    def _dial_lost(self) -> None:
        lost = self.table.list_lost()
        count = min(MAX_REJOINS, len(lost))
        live = self.table.count_live()
        for record in self._random.sample(lost, count):
            if not may_dial(live, self._random.random()):
                continue
            self._links.dial(record.host, record.peer_port, record.node)

    def _merge(
        self,
        records: list[NodeRecord] | tuple[NodeRecord, ...],
        source: NodeId,
    ) -> None:
        now = self._clock.read()
        merged = [self.table.merge(record, now) for record in records]
        changes = [record for record in merged if record is not None]
        # A refutation about this node also goes back to the source.
        is_own = any(record.node == self.table.own_name for record in changes)
        self._publish_changes(changes, None if is_own else source)

    def _send_missing(
        self,
        node: NodeId,
        received: tuple[NodeRecord, ...],
    ) -> None:
        ranks = {record.node: record.rank for record in received}
        missing = tuple(
            record
            for record in self.table.records
            if ranks.get(record.node, (-1, 0, 0)) < record.rank
        )
        if missing:
            self._links.send(node, MembershipRecords(missing))

    def _publish_changes(
        self,
        changes: list[NodeRecord],
        source: NodeId | None = None,
    ) -> None:
        """Queue changed records for sending and notify the watchers."""
        if not changes:
            return
        if not self._pending:
            loop = asyncio.get_running_loop()
            loop.call_later(FLUSH_DELAY_SECONDS, self.post, self.Flush())
        for record in changes:
            self._pending[record.node] = (record, source)
            self._disconnect_if_lost(record)
            for watcher in self._watchers:
                watcher(record)

    def _disconnect_if_lost(self, record: NodeRecord) -> None:
        if record.state is NodeState.LOST:
            log_event('node_lost', node=record.node)
            self._links.disconnect(record.node)
            self._received_at.pop(record.node, None)
