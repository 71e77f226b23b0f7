"""The word that nothing comes from a replica."""

from __future__ import annotations

from tests.boxes import make_box
from tests.held_clock import HeldClock
from waywell.connection.peer import ReplicaDoubt
from waywell.ids import Epoch, GroupId, NodeId
from waywell.process.doubts import REPEAT_SECONDS, Doubts
from waywell.process.links import PeerLinks
from waywell.request.replica_book import LONGEST_REST, ReplicaBook
from waywell.version.fleet import Replica, ReplicaKey

BOX = make_box('a')
REPLICA = Replica(ReplicaKey(BOX.box, Epoch(7)), BOX, group=GroupId('g.7'))


class _Links:
    def __init__(self) -> None:
        self.spread_to: list[NodeId | None] = []

    def subscribe(self, *_words: object) -> None:
        """Take no subscriber."""

    def spread(self, _word: object, skip: NodeId | None = None) -> None:
        self.spread_to.append(skip)

    def pass_on(self, _word: object, source: NodeId) -> None:
        self.spread_to.append(source)


class Bench:
    """A task with links that only count."""

    def __init__(self) -> None:
        self.clock = HeldClock()
        self.links = _Links()
        self.book = ReplicaBook()
        self.told: list[GroupId] = []
        self.doubts = Doubts(
            self.links, self.book, self.clock, self.told.append
        )

    def receive(self, doubt: str, node: str = 'n2') -> None:
        word = ReplicaDoubt(doubt, REPLICA.group, BOX.box, Epoch(7))
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
