"""Requests that go through a peer where a node has lost its links."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from tests.forwarder_stage import Stage, drive
from tests.test_peer_chooser import make_node
from waywell.codes import Code, Ran
from waywell.connection.exchange import SendFault
from waywell.connection.forwarding import (
    FORWARDED_HEADER,
    ForwardMark,
    PeerRefusal,
    read_forward_mark,
    read_refusal,
)
from waywell.ids import ServiceName
from waywell.platform.messages import ServerWire
from waywell.request.ask import AnswerMark
from waywell.request.attempt import Attempt
from waywell.version.routes import RouteKind

LLM = ServiceName('llm')


def lose_links(stage: Stage) -> Stage:
    """Take a forwarder's links; two peers keep theirs."""
    stage.paths.is_lost = True
    stage.paths.peers = [make_node('b'), make_node('c')]
    return stage


@pytest.fixture
def lost(stage: Stage) -> Stage:
    """Return a forwarder of streams without links."""
    return lose_links(stage)


@pytest.fixture
def lost_once(monkeypatch: pytest.MonkeyPatch) -> Stage:
    """Return one without links whose requests run at most once."""
    stage = Stage(RouteKind.UNSAFE)
    drive(stage, monkeypatch)
    return lose_links(stage)


def name_peers(stage: Stage) -> list[str]:
    return [one.destination.key.box for one in stage.attempts]


async def refuse(
    stage: Stage, attempt: Attempt, code: Code, ran: Ran = Ran.NOT_RUN
) -> None:
    mark = AnswerMark(refusal=PeerRefusal(code, ran, 0.7))
    await stage.head(attempt, status=503, mark=mark)


def run(work: Any) -> None:
    asyncio.run(work())


def test_a_stream_through_a_peer_is_passed_on(lost: Stage) -> None:
    async def play() -> None:
        await lost.begin()
        (attempt,) = lost.attempts
        outgoing = attempt.destination.make_outgoing(lost.clock.now)
        assert outgoing.headers == ((FORWARDED_HEADER.encode(), b'own;2'),)
        await lost.head(attempt)
        await lost.events(attempt, 1, 2)
        await lost.end(attempt)
        assert lost.answer.end == 'whole'
        assert name_peers(lost) == ['b']

    run(play)


def test_a_peer_without_links_leaves_the_request_to_another(
    lost: Stage,
) -> None:
    async def play() -> None:
        await lost.begin()
        await refuse(lost, lost.attempts[0], Code.NODE_PARTITIONED)
        await lost.head(lost.attempts[1])
        await lost.events(lost.attempts[1], 1)
        await lost.end(lost.attempts[1])
        assert lost.answer.end == 'whole'
        assert name_peers(lost) == ['b', 'c']

    run(play)


def test_a_refusal_of_the_service_is_told_as_the_peer_tells_it(
    lost: Stage,
) -> None:
    async def play() -> None:
        await lost.begin()
        await refuse(lost, lost.attempts[0], Code.REPLICAS_REST)
        assert lost.refusal is not None
        assert lost.refusal.code is Code.REPLICAS_REST
        assert lost.refusal.ran is Ran.NOT_RUN
        assert lost.refusal.retry_after == 0.7
        assert len(lost.attempts) == 1

    run(play)


def test_not_run_is_not_said_where_a_peer_does_not_say_so(
    lost_once: Stage,
) -> None:
    async def play() -> None:
        await lost_once.begin()
        await refuse(
            lost_once,
            lost_once.attempts[0],
            Code.TARGET_FAILED,
            Ran.MAY_HAVE_RUN,
        )
        assert lost_once.refusal is not None
        assert lost_once.refusal.ran is Ran.MAY_HAVE_RUN
        assert len(lost_once.attempts) == 1

    run(play)


def test_what_runs_at_most_once_goes_to_no_second_peer(
    lost_once: Stage,
) -> None:
    async def play() -> None:
        await lost_once.begin()
        attempt = lost_once.attempts[0]
        attempt.tell(Attempt.Fault(attempt, SendFault.BROKEN))
        await lost_once.settle()
        assert lost_once.refusal is not None
        assert lost_once.refusal.ran is Ran.MAY_HAVE_RUN
        assert len(lost_once.attempts) == 1

    run(play)


