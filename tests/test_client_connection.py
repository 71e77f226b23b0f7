"""Tests of the end of responses without a length, on a fake transport."""

from __future__ import annotations

from typing import Any

import pytest
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure
from twisted.web.client import Request
from twisted.web.http_headers import Headers

from waywell.connection.body_end import BodyEnd
from waywell.connection.client_connection import ClientConnection
from waywell.connection.exchange import BodySink, Exchange

HEAD = b'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n'


class _RecordingSink(BodySink):
    """Records how the body ended; may fail while it reads."""

    def __init__(self, exchange: Exchange, fails: bool) -> None:
        self._exchange = exchange
        self._fails = fails
        self.ends: list[BodyEnd] = []

    def was_closed(self) -> bool:
        return self._exchange.was_closed

    def on_bytes(self, raw: bytes) -> None:
        if self._fails:
            raise ValueError(raw)

    def on_end(self, end: BodyEnd) -> None:
        self.ends.append(end)


def open_response(
    fails: bool = False,
) -> tuple[ClientConnection, _RecordingSink]:
    """Return a connection that has received a response head, and its sink."""
    connection = ClientConnection()
    connection.makeConnection(StringTransport())
    responses: list[Any] = []
    headers = Headers({'host': ['x']})
    request = Request(b'GET', b'/', headers, None, persistent=False)
    connection.request(request).addCallback(responses.append)
    connection.dataReceived(HEAD)
    exchange = Exchange(responses[0])
    sink = _RecordingSink(exchange, fails)
    exchange.deliver(sink)
    return connection, sink


@pytest.mark.parametrize(
    ('reason', 'end'),
    [(ConnectionDone(), BodyEnd.CLOSED), (ConnectionLost(), BodyEnd.RESET)],
    ids=['closed', 'reset'],
)
def test_only_an_orderly_close_ends_a_body_without_a_length(
    reason: Exception, end: BodyEnd
) -> None:
    connection, sink = open_response()
    connection.dataReceived(b'a')
    connection.connectionLost(Failure(reason))
    assert sink.ends == [end]


def test_an_exception_in_the_sink_does_not_count_as_an_orderly_close() -> None:
    connection, sink = open_response(fails=True)
    connection.dataReceived(b'a')
    assert sink.ends == [BodyEnd.RESET]
