"""Requests forwarded through a peer by a node without links to replicas."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from tests.forwarder_harness import ForwarderHarness, intercept_attempts
from tests.test_peer_chooser import make_node
from waywell.codes import Code, Ran
from waywell.connection.exchange import SendFault
from waywell.connection.forwarding import (
    FORWARDED_HEADER,
    ForwardingHeader,
    PeerRefusal,
    parse_forwarding_header,
    read_refusal,
)
from waywell.ids import ServiceName
from waywell.platform.messages import ServerWire
from waywell.request.attempt import Attempt
from waywell.request.decoded_request import AnswerMetadata
from waywell.version.routes import RouteKind

LLM = ServiceName('llm')


def cut_links(harness: ForwarderHarness) -> ForwarderHarness:
    """Cut a forwarder off from replicas; two peers keep their links."""
    harness.paths.is_lost = True
    harness.paths.peers = [make_node('b'), make_node('c')]
    return harness


@pytest.fixture
def partitioned(harness: ForwarderHarness) -> ForwarderHarness:
    """Return a forwarder of streams that is cut off from replicas."""
    return cut_links(harness)


@pytest.fixture
def partitioned_unsafe(monkeypatch: pytest.MonkeyPatch) -> ForwarderHarness:
    """Return one like it whose requests may run at most once."""
    harness = ForwarderHarness(RouteKind.UNSAFE)
    intercept_attempts(harness, monkeypatch)
    return cut_links(harness)


def name_peers(harness: ForwarderHarness) -> list[str]:
    return [attempt.destination.key.box for attempt in harness.attempts]


async def refuse(
    harness: ForwarderHarness,
    attempt: Attempt,
    code: Code,
    ran: Ran = Ran.NOT_RUN,
) -> None:
    metadata = AnswerMetadata(refusal=PeerRefusal(code, ran, 0.7))
    await harness.deliver_head(attempt, status=503, metadata=metadata)


def run(scenario: Any) -> None:
    asyncio.run(scenario())


def test_a_stream_through_a_peer_is_relayed(
    partitioned: ForwarderHarness,
) -> None:
    async def scenario() -> None:
        await partitioned.submit()
        (attempt,) = partitioned.attempts
        outgoing = attempt.destination.make_outgoing(partitioned.clock.now)
        assert outgoing.headers == ((FORWARDED_HEADER.encode(), b'own;2'),)
        await partitioned.deliver_head(attempt)
        await partitioned.deliver_events(attempt, 1, 2)
        await partitioned.deliver_end(attempt)
        assert partitioned.answer.end == 'complete'
        assert name_peers(partitioned) == ['b']

    run(scenario)


def test_another_peer_is_tried_after_one_without_links(
    partitioned: ForwarderHarness,
) -> None:
    async def scenario() -> None:
        await partitioned.submit()
        await refuse(
            partitioned, partitioned.attempts[0], Code.NODE_PARTITIONED
        )
        await partitioned.deliver_head(partitioned.attempts[1])
        await partitioned.deliver_events(partitioned.attempts[1], 1)
        await partitioned.deliver_end(partitioned.attempts[1])
        assert partitioned.answer.end == 'complete'
        assert name_peers(partitioned) == ['b', 'c']

    run(scenario)


def test_a_refusal_that_concerns_the_service_is_relayed_unchanged(
    partitioned: ForwarderHarness,
) -> None:
    async def scenario() -> None:
        await partitioned.submit()
        await refuse(partitioned, partitioned.attempts[0], Code.REPLICAS_REST)
        assert partitioned.refusal is not None
        assert partitioned.refusal.code is Code.REPLICAS_REST
        assert partitioned.refusal.ran is Ran.NOT_RUN
        assert partitioned.refusal.retry_after == 0.7
        assert len(partitioned.attempts) == 1

    run(scenario)


def test_not_run_is_reported_only_if_the_peer_reports_it(
    partitioned_unsafe: ForwarderHarness,
) -> None:
    async def scenario() -> None:
        await partitioned_unsafe.submit()
        await refuse(
            partitioned_unsafe,
            partitioned_unsafe.attempts[0],
            Code.TARGET_FAILED,
            Ran.MAY_HAVE_RUN,
        )
        assert partitioned_unsafe.refusal is not None
        assert partitioned_unsafe.refusal.ran is Ran.MAY_HAVE_RUN
        assert len(partitioned_unsafe.attempts) == 1

    run(scenario)


def test_an_unsafe_request_is_not_sent_to_a_second_peer(
    partitioned_unsafe: ForwarderHarness,
) -> None:
    async def scenario() -> None:
        await partitioned_unsafe.submit()
        attempt = partitioned_unsafe.attempts[0]
        attempt.post(Attempt.Fault(attempt, SendFault.BROKEN))
        await partitioned_unsafe.run_pending()
        assert partitioned_unsafe.refusal is not None
        assert partitioned_unsafe.refusal.ran is Ran.MAY_HAVE_RUN
        assert len(partitioned_unsafe.attempts) == 1

    run(scenario)


def test_another_peer_is_tried_after_an_unreachable_one(
    partitioned: ForwarderHarness,
) -> None:
    async def scenario() -> None:
        partitioned.connects_at_once = False
        await partitioned.submit()
        attempt = partitioned.attempts[0]
        attempt.post(Attempt.Fault(attempt, SendFault.NOT_SENT))
        await partitioned.run_pending()
        assert name_peers(partitioned) == ['b', 'c']
        assert not partitioned.quarantine.ended

    run(scenario)


def test_a_forwarded_request_is_not_forwarded_again(
    partitioned: ForwarderHarness,
) -> None:
    async def scenario() -> None:
        await partitioned.submit(ForwardingHeader('x', 2))
        assert partitioned.refusal is not None
        assert partitioned.refusal.code is Code.NODE_PARTITIONED
        assert partitioned.refusal.ran is Ran.NOT_RUN
        assert not partitioned.attempts

    run(scenario)


def test_a_forwarded_request_is_limited_to_the_remaining_sends(
    harness: ForwarderHarness,
) -> None:
    async def scenario() -> None:
        await harness.submit(ForwardingHeader('x', 1))
        await harness.advance_time(3.0)
        assert len(harness.attempts) == 1

    run(scenario)


def test_a_forwarded_request_counts_at_the_node_that_received_it_first(
    harness: ForwarderHarness,
) -> None:
    async def scenario() -> None:
        await harness.submit(ForwardingHeader('x', 1))
        assert LLM not in harness.budget._sent  # noqa: SLF001
        await harness.submit()
        assert len(harness.budget._sent[LLM].requests) == 1  # noqa: SLF001

    run(scenario)


def test_a_request_waits_for_the_link_diagnosis_if_no_replica_is_left(
    harness: ForwarderHarness,
) -> None:
    harness.paths.peers = [make_node('b')]
    harness.paths.finds_loss = True

    async def scenario() -> None:
        harness.connects_at_once = False
        await harness.submit()
        for number in range(2):
            attempt = harness.attempts[number]
            attempt.post(Attempt.Fault(attempt, SendFault.NOT_SENT))
            await harness.run_pending()
        assert name_peers(harness)[-1] == 'b'
        assert harness.refusal is None

    run(scenario)


def test_a_failure_at_a_peer_is_not_attributed_to_a_replica(
    partitioned: ForwarderHarness,
) -> None:
    async def scenario() -> None:
        await partitioned.submit()
        attempt = partitioned.attempts[0]
        attempt.post(Attempt.Fault(attempt, SendFault.BROKEN))
        await partitioned.run_pending()
        assert not partitioned.quarantine.ended
        assert not partitioned.replica_table.list_loads()

    run(scenario)


def test_a_forwarded_request_keeps_the_headers_of_its_caller() -> None:
    wire = ServerWire()
    headers = (
        (b'Host', b'shop.example'),
        (b'X-Request-Attempt-Id', b'a1'),
        (b'Authorization', b'Bearer secret'),
        (b'X-Deadline-Ms', b'8000'),
        (b'X-Own', b'kept'),
    )
    request = wire.read_request('POST', '/notes/1', headers, b'body')
    sent = wire.make_forward_headers(
        request, ForwardingHeader('own', 3), 2.5, 4
    )
    received = wire.read_request('POST', '/notes/1', sent, b'body')
    assert received.forwarded == ForwardingHeader('own', 3)
    assert (received.host, received.attempt_id) == ('shop.example', 'a1')
    assert (
        received.api_key,
        received.timeout_seconds,
        received.resume_after,
    ) == ('secret', 2.5, 4)
    names = [name.lower() for name, _text in received.headers]
    assert b'x-own' in names
    assert FORWARDED_HEADER.encode() not in names


@pytest.mark.parametrize('text', ['', 'own', ';2', 'own;x', 'own;-1'])
def test_a_malformed_forwarding_header_is_ignored(text: str) -> None:
    assert parse_forwarding_header(text) is None


def test_a_refusal_is_recognized_by_the_headers_of_a_node() -> None:
    assert read_refusal(((b'Retry-After', b'1'),)) is None
    refused = (
        (b'Waywell-Code', b'2010'),
        (b'Waywell-Ran', b'not_run'),
        (b'Retry-After', b'0.25'),
    )
    assert read_refusal(refused) == PeerRefusal(
        Code.REPLICAS_REST, Ran.NOT_RUN, 0.25
    )
    unknown = ((b'waywell-code', b'9999'), (b'waywell-ran', b'odd'))
    assert read_refusal(unknown) == PeerRefusal(
        Code.TARGET_UNREACHABLE, Ran.MAY_HAVE_RUN, None
    )
