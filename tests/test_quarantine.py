"""The task that detects requests which crash replicas and informs all nodes."""

from __future__ import annotations

import asyncio
from typing import Any
from unittest.mock import Mock

import msgspec
import pytest

from tests.boxes import make_box
from tests.lone_quarantine import LoneQuarantine
from tests.loops import in_loop
from tests.manual_clock import ManualClock
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
from waywell.quarantine.crash_history import (
    CRASHES_TO_HOLD,
    HOLD_SECONDS,
    Hold,
)
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
    """Quarantine tasks of one or more nodes that share a clock."""

    def __init__(self, nodes: int = 1) -> None:
        self.clock = ManualClock()
        self.nodes = [LoneQuarantine(self.clock) for _node in range(nodes)]
        self.node = self.nodes[0]

    async def crash(
        self,
        name: str,
        *fingerprints: str,
        node: int = 0,
        has_ended: bool = True,
    ) -> None:
        """Crash a replica under requests, or only break their attempts."""
        requests = (RequestTraits(Fingerprint(text)) for text in fingerprints)
        await self.break_attempts(
            name, *requests, node=node, has_ended=has_ended
        )

    async def break_attempts(
        self,
        name: str,
        *requests: RequestTraits,
        node: int = 0,
        has_ended: bool = True,
    ) -> None:
        """Crash a replica under requests, or only break their attempts."""
        witness = self.nodes[node]
        if has_ended:
            witness.ended.add(name)
        for traits in requests:
            witness.record_broken_attempt(
                make_replica(name), traits, has_begun=False, has_ended=False
            )
        for _turn in range(5):
            await asyncio.sleep(0)
        self.clock.now += 2.0

    def receive(self, message: Any) -> None:
        """Encode and decode a message, and receive it as if from a peer."""
        raw = msgspec.msgpack.encode(message)
        decoded = msgspec.msgpack.Decoder(FrontMessage).decode(raw)
        self.node.on_received(PeerLinks.Received(PEER, decoded))

    def deliver_broadcasts(self) -> None:
        """Deliver the messages of the other nodes to the first one."""
        for node in self.nodes[1:]:
            for message in node.recorder.broadcasts:
                self.receive(message)
            node.recorder.broadcasts.clear()


@in_loop
async def test_nodes_that_saw_one_crash_each_hold_the_request() -> None:
    bench = Bench(nodes=4)
    for number in (1, 2, 3):
        await bench.crash(f'b{number}', 'deadly', f'x{number}', node=number)
    assert not bench.node.get_hold_seconds(DEADLY_REQUEST, bench.clock.now)
    bench.deliver_broadcasts()
    assert bench.node.get_hold_seconds(DEADLY_REQUEST, bench.clock.now) > 0
    assert not bench.node.get_hold_seconds(
        RequestTraits(Fingerprint('x1')), bench.clock.now
    )
    with pytest.raises(Refusal) as caught:
        bench.node.check(DEADLY_REQUEST, bench.clock.now)
    assert caught.value.code is Code.REQUEST_HELD_BACK
    assert caught.value.ran is Ran.NOT_RUN
    assert caught.value.retry_after == pytest.approx(HOLD_SECONDS, abs=10.0)


@in_loop
async def test_a_broken_answer_of_a_live_replica_is_no_crash() -> None:
    bench = Bench()
    for number in range(9):
        await bench.crash(f'b{number}', 'deadly', has_ended=False)
    assert not bench.node.history.crashes
    assert not bench.node.recorder.broadcasts
    assert bench.node.may_send(DEADLY_REQUEST, 0, bench.clock.now)


@in_loop
async def test_messages_are_forwarded_once() -> None:
    bench = Bench()
    message = ReplicaEnded(
        make_box('b').box,
        Epoch(1),
        Incarnation(1),
        0.1,
        (SuspectRun(DEADLY, False),),
    )
    for _repeat in range(5):
        bench.receive(message)
    held = RequestHeld(OTHER, CRASHES_TO_HOLD, 1.0)
    bench.receive(held)
    bench.receive(held)
    cleared = RequestCleared(OTHER)
    bench.receive(cleared)
    bench.receive(cleared)
    assert bench.node.recorder.forwarded == [message, held, cleared]


