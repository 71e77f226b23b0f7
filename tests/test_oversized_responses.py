"""Tests of the limits of responses on a fake transport."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from twisted.internet.error import ConnectionAborted
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure
from twisted.web.client import Request, ResponseFailed
from twisted.web.http_headers import Headers

from tests.endless_answers import (
    ENDLESS_BODIES,
    ENDLESS_EVENTS,
    ENDLESS_FRAMING,
    ENDLESS_HEADS,
    Shape,
)
from waywell.connection.body_end import BodyEnd
from waywell.connection.client_connection import (
    MAX_HEAD_BYTES,
    ClientConnection,
    ClientResponse,
)
from waywell.connection.exchange import BodySink, Exchange
from waywell.connection.http_target import HttpTargetAnswer
from waywell.request.attempt import (
    MAX_BUFFERED_BYTES,
    MAX_EVENT_BYTES,
    MAX_QUEUED_BYTES,
    Attempt,
    Inbox,
    make_reader,
)
from waywell.request.stream_progress import StreamProgress
from waywell.telemetry.events import open_log

SENT_BYTES = 4 * MAX_EVENT_BYTES
"""Bytes after which a connection that is still open fails a test."""

READ_BYTES = 65_536
"""Most bytes that a connection receives at once."""


class _Link:
    """Client connection on a fake transport, with one request after another."""

    def __init__(self, persistent: bool = False) -> None:
        self.transport = StringTransport()
        self.connection = ClientConnection()
        self.connection.makeConnection(self.transport)
        self.responses: list[ClientResponse] = []
        self.failures: list[Failure] = []
        self._persistent = persistent

    @property
    def is_open(self) -> bool:
        return not self.transport.disconnecting

    def request(self) -> None:
        headers = Headers({'host': ['x']})
        request = Request(b'GET', b'/', headers, None, self._persistent)
        requested: Any = self.connection.request(request)
        requested.addCallbacks(self.responses.append, self.failures.append)

    def receive_until_closed(self, raw: bytes, repeated: bytes) -> int:
        """Receive without end; return the bytes until the connection ends."""
        received = 0
        while self.is_open and received < SENT_BYTES:
            self.connection.dataReceived(raw)
            received += len(raw)
            raw = repeated
        if self.transport.disconnecting:
            self.connection.connectionLost(Failure(ConnectionAborted()))
        return received


class _Sink(BodySink):
    """Records the size of the body and its end."""

    def __init__(self) -> None:
        self.size = 0
        self.ends: list[BodyEnd] = []

    def on_bytes(self, raw: bytes) -> None:
        self.size += len(raw)

    def on_end(self, end: BodyEnd) -> None:
        self.ends.append(end)


class _StubAttempt:
    """Attempt that posts its messages to an inbox."""

    def __init__(self, inbox: Inbox) -> None:
        self.inbox = inbox
        self.progress = StreamProgress()
        self.event_count = 0

    def post(self, message: object, size: int = 0) -> None:
        self.inbox.put(message, size)

    def record_event(self) -> None:
        self.event_count += 1


@pytest.mark.parametrize('shape', ENDLESS_HEADS, ids=lambda shape: shape.name)
def test_a_head_without_end_is_aborted_and_brings_no_response(
    shape: Shape,
) -> None:
    link = _Link()
    link.request()
    received = link.receive_until_closed(shape.begin, shape.repeated)
    assert received <= MAX_HEAD_BYTES + len(shape.repeated)
    assert link.transport.disconnected
    assert not link.responses
    (failure,) = link.failures
    assert failure.check(ResponseFailed)


@pytest.mark.parametrize('shape', ENDLESS_HEADS, ids=lambda shape: shape.name)
def test_a_head_without_end_on_a_kept_connection_is_aborted(
    shape: Shape,
) -> None:
    link = _Link(persistent=True)
    link.request()
    link.connection.dataReceived(
        b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'
    )
    assert len(link.responses) == 1
    link.request()
    received = link.receive_until_closed(shape.begin, shape.repeated)
    assert received <= MAX_HEAD_BYTES + len(shape.repeated)
    assert len(link.responses) == 1
    assert len(link.failures) == 1


@pytest.mark.parametrize(
    'shape', ENDLESS_FRAMING, ids=lambda shape: shape.name
)
def test_framing_without_end_truncates_the_body(shape: Shape) -> None:
    link = _Link()
    link.request()
    link.connection.dataReceived(shape.make_begin({}))
    sink = _Sink()
    Exchange(link.responses[0]).deliver(sink)
    received = link.receive_until_closed(shape.repeated, shape.repeated)
    assert received < SENT_BYTES
    assert link.transport.disconnected
    assert sink.ends == [BodyEnd.TRUNCATED]


def make_head(size: int, framing: bytes) -> bytes:
    """Return a response head of a size in bytes."""
    begin = b'HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\n' + framing
    lines = b'x: %s\r\n' % (b'a' * 995)
    count = (size - len(begin)) // len(lines) - 1
    rest = size - len(begin) - count * len(lines) - len(b'x: \r\n\r\n')
    return begin + lines * count + b'x: %s\r\n\r\n' % (b'a' * rest)


@pytest.mark.parametrize('step', [1, 1000, READ_BYTES])
def test_a_head_at_the_limit_is_accepted_on_each_request(step: int) -> None:
    link = _Link(persistent=True)
    head = make_head(MAX_HEAD_BYTES, b'content-length: 2\r\n')
    assert len(head) == MAX_HEAD_BYTES
    for number in (1, 2):
        link.request()
        raw = head + b'ab'
        sink = _Sink()
        for begin in range(0, len(raw), step):
            link.connection.dataReceived(raw[begin : begin + step])
            if len(link.responses) == number and not sink.size:
                Exchange(link.responses[-1]).deliver(sink)
        assert sink.ends == [BodyEnd.DELIMITED]
        assert sink.size == 2
    assert link.is_open


@pytest.mark.parametrize('step', [1, 1000, READ_BYTES])
def test_a_head_over_the_limit_is_aborted(step: int) -> None:
    link = _Link()
    link.request()
    raw = make_head(MAX_HEAD_BYTES + 1, b'content-length: 2\r\n') + b'ab'
    for begin in range(0, len(raw), step):
        if link.is_open:
            link.connection.dataReceived(raw[begin : begin + step])
    assert not link.is_open
    assert not link.responses


def test_a_body_that_arrives_with_its_head_does_not_count_as_head() -> None:
    link = _Link()
    link.request()
    body = bytes(2 * MAX_HEAD_BYTES)
    link.connection.dataReceived(
        b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s' % (len(body), body)
    )
    sink = _Sink()
    Exchange(link.responses[0]).deliver(sink)
    assert sink.size == len(body)
    assert sink.ends == [BodyEnd.DELIMITED]


@pytest.mark.parametrize('shape', ENDLESS_EVENTS, ids=lambda shape: shape.name)
def test_an_event_without_end_truncates_its_stream(shape: Shape) -> None:
    link, inbox = _Link(), Inbox()
    link.request()
    link.connection.dataReceived(shape.make_begin({}))
    exchange = Exchange(link.responses[0])
    stub: Any = _StubAttempt(inbox)
    exchange.deliver(make_reader(stub, exchange, inbox))
    received = link.receive_until_closed(shape.repeated, shape.repeated)
    assert received <= MAX_EVENT_BYTES + 2 * len(shape.repeated)
    message, _size = inbox.queue.get_nowait()
    assert isinstance(message, Attempt.End)
    assert not message.outcome.is_complete
    assert inbox.queue.empty()


@pytest.mark.parametrize('step', [READ_BYTES, 2 * MAX_EVENT_BYTES])
def test_an_event_over_the_limit_is_not_relayed(step: int) -> None:
    """Events before it are; those after it, in the same bytes, are not."""
    link, inbox = _Link(), Inbox()
    link.request()
    link.connection.dataReceived(
        b'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n'
        b'connection: close\r\n\r\n'
    )
    exchange = Exchange(link.responses[0])
    stub: Any = _StubAttempt(inbox)
    exchange.deliver(make_reader(stub, exchange, inbox))
    small = b'id: 1\ndata: a\n\n'
    largest = b'data: %s\n\n' % bytes(MAX_EVENT_BYTES - len(b'data: \n\n'))
    larger = b'data: a' + largest[len(b'data: ') :]
    raw = small + largest + larger + small
    for begin in range(0, len(raw), step):
        if link.is_open:
            link.connection.dataReceived(raw[begin : begin + step])
    assert not link.is_open
    assert inbox.queue.get_nowait()[0].event.raw == small
    assert inbox.queue.get_nowait()[0].event.raw == largest
    assert inbox.queue.empty()


@pytest.mark.parametrize('shape', ENDLESS_BODIES, ids=lambda shape: shape.name)
def test_an_abandoned_body_is_aborted_before_and_while_it_is_read(
    shape: Shape,
) -> None:
    for reads in (False, True):
        link = _Link()
        link.request()
        link.connection.dataReceived(shape.make_begin({}))
        answer = HttpTargetAnswer(link.responses[0])
        if reads:
            answer.deliver(_Sink())
        assert link.is_open
        answer.abandon()
        assert not link.is_open
        assert link.transport.disconnected


def test_an_oversized_head_is_logged_with_its_limit(
    capsys: pytest.CaptureFixture[str],
) -> None:
    open_log('INFO')
    link = _Link()
    link.request()
    link.receive_until_closed(
        Shape.HEADER_LINES.begin, Shape.HEADER_LINES.repeated
    )
    lines = capsys.readouterr().err.splitlines()
    (line,) = [line for line in lines if 'response_oversized' in line]
    assert 'level=warning' in line
    assert f'part=head limit={MAX_HEAD_BYTES}' in line
    assert 'server=192.168.1.1:54321' in line


@pytest.mark.parametrize('shape', ENDLESS_BODIES, ids=lambda shape: shape.name)
def test_a_body_without_end_is_paused_until_its_caller_reads(
    shape: Shape,
) -> None:
    """Pieces of long answers fill the memory before their number is large."""
    link, inbox = _Link(), Inbox()
    link.request()
    link.connection.dataReceived(shape.make_begin({}))
    exchange = Exchange(link.responses[0])
    stub: Any = _StubAttempt(inbox)
    exchange.deliver(make_reader(stub, exchange, inbox))

    def receive_until_paused() -> int:
        received = 0
        while link.transport.producerState == 'producing':
            link.connection.dataReceived(shape.repeated)
            received += len(shape.repeated)
        return received

    # The reader holds part of a piece besides the queue.
    most = MAX_QUEUED_BYTES + 2 * (MAX_BUFFERED_BYTES + READ_BYTES)
    assert receive_until_paused() <= most
    while not inbox.queue.empty():
        assert asyncio.run(inbox.get(1.0))
    assert link.transport.producerState == 'producing'
    assert receive_until_paused() <= most
