"""Response heads are checked by the grammar of HTTP/1.1, on fake transport."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.error import ConnectionDone
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure
from twisted.web.client import Request, ResponseFailed
from twisted.web.http_headers import Headers

from tests.drawn_heads import draw_response
from tests.raw_heads import (
    MALFORMED_HEADS,
    PLAIN_BODY,
    TOKEN,
    UNUSUAL_HEADS,
    RawAnswer,
)
from tests.strict_reader import read_response
from waywell.connection.body_end import BodyEnd, BodyOutcome
from waywell.connection.client_connection import (
    ClientConnection,
    ClientResponse,
)
from waywell.connection.exchange import BodySink, Exchange


class _Sink(BodySink):
    """Collects a body that arrives on a connection."""

    def __init__(self, exchange: Exchange) -> None:
        self.body = b''
        self.ends: list[BodyEnd] = []
        self._exchange = exchange

    @property
    def is_complete(self) -> bool:
        return [BodyOutcome(end).is_complete for end in self.ends] == [True]

    def was_closed(self) -> bool:
        return self._exchange.was_closed

    def on_bytes(self, raw: bytes) -> None:
        self.body += raw

    def on_end(self, end: BodyEnd) -> None:
        self.ends.append(end)


class Link:
    """Client connection that receives responses on a fake transport."""

    def __init__(self) -> None:
        self.transport = StringTransport()
        self.connection = ClientConnection()
        self.connection.makeConnection(self.transport)
        self.failures: list[Failure] = []
        self.exchanges: list[Exchange] = []
        self.sinks: list[_Sink] = []

    @property
    def is_open(self) -> bool:
        return not self.transport.disconnecting

    def request(self) -> None:
        headers = Headers({'host': ['x']})
        request = Request(b'GET', b'/', headers, None, persistent=True)
        requested: Any = self.connection.request(request)
        requested.addCallbacks(self._deliver, self.failures.append)

    def receive(self, raw: bytes, step: int) -> None:
        """Receive bytes in pieces of a size while the connection is open."""
        for begin in range(0, len(raw), step):
            if self.is_open:
                self.connection.dataReceived(raw[begin : begin + step])

    def close(self) -> None:
        """Let the server close the connection."""
        self.connection.connectionLost(Failure(ConnectionDone()))

    def _deliver(self, response: ClientResponse) -> None:
        exchange = Exchange(response)
        sink = _Sink(exchange)
        self.exchanges.append(exchange)
        self.sinks.append(sink)
        exchange.deliver(sink)


def receive_once(raw: bytes, step: int) -> Link:
    """Return a link that has received bytes in pieces of a size."""
    link = Link()
    link.request()
    link.receive(raw, step)
    return link


@pytest.mark.parametrize('step', [1, 7, 65_536])
@pytest.mark.parametrize('name', MALFORMED_HEADS)
def test_a_malformed_head_brings_no_response(name: str, step: int) -> None:
    link = receive_once(MALFORMED_HEADS[name].encode_response(), step)
    assert not link.exchanges
    (failure,) = link.failures
    assert failure.check(ResponseFailed)
    assert link.transport.disconnected


@pytest.mark.parametrize('step', [1, 7, 65_536])
@pytest.mark.parametrize('name', UNUSUAL_HEADS)
def test_an_unusual_head_brings_its_response(name: str, step: int) -> None:
    link = receive_once(UNUSUAL_HEADS[name].encode_response(), step)
    link.close()
    assert not link.failures
    (exchange,) = link.exchanges
    assert exchange.status == 200
    assert link.sinks[0].body == PLAIN_BODY
    assert link.sinks[0].is_complete


@pytest.mark.parametrize(
    ('line', 'text'),
    [
        (b'x-note: \x80 \xff', b'\x80 \xff'),
        (b'x-note: \t a\tb \t', b'a\tb'),
        (b'x-note:', b''),
        (TOKEN + b': a: b', b'a: b'),
    ],
)
def test_an_unusual_field_is_passed_on_unchanged(
    line: bytes, text: bytes
) -> None:
    link = receive_once(RawAnswer(fields=(line,)).encode_response(), 65_536)
    name = line.partition(b':')[0].lower()
    (exchange,) = link.exchanges
    passed = {name.lower(): text for name, text in exchange.headers}
    assert passed == {name: text}


@pytest.mark.parametrize('code', [200, 299, 404, 418, 599])
def test_each_status_of_three_digits_is_passed_on(code: int) -> None:
    raw = RawAnswer(b'HTTP/1.1 %d Odd' % code).encode_response()
    (exchange,) = receive_once(raw, 65_536).exchanges
    assert exchange.status == code


def test_each_head_on_a_kept_connection_is_checked() -> None:
    link = Link()
    link.request()
    link.receive(RawAnswer().encode_response(), 65_536)
    assert link.sinks[0].is_complete
    assert link.is_open
    link.request()
    link.receive(RawAnswer(b'HTTP/1.1 000 Odd').encode_response(), 65_536)
    assert len(link.exchanges) == 1
    assert len(link.failures) == 1
    assert not link.is_open


def test_a_body_is_not_checked_as_a_head() -> None:
    body = b'HTTP/1.1 000\r\n \x00: \r\n\r\n'
    raw = RawAnswer(
        framing=(b'content-length: %d' % len(body),), body=body
    ).encode_response()
    for step in (1, 65_536):
        link = receive_once(raw, step)
        assert link.sinks[0].body == body
        assert link.sinks[0].is_complete


@pytest.mark.parametrize('name', ['no framing', 'interim responses'])
def test_a_head_that_stops_early_brings_no_response(name: str) -> None:
    answer = UNUSUAL_HEADS[name]
    for size in range(len(answer.encode_head())):
        link = receive_once(answer.encode_head()[:size], 65_536)
        link.close()
        assert not link.exchanges
        assert len(link.failures) == 1


@settings(max_examples=10 * settings().max_examples)
@given(raw=draw_response(), step=st.sampled_from([1, 5, 65_536]))
def test_a_response_is_read_as_by_a_strict_reader(
    raw: bytes, step: int
) -> None:
    expected = read_response(raw)
    link = receive_once(raw, step)
    link.close()
    if expected is None:
        assert not link.exchanges
        assert len(link.failures) == 1
        return
    assert not link.failures
    (exchange,), (sink,) = link.exchanges, link.sinks
    fields = sorted((name.lower(), text) for name, text in exchange.headers)
    assert exchange.status == expected.status
    assert tuple(fields) == expected.fields
    assert sink.body == expected.body
    assert sink.is_complete == expected.is_complete