@in_loop
async def test_a_new_peer_gets_all_known_crashes_and_holds() -> None:
    bench = Bench(nodes=2)
    for number in (1, 2, 3):
        await bench.crash(f'b{number}', 'deadly', node=1)
    informed = bench.nodes[1]
    informed.add_stored_hold(OTHER, Hold(CRASHES_TO_HOLD, bench.clock.now))
    informed.on_opened(PeerLinks.Opened(_Record()))
    ((node, message),) = informed.recorder.sent
    assert node == _Record.node
    assert isinstance(message, KnownCrashes)
    bench.receive(message)
    assert set(bench.node.history.holds) == {DEADLY, OTHER}
    # Messages that are already known are not forwarded.
    forwarded = len(bench.node.recorder.forwarded)
    bench.receive(message)
    assert len(bench.node.recorder.forwarded) == forwarded


class _Record:
    node = NodeId('n9')


@in_loop
async def test_a_node_without_crashes_sends_nothing_to_a_new_peer() -> None:
    bench = Bench()
    bench.node.on_opened(PeerLinks.Opened(_Record()))
    assert not bench.node.recorder.sent


@in_loop
async def test_a_broken_attempt_counts_as_a_crash_until_it_is_checked() -> (
    None
):
    bench = Bench()
    await bench.crash('b1', 'deadly')
    await bench.crash('b2', 'deadly')
    assert bench.node.may_send(DEADLY_REQUEST, 0, bench.clock.now)
    # A second concurrent attempt could cause a fourth crash.
    assert not bench.node.may_send(DEADLY_REQUEST, 1, bench.clock.now)
    bench.node.record_broken_attempt(
        make_replica('b3'), DEADLY_REQUEST, has_begun=False, has_ended=False
    )
    assert not bench.node.may_send(DEADLY_REQUEST, 0, bench.clock.now)
    assert bench.node.may_send(OTHER_REQUEST, 1, bench.clock.now)
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    # The check found the replica alive.
    assert bench.node.may_send(DEADLY_REQUEST, 0, bench.clock.now)


@in_loop
async def test_a_recently_served_request_may_be_sent_while_attempts_break() -> (
    None
):
    """A common request runs wherever answers are lost."""
    bench = Bench()
    bench.node.record_served(OTHER_REQUEST)
    for number in range(5):
        bench.node.record_broken_attempt(
            make_replica(f'b{number}'),
            OTHER_REQUEST,
            has_begun=False,
            has_ended=False,
        )
    assert bench.node.may_send(OTHER_REQUEST, 1, bench.clock.now)


@in_loop
async def test_only_one_attempt_may_run_after_a_hold() -> None:
    bench = Bench()
    for number in (1, 2, 3):
        await bench.crash(f'b{number}', 'deadly')
    bench.clock.now += HOLD_SECONDS
    assert bench.node.may_send(DEADLY_REQUEST, 0, bench.clock.now)
    assert not bench.node.may_send(DEADLY_REQUEST, 1, bench.clock.now)
    await bench.crash('b4', 'deadly')
    assert not bench.node.may_send(DEADLY_REQUEST, 0, bench.clock.now)


@in_loop
async def test_one_node_at_a_time_sends_a_part_whose_hold_has_expired() -> (
    None
):
    bench = Bench()
    part = PromptPart(Trait('part-bad'))
    requests = [
        RequestTraits(Fingerprint(Trait(f'r{number}')), (part,))
        for number in range(5)
    ]
    for number in (1, 2, 3):
        await bench.break_attempts(f'b{number}', requests[number])
    assert set(bench.node.history.holds) == {part}
    bench.clock.now += HOLD_SECONDS
    bench.node.is_prober = False
    assert not bench.node.may_send(requests[0], 0, bench.clock.now)
    with pytest.raises(Refusal) as caught:
        bench.node.check(requests[0], bench.clock.now)
    assert caught.value.code is Code.REQUEST_HELD_BACK
    bench.node.is_prober = True
    bench.node.check(requests[0], bench.clock.now)
    assert bench.node.may_send(requests[0], 0, bench.clock.now)
    # Another request with the part is already running.
    running = Attempt(Mock(), 1, Inbox(), requests[0], bench.clock)
    bench.node._running.add(running)
    assert not bench.node.may_send(requests[4], 0, bench.clock.now)
    bench.node._running.discard(running)
    await bench.break_attempts('b4', requests[0])
    assert (
        bench.node.get_hold_seconds(requests[4], bench.clock.now)
        > HOLD_SECONDS
    )


