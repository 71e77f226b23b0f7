"""One request to one replica, on a connection of its own.

What a kept connection may still bring, a late answer or a close in the moment
of the write, would leave open whether a request ran.  A connection that is
used once leaves nothing open.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Any

import msgspec
from returns.result import Failure, Result, Success
from twisted.internet import reactor
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.web.client import Request
from twisted.web.http_headers import Headers

from waywell.connection.bodies import BytesBodyProducer
from waywell.connection.body_end import BodyEnd, classify_body_end
from waywell.connection.client_connection import (
    ClientConnection,
    ClientResponse,
)
from waywell.connection.deferreds import await_deferred
from waywell.connection.hop_headers import HOP_BY_HOP_HEADERS
from waywell.connection.wire_format import RawHeaders
from waywell.telemetry.events import log_warning

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.python.failure import Failure as TwistedFailure


class SendFault(enum.Enum):
    """Why a request brought no answer."""

    NOT_SENT = 'not_sent'
    """No connection came up; no byte left."""

    TOO_LATE = 'too_late'
    """It was not wanted any more when the connection stood."""

    BROKEN = 'broken'
    """Bytes left, and what came back is no answer."""

    REPLICA_ENDED = 'replica_ended'
    """A box of the replica has started again; what ran there is lost."""

    NO_PERMIT = 'no_turn'
    """The replica has a limit, and other requests have its turns."""

    HELD_BACK = 'held_back'
    """Replicas ended under the request; this one is to be spared."""


class OutgoingRequest(msgspec.Struct, frozen=True):
    """A request on its way to a box."""

    host: str
    """IP number of the box."""

    port: int
    """Its port."""

    method: str
    """HTTP method."""

    target: str
    """Path and query."""

    headers: RawHeaders
    """Headers, the host among them."""

    body: bytes = b''
    """Body."""


class BodySink(Protocol):
    """Takes the body of an answer as it comes; see the subclasses."""

    def on_bytes(self, raw: bytes) -> None:
        """Take in a piece."""
        raise NotImplementedError

    def on_end(self, end: BodyEnd) -> None:
        """Handle the end."""
        raise NotImplementedError

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, WPS110
        """Pass a piece on."""
        try:
            self.on_bytes(data)
        except Exception as error:
            log_warning('body_unreadable', error=repr(error))
            raise

    def connectionLost(  # noqa: N802
        self,
        reason: TwistedFailure = connectionDone,
    ) -> None:
        """Pass the end on."""
        self.on_end(classify_body_end(reason, self.was_closed()))

    def was_closed(self) -> bool:
        """Answer whether the connection ended with an orderly close."""
        return False

    def pause(self) -> None:
        """Read no more for now."""
        transport: Any = self.transport
        if transport is not None:
            transport.pauseProducing()

    def resume(self) -> None:
        """Read on."""
        transport: Any = self.transport
        if transport is not None:
            transport.resumeProducing()


class PendingRequest:
    """A request that was sent and has no answer yet.

    Parameters
    ----------
    protocol
        The connection.
    """

    def __init__(self, protocol: Any) -> None:
        """Keep the connection."""
        self._protocol = protocol

    def close_write(self) -> None:
        """Close the sending direction; an answer can still be read."""
        transport: Any = self._protocol.transport
        if transport is not None:
            transport.loseWriteConnection()


class Exchange:
    """A request that was sent, and its answer.

    Parameters
    ----------
    protocol
        The connection.
    response
        The head of the answer.
    """

    def __init__(self, protocol: Any, response: ClientResponse) -> None:
        """Read the head."""
        self._protocol = protocol
        self._response = response
        self.status = response.code
        self.headers: RawHeaders = tuple(
            (name, text)
            for name, texts in response.headers.getAllRawHeaders()
            for text in texts
            if name.lower().decode('latin-1') not in HOP_BY_HOP_HEADERS
        )
        self.length = response.length

    @property
    def was_closed(self) -> bool:
        """Return whether the connection ended with an orderly close."""
        return self._response.was_closed

    def deliver(self, sink: BodySink) -> None:
        """Let the body come."""
        self._response.deliverBody(sink)

    def abort(self) -> None:
        """Break the connection; the rest is not wanted."""
        transport: Any = self._protocol.transport
        if transport is not None:
            transport.abortConnection()


async def open_exchange(
    outgoing: OutgoingRequest,
    connect_seconds: float,
    may_send: Callable[[], bool],
    on_sent: Callable[[PendingRequest], None],
) -> Result[Exchange, SendFault]:
    """Connect, send a request and wait for the head of its answer.

    Cancelling the caller's task breaks the connection.

    Parameters
    ----------
    outgoing
        The request.
    connect_seconds
        Seconds for the connection to come up.
    may_send
        Asked in the turn of the event loop that writes the first byte.
    on_sent
        Called with the request once its bytes are written.
    """
    connected = await _connect(outgoing.host, outgoing.port, connect_seconds)
    if isinstance(connected, Failure):
        return connected
    protocol = connected.unwrap()
    if not may_send():
        protocol.transport.abortConnection()
        return Failure(SendFault.TOO_LATE)
    return await _request(protocol, outgoing, on_sent)


async def is_reachable(host: str, port: int, connect_seconds: float) -> bool:
    """Answer whether a connection comes up; nothing is sent on it."""
    connected = await _connect(host, port, connect_seconds)
    if isinstance(connected, Failure):
        return False
    connected.unwrap().transport.abortConnection()
    return True


async def _connect(
    host: str,
    port: int,
    connect_seconds: float,
) -> Result[Any, SendFault]:
    endpoint = TCP4ClientEndpoint(reactor, host, port, timeout=connect_seconds)
    try:
        protocol: Any = await await_deferred(
            endpoint.connect(Factory.forProtocol(ClientConnection)),
            connect_seconds,
        )
    except Exception:
        return Failure(SendFault.NOT_SENT)
    return Success(protocol)


async def _request(
    protocol: Any,
    outgoing: OutgoingRequest,
    on_sent: Callable[[PendingRequest], None],
) -> Result[Exchange, SendFault]:
    headers = Headers()
    for name, text in outgoing.headers:
        headers.addRawHeader(name, text)
    request = Request(
        outgoing.method.encode('latin-1'),
        outgoing.target.encode('latin-1'),
        headers,
        BytesBodyProducer(outgoing.body) if outgoing.body else None,
        persistent=False,
    )
    answered = protocol.request(request)
    on_sent(PendingRequest(protocol))
    try:
        response: ClientResponse = await await_deferred(answered, None)
    except Exception:
        return Failure(SendFault.BROKEN)
    return Success(Exchange(protocol, response))
