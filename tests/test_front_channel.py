"""A caller's connection: how long it may rest, and what is malformed."""

from __future__ import annotations

import pytest
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from waywell.codes import Code
from waywell.connection.forwarding import CODE_HEADER
from waywell.connection.front import FrontBackend, FrontSite
from waywell.platform.messages import ServerWire
from waywell.request.decoded_request import DecodedRequest
from waywell.request.request_context import AnswerWriter
from waywell.version.routes import CallerLimits


class _Transport(StringTransport):
    """A transport that can be closed on one side."""

    def loseWriteConnection(self) -> None:  # noqa: N802
        """Do nothing: what was written stays to be read."""


class Bench:
    """A connection with a clock of its own."""

    def __init__(self, idle_seconds: float) -> None:
        self.clock = Clock()
        self.limits = CallerLimits(idle_seconds=idle_seconds)
        backend = FrontBackend(
            wire=ServerWire(),
            serve=self._serve,
            get_limits=lambda: self.limits,
            is_leaving=lambda: False,
            report=lambda *_words: None,
        )
        self.served: list[DecodedRequest] = []
        self.channel = FrontSite(backend).buildProtocol(None)
        self.channel.callLater = self.clock.callLater
        self.transport = _Transport()
        self.channel.makeConnection(self.transport)

    async def _serve(self, ask: DecodedRequest, _answer: AnswerWriter) -> None:
        self.served.append(ask)

    def wait(self, seconds: float) -> None:
        """Let time pass in steps of a tenth of a second."""
        self.clock.pump([0.1] * round(seconds * 10))

    def is_open(self) -> bool:
        return not self.transport.disconnecting


def test_a_connection_is_closed_when_it_rested_for_the_limit() -> None:
    bench = Bench(15.0)
    bench.wait(14.9)
    assert bench.is_open()
    bench.wait(0.2)
    assert not bench.is_open()


@pytest.mark.parametrize('rested', [0.5, 9.9])
def test_a_longer_limit_holds_for_connections_that_rest(rested: float) -> None:
    bench = Bench(10.0)
    bench.wait(rested)
    bench.limits = CallerLimits(idle_seconds=30.0)
    bench.wait(29.9 - rested)
    assert bench.is_open()
    bench.wait(0.2)
    assert not bench.is_open()


def test_bytes_start_the_time_anew_by_the_limit_in_force() -> None:
    bench = Bench(10.0)
    bench.limits = CallerLimits(idle_seconds=30.0)
    bench.wait(15.0)
    bench.channel.dataReceived(b'GET / HT')
    bench.wait(29.9)
    assert bench.is_open()


def test_a_head_that_comes_too_slowly_is_refused() -> None:
    bench = Bench(30.0)
    bench.limits = CallerLimits(idle_seconds=30.0, header_seconds=3.0)
    bench.channel.dataReceived(b'GET / HTTP/1.1\r\nHost: a\r\n')
    bench.wait(2.9)
    assert not bench.transport.value()
    bench.wait(0.2)
    answer = bench.transport.value()
    assert answer.startswith(b'HTTP/1.1 408 ')
    assert f'{CODE_HEADER}: {Code.HEAD_TOO_SLOW:d}'.encode() in answer
    assert b'connection: close' in answer


@pytest.mark.parametrize(
    'raw',
    [
        b'NONSENSE\r\n\r\n',
        b'GET / HTTP/1.1\r\nno colon\r\n\r\n',
        b'POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n',
        b'POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n',
        b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n',
        b'POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n'
        b'Content-Length: 3\r\n\r\nabc',
        b'GET / HTTP/1.1\r\nX: ' + b'a' * 70_000 + b'\r\n\r\n',
    ],
)
def test_what_is_no_request_gets_its_code_at_once_and_nothing_after(
    raw: bytes,
) -> None:
    bench = Bench(30.0)
    bench.channel.dataReceived(raw)
    answer = bench.transport.value()
    assert answer.startswith(b'HTTP/1.1 400 ')
    assert f'{CODE_HEADER}: {Code.MALFORMED_HTTP:d}'.encode() in answer
    # A request that hides behind it is not served.
    bench.channel.dataReceived(b'GET /next HTTP/1.1\r\nHost: a\r\n\r\n')
    assert bench.transport.value() == answer
    assert not bench.served
