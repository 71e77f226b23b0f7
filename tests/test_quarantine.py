"""The task that finds requests which crash replicas, and tells all nodes."""

from __future__ import annotations

import asyncio
from typing import Any
from unittest.mock import Mock

import msgspec
import pytest

from tests.boxes import make_box
from tests.held_clock import HeldClock
from tests.lone_quarantine import LoneQuarantine
from tests.loops import in_loop
from waywell.codes import Code, Ran, Refusal
from waywell.connection.exchange import SendFault
from waywell.connection.peer import (
    FrontMessage,
    KnownCrashes,
    ReplicaEnded,
    RequestCleared,
    RequestHeld,
    SuspectRun,
)
from waywell.ids import (
    Epoch,
    Fingerprint,
    Incarnation,
    NodeId,
    PromptPart,
    Trait,
)
from waywell.membership.links import PeerLinks
from waywell.quarantine.crash_book import CRASHES_HELD, HOLD_SECONDS, Hold
from waywell.request.attempt import Attempt, Inbox
from waywell.request.traits import RequestTraits
from waywell.version.fleet import Replica, ReplicaKey

DEADLY = Fingerprint('deadly')
OTHER = Fingerprint('other')
DEADLY_REQUEST = RequestTraits(DEADLY)
OTHER_REQUEST = RequestTraits(OTHER)
PEER = NodeId('n2')


def make_replica(name: str) -> Replica:
    box = make_box(name)
    return Replica(ReplicaKey(box.box, Epoch(1), Incarnation(1)), box)


class Bench:
    """One node's task, or several whose words reach each other at once."""

    def __init__(self, nodes: int = 1) -> None:
        self.clock = HeldClock()
        self.nodes = [LoneQuarantine(self.clock) for _node in range(nodes)]
        self.node = self.nodes[0]

    async def end(
        self, name: str, *fingerprints: str, node: int = 0, end: bool = True
    ) -> None:
        """Let a replica end, or only break off what runs there."""
        requests = (RequestTraits(Fingerprint(one)) for one in fingerprints)
        await self.break_off(name, *requests, node=node, end=end)

    async def break_off(
        self,
        name: str,
        *requests: RequestTraits,
        node: int = 0,
        end: bool = True,
    ) -> None:
        """Let a replica end under requests, or only break them off."""
        witness = self.nodes[node]
        if end:
            witness.ended.add(name)
        for traits in requests:
            witness.note_broken(
                make_replica(name), traits, has_begun=False, is_over=False
            )
        for _turn in range(5):
            await asyncio.sleep(0)
        self.clock.now += 2.0

    def receive(self, word: Any) -> None:
        """Take a word over the wire, as of another node."""
        raw = msgspec.msgpack.encode(word)
        decoded = msgspec.msgpack.Decoder(FrontMessage).decode(raw)
        self.node.on_received(PeerLinks.Received(PEER, decoded))

    def carry_words(self) -> None:
        """Let the words of the other nodes reach the first one."""
        for node in self.nodes[1:]:
            for word in node.noted.spread_words:
                self.receive(word)
            node.noted.spread_words.clear()


@in_loop
async def test_nodes_that_saw_an_end_each_hold_the_request_back() -> None:
    bench = Bench(nodes=4)
    for number in (1, 2, 3):
        await bench.end(f'b{number}', 'deadly', f'x{number}', node=number)
    assert not bench.node.find_release(DEADLY_REQUEST, bench.clock.now)
    bench.carry_words()
    assert bench.node.find_release(DEADLY_REQUEST, bench.clock.now) > 0
    assert not bench.node.find_release(
        RequestTraits(Fingerprint('x1')), bench.clock.now
    )
    with pytest.raises(Refusal) as caught:
        bench.node.check(DEADLY_REQUEST, bench.clock.now)
    assert caught.value.code is Code.REQUEST_HELD_BACK
    assert caught.value.ran is Ran.NOT_RUN
    assert caught.value.retry_after == pytest.approx(HOLD_SECONDS, abs=10.0)


@in_loop
async def test_an_answer_that_breaks_at_a_replica_that_goes_on_is_no_end() -> (
    None
):
    bench = Bench()
    for number in range(9):
        await bench.end(f'b{number}', 'deadly', end=False)
    assert not bench.node.book.crashes
    assert not bench.node.noted.spread_words
    assert bench.node.may_send(DEADLY_REQUEST, 0, bench.clock.now)


