"""Calls whose response has a malformed head count as unanswered."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from returns.result import Failure, Result, Success
from twisted.internet.error import ConnectionDone
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure as TwistedFailure
from twisted.web.client import Request
from twisted.web.http_headers import Headers

from tests.raw_heads import MALFORMED_HEADS, UNUSUAL_HEADS, RawAnswer
from waywell.connection import exchange, http_target
from waywell.connection.client_connection import ClientConnection
from waywell.connection.exchange import (
    OutgoingRequest,
    PendingRequest,
    SendFault,
    open_exchange,
)
from waywell.connection.http_client import HttpClient
from waywell.connection.http_target import HttpTarget
from waywell.connection.platform import PlatformFault
from waywell.connection.target import GroupOrder, OrderOutcome
from waywell.ids import BoxId, Epoch, GroupId
from waywell.version.roster import Member

SECONDS = 5.0

BOX = Member(BoxId('b'), '127.0.0.1', 1, boot=1)

ORDER = GroupOrder(GroupId('g'), Epoch(1), 'llm', 'small', (BoxId('b'),))


class _ReplayedConnection(ClientConnection):
    """Connection that receives a response as soon as a request is sent."""

    def __init__(self, answer: RawAnswer) -> None:
        super().__init__()
        self._answer = answer
        self.makeConnection(StringTransport())

    def request(self, request: Any) -> Any:
        deferred = super().request(request)
        self.dataReceived(self._answer.encode_response())
        if not self.transport.disconnecting:
            self.connectionLost(TwistedFailure(ConnectionDone()))
        return deferred


class _ReplayingAgent:
    """Agent whose requests all get the same response."""

    def __init__(self, answer: RawAnswer) -> None:
        self._answer = answer

    def request(self, method: bytes, *_details: Any) -> Any:
        headers = Headers({'host': ['x']})
        return _ReplayedConnection(self._answer).request(
            Request(method, b'/', headers, None, persistent=False)
        )


def call(monkeypatch: pytest.MonkeyPatch, answer: RawAnswer) -> Result:
    """Return the outcome of a call to the store or to a box."""
    client = HttpClient('http://127.0.0.1:1', SECONDS)
    monkeypatch.setattr(client, '_agent', _ReplayingAgent(answer))
    return asyncio.run(client.call('PUT', '/x', b'{}'))


@pytest.mark.parametrize('name', MALFORMED_HEADS)
def test_a_call_with_a_malformed_response_counts_as_unanswered(
    monkeypatch: pytest.MonkeyPatch, name: str
) -> None:
    assert call(monkeypatch, MALFORMED_HEADS[name]) == Failure(
        PlatformFault.UNANSWERED
    )


@pytest.mark.parametrize('name', UNUSUAL_HEADS)
def test_a_call_with_an_unusual_response_is_answered(
    monkeypatch: pytest.MonkeyPatch, name: str
) -> None:
    answered = call(monkeypatch, UNUSUAL_HEADS[name])
    assert isinstance(answered, Success)
    assert answered.unwrap().status == 200


def make_target(
    monkeypatch: pytest.MonkeyPatch, status_line: bytes, body: bytes
) -> HttpTarget:
    """Return a client of boxes that all send the same response."""
    length = b'content-length: %d' % len(body)
    answer = RawAnswer(status_line, framing=(length,), body=body)
    monkeypatch.setattr(
        http_target, 'Agent', lambda *_args, **_kwargs: _ReplayingAgent(answer)
    )
    return HttpTarget(SECONDS)


def test_a_box_that_answers_probes_malformed_has_no_state(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    probe = b'{"box": "b"}'
    sound = make_target(monkeypatch, b'HTTP/1.1 200 OK', probe)
    assert asyncio.run(sound.probe(BOX, SECONDS)) is not None
    broken = make_target(monkeypatch, b'HTTP/1.1 000 Odd', probe)
    assert asyncio.run(broken.probe(BOX, SECONDS)) is None


def test_an_order_that_is_answered_malformed_is_not_accepted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    sound = make_target(monkeypatch, b'HTTP/1.1 200 OK', b'')
    assert asyncio.run(sound.order(BOX, ORDER, SECONDS)) is (
        OrderOutcome.ACCEPTED
    )
    broken = make_target(monkeypatch, b'HTTP/1.1 000 Odd', b'')
    assert asyncio.run(broken.order(BOX, ORDER, SECONDS)) is (
        OrderOutcome.UNKNOWN
    )


@pytest.mark.parametrize(
    ('answer', 'fault'),
    [
        (RawAnswer(b'HTTP/1.1 000 Odd'), SendFault.MALFORMED),
        (RawAnswer(sent=30), SendFault.BROKEN),
    ],
)
def test_the_fault_of_an_attempt_tells_malformed_from_broken(
    monkeypatch: pytest.MonkeyPatch, answer: RawAnswer, fault: SendFault
) -> None:
    async def connect(*_address: Any) -> Result:
        return Success(_ReplayedConnection(answer))

    monkeypatch.setattr(exchange, '_connect', connect)
    sent: list[PendingRequest] = []
    outgoing = OutgoingRequest('127.0.0.1', 1, 'GET', '/', ((b'host', b'x'),))
    opened = asyncio.run(
        open_exchange(outgoing, SECONDS, lambda: True, sent.append)
    )
    assert opened == Failure(fault)
    assert len(sent) == 1
