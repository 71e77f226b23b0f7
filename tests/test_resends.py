"""Requests are sent again only if they may run again, in time and in budget."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from tests.forwarder_harness import ForwarderHarness, intercept_attempts
from tests.test_forwarded_requests import LLM, cut_links
from tests.test_peer_chooser import make_node
from waywell.codes import Code, Ran, Refusal
from waywell.connection.exchange import SendFault
from waywell.connection.forwarding import ForwardingHeader, PeerRefusal
from waywell.connection.front import _choose_status
from waywell.request.attempt import Attempt
from waywell.request.decoded_request import AnswerMetadata
from waywell.version.routes import RouteKind

PROMISES = {408, 421, 429, 503}
"""Statuses that promise that a request has not run."""

PEER_CODES = (
    Code.NODE_LEAVING,
    Code.NODE_PARTITIONED,
    Code.NODE_STARTING,
    Code.NODE_BUSY,
    Code.ROUTES_STALE,
)
"""Refusals after which another peer may serve a request."""

RAN = (Ran.MAY_HAVE_RUN, Ran.RAN)

ONCE_ONLY = ('unsafe', 'stream')
"""Kinds of requests that may run once."""


class Scenario:
    """Creates forwarders whose attempts a test drives, and runs tests."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self._monkeypatch = monkeypatch

    def make(
        self,
        kind: str,
        most_targets: int = 2,
        read_per_second: float = 0.0,
        *,
        is_cut: bool = False,
    ) -> ForwarderHarness:
        route_kind = {
            'unsafe': RouteKind.UNSAFE,
            'safe': RouteKind.SAFE,
        }.get(kind, RouteKind.STREAM)
        harness = ForwarderHarness(
            route_kind,
            most_targets,
            read_per_second,
            is_resumable=kind == 'resumable',
        )
        intercept_attempts(harness, self._monkeypatch)
        return cut_links(harness) if is_cut else harness


@pytest.fixture
def scenario(monkeypatch: pytest.MonkeyPatch) -> Scenario:
    return Scenario(monkeypatch)


async def refuse(
    harness: ForwarderHarness,
    number: int,
    code: Code,
    ran: Ran,
    sends: int | None = None,
) -> None:
    """Deliver a peer's refusal of one attempt."""
    told = {} if sends is None else {'sends': sends}
    refusal = PeerRefusal(code, ran, 0.7, **told)
    await harness.deliver_head(
        harness.attempts[number],
        status=503,
        metadata=AnswerMetadata(refusal=refusal),
    )


async def fail(
    harness: ForwarderHarness, number: int, fault: SendFault
) -> None:
    attempt = harness.attempts[number]
    attempt.post(Attempt.Fault(attempt, fault))
    await harness.run_pending()


def run(coroutine: Any) -> None:
    asyncio.run(coroutine)


def check_failed(harness: ForwarderHarness) -> None:
    """Assert that the caller is told that the request may have run."""
    assert harness.refusal is not None
    assert harness.refusal.ran is Ran.MAY_HAVE_RUN
    assert _choose_status(harness.refusal) == 502


@pytest.mark.parametrize('ran', RAN)
@pytest.mark.parametrize('code', PEER_CODES)
@pytest.mark.parametrize('kind', ONCE_ONLY)
def test_a_request_that_may_run_once_is_not_sent_to_another_peer(
    scenario: Scenario, kind: str, code: Code, ran: Ran
) -> None:
    """A peer that ended with unsafe requests had them run a second time."""

    async def play() -> None:
        harness = scenario.make(kind, is_cut=True)
        await harness.submit()
        await refuse(harness, 0, code, ran)
        assert len(harness.attempts) == 1
        check_failed(harness)

    run(play())