@in_loop
async def test_a_node_without_requests_blames_no_part_served_elsewhere() -> (
    None
):
    """The node that saw the crashes has served the first part before."""
    bench = Bench(nodes=2)
    witness = bench.nodes[1]
    first = PromptPart(Trait('part-first'))
    requests = [
        RequestTraits(Fingerprint(Trait(f'r{number}')), (first,))
        for number in range(4)
    ]
    witness.record_served(requests[0])
    for number in (1, 2, 3):
        await bench.break_attempts(f'b{number}', requests[number], node=1)
        bench.deliver_broadcasts()
    assert len(bench.node.history.crashes) == 3
    assert not bench.node.history.holds


@in_loop
async def test_a_hold_cancels_attempts_without_a_begun_answer() -> None:
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
        await bench.crash(f'b{number}', 'deadly')
    assert [inbox.queue.qsize() for inbox in inboxes] == [1, 0, 0]
    fault: Any = await inboxes[0].get(1.0)
    assert fault.fault is SendFault.HELD_BACK


@in_loop
async def test_a_served_request_is_cleared_at_all_nodes() -> None:
    bench = Bench(nodes=2)
    for number in (1, 2):
        await bench.crash(f'b{number}', 'caught', node=1)
    bench.deliver_broadcasts()
    caught = Fingerprint('caught')
    assert bench.node.history.count_crashes(caught) == 2
    bench.nodes[1].record_served(RequestTraits(caught))
    bench.deliver_broadcasts()
    assert not bench.node.history.count_crashes(caught)


@in_loop
async def test_a_new_node_learns_what_others_have_served() -> None:
    """A node that just started has served nothing when three replicas of a
    domain end, and a common request ran on each of them."""
    bench = Bench(nodes=2)
    new_node = bench.nodes[1]
    frequent = Fingerprint('hot')
    bench.node.record_served(RequestTraits(frequent))
    for number in (1, 2, 3):
        await bench.crash(f'b{number}', 'hot', f'x{number}', node=1)
    assert (
        new_node.get_hold_seconds(RequestTraits(frequent), bench.clock.now) > 0
    )
    bench.deliver_broadcasts()
    for node, message in bench.node.recorder.sent:
        assert node == PEER
        new_node.on_received(PeerLinks.Received(NodeId('n1'), message))
    assert not new_node.get_hold_seconds(
        RequestTraits(frequent), bench.clock.now
    )
    # Requests that nobody has served are not cleared.
    assert len(bench.node.recorder.sent) == 3


@in_loop
async def test_a_single_crash_is_cleared_without_a_message() -> None:
    bench = Bench()
    await bench.crash('b1', 'caught')
    bench.node.recorder.broadcasts.clear()
    bench.node.record_served(RequestTraits(Fingerprint('caught')))
    assert not bench.node.recorder.broadcasts
    assert not bench.node.history.count_crashes(Fingerprint('caught'))


@in_loop
async def test_watchers_are_called_for_crashes_seen_by_any_node() -> None:
    bench = Bench(nodes=2)
    crashed: list[str] = []
    bench.node.watch_crashes(lambda key: crashed.append(key.box))
    await bench.crash('b1', 'deadly', node=1)
    bench.deliver_broadcasts()
    assert crashed == ['b1']
    await bench.crash('b2', 'deadly')
    assert crashed == ['b1', 'b2']


@in_loop
async def test_a_known_crash_needs_no_check() -> None:
    """The box list shows that the box has restarted under its name."""
    bench = Bench()
    bench.node.record_broken_attempt(
        make_replica('b1'), DEADLY_REQUEST, has_begun=False, has_ended=True
    )
    assert bench.node.history.count_crashes(DEADLY) == 1
