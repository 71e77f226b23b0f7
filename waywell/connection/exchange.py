"""A single request to a replica on a new connection.

On a reused connection, a late response to an earlier request or a close during
the write would leave it unclear whether the request ran.  A connection that
carries one request has neither problem.
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
    ResponsePart,
    has_malformed_head,
)
from waywell.connection.deferreds import await_deferred
from waywell.connection.hop_headers import HOP_BY_HOP_HEADERS
from waywell.connection.wire_format import RawHeaders
from waywell.telemetry.events import log_warning

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.python.failure import Failure as TwistedFailure


class SendFault(enum.Enum):
    """Why a request got no response."""

    NOT_SENT = 'not_sent'
    """The connection could not be opened; nothing was sent."""

    TOO_LATE = 'too_late'
    """The request was no longer needed once the connection was open; nothing
    was sent."""

    BROKEN = 'broken'
    """Bytes were sent, but no valid response was received."""

    MALFORMED = 'malformed'
    """Bytes were sent, and a response with a malformed head was received."""

    REPLICA_ENDED = 'replica_ended'
    """A box of the replica has restarted; work in progress there is lost."""

    NO_PERMIT = 'no_turn'
    """The replica is rate-limited, and no permit was granted."""

    HELD_BACK = 'held_back'
    """The request shares a trait with requests that crashed replicas; the
    attempt was stopped to protect its replica."""


class OutgoingRequest(msgspec.Struct, frozen=True):
    """Request to send to a box."""

    host: str
    """IP address of the box."""

    port: int
    """TCP port of the box."""

    method: str
    """HTTP method."""

    target: str
    """Request target: path and query."""

    headers: RawHeaders
    """Headers, including ``Host``."""

    body: bytes = b''
    """Request body; empty if there is none."""


class BodySink(Protocol):
    """Receives the body of a response; subclasses handle its bytes and end."""

    def on_bytes(self, raw: bytes) -> None:
        """Handle the next bytes of the body."""
        raise NotImplementedError

    def on_end(self, end: BodyEnd) -> None:
        """Handle the end of the body."""
        raise NotImplementedError

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, WPS110
        """Pass bytes to the subclass; log its exceptions."""
        try:
            self.on_bytes(data)
        except Exception as error:
            log_warning('body_unreadable', error=repr(error))
            raise

    def connectionLost(  # noqa: N802
        self,
        reason: TwistedFailure = connectionDone,
    ) -> None:
        """Pass the kind of end to the subclass."""
        self.on_end(classify_body_end(reason, self.was_closed()))

    def was_closed(self) -> bool:
        """Return whether the connection ended with an orderly close."""
        return False

    def pause(self) -> None:
        """Stop reading from the connection until ``resume``."""
        transport: Any = self.transport
        if transport is not None:
            transport.pauseProducing()

    def resume(self) -> None:
        """Continue to read from the connection."""
        transport: Any = self.transport
        if transport is not None:
            transport.resumeProducing()


class PendingRequest:
    """Request that was sent and has no response yet.

    Parameters
    ----------
    protocol
        Connection that carries the request.
    """

    def __init__(self, protocol: Any) -> None:
        """Keep the connection."""
        self._protocol = protocol

    def close_write(self) -> None:
        """Close the sending direction; a response can still be received."""
        transport: Any = self._protocol.transport
        if transport is not None:
            transport.loseWriteConnection()


class Exchange:
    """Request that was sent, and the response to it.

    Parameters
    ----------
    response
        Response whose body is still to be read.
    """

    def __init__(self, response: ClientResponse) -> None:
        """Copy the status, the length and the end-to-end headers."""
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
        """Start to deliver the body to a sink."""
        self._response.deliverBody(sink)

    def abort(self) -> None:
        """Abort the connection, which discards the rest of the body."""
        self._response.abort()

    def abort_oversized(
        self, part: ResponsePart, limit: int, received: int
    ) -> None:
        """Log that a part exceeds its limit, and abort the connection.

        Parameters
        ----------
        part
            Part of the response that is too large.
        limit
            Maximum size of the part in bytes.
        received
            Bytes of the part that have arrived.
        """
        self._response.abort_oversized(part, limit, received)


async def open_exchange(
    outgoing: OutgoingRequest,
    connect_seconds: float,
    may_send: Callable[[], bool],
    on_sent: Callable[[PendingRequest], None],
) -> Result[Exchange, SendFault]:
    """Connect, send a request and wait for the head of the response.

    Cancelling the caller's task aborts the connection.

    Parameters
    ----------
    outgoing
        Request to send.
    connect_seconds
        Timeout for opening the connection, in seconds.
    may_send
        Returns whether to send the request.  It is called in the same
        iteration of the event loop that writes the first byte.
    on_sent
        Called with the pending request once it has been written.
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
    """Return whether a connection can be opened; nothing is sent on it."""
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
    deferred_response = protocol.request(request)
    on_sent(PendingRequest(protocol))
    try:
        response: ClientResponse = await await_deferred(
            deferred_response, None
        )
    except Exception as error:
        is_malformed = has_malformed_head(error)
        return Failure(
            SendFault.MALFORMED if is_malformed else SendFault.BROKEN
        )
    return Success(Exchange(response))
