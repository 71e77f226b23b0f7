"""Backpressure signals that replicas send to a node."""

from __future__ import annotations

import asyncio

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
)

from tests.boxes import make_fleet, make_group
from tests.forwarder_harness import ForwarderHarness
from waywell.codes import Code, Ran
from waywell.connection.exchange import SendFault
from waywell.ids import BoxId, Incarnation
from waywell.request.attempt import Attempt
from waywell.request.backpressure import (
    LEAVING_SECONDS,
    MAX_BOXES,
    Backpressure,
)
from waywell.request.decoded_request import AnswerMetadata
from waywell.version.fleet import BoxLife
from waywell.version.life_tracker import EndedLife

REST = AnswerMetadata('a1', is_rejected=True, rest_seconds=3.0)


def make_life(name: str, incarnation: int = 1) -> BoxLife:
    return BoxLife(BoxId(name), Incarnation(incarnation))


class BackpressureMachine(RuleBasedStateMachine):
    """Replicas ask for rest, answer, leave and restart in any order."""

    lives = st.builds(make_life, st.sampled_from('abc'), st.integers(1, 2))

    def __init__(self) -> None:
        super().__init__()
        self.pressure = Backpressure()
        self.now = 0.0
        self.ends: dict[BoxLife, float] = {}
        self.leaving: set[BoxLife] = set()

    @rule(life=lives, seconds=st.floats(0, 20))
    def ask_for_rest(self, life: BoxLife, seconds: float) -> None:
        metadata = AnswerMetadata(is_rejected=True, rest_seconds=seconds)
        self.pressure.record(life, metadata, self.now)
        ends_at = self.now + seconds
        self.ends[life] = max(ends_at, self.ends.get(life, 0.0))

    @rule(life=lives)
    def leave(self, life: BoxLife) -> None:
        self.pressure.record(life, AnswerMetadata(is_leaving=True), self.now)
        self.leaving.add(life)

    @rule(life=lives)
    def answer(self, life: BoxLife) -> None:
        self.pressure.record(life, AnswerMetadata('a1'), self.now)

    @rule(life=lives)
    def end(self, life: BoxLife) -> None:
        self.pressure.forget_ended([EndedLife(life, None)])
        self.ends.pop(life, None)
        self.leaving.discard(life)

    @rule(seconds=st.floats(0, 10))
    def pass_time(self, seconds: float) -> None:
        self.now += seconds

    @rule()
    def forget_expired_signals(self) -> None:
        self.pressure.forget_expired(self.now)

    @invariant()
    def box_accepts_requests_unless_resting_or_leaving(self) -> None:
        for life, ends_at in self.ends.items():
            is_open = self.now >= ends_at and life not in self.leaving
            assert self.pressure.may_send(life, self.now) == is_open

    @invariant()
    def leaving_box_gets_no_requests(self) -> None:
        for life in self.leaving:
            assert not self.pressure.may_send(life, self.now)

    @invariant()
    def other_incarnations_get_requests(self) -> None:
        others = {make_life(name) for name in 'abc'}
        others -= self.ends.keys() | self.leaving
        assert all(self.pressure.may_send(life, self.now) for life in others)


TestBackpressure = BackpressureMachine.TestCase


def test_number_of_kept_rests_is_bounded() -> None:
    pressure = Backpressure()
    for number in range(MAX_BOXES + 10):
        pressure.record(make_life(f'b{number}'), REST, float(number))
    assert pressure.count(0.0)['resting'] <= MAX_BOXES
    pressure.forget_expired(MAX_BOXES + 20.0)
    assert not pressure.count(0.0)['resting']


def test_number_of_kept_leaving_boxes_is_bounded() -> None:
    pressure = Backpressure()
    leaves = AnswerMetadata(is_leaving=True)
    for number in range(MAX_BOXES + 10):
        pressure.record(make_life(f'b{number}'), leaves, 0.0)
    assert pressure.count(0.0)['leaving'] <= MAX_BOXES
    pressure.forget_expired(LEAVING_SECONDS)
    assert not pressure.count(0.0)['leaving']


def test_rest_is_recorded_after_the_caller_disconnected(
    harness: ForwarderHarness,
) -> None:
    async def play() -> None:
        task = await harness.submit()
        (first,) = harness.attempts
        # The caller disconnects before the head of the answer arrives.
        task.cancel()
        await harness.deliver_head(first, status=503, metadata=REST)
        for _request in range(6):
            await harness.submit()
            assert harness.attempts[-1].replica != first.replica

    asyncio.run(play())


