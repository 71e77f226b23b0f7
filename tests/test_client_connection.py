"""How a response without a length ends, on a connection that is played."""

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


class _Sink(BodySink):
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


def open_response(fails: bool = False) -> tuple[ClientConnection, _Sink]:
    """Return a connection whose response has begun, and its reader."""
    connection = ClientConnection()
    connection.makeConnection(StringTransport())
    answered: list[Any] = []
    headers = Headers({'host': ['x']})
    request = Request(b'GET', b'/', headers, None, persistent=False)
    connection.request(request).addCallback(answered.append)
    connection.dataReceived(HEAD)
    exchange = Exchange(connection, answered[0])
    sink = _Sink(exchange, fails)
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


def test_a_reader_that_fails_ends_no_body_in_order() -> None:
    connection, sink = open_response(fails=True)
    connection.dataReceived(b'a')
    assert sink.ends == [BodyEnd.RESET]