@pytest.mark.parametrize('code', PEER_CODES)
@pytest.mark.parametrize('kind', [*ONCE_ONLY, 'safe', 'resumable'])
def test_a_request_that_a_peer_has_not_sent_goes_to_another_one(
    scenario: Scenario, kind: str, code: Code
) -> None:
    async def play() -> None:
        harness = scenario.make(kind, 1, is_cut=True)
        await harness.submit()
        await refuse(harness, 0, code, Ran.NOT_RUN)
        assert len(harness.attempts) == 2
        assert harness.refusal is None
        assert not harness.budget._sent[LLM].resends  # noqa: SLF001

    run(play())


@pytest.mark.parametrize('told', [None, 1, 2, 3, 9])
@pytest.mark.parametrize('most_targets', [1, 2, 3])
@pytest.mark.parametrize('kind', ['safe', 'resumable'])
def test_peers_send_to_no_more_replicas_than_the_route_allows(
    scenario: Scenario, kind: str, most_targets: int, told: int | None
) -> None:
    """A peer that says nothing may have used all sends it could."""
    used = most_targets if told is None else told

    async def play() -> None:
        harness = scenario.make(kind, most_targets, is_cut=True)
        await harness.submit()
        await refuse(harness, 0, Code.NODE_LEAVING, Ran.MAY_HAVE_RUN, told)
        if used < most_targets:
            peer = harness.attempts[1].destination
            assert peer.count_sends() == most_targets - used
            resends = harness.budget._sent[LLM].resends  # noqa: SLF001
            assert len(resends) == 1
        else:
            assert len(harness.attempts) == 1
            check_failed(harness)

    run(play())


@pytest.mark.parametrize('told', [None, 0])
def test_a_peer_that_may_have_sent_a_request_counts_for_one_replica(
    scenario: Scenario, told: int | None
) -> None:
    async def play() -> None:
        harness = scenario.make('safe', 1, is_cut=True)
        await harness.submit()
        await refuse(harness, 0, Code.NODE_LEAVING, Ran.MAY_HAVE_RUN, told)
        assert len(harness.attempts) == 1
        check_failed(harness)

    run(play())


@pytest.mark.parametrize(('most_targets', 'attempts'), [(1, 1), (2, 2)])
def test_replicas_that_reject_a_request_at_a_peer_count_as_sends(
    scenario: Scenario, most_targets: int, attempts: int
) -> None:
    async def play() -> None:
        harness = scenario.make('safe', most_targets, is_cut=True)
        await harness.submit()
        await refuse(harness, 0, Code.NODE_PARTITIONED, Ran.NOT_RUN, 1)
        assert len(harness.attempts) == attempts
        resends = harness.budget._sent[LLM].resends  # noqa: SLF001
        assert len(resends) == attempts - 1
        if attempts == 1:
            assert harness.refusal is not None
            assert harness.refusal.ran is Ran.NOT_RUN

    run(play())


def test_a_resend_through_a_peer_draws_on_the_budget(
    scenario: Scenario,
) -> None:
    async def play() -> None:
        harness = scenario.make('safe', 2, is_cut=True)
        for _resend in range(100):
            harness.budget.spend(LLM, 1, harness.clock.now)
        await harness.submit()
        await refuse(harness, 0, Code.NODE_LEAVING, Ran.MAY_HAVE_RUN, 1)
        assert len(harness.attempts) == 1
        check_failed(harness)

    run(play())


@pytest.mark.parametrize('kind', ONCE_ONLY)
def test_a_peer_may_send_a_request_that_may_run_once_to_one_replica(
    scenario: Scenario, kind: str
) -> None:
    """The routes of the peer may be older and allow it to repeat."""

    async def play() -> None:
        harness = scenario.make(kind, 3, is_cut=True)
        await harness.submit()
        assert harness.attempts[0].destination.count_sends() == 1

    run(play())


def test_a_hedge_beside_an_attempt_that_connects_adds_no_send(
    scenario: Scenario,
) -> None:
    async def play() -> None:
        harness = scenario.make('safe', 1)
        harness.connects_at_once = False
        await harness.submit()
        await harness.advance_time(0.3)
        may_send = list(harness.may_send_by_attempt.values())
        assert len(may_send) == 2
        assert may_send[1]()
        assert not may_send[0]()

    run(play())