def test_rest_of_a_box_outlasts_its_group(harness: ForwarderHarness) -> None:
    async def play() -> None:
        await harness.submit()
        (first,) = harness.attempts
        await harness.deliver_head(first, status=503, metadata=REST)
        head, member = (
            ('a', 'b') if first.replica.head.box == 'a' else ('c', 'd')
        )
        harness.cluster.apply_fleet(
            make_fleet(*make_group('notes.9', head, member)),
            harness.clock.now + 0.1,
        )
        await harness.submit()
        assert harness.attempts[-1].replica.group != 'notes.9'

    asyncio.run(play())
    assert harness.refusal is not None
    assert harness.refusal.code is Code.REPLICAS_REST


def test_restarted_box_has_no_rest(harness: ForwarderHarness) -> None:
    async def play() -> None:
        await harness.submit()
        (first,) = harness.attempts
        harness.cluster.add_end_listener(
            harness.forwarder._dependencies.backpressure.forget_ended
        )
        await harness.deliver_head(first, status=503, metadata=REST)
        life = first.replica.key.life
        pressure = harness.forwarder._dependencies.backpressure
        assert not pressure.may_send(life, harness.clock.now)
        await harness.restart_boxes(life.box)
        assert pressure.may_send(life, harness.clock.now)

    asyncio.run(play())


def test_request_is_not_written_if_the_rest_arrives_while_it_connects(
    harness: ForwarderHarness,
) -> None:
    async def play() -> None:
        await harness.submit()
        (first,) = harness.attempts
        harness.connects_at_once = False
        await harness.deliver_head(first, status=503, metadata=REST)
        (_first, second) = harness.attempts
        # Meanwhile the second replica asks for rest in another answer.
        second.destination.on_metadata(REST, second.sent_at, harness.clock.now)
        assert not harness.may_send()
        second.post(Attempt.Fault(second, SendFault.TOO_LATE))
        await harness.run_pending()

    asyncio.run(play())
    assert harness.refusal is not None
    assert harness.refusal.code is Code.REPLICAS_REST
    assert harness.refusal.ran is Ran.NOT_RUN


def test_retry_after_is_the_end_of_the_first_rest(
    harness: ForwarderHarness,
) -> None:
    longer = AnswerMetadata('a1', is_rejected=True, rest_seconds=5.0)
    shorter = AnswerMetadata('a1', is_rejected=True, rest_seconds=1.5)

    async def play() -> None:
        await harness.submit()
        await harness.deliver_head(
            harness.attempts[0], status=503, metadata=longer
        )
        await harness.deliver_head(
            harness.attempts[1], status=503, metadata=shorter
        )
        await harness.submit()

    asyncio.run(play())
    assert len(harness.attempts) == 2
    assert harness.refusal is not None
    assert harness.refusal.code is Code.REPLICAS_REST
    assert harness.refusal.retry_after == 1.5


def test_no_resend_is_spent_if_no_replica_is_left(
    harness: ForwarderHarness,
) -> None:
    spent = []
    budget = harness.forwarder._dependencies.budget
    spend = budget.spend

    def record_spent(*args: object) -> bool:
        spent.append(args)
        return spend(*args)

    budget.spend = record_spent  # type: ignore[method-assign]

    async def play() -> None:
        await harness.submit()
        await harness.deliver_head(
            harness.attempts[0], status=503, metadata=REST
        )
        await harness.deliver_head(
            harness.attempts[1], status=503, metadata=REST
        )
        await harness.submit()

    asyncio.run(play())
    assert len(spent) == 1


def test_stream_is_not_resumed_on_a_resting_replica(
    harness: ForwarderHarness,
) -> None:
    async def play() -> None:
        await harness.submit()
        (stream,) = harness.attempts
        await harness.deliver_head(stream)
        await harness.deliver_events(stream, 1)
        other = next(
            replica
            for replica in harness.cluster.list_replicas('llm', 'notes')
            if replica != stream.replica
        )
        harness.forwarder._dependencies.backpressure.record(
            other.key.life, REST, harness.clock.now
        )
        # Neither as a hedge of a silent attempt nor after a broken one.
        await harness.advance_time(0.25)
        assert len(harness.attempts) == 1
        await harness.deliver_end(stream, is_whole=False)

    asyncio.run(play())
    assert len(harness.attempts) == 1
    assert harness.answer.end == 'aborted'