def test_a_peer_that_is_not_reached_leaves_the_request_to_another(
    lost: Stage,
) -> None:
    async def play() -> None:
        lost.connects_at_once = False
        await lost.begin()
        attempt = lost.attempts[0]
        attempt.tell(Attempt.Fault(attempt, SendFault.NOT_SENT))
        await lost.settle()
        assert name_peers(lost) == ['b', 'c']
        assert not lost.quarantine.ended

    run(play)


def test_a_forwarded_request_goes_to_no_second_peer(lost: Stage) -> None:
    async def play() -> None:
        await lost.begin(ForwardMark('x', 2))
        assert lost.refusal is not None
        assert lost.refusal.code is Code.NODE_PARTITIONED
        assert lost.refusal.ran is Ran.NOT_RUN
        assert not lost.attempts

    run(play)


def test_a_forwarded_request_draws_on_the_sends_that_are_left(
    stage: Stage,
) -> None:
    async def play() -> None:
        await stage.begin(ForwardMark('x', 1))
        await stage.pass_time(3.0)
        assert len(stage.attempts) == 1

    run(play)


def test_a_forwarded_request_counts_at_the_node_that_was_asked(
    stage: Stage,
) -> None:
    async def play() -> None:
        await stage.begin(ForwardMark('x', 1))
        assert LLM not in stage.budget._counts  # noqa: SLF001
        await stage.begin()
        assert len(stage.budget._counts[LLM].requests) == 1  # noqa: SLF001

    run(play)


def test_a_request_waits_for_the_diagnosis_where_no_replica_is_left(
    stage: Stage,
) -> None:
    stage.paths.peers = [make_node('b')]
    stage.paths.is_found_lost = True

    async def play() -> None:
        stage.connects_at_once = False
        await stage.begin()
        for number in range(2):
            attempt = stage.attempts[number]
            attempt.tell(Attempt.Fault(attempt, SendFault.NOT_SENT))
            await stage.settle()
        assert name_peers(stage)[-1] == 'b'
        assert stage.refusal is None

    run(play)


def test_a_broken_peer_ends_no_replica(lost: Stage) -> None:
    async def play() -> None:
        await lost.begin()
        attempt = lost.attempts[0]
        attempt.tell(Attempt.Fault(attempt, SendFault.BROKEN))
        await lost.settle()
        assert not lost.quarantine.ended
        assert not lost.book.list_loads()

    run(play)


def test_the_headers_of_a_forwarded_request_are_those_of_its_caller() -> None:
    wire = ServerWire()
    headers = (
        (b'Host', b'shop.example'),
        (b'X-Request-Attempt-Id', b'a1'),
        (b'Authorization', b'Bearer secret'),
        (b'X-Deadline-Ms', b'8000'),
        (b'X-Own', b'kept'),
    )
    ask = wire.read_request('POST', '/notes/1', headers, b'body')
    sent = wire.make_forward_headers(ask, ForwardMark('own', 3), 2.5, 4)
    again = wire.read_request('POST', '/notes/1', sent, b'body')
    assert again.forwarded == ForwardMark('own', 3)
    assert (again.host, again.attempt) == ('shop.example', 'a1')
    assert (again.key, again.seconds, again.resume_after) == ('secret', 2.5, 4)
    names = [name.lower() for name, _text in again.headers]
    assert b'x-own' in names
    assert FORWARDED_HEADER.encode() not in names


@pytest.mark.parametrize('text', ['', 'own', ';2', 'own;x', 'own;-1'])
def test_a_mark_that_is_no_mark_is_none(text: str) -> None:
    assert read_forward_mark(text) is None


def test_only_a_refusal_of_a_node_is_read_as_one() -> None:
    assert read_refusal(((b'Retry-After', b'1'),)) is None
    told = (
        (b'Waywell-Code', b'2010'),
        (b'Waywell-Ran', b'not_run'),
        (b'Retry-After', b'0.25'),
    )
    assert read_refusal(told) == PeerRefusal(
        Code.REPLICAS_REST, Ran.NOT_RUN, 0.25
    )
    unknown = ((b'waywell-code', b'9999'), (b'waywell-ran', b'odd'))
    assert read_refusal(unknown) == PeerRefusal(
        Code.TARGET_UNREACHABLE, Ran.MAY_HAVE_RUN, None
    )
