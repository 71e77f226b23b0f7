"""Rate limiter: reports, permits and messages between nodes."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from tests.forwarder_harness import ForwarderHarness
from tests.lone_rate_limiter import LoneRateLimiter
from tests.manual_clock import ManualClock
from tests.test_membership import make_record
from waywell.codes import Code, Ran
from waywell.connection.exchange import SendFault
from waywell.connection.limit_header import NO_LIMIT
from waywell.connection.peer import (
    KnownLimits,
    LimitNotice,
    PermitAnswer,
    PermitRequest,
)
from waywell.ids import BoxId, HallName, Incarnation, NodeId
from waywell.limits.rate_limiter import PERMIT_SECONDS, STARTUP_SECONDS
from waywell.membership.links import PeerLinks
from waywell.request.attempt import Attempt
from waywell.request.decoded_request import AnswerMetadata
from waywell.request.permit_source import MAX_PERMIT_DENIALS
from waywell.version.fleet import BoxLife

LIFE = BoxLife(BoxId('a'), Incarnation(1))
HALL = HallName('h')
OTHER = NodeId('other')

LIMITED = AnswerMetadata('a1', rate_limit=1.0)
"""Mark of an answer that reports a limit."""

REJECTED = AnswerMetadata('a1', is_rejected=True, rate_limit=1.0)
"""Mark of an answer that reports a limit and rejects the request."""


@pytest.fixture
def limiter() -> LoneRateLimiter:
    return LoneRateLimiter(ManualClock())


def receive(limiter: LoneRateLimiter, message: Any) -> None:
    limiter.on_received(PeerLinks.Received(OTHER, message))


def make_report(
    limit: float | None, sent_age: float, heard_age: float
) -> LimitNotice:
    """Return a report of another node, with ages in seconds."""
    return LimitNotice(
        LIFE.box, LIFE.incarnation, HALL, limit, sent_age, heard_age, 9.0
    )


def acquire(limiter: LoneRateLimiter) -> Any:
    return asyncio.run(limiter.acquire_permit(LIFE, HALL, 0))


def add_remote_issuers(limiter: LoneRateLimiter) -> None:
    """Add nodes in the replica's hall until this node is no issuer."""
    now = limiter._clock.read()
    limiter._links.has_peer = lambda _node: True  # type: ignore[method-assign]
    for number in range(50):
        limiter.refresh(now)
        if 'own' not in limiter._assignment.choose(LIFE.box, HALL):
            return
        limiter._gossip.table.merge(make_record(f'n{number}'), now)
    raise AssertionError('the node itself is still an issuer')


def test_a_changed_limit_is_broadcast_and_forwarded(
    limiter: LoneRateLimiter,
) -> None:
    now = limiter._clock.read()
    limiter.record_limit(LIFE, HALL, 1.0, now - 0.1)
    (report,) = limiter.noted.broadcasts
    assert report.limit == 1.0
    limiter.record_limit(LIFE, HALL, 1.0, now - 0.1)
    assert len(limiter.noted.broadcasts) == 1
    receive(limiter, make_report(0.5, 0.1, 0.0))
    assert limiter.get_limit(LIFE) == 0.5
    assert len(limiter.noted.forwarded) == 1


def test_a_node_replies_to_an_outdated_report_with_its_own(
    limiter: LoneRateLimiter,
) -> None:
    now = limiter._clock.read()
    limiter.record_limit(LIFE, HALL, 1.0, now - 5.0)
    limiter._clock.now += 1.0
    limiter.record_limit(LIFE, HALL, NO_LIMIT, now + 0.5)
    receive(limiter, make_report(1.0, 4.0, 3.0))
    assert limiter.get_limit(LIFE) == NO_LIMIT
    ((node, report),) = limiter.noted.sent
    assert node == OTHER
    assert report.limit is None


@pytest.mark.parametrize('gap', [-0.2, -0.01, 0.0, 0.01, 0.04, 0.06, 0.2])
def test_nodes_with_different_limits_converge(gap: float) -> None:
    first, second = (
        LoneRateLimiter(ManualClock()),
        LoneRateLimiter(ManualClock()),
    )
    first.record_limit(LIFE, HALL, 1.0, first._clock.now - 0.1)
    second._clock.now += gap
    second.record_limit(LIFE, HALL, 2.0, second._clock.now)
    first._clock.now = second._clock.now = 101.0
    pairs = [(first, second), (second, first)]
    for sender, _receiver in pairs:
        sender.on_opened(PeerLinks.Opened(make_record('other')))
    for _round in range(4):
        for sender, receiver in pairs:
            sent, sender.noted.sent = sender.noted.sent, []
            for _node, report in sent:
                receive(receiver, report)
    assert not first.noted.sent
    assert not second.noted.sent
    assert first.get_limit(LIFE) == second.get_limit(LIFE)


def test_a_new_peer_gets_all_reports(
    limiter: LoneRateLimiter,
) -> None:
    limiter.record_limit(LIFE, HALL, 1.0, 0.0)
    limiter.on_opened(PeerLinks.Opened(make_record('other')))
    ((_node, known),) = limiter.noted.sent
    other = LoneRateLimiter(ManualClock())
    receive(other, known)
    assert isinstance(known, KnownLimits)
    assert other.get_limit(LIFE) == 1.0


