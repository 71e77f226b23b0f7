"""Doubts about silent replicas and their withdrawal."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from unittest.mock import AsyncMock

from tests.boxes import make_box
from tests.loops import in_loop
from tests.manual_clock import ManualClock
from waywell.connection.peer import ReplicaAlive, ReplicaSuspected
from waywell.health.doubts import (
    LISTEN_INTERVAL,
    MAX_LISTEN_CHECKS,
    REPEAT_INTERVAL,
    DoubtListeners,
    Doubts,
)
from waywell.ids import Epoch, GroupId, NodeId
from waywell.membership.links import PeerLinks
from waywell.request.replica_table import MAX_BACKOFF_SECONDS, ReplicaTable
from waywell.version.fleet import Replica, ReplicaKey

BOX = make_box('a')
REPLICA = Replica(ReplicaKey(BOX.box, Epoch(7)), BOX, group=GroupId('g.7'))


class _RecordingLinks:
    def __init__(self) -> None:
        self.skipped_nodes: list[NodeId | None] = []
        self.messages: list[object] = []

    def subscribe(self, *_kinds: object) -> None:
        """Ignore a subscription."""

    def broadcast(self, message: object, skip: NodeId | None = None) -> None:
        self.messages.append(message)
        self.skipped_nodes.append(skip)

    def forward(self, message: object, source: NodeId) -> None:
        self.messages.append(message)
        self.skipped_nodes.append(source)


class Bench:
    """The task with a simulated clock and recorded messages."""

    def __init__(self, are_links_sound: bool = True) -> None:
        self.clock = ManualClock()
        self.links = _RecordingLinks()
        self.replica_table = ReplicaTable()
        self.doubted: list[GroupId] = []
        self.resumed: list[GroupId] = []
        self.due: list[tuple[float, Callable[[], None]]] = []
        self.doubts = Doubts(
            self.links,
            self.replica_table,
            self.clock,
            DoubtListeners(self.doubted.append, self.resumed.append),
            lambda seconds, callback: self.due.append(
                (self.clock.now + seconds, callback)
            ),
            AsyncMock(return_value=are_links_sound),
        )

    def pass_time(self, seconds: float) -> None:
        """Advance the clock and run the calls that are due."""
        self.clock.now += seconds
        due = [callback for at, callback in self.due if at <= self.clock.now]
        self.due = [call for call in self.due if call[0] > self.clock.now]
        for callback in due:
            callback()

    def receive(self, doubt: str, node: str = 'n2') -> None:
        message = ReplicaSuspected(doubt, REPLICA.group, BOX.box, Epoch(7))
        self.doubts.on_received(PeerLinks.Received(NodeId(node), message))


def test_many_doubts_about_one_replica_are_forwarded_once() -> None:
    bench = Bench()
    for number in range(2000):
        bench.receive(f'd{number}', f'n{number % 9}')
    bench.doubts.raise_doubt(REPLICA)
    assert len(bench.links.skipped_nodes) == 1
    assert bench.doubted == [REPLICA.group]
    assert bench.replica_table.get(REPLICA.key).streak == 1


def test_a_doubt_is_repeated_when_the_replica_stays_silent() -> None:
    bench = Bench()
    bench.doubts.raise_doubt(REPLICA)
    bench.clock.now += REPEAT_INTERVAL * 1.1
    bench.receive('d1')
    assert len(bench.links.skipped_nodes) == 2


def test_a_doubt_is_ignored_while_the_replica_sends_output() -> None:
    bench = Bench()
    bench.replica_table.record_message(REPLICA.key, bench.clock.now)
    bench.receive('d1')
    assert bench.replica_table.get(REPLICA.key).backoff_until == 0


def test_any_number_of_failures_is_counted() -> None:
    replica_table = ReplicaTable()
    for _failure in range(5000):
        replica_table.record_failure(REPLICA.key, 1.0)
    assert (
        replica_table.get(REPLICA.key).backoff_until
        == 1.0 + MAX_BACKOFF_SECONDS
    )


def test_a_doubt_is_withdrawn_once_the_replica_sends_output() -> None:
    """Guards against healthy groups that rest because of long prompts.

    While a group processes a long prompt, all its streams pause.  One node
    doubts it, and every other node lets it rest for a second.  Without a
    withdrawal, one to three of five healthy groups of sixteen boxes got no new
    requests at any time under a load of long prompts beside short answers.
    """
    bench = Bench()
    bench.receive('d1')
    assert bench.replica_table.get(REPLICA.key).backoff_until > bench.clock.now
    bench.pass_time(LISTEN_INTERVAL / 2)
    bench.replica_table.record_event(REPLICA.key, bench.clock.now)
    bench.replica_table.get(REPLICA.key).backoff_until = bench.clock.now + 1.0
    bench.pass_time(LISTEN_INTERVAL)
    assert bench.replica_table.get(REPLICA.key).backoff_until == 0
    assert bench.resumed == [REPLICA.group]
    assert isinstance(bench.links.messages[-1], ReplicaAlive)


def test_a_withdrawal_of_another_node_ends_the_rest() -> None:
    bench = Bench()
    bench.receive('d1')
    message = ReplicaAlive(REPLICA.group, BOX.box, Epoch(7))
    for node in ('n2', 'n3'):
        bench.doubts.on_received(PeerLinks.Received(NodeId(node), message))
    assert bench.replica_table.get(REPLICA.key).backoff_until == 0
    assert bench.resumed == [REPLICA.group]


def test_a_doubt_about_a_silent_replica_is_not_withdrawn() -> None:
    """A request that is merely sent to the replica does not change that."""
    bench = Bench()
    bench.doubts.raise_doubt(REPLICA)
    bench.replica_table.get(REPLICA.key).heard_at = bench.clock.now + 0.1
    for _look in range(MAX_LISTEN_CHECKS + 2):
        bench.pass_time(LISTEN_INTERVAL)
    assert not bench.resumed
    assert not bench.due


def test_a_doubt_after_a_withdrawal_counts_again() -> None:
    bench = Bench()
    bench.doubts.raise_doubt(REPLICA)
    message = ReplicaAlive(REPLICA.group, BOX.box, Epoch(7))
    bench.doubts.on_received(PeerLinks.Received(NodeId('n2'), message))
    bench.pass_time(REPEAT_INTERVAL * 1.1)
    bench.receive('d2')
    assert bench.doubted == [REPLICA.group, REPLICA.group]
    bench.doubts.on_received(PeerLinks.Received(NodeId('n2'), message))
    assert bench.resumed == [REPLICA.group, REPLICA.group]


@in_loop
async def test_silence_behind_lost_links_raises_no_doubt() -> None:
    for is_sound in (False, True):
        bench = Bench(is_sound)
        bench.doubts.report_silence(REPLICA)
        bench.doubts.report_silence(REPLICA)
        for _turn in range(5):
            await asyncio.sleep(0)
        assert len(bench.links.messages) == int(is_sound)
        assert len(bench.doubted) == int(is_sound)