@pytest.mark.parametrize('kind', ['safe', 'resumable', *ONCE_ONLY])
def test_an_attempt_of_a_request_that_has_ended_writes_nothing(
    scenario: Scenario, kind: str
) -> None:
    """A connection may come up in the turn in which the request is refused."""

    async def play() -> None:
        harness = scenario.make(kind)
        harness.connects_at_once = False
        await harness.submit()
        harness.forwarder.end_requests(harness.clock.now)
        await harness.run_pending()
        assert harness.refusal is not None
        assert harness.refusal.ran is Ran.NOT_RUN
        assert not harness.may_send()

    run(play())


def test_a_resend_that_reached_nobody_draws_on_the_budget_once(
    scenario: Scenario,
) -> None:
    async def play() -> None:
        harness = scenario.make('safe', 2)
        await harness.submit()
        harness.connects_at_once = False
        await fail(harness, 0, SendFault.BROKEN)
        resends = harness.budget._sent[LLM].resends  # noqa: SLF001
        assert len(resends) == 1
        harness.paths.is_lost = True
        cut_links(harness)
        await fail(harness, 1, SendFault.NOT_SENT)
        assert len(harness.attempts) == 3
        assert len(resends) == 1

    run(play())


@pytest.mark.parametrize(('seconds', 'attempts'), [(2.01, 2), (1.99, 1)])
def test_a_stream_is_resumed_only_if_an_event_can_arrive_in_time(
    scenario: Scenario, seconds: float, attempts: int
) -> None:
    """A replica reads the prompt of 1,000 tokens in 2 s."""

    async def play() -> None:
        harness = scenario.make('resumable', 2, read_per_second=500.0)
        await harness.submit(timeout_seconds=8.0, prompt_tokens=1000)
        harness.clock.now += 8.0 - seconds
        harness.cluster.confirm_fleet(harness.clock.now)
        await fail(harness, 0, SendFault.BROKEN)
        assert len(harness.attempts) == attempts
        if attempts == 1:
            check_failed(harness)

    run(play())


@pytest.mark.parametrize('fault', [SendFault.BROKEN, SendFault.MALFORMED])
@pytest.mark.parametrize('is_cut', [False, True])
@pytest.mark.parametrize('kind', ONCE_ONLY)
def test_a_request_that_may_not_run_again_fails_at_once(
    scenario: Scenario, kind: str, is_cut: bool, fault: SendFault
) -> None:
    async def play() -> None:
        harness = scenario.make(kind, 3, is_cut=is_cut)
        await harness.submit()
        await fail(harness, 0, fault)
        assert len(harness.attempts) == 1
        check_failed(harness)

    run(play())


@pytest.mark.parametrize('code', [Code.NO_ROUTE, Code.UNKNOWN_KEY])
def test_a_request_that_may_have_run_is_not_reported_as_at_fault(
    scenario: Scenario, code: Code
) -> None:
    """A peer with older routes refuses what another replica has run."""

    async def play() -> None:
        harness = scenario.make('safe', 2)
        await harness.submit()
        cut_links(harness)
        await fail(harness, 0, SendFault.BROKEN)
        await refuse(harness, 1, code, Ran.NOT_RUN)
        check_failed(harness)

    run(play())


@pytest.mark.parametrize('ran', RAN)
@pytest.mark.parametrize('code', list(Code))
def test_no_status_promises_what_is_not_known(code: Code, ran: Ran) -> None:
    assert Refusal(code, ran, sends=1).status not in PROMISES
    assert _choose_status(Refusal(code, ran)) not in PROMISES


def test_a_node_tells_how_many_replicas_may_have_received_a_request(
    scenario: Scenario,
) -> None:
    async def play() -> None:
        harness = scenario.make('safe', 3)
        await harness.submit(ForwardingHeader('x', 2))
        await fail(harness, 0, SendFault.BROKEN)
        harness.forwarder.end_requests(harness.clock.now)
        await harness.run_pending()
        assert harness.refusal is not None
        assert harness.refusal.code is Code.NODE_LEAVING
        assert harness.refusal.sends == 2

    run(play())


