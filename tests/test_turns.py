"""The task that keeps limits together with other nodes."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from tests.forwarder_stage import Stage
from tests.held_clock import HeldClock
from tests.lone_turns import LoneTurns
from tests.test_membership import make_record
from waywell.codes import Code, Ran
from waywell.connection.exchange import SendFault
from waywell.connection.named_limit import NO_LIMIT
from waywell.connection.peer import (
    KnownLimits,
    LimitTold,
    TurnAnswer,
    TurnAsk,
)
from waywell.ids import BoxId, HallName, Incarnation, NodeId
from waywell.limits.turns import START_SECONDS, TURN_SECONDS
from waywell.membership.links import PeerLinks
from waywell.request.ask import AnswerMark
from waywell.request.attempt import Attempt
from waywell.request.permit_source import MAX_PERMIT_DENIALS
from waywell.version.fleet import BoxLife

LIFE = BoxLife(BoxId('a'), Incarnation(1))
HALL = HallName('h')
OTHER = NodeId('other')

LIMITED = AnswerMark('a1', limit=1.0)
"""What a replica with a limit says of its answer."""

REJECTED = AnswerMark('a1', is_rejected=True, limit=1.0)
"""The same where it did not run the request."""


@pytest.fixture
def turns() -> LoneTurns:
    return LoneTurns(HeldClock())


def tell(turns: LoneTurns, message: Any) -> None:
    turns.on_received(PeerLinks.Received(OTHER, message))


def make_told(limit: float | None, sent: float, heard: float) -> LimitTold:
    """Return another node's word, by ages."""
    return LimitTold(LIFE.box, LIFE.incarnation, HALL, limit, sent, heard, 9.0)


def take(turns: LoneTurns) -> Any:
    return asyncio.run(turns.acquire_permit(LIFE, HALL, 0))


def meet_dealers(turns: LoneTurns) -> None:
    """Let other nodes stand in the replica's hall, until they deal."""
    now = turns._clock.read()
    turns._links.has_peer = lambda _node: True  # type: ignore[method-assign]
    for number in range(50):
        turns.tend(now)
        if 'own' not in turns._choice.choose(LIFE.box, HALL):
            return
        turns._gossip.table.merge(make_record(f'n{number}'), now)
    raise AssertionError('the node itself deals')


def test_a_change_of_a_limit_is_told_to_all_and_passed_on(
    turns: LoneTurns,
) -> None:
    now = turns._clock.read()
    turns.record_limit(LIFE, HALL, 1.0, now - 0.1)
    (told,) = turns.noted.spread_words
    assert told.limit == 1.0
    turns.record_limit(LIFE, HALL, 1.0, now - 0.1)
    assert len(turns.noted.spread_words) == 1
    tell(turns, make_told(0.5, 0.1, 0.0))
    assert turns.get_limit(LIFE) == 0.5
    assert len(turns.noted.passed) == 1


def test_a_node_that_knows_a_later_word_says_so(turns: LoneTurns) -> None:
    now = turns._clock.read()
    turns.record_limit(LIFE, HALL, 1.0, now - 5.0)
    turns._clock.now += 1.0
    turns.record_limit(LIFE, HALL, NO_LIMIT, now + 0.5)
    tell(turns, make_told(1.0, 4.0, 3.0))
    assert turns.get_limit(LIFE) == NO_LIMIT
    ((node, told),) = turns.noted.sent
    assert node == OTHER
    assert told.limit is None


@pytest.mark.parametrize('gap', [-0.2, -0.01, 0.0, 0.01, 0.04, 0.06, 0.2])
def test_two_nodes_that_differ_soon_agree(gap: float) -> None:
    first, second = LoneTurns(HeldClock()), LoneTurns(HeldClock())
    first.record_limit(LIFE, HALL, 1.0, first._clock.now - 0.1)
    second._clock.now += gap
    second.record_limit(LIFE, HALL, 2.0, second._clock.now)
    first._clock.now = second._clock.now = 101.0
    words = [(first, second), (second, first)]
    for teller, _listener in words:
        teller.on_opened(PeerLinks.Opened(make_record('other')))
    for _round in range(4):
        for teller, listener in words:
            sent, teller.noted.sent = teller.noted.sent, []
            for _node, told in sent:
                tell(listener, told)
    assert not first.noted.sent
    assert not second.noted.sent
    assert first.get_limit(LIFE) == second.get_limit(LIFE)


def test_a_peer_that_may_have_missed_words_gets_them_all(
    turns: LoneTurns,
) -> None:
    turns.record_limit(LIFE, HALL, 1.0, 0.0)
    turns.on_opened(PeerLinks.Opened(make_record('other')))
    ((_node, known),) = turns.noted.sent
    other = LoneTurns(HeldClock())
    tell(other, known)
    assert isinstance(known, KnownLimits)
    assert other.get_limit(LIFE) == 1.0


