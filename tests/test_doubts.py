"""The word that nothing comes from a replica."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from unittest.mock import AsyncMock

from tests.boxes import make_box
from tests.held_clock import HeldClock
from tests.loops import in_loop
from waywell.connection.peer import ReplicaAlive, ReplicaSuspected
from waywell.health.doubts import (
    LISTEN_LOOKS,
    LISTEN_SECONDS,
    REPEAT_SECONDS,
    DoubtListeners,
    Doubts,
)
from waywell.ids import Epoch, GroupId, NodeId
from waywell.membership.links import PeerLinks
from waywell.request.replica_book import LONGEST_REST, ReplicaBook
from waywell.version.fleet import Replica, ReplicaKey

BOX = make_box('a')
REPLICA = Replica(ReplicaKey(BOX.box, Epoch(7)), BOX, group=GroupId('g.7'))


class _Links:
    def __init__(self) -> None:
        self.spread_to: list[NodeId | None] = []
        self.words: list[object] = []

    def subscribe(self, *_words: object) -> None:
        """Take no subscriber."""

    def spread(self, word: object, skip: NodeId | None = None) -> None:
        self.words.append(word)
        self.spread_to.append(skip)

    def pass_on(self, word: object, source: NodeId) -> None:
        self.words.append(word)
        self.spread_to.append(source)


class Bench:
    """A task with links that only count."""

    def __init__(self, are_links_sound: bool = True) -> None:
        self.clock = HeldClock()
        self.links = _Links()
        self.book = ReplicaBook()
        self.told: list[GroupId] = []
        self.heard: list[GroupId] = []
        self.due: list[tuple[float, Callable[[], None]]] = []
        self.doubts = Doubts(
            self.links,
            self.book,
            self.clock,
            DoubtListeners(self.told.append, self.heard.append),
            lambda seconds, act: self.due.append(
                (self.clock.now + seconds, act)
            ),
            AsyncMock(return_value=are_links_sound),
        )

    def pass_time(self, seconds: float) -> None:
        """Let the clock pass, and do what falls due."""
        self.clock.now += seconds
        due = [act for at, act in self.due if at <= self.clock.now]
        self.due = [one for one in self.due if one[0] > self.clock.now]
        for act in due:
            act()

    def receive(self, doubt: str, node: str = 'n2') -> None:
        word = ReplicaSuspected(doubt, REPLICA.group, BOX.box, Epoch(7))
        self.doubts.on_received(PeerLinks.Received(NodeId(node), word))


def test_many_words_about_one_replica_are_passed_on_once() -> None:
    bench = Bench()
    for number in range(2000):
        bench.receive(f'd{number}', f'n{number % 9}')
    bench.doubts.raise_doubt(REPLICA)
    assert len(bench.links.spread_to) == 1
    assert bench.told == [REPLICA.group]
    assert bench.book.get(REPLICA.key).streak == 1


def test_a_word_is_said_again_when_the_replica_stays_silent() -> None:
    bench = Bench()
    bench.doubts.raise_doubt(REPLICA)
    bench.clock.now += REPEAT_SECONDS * 1.1
    bench.receive('d1')
    assert len(bench.links.spread_to) == 2


def test_a_word_is_not_believed_while_something_comes() -> None:
    bench = Bench()
    bench.book.note_heard(REPLICA.key, bench.clock.now)
    bench.receive('d1')
    assert bench.book.get(REPLICA.key).rests_until == 0


def test_any_number_of_failures_is_counted() -> None:
    book = ReplicaBook()
    for _failure in range(5000):
        book.note_failure(REPLICA.key, 1.0)
    assert book.get(REPLICA.key).rests_until == 1.0 + LONGEST_REST


def test_a_doubt_is_taken_back_once_the_replica_goes_on() -> None:
    """Load: long prompts beside short answers at groups of sixteen boxes.

    Symptom: of five sound groups one to three got nothing new at any time.

    Sequence: a group reads a long prompt, and all its streams pause for a
    moment; a node doubts it, and every other node lets it rest for a second.
    Cause: nobody said that it went on.
    """
    bench = Bench()
    bench.receive('d1')
    assert bench.book.get(REPLICA.key).rests_until > bench.clock.now
    bench.pass_time(LISTEN_SECONDS / 2)
    bench.book.note_event(REPLICA.key, bench.clock.now)
    bench.book.get(REPLICA.key).rests_until = bench.clock.now + 1.0
    bench.pass_time(LISTEN_SECONDS)
    assert bench.book.get(REPLICA.key).rests_until == 0
    assert bench.heard == [REPLICA.group]
    assert isinstance(bench.links.words[-1], ReplicaAlive)


def test_another_nodes_word_that_it_goes_on_ends_the_rest_here() -> None:
    bench = Bench()
    bench.receive('d1')
    word = ReplicaAlive(REPLICA.group, BOX.box, Epoch(7))
    for node in ('n2', 'n3'):
        bench.doubts.on_received(PeerLinks.Received(NodeId(node), word))
    assert bench.book.get(REPLICA.key).rests_until == 0
    assert bench.heard == [REPLICA.group]


def test_a_replica_that_stays_silent_is_not_taken_back() -> None:
    """Nor by a request that is only sent to it."""
    bench = Bench()
    bench.doubts.raise_doubt(REPLICA)
    bench.book.get(REPLICA.key).heard_at = bench.clock.now + 0.1
    for _look in range(LISTEN_LOOKS + 2):
        bench.pass_time(LISTEN_SECONDS)
    assert not bench.heard
    assert not bench.due


def test_a_doubt_after_it_was_taken_back_counts_again() -> None:
    bench = Bench()
    bench.doubts.raise_doubt(REPLICA)
    word = ReplicaAlive(REPLICA.group, BOX.box, Epoch(7))
    bench.doubts.on_received(PeerLinks.Received(NodeId('n2'), word))
    bench.pass_time(REPEAT_SECONDS * 1.1)
    bench.receive('d2')
    assert bench.told == [REPLICA.group, REPLICA.group]
    bench.doubts.on_received(PeerLinks.Received(NodeId('n2'), word))
    assert bench.heard == [REPLICA.group, REPLICA.group]


@in_loop
async def test_silence_behind_lost_links_raises_no_doubt() -> None:
    for is_sound in (False, True):
        bench = Bench(is_sound)
        bench.doubts.note_silence(REPLICA)
        bench.doubts.note_silence(REPLICA)
        for _turn in range(5):
            await asyncio.sleep(0)
        assert len(bench.links.words) == int(is_sound)
        assert len(bench.told) == int(is_sound)