def test_two_peers_that_leave_one_after_the_other_share_the_sends(
    scenario: Scenario,
) -> None:
    async def play() -> None:
        harness = scenario.make('safe', 3, is_cut=True)
        harness.paths.peers.append(make_node('d'))
        await harness.submit()
        for number in range(2):
            await refuse(
                harness, number, Code.NODE_LEAVING, Ran.MAY_HAVE_RUN, 1
            )
        assert harness.attempts[2].destination.count_sends() == 1
        await refuse(harness, 2, Code.NODE_LEAVING, Ran.MAY_HAVE_RUN, 1)
        assert len(harness.attempts) == 3
        check_failed(harness)

    run(play())


def test_a_resend_that_a_peer_has_not_sent_draws_on_the_budget_once(
    scenario: Scenario,
) -> None:
    async def play() -> None:
        harness = scenario.make('safe', 2)
        await harness.submit()
        cut_links(harness)
        await fail(harness, 0, SendFault.BROKEN)
        await refuse(harness, 1, Code.NODE_LEAVING, Ran.NOT_RUN)
        assert len(harness.attempts) == 3
        assert len(harness.budget._sent[LLM].resends) == 1  # noqa: SLF001

    run(play())


@pytest.mark.parametrize('kind', ['safe', 'resumable'])
def test_a_node_whose_links_are_back_needs_no_other_peer(
    scenario: Scenario, kind: str
) -> None:
    async def play() -> None:
        harness = scenario.make(kind, 2, is_cut=True)
        await harness.submit()
        harness.paths.is_lost = False
        await refuse(harness, 0, Code.NODE_LEAVING, Ran.MAY_HAVE_RUN, 1)
        assert harness.attempts[1].destination.replica is not None

    run(play())


@pytest.mark.parametrize(
    ('kind', 'attempts'), [('resumable', 2), ('stream', 1)]
)
def test_a_begun_stream_goes_on_through_a_peer_only_if_it_may_be_resumed(
    scenario: Scenario, kind: str, attempts: int
) -> None:
    async def play() -> None:
        harness = scenario.make(kind, 2)
        await harness.submit()
        await harness.deliver_head(harness.attempts[0])
        await harness.deliver_events(harness.attempts[0], 1, 2)
        cut_links(harness)
        await harness.deliver_end(harness.attempts[0], is_whole=False)
        assert len(harness.attempts) == attempts
        assert harness.answer.end == ('' if attempts == 2 else 'aborted')

    run(play())


@pytest.mark.parametrize('is_cut', [False, True])
@pytest.mark.parametrize('kind', ONCE_ONLY)
def test_a_request_that_may_run_once_is_not_hedged(
    scenario: Scenario, kind: str, is_cut: bool
) -> None:
    """A suspended peer or replica is silent until the deadline."""

    async def play() -> None:
        harness = scenario.make(kind, 3, is_cut=is_cut)
        await harness.submit()
        await harness.advance_time(1.0)
        assert harness.refusal is None
        await harness.advance_time(7.0)
        assert len(harness.attempts) == 1
        assert harness.refusal is not None
        assert harness.refusal.ran is Ran.MAY_HAVE_RUN
        assert _choose_status(harness.refusal) == 504

    run(play())


@pytest.mark.parametrize('is_cut', [False, True])
@pytest.mark.parametrize('most_targets', [1, 2, 3])
def test_a_silent_safe_request_is_hedged_within_its_sends(
    scenario: Scenario, most_targets: int, is_cut: bool
) -> None:
    """A peer hedges by itself, as it has all sends of the request."""

    async def play() -> None:
        harness = scenario.make('safe', most_targets, is_cut=is_cut)
        await harness.submit()
        for _hedge in range(4):
            await harness.advance_time(1.0)
        assert len(harness.attempts) == (1 if is_cut else min(2, most_targets))

    run(play())
