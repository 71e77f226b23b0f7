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
from tests.forwarder_stage import Stage
from waywell.codes import Code, Ran
from waywell.connection.exchange import SendFault
from waywell.ids import BoxId, Incarnation
from waywell.request.ask import AnswerMark
from waywell.request.attempt import Attempt
from waywell.request.backpressure import (
    LEAVING_SECONDS,
    MAX_BOXES,
    Backpressure,
)
from waywell.version.fleet import BoxLife
from waywell.version.lives import EndedLife

REST = AnswerMark('a1', is_rejected=True, rest_seconds=3.0)


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
        mark = AnswerMark(is_rejected=True, rest_seconds=seconds)
        self.pressure.record(life, mark, self.now)
        ends_at = self.now + seconds
        self.ends[life] = max(ends_at, self.ends.get(life, 0.0))

    @rule(life=lives)
    def leave(self, life: BoxLife) -> None:
        self.pressure.record(life, AnswerMark(is_leaving=True), self.now)
        self.leaving.add(life)

    @rule(life=lives)
    def answer(self, life: BoxLife) -> None:
        self.pressure.record(life, AnswerMark('a1'), self.now)

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
    leaves = AnswerMark(is_leaving=True)
    for number in range(MAX_BOXES + 10):
        pressure.record(make_life(f'b{number}'), leaves, 0.0)
    assert pressure.count(0.0)['leaving'] <= MAX_BOXES
    pressure.forget_expired(LEAVING_SECONDS)
    assert not pressure.count(0.0)['leaving']


def test_rest_is_recorded_after_the_caller_disconnected(
    stage: Stage,
) -> None:
    async def play() -> None:
        task = await stage.begin()
        (first,) = stage.attempts
        # The caller disconnects before the head of the answer arrives.
        task.cancel()
        await stage.head(first, status=503, mark=REST)
        for _request in range(6):
            await stage.begin()
            assert stage.attempts[-1].replica != first.replica

    asyncio.run(play())


def test_rest_of_a_box_outlasts_its_group(stage: Stage) -> None:
    async def play() -> None:
        await stage.begin()
        (first,) = stage.attempts
        await stage.head(first, status=503, mark=REST)
        head, member = (
            ('a', 'b') if first.replica.head.box == 'a' else ('c', 'd')
        )
        stage.outlook.take_fleet(
            make_fleet(*make_group('notes.9', head, member)),
            stage.clock.now + 0.1,
        )
        await stage.begin()
        assert stage.attempts[-1].replica.group != 'notes.9'

    asyncio.run(play())
    assert stage.refusal is not None
    assert stage.refusal.code is Code.REPLICAS_REST


def test_restarted_box_has_no_rest(stage: Stage) -> None:
    async def play() -> None:
        await stage.begin()
        (first,) = stage.attempts
        stage.outlook.listen_for_ends(
            stage.forwarder._parts.backpressure.forget_ended
        )
        await stage.head(first, status=503, mark=REST)
        life = first.replica.key.life
        pressure = stage.forwarder._parts.backpressure
        assert not pressure.may_send(life, stage.clock.now)
        await stage.restart(life.box)
        assert pressure.may_send(life, stage.clock.now)

    asyncio.run(play())


def test_request_is_not_written_if_the_rest_arrives_while_it_connects(
    stage: Stage,
) -> None:
    async def play() -> None:
        await stage.begin()
        (first,) = stage.attempts
        stage.connects_at_once = False
        await stage.head(first, status=503, mark=REST)
        (_first, second) = stage.attempts
        # Meanwhile the second replica asks for rest in another answer.
        second.destination.on_mark(REST, second.sent_at, stage.clock.now)
        assert not stage.may_send()
        second.tell(Attempt.Fault(second, SendFault.TOO_LATE))
        await stage.settle()

    asyncio.run(play())
    assert stage.refusal is not None
    assert stage.refusal.code is Code.REPLICAS_REST
    assert stage.refusal.ran is Ran.NOT_RUN


def test_retry_after_is_the_end_of_the_first_rest(
    stage: Stage,
) -> None:
    longer = AnswerMark('a1', is_rejected=True, rest_seconds=5.0)
    shorter = AnswerMark('a1', is_rejected=True, rest_seconds=1.5)

    async def play() -> None:
        await stage.begin()
        await stage.head(stage.attempts[0], status=503, mark=longer)
        await stage.head(stage.attempts[1], status=503, mark=shorter)
        await stage.begin()

    asyncio.run(play())
    assert len(stage.attempts) == 2
    assert stage.refusal is not None
    assert stage.refusal.code is Code.REPLICAS_REST
    assert stage.refusal.retry_after == 1.5


def test_no_resend_is_spent_if_no_replica_is_left(
    stage: Stage,
) -> None:
    spent = []
    budget = stage.forwarder._parts.budget
    spend = budget.spend

    def record_spent(*args: object) -> bool:
        spent.append(args)
        return spend(*args)

    budget.spend = record_spent  # type: ignore[method-assign]

    async def play() -> None:
        await stage.begin()
        await stage.head(stage.attempts[0], status=503, mark=REST)
        await stage.head(stage.attempts[1], status=503, mark=REST)
        await stage.begin()

    asyncio.run(play())
    assert len(spent) == 1


def test_stream_is_not_resumed_on_a_resting_replica(
    stage: Stage,
) -> None:
    async def play() -> None:
        await stage.begin()
        (stream,) = stage.attempts
        await stage.head(stream)
        await stage.events(stream, 1)
        other = next(
            replica
            for replica in stage.outlook.list_replicas('llm', 'notes')
            if replica != stream.replica
        )
        stage.forwarder._parts.backpressure.record(
            other.key.life, REST, stage.clock.now
        )
        # Neither as a hedge of a silent attempt nor after a broken one.
        await stage.pass_time(0.25)
        assert len(stage.attempts) == 1
        await stage.end(stream, is_whole=False)

    asyncio.run(play())
    assert len(stage.attempts) == 1
    assert stage.answer.end == 'cut'