@in_loop
async def test_words_are_passed_on_once() -> None:
    bench = Bench()
    word = ReplicaEnded(
        make_box('b').box,
        Epoch(1),
        Incarnation(1),
        0.1,
        (SuspectRun(DEADLY, False),),
    )
    for _repeat in range(5):
        bench.receive(word)
    held = RequestHeld(OTHER, CRASHES_HELD, 1.0)
    bench.receive(held)
    bench.receive(held)
    cleared = RequestCleared(OTHER)
    bench.receive(cleared)
    bench.receive(cleared)
    assert bench.node.noted.passed == [word, held, cleared]


@in_loop
async def test_a_new_stream_tells_what_is_known() -> None:
    bench = Bench(nodes=2)
    for number in (1, 2, 3):
        await bench.end(f'b{number}', 'deadly', node=1)
    knowing = bench.nodes[1]
    knowing.take_stored(OTHER, Hold(CRASHES_HELD, bench.clock.now))
    knowing.on_opened(PeerLinks.Opened(_Record()))
    ((node, word),) = knowing.noted.sent
    assert node == _Record.node
    assert isinstance(word, KnownCrashes)
    bench.receive(word)
    assert set(bench.node.book.held) == {DEADLY, OTHER}
    # What it knew already is passed on no further.
    passed = len(bench.node.noted.passed)
    bench.receive(word)
    assert len(bench.node.noted.passed) == passed


class _Record:
    node = NodeId('n9')


@in_loop
async def test_a_node_that_knows_nothing_says_nothing() -> None:
    bench = Bench()
    bench.node.on_opened(PeerLinks.Opened(_Record()))
    assert not bench.node.noted.sent


@in_loop
async def test_what_broke_a_moment_ago_counts_until_it_is_known() -> None:
    bench = Bench()
    await bench.end('b1', 'deadly')
    await bench.end('b2', 'deadly')
    assert bench.node.may_send(DEADLY_REQUEST, 0, bench.clock.now)
    # No second one beside it: that could be the fourth.
    assert not bench.node.may_send(DEADLY_REQUEST, 1, bench.clock.now)
    bench.node.note_broken(
        make_replica('b3'), DEADLY_REQUEST, has_begun=False, is_over=False
    )
    assert not bench.node.may_send(DEADLY_REQUEST, 0, bench.clock.now)
    assert bench.node.may_send(OTHER_REQUEST, 1, bench.clock.now)
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    # It was no end.
    assert bench.node.may_send(DEADLY_REQUEST, 0, bench.clock.now)


@in_loop
async def test_what_was_served_a_moment_ago_is_sent_on_all_the_while() -> None:
    """Answers get lost at many replicas, and many ask for the same."""
    bench = Bench()
    bench.node.note_served(OTHER_REQUEST)
    for number in range(5):
        bench.node.note_broken(
            make_replica(f'b{number}'),
            OTHER_REQUEST,
            has_begun=False,
            is_over=False,
        )
    assert bench.node.may_send(OTHER_REQUEST, 1, bench.clock.now)


@in_loop
async def test_after_a_hold_one_attempt_may_run_at_a_time() -> None:
    bench = Bench()
    for number in (1, 2, 3):
        await bench.end(f'b{number}', 'deadly')
    bench.clock.now += HOLD_SECONDS
    assert bench.node.may_send(DEADLY_REQUEST, 0, bench.clock.now)
    assert not bench.node.may_send(DEADLY_REQUEST, 1, bench.clock.now)
    await bench.end('b4', 'deadly')
    assert not bench.node.may_send(DEADLY_REQUEST, 0, bench.clock.now)


@in_loop
async def test_one_node_tries_a_part_whose_hold_is_over() -> None:
    bench = Bench()
    part = PromptPart(Trait('part-bad'))
    requests = [
        RequestTraits(Fingerprint(Trait(f'r{number}')), (part,))
        for number in range(5)
    ]
    for number in (1, 2, 3):
        await bench.break_off(f'b{number}', requests[number])
    assert set(bench.node.book.held) == {part}
    bench.clock.now += HOLD_SECONDS
    bench.node.is_prober = False
    assert not bench.node.may_send(requests[0], 0, bench.clock.now)
    with pytest.raises(Refusal) as caught:
        bench.node.check(requests[0], bench.clock.now)
    assert caught.value.code is Code.REQUEST_HELD_BACK
    bench.node.is_prober = True
    bench.node.check(requests[0], bench.clock.now)
    assert bench.node.may_send(requests[0], 0, bench.clock.now)
    # Another request with the part runs already.
    running = Attempt(Mock(), 1, Inbox(), requests[0], bench.clock)
    bench.node._running.add(running)
    assert not bench.node.may_send(requests[4], 0, bench.clock.now)
    bench.node._running.discard(running)
    await bench.break_off('b4', requests[0])
    assert bench.node.find_release(requests[4], bench.clock.now) > HOLD_SECONDS