def test_a_turn_lapses(turns: LoneTurns) -> None:
    turns.record_limit(LIFE, HALL, 1.0, 0.0)
    turn = take(turns)
    now = turns._clock.read()
    assert turns.may_send(LIFE, turn, now)
    assert not turns.may_send(LIFE, turn, now + TURN_SECONDS)
    assert not turns.may_send(LIFE, None, now)


def test_a_node_that_got_no_turn_does_not_ask_at_once_again(
    turns: LoneTurns,
) -> None:
    turns.record_limit(LIFE, HALL, 0.2, 0.0)
    while take(turns) is not None:
        continue
    now = turns._clock.read()
    assert not turns.may_ask(LIFE, 0, now)
    wait = turns.find_wait([LIFE], now)
    assert wait is not None
    assert turns.may_ask(LIFE, 0, now + wait)
    free = BoxLife(BoxId('b'), Incarnation(1))
    assert turns.find_wait([LIFE, free], now) is None


def test_a_node_that_just_started_deals_nothing() -> None:
    turns = LoneTurns(HeldClock())
    turns._deals_from = turns._clock.read() + START_SECONDS
    turns.record_limit(LIFE, HALL, 100.0, 0.0)
    assert take(turns) is None
    turns._clock.now += START_SECONDS + 3.0
    turns.tend(turns._clock.now)
    turns._clock.now += 5.0
    assert take(turns) is not None


def test_a_dealer_answers_others_and_learns_the_limit_from_them(
    turns: LoneTurns,
) -> None:
    tell(turns, TurnAsk(7, make_told(1.0, 0.1, 0.0), 0))
    assert turns.get_limit(LIFE) == 1.0
    answers = [
        word
        for _node, word in turns.noted.sent
        if isinstance(word, TurnAnswer)
    ]
    assert [answer.ask for answer in answers] == [7]


def test_a_silent_dealer_is_given_up_and_its_late_turn_is_used(
    turns: LoneTurns,
) -> None:
    turns.record_limit(LIFE, HALL, 1.0, 0.0)
    meet_dealers(turns)
    assert take(turns) is None
    asked = [word for _node, word in turns.noted.sent]
    assert len(asked) == 2
    assert not turns.may_ask(LIFE, 0, turns._clock.read())
    tell(turns, TurnAnswer(asked[0].ask, 1, 0.0))
    assert turns.may_ask(LIFE, 0, turns._clock.read())
    assert take(turns) is not None


def test_a_limit_lasts_no_longer_than_the_replica_says_so(
    turns: LoneTurns,
) -> None:
    now = turns._clock.read()
    turns.record_limit(LIFE, HALL, 0.0, now)
    while take(turns) is not None:
        continue
    turns._clock.now += 1.0
    turns.record_limit(LIFE, HALL, NO_LIMIT, now + 0.5)
    assert turns.may_ask(LIFE, 0, turns._clock.now)
    assert take(turns) is not None
    assert turns.count()['limited'] == 0


def test_retries_take_turns_too(stage: Stage) -> None:

    async def play() -> None:
        for _request in range(8):
            await stage.begin()
            for attempt in tuple(stage.attempts):
                if attempt.head is None and not attempt._is_over:
                    await stage.head(attempt, status=503, mark=REJECTED)

    asyncio.run(play())
    assert stage.refusal is not None
    assert stage.refusal.code is Code.REPLICAS_LIMITED
    assert stage.refusal.ran is Ran.NOT_RUN
    assert stage.refusal.retry_after is not None
    assert stage.refusal.retry_after > 0


def test_a_request_that_connects_when_the_limit_comes_is_not_written(
    stage: Stage,
) -> None:
    async def play() -> None:
        stage.connects_at_once = False
        await stage.begin()
        (attempt,) = stage.attempts
        # Another request was answered with the limit meanwhile.
        attempt.destination.on_mark(LIMITED, attempt.sent_at, stage.clock.now)
        assert not stage.may_send()
        attempt.tell(Attempt.Fault(attempt, SendFault.TOO_LATE))
        await stage.settle()
        assert stage.attempts[-1].replica != attempt.replica

    asyncio.run(play())


def test_a_request_asks_few_replicas_for_a_turn(turns: LoneTurns) -> None:
    now = turns._clock.read()
    free = BoxLife(BoxId('b'), Incarnation(1))
    turns.record_limit(LIFE, HALL, 1.0, now)
    assert turns.may_ask(LIFE, MAX_PERMIT_DENIALS - 1, now)
    assert not turns.may_ask(LIFE, MAX_PERMIT_DENIALS, now)
    assert turns.may_ask(free, MAX_PERMIT_DENIALS, now)
