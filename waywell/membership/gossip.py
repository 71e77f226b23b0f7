"""The task that keeps the membership view and the streams it needs."""

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
    may_call,
)
from waywell.process.actor import Actor, Message
from waywell.telemetry.events import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from waywell.ids import NodeId
    from waywell.process.clock import Clock
    from waywell.telemetry.timing import TimingSettings

FLUSH_SECONDS = 0.1
"""Seconds for which news gathers before it is passed on."""

MOST_REJOINS = 2
"""Lost nodes that are tried again at each attempt."""

REJOIN_BEATS = 5
"""Beats between two attempts to reach lost nodes."""

DIGEST_BEATS = 3
"""Beats with different digests in a row before all records are sent."""


class Numbers(msgspec.Struct, frozen=True):
    """Versions in force at this node."""

    configuration: int = 0
    """Of the configuration."""

    roster: int = 0
    """Of the roster."""


class Gossip(Actor):
    """Owns the membership view.

    Parameters
    ----------
    table
        View, with this node in it.
    links
        Streams to other nodes.
    clock
        Where the time is read.
    timing
        Periods and bounds.
    """

    class Tick(Message, frozen=True):
        """A beat is due."""

    class Flush(Message, frozen=True):
        """News that has gathered is due to be passed on."""

    class Advance(Message, frozen=True):
        """This node has a new version in force, or is leaving."""

        state: NodeState | None = None
        """New state."""

        numbers: Numbers | None = None
        """New versions."""

        lost_services: tuple[ServiceName, ...] | None = None
        """Services whose replicas this node does not reach."""

    class Reached(Message, frozen=True):
        """This node has reached the platform."""

    def __init__(
        self,
        table: MembershipTable,
        links: PeerLinks,
        clock: Clock,
        timing: TimingSettings,
    ) -> None:
        """Start with the view as it is."""
        super().__init__('gossip')
        self.table = table
        self.numbers = Numbers()
        self._links = links
        self._clock = clock
        self._timing = timing
        self._random = Random(table.own.incarnation)
        self._heard_at: dict[NodeId, float] = {}
        self._differs: dict[NodeId, int] = {}
        self._beats = 0
        self._reached_at = -math.inf
        self._pending: dict[NodeId, tuple[NodeRecord, NodeId | None]] = {}
        self._watchers: list[Callable[[NodeRecord], None]] = []
        self._kept: dict[str, tuple[NodeRecord, ...]] = {}
        links.subscribe(
            self,
            PeerLinks.Opened,
            PeerLinks.Unreachable,
            Heartbeat,
            MembershipRecords,
        )

    def watch_changes(self, watcher: Callable[[NodeRecord], None]) -> None:
        """Call a watcher with each record that changes."""
        self._watchers.append(watcher)

    def keep_streams(
        self,
        user: str,
        records: tuple[NodeRecord, ...],
    ) -> None:
        """Keep streams to some nodes that need not be neighbours.

        Parameters
        ----------
        user
            Task that needs them, in place of those that it needed before.
        records
            The nodes.
        """
        if records != self._kept.get(user, ()):
            self._kept[user] = records
            self._dial_neighbours(self._clock.read())

    def get_platform_age(self, now: float) -> float:
        """Return seconds since any node is known to have reached it."""
        return now - self._reached_at

    def on_tick(self, _tick: Tick) -> None:
        """Send a beat, look for silent neighbours, mend streams."""
        now = self._clock.read()
        self._beats += 1
        self._report(self.table.tick(now))
        self._send_beat(now)
        self._suspect_silent(now)
        self._dial_neighbours(now)
        if self._beats % REJOIN_BEATS == 0:
            self._dial_lost()

    def on_flush(self, _flush: Flush) -> None:
        """Pass on what has changed, a message a neighbour.

        All nodes tell of a new version within moments, so news that
        gathers for a moment costs a small part of the messages.
        """
        pending = tuple(self._pending.values())
        self._pending.clear()
        for peer in self._links.list_peers() if pending else ():
            news = tuple(
                record for record, source in pending if source != peer
            )
            if news:
                self._links.send(peer, MembershipRecords(news))

    def on_advance(self, advance: Advance) -> None:
        """Spread this node's own change."""
        numbers = advance.numbers or self.numbers
        self.numbers = numbers
        record = self.table.change_own(
            advance.state,
            numbers.configuration,
            numbers.roster,
            advance.lost_services,
        )
        self._report([record])

    def on_reached(self, _reached: Reached) -> None:
        """Note that the platform was reached."""
        self._reached_at = self._clock.read()

    def on_opened(self, opened: PeerLinks.Opened) -> None:
        """Tell a new neighbour all that is known."""
        now = self._clock.read()
        record = opened.record
        self._heard_at[record.node] = now
        self._merge([record], record.node)
        self._links.send(
            record.node,
            MembershipRecords(self.table.records, is_complete=True),
        )

    def on_unreachable(self, unreachable: PeerLinks.Unreachable) -> None:
        """Suspect a neighbour whose stream broke and can't be dialled."""
        node = unreachable.node
        if node in self._links.list_peers():
            return
        if self._heard_at.pop(node, None) is not None:
            # The first loss of a stream: dial again before a suspicion.
            self._dial_neighbours(self._clock.read())
            return
        self._suspect(node)

    def on_received(self, received: PeerLinks.Received) -> None:
        """Take in a beat or records."""
        message = received.message
        if isinstance(message, MembershipRecords):
            self._merge(message.records, received.node)
            if message.is_complete:
                self._send_missing(received.node, message.records)
            return
        self._take_beat(received.node, message)

    def call(self, host: str, peer_port: int) -> None:
        """Open a stream to an entry box that is not in the view."""
        self._links.dial(host, peer_port)

    def dump(self) -> dict[str, object]:
        """Return the view as plain values."""
        return {
            'nodes': [
                msgspec.structs.asdict(record) for record in self.table.records
            ],
            'neighbours': sorted(
                record.node for record in self.table.list_neighbours()
            ),
        }

    def _take_beat(self, node: NodeId, beat: Heartbeat) -> None:
        now = self._clock.read()
        self._heard_at[node] = now
        self._reached_at = max(self._reached_at, now - beat.platform_age)
        if beat.digest == self.table.digest:
            self._differs.pop(node, None)
            return
        count = self._differs.get(node, 0) + 1
        self._differs[node] = count % DIGEST_BEATS
        if count >= DIGEST_BEATS:
            whole = MembershipRecords(self.table.records, is_complete=True)
            self._links.send(node, whole)

    def _send_beat(self, now: float) -> None:
        beat = Heartbeat(
            self.numbers.configuration,
            self.numbers.roster,
            self.table.digest,
            round(now - self._reached_at, 1),
        )
        self._links.spread(beat)

    def _suspect_silent(self, now: float) -> None:
        for node in self._links.list_dialled():
            heard_at = self._heard_at.setdefault(node, now)
            if now - heard_at >= self._timing.silence:
                # A stream may be silent for good while a new one works.
                self._links.drop(node)
                self._suspect(node)

    def _suspect(self, node: NodeId) -> None:
        record = self.table.suspect(node, self._clock.read())
        if record is not None:
            log_event('node_suspected', node=node)
            self._report([record])

    def _dial_neighbours(self, now: float) -> None:
        wanted = set()
        kept = chain.from_iterable(self._kept.values())
        for record in (*self.table.list_neighbours(), *kept):
            address = (record.host, record.peer_port)
            wanted.add(address)
            self._links.dial(*address, record.node)
        if self._beats % REJOIN_BEATS == 0:
            self._links.keep_dialled(wanted)

    def _dial_lost(self) -> None:
        lost = self.table.list_lost()
        count = min(MOST_REJOINS, len(lost))
        live = self.table.count_live()
        for record in self._random.sample(lost, count):
            if not may_call(live, self._random.random()):
                continue
            self._links.dial(record.host, record.peer_port, record.node)

    def _merge(
        self,
        records: list[NodeRecord] | tuple[NodeRecord, ...],
        source: NodeId,
    ) -> None:
        now = self._clock.read()
        merged = [self.table.merge(record, now) for record in records]
        news = [record for record in merged if record is not None]
        # An answer about this node itself goes to the source as well.
        own = any(record.node == self.table.own_name for record in news)
        self._report(news, None if own else source)

    def _send_missing(
        self,
        node: NodeId,
        theirs: tuple[NodeRecord, ...],
    ) -> None:
        known = {record.node: record.rank for record in theirs}
        missing = tuple(
            record
            for record in self.table.records
            if known.get(record.node, (-1, 0, 0)) < record.rank
        )
        if missing:
            self._links.send(node, MembershipRecords(missing))

    def _report(
        self,
        news: list[NodeRecord],
        source: NodeId | None = None,
    ) -> None:
        """Pass news on and tell the other tasks of this node."""
        if not news:
            return
        if not self._pending:
            loop = asyncio.get_running_loop()
            loop.call_later(FLUSH_SECONDS, self.post, self.Flush())
        for record in news:
            self._pending[record.node] = (record, source)
            self._note_state(record)
            for watcher in self._watchers:
                watcher(record)

    def _note_state(self, record: NodeRecord) -> None:
        if record.state is NodeState.LOST:
            log_event('node_lost', node=record.node)
            self._links.drop(record.node)
            self._heard_at.pop(record.node, None)