@in_loop
async def test_a_node_without_requests_blames_no_part_that_is_served() -> None:
    """The node that saw the crashes has served the first part all along."""
    bench = Bench(nodes=2)
    witness = bench.nodes[1]
    first = PromptPart(Trait('part-first'))
    requests = [
        RequestTraits(Fingerprint(Trait(f'r{number}')), (first,))
        for number in range(4)
    ]
    witness.note_served(requests[0])
    for number in (1, 2, 3):
        await bench.break_off(f'b{number}', requests[number], node=1)
        bench.carry_words()
    assert len(bench.node.book.crashes) == 3
    assert not bench.node.book.held


@in_loop
async def test_running_attempts_are_broken_off_unless_they_have_begun() -> (
    None
):
    bench = Bench()
    inboxes = [Inbox() for _attempt in range(3)]
    attempts = [
        Attempt(
            Mock(replica=make_replica(f'r{number}')),
            1,
            inbox,
            RequestTraits(fingerprint),
            bench.clock,
        )
        for number, (inbox, fingerprint) in enumerate(
            zip(inboxes, (DEADLY, DEADLY, OTHER), strict=True)
        )
    ]
    attempts[1].has_begun = True
    for attempt in attempts:
        bench.node._running.add(attempt)
    for number in (1, 2, 3):
        await bench.end(f'b{number}', 'deadly')
    assert [inbox.queue.qsize() for inbox in inboxes] == [1, 0, 0]
    fault = inboxes[0].queue.get_nowait()
    assert fault.fault is SendFault.HELD_BACK


@in_loop
async def test_a_request_that_was_served_is_cleared_at_all_nodes() -> None:
    bench = Bench(nodes=2)
    for number in (1, 2):
        await bench.end(f'b{number}', 'caught', node=1)
    bench.carry_words()
    caught = Fingerprint('caught')
    assert bench.node.book.count_crashes(caught) == 2
    bench.nodes[1].note_served(RequestTraits(caught))
    bench.carry_words()
    assert not bench.node.book.count_crashes(caught)


@in_loop
async def test_a_node_that_started_is_told_what_others_have_served() -> None:
    """It has served nothing yet when three replicas of a domain end, and one
    request that many ask for ran at each of them."""
    bench = Bench(nodes=2)
    fresh = bench.nodes[1]
    hot = Fingerprint('hot')
    bench.node.note_served(RequestTraits(hot))
    for number in (1, 2, 3):
        await bench.end(f'b{number}', 'hot', f'x{number}', node=1)
    assert fresh.find_release(RequestTraits(hot), bench.clock.now) > 0
    bench.carry_words()
    for node, word in bench.node.noted.sent:
        assert node == PEER
        fresh.on_received(PeerLinks.Received(NodeId('n1'), word))
    assert not fresh.find_release(RequestTraits(hot), bench.clock.now)
    # What nobody has served is not spoken for.
    assert len(bench.node.noted.sent) == 3


@in_loop
async def test_one_end_is_cleared_without_a_word() -> None:
    bench = Bench()
    await bench.end('b1', 'caught')
    bench.node.noted.spread_words.clear()
    bench.node.note_served(RequestTraits(Fingerprint('caught')))
    assert not bench.node.noted.spread_words
    assert not bench.node.book.count_crashes(Fingerprint('caught'))


@in_loop
async def test_ends_are_told_to_who_chooses_replicas_also_those_of_others() -> (
    None
):
    bench = Bench(nodes=2)
    told: list[str] = []
    bench.node.watch_ends(lambda key: told.append(key.box))
    await bench.end('b1', 'deadly', node=1)
    bench.carry_words()
    assert told == ['b1']
    await bench.end('b2', 'deadly')
    assert told == ['b1', 'b2']


@in_loop
async def test_a_known_end_needs_no_question() -> None:
    """The list shows that the box has started again under its name."""
    bench = Bench()
    bench.node.note_broken(
        make_replica('b1'), DEADLY_REQUEST, has_begun=False, is_over=True
    )
    assert bench.node.book.count_crashes(DEADLY) == 1