def test_a_permit_expires(limiter: LoneRateLimiter) -> None:
    limiter.record_limit(LIFE, HALL, 1.0, 0.0)
    permit = acquire(limiter)
    now = limiter._clock.read()
    assert limiter.may_send(LIFE, permit, now)
    assert not limiter.may_send(LIFE, permit, now + PERMIT_SECONDS)
    assert not limiter.may_send(LIFE, None, now)


def test_a_refused_node_waits_before_it_asks_again(
    limiter: LoneRateLimiter,
) -> None:
    limiter.record_limit(LIFE, HALL, 0.2, 0.0)
    while acquire(limiter) is not None:
        continue
    now = limiter._clock.read()
    assert not limiter.may_ask(LIFE, 0, now)
    wait = limiter.find_wait([LIFE], now)
    assert wait is not None
    assert limiter.may_ask(LIFE, 0, now + wait)
    unlimited = BoxLife(BoxId('b'), Incarnation(1))
    assert limiter.find_wait([LIFE, unlimited], now) is None


def test_a_node_issues_no_permits_right_after_its_start() -> None:
    limiter = LoneRateLimiter(ManualClock())
    limiter._issues_from = limiter._clock.read() + STARTUP_SECONDS
    limiter.record_limit(LIFE, HALL, 100.0, 0.0)
    assert acquire(limiter) is None
    limiter._clock.now += STARTUP_SECONDS + 3.0
    limiter.refresh(limiter._clock.now)
    limiter._clock.now += 5.0
    assert acquire(limiter) is not None


def test_an_issuer_learns_the_limit_from_a_request_and_answers(
    limiter: LoneRateLimiter,
) -> None:
    receive(limiter, PermitRequest(7, make_report(1.0, 0.1, 0.0), 0))
    assert limiter.get_limit(LIFE) == 1.0
    answers = [
        message
        for _node, message in limiter.noted.sent
        if isinstance(message, PermitAnswer)
    ]
    assert [answer.number for answer in answers] == [7]


def test_a_silent_issuer_times_out_and_its_late_permit_is_used(
    limiter: LoneRateLimiter,
) -> None:
    limiter.record_limit(LIFE, HALL, 1.0, 0.0)
    add_remote_issuers(limiter)
    assert acquire(limiter) is None
    asked = [message for _node, message in limiter.noted.sent]
    assert len(asked) == 2
    assert not limiter.may_ask(LIFE, 0, limiter._clock.read())
    receive(limiter, PermitAnswer(asked[0].number, 1, 0.0))
    assert limiter.may_ask(LIFE, 0, limiter._clock.read())
    assert acquire(limiter) is not None


def test_a_limit_ends_when_an_answer_reports_none(
    limiter: LoneRateLimiter,
) -> None:
    now = limiter._clock.read()
    limiter.record_limit(LIFE, HALL, 0.0, now)
    while acquire(limiter) is not None:
        continue
    limiter._clock.now += 1.0
    limiter.record_limit(LIFE, HALL, NO_LIMIT, now + 0.5)
    assert limiter.may_ask(LIFE, 0, limiter._clock.now)
    assert acquire(limiter) is not None
    assert limiter.count()['limited'] == 0


def test_retries_need_permits_too(harness: ForwarderHarness) -> None:

    async def send_requests() -> None:
        for _request in range(8):
            await harness.submit()
            for attempt in tuple(harness.attempts):
                if attempt.head is None and not attempt._is_abandoned:
                    await harness.deliver_head(
                        attempt, status=503, metadata=REJECTED
                    )

    asyncio.run(send_requests())
    assert harness.refusal is not None
    assert harness.refusal.code is Code.REPLICAS_LIMITED
    assert harness.refusal.ran is Ran.NOT_RUN
    assert harness.refusal.retry_after is not None
    assert harness.refusal.retry_after > 0


def test_a_connecting_request_is_not_sent_when_a_limit_is_reported(
    harness: ForwarderHarness,
) -> None:
    async def report_limit_while_connecting() -> None:
        harness.connects_at_once = False
        await harness.submit()
        (attempt,) = harness.attempts
        # Meanwhile the answer to another request reports the limit.
        attempt.destination.on_metadata(
            LIMITED, attempt.sent_at, harness.clock.now
        )
        assert not harness.may_send()
        attempt.post(Attempt.Fault(attempt, SendFault.TOO_LATE))
        await harness.run_pending()
        assert harness.attempts[-1].replica != attempt.replica

    asyncio.run(report_limit_while_connecting())


def test_a_request_asks_few_replicas_for_a_permit(
    limiter: LoneRateLimiter,
) -> None:
    now = limiter._clock.read()
    unlimited = BoxLife(BoxId('b'), Incarnation(1))
    limiter.record_limit(LIFE, HALL, 1.0, now)
    assert limiter.may_ask(LIFE, MAX_PERMIT_DENIALS - 1, now)
    assert not limiter.may_ask(LIFE, MAX_PERMIT_DENIALS, now)
    assert limiter.may_ask(unlimited, MAX_PERMIT_DENIALS, now)
