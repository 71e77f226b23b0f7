"""HTTP client connections with limited responses and a recorded end."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Any

import attrs
from twisted.internet import reactor
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory, connectionDone
from twisted.python.failure import Failure
from twisted.web.client import (
    HTTP11ClientProtocol,
    HTTPConnectionPool,
    ResponseFailed,
)

from waywell.connection.response_head import HeadChecker, MalformedHeadError
from waywell.telemetry.events import log_warning

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.defer import Deferred
    from twisted.internet.protocol import Protocol
    from twisted.web.http_headers import Headers

MAX_HEAD_BYTES = 32_768
"""Maximum size of a response head in bytes: the interim responses before it,
the status line and all header lines."""


class ResponsePart(enum.Enum):
    """Part of a response whose size is limited."""

    HEAD = 'head'
    """Interim responses, status line and header lines."""

    BODY = 'body'
    """Body that is collected in memory."""

    EVENT = 'event'
    """Event of a stream."""


class OversizedResponseError(Exception):
    """Part of a response exceeds its limit; the connection was aborted."""


@attrs.frozen
class ClientResponse:
    """Response together with the connection that it arrives on."""

    _connection: ClientConnection
    """Connection, which records how it ends."""

    _response: Any
    """Response object of twisted."""

    @property
    def code(self) -> int:
        """Return the HTTP status code."""
        return int(self._response.code)

    @property
    def headers(self) -> Headers:
        """Return the response headers."""
        return self._response.headers

    @property
    def length(self) -> int | None:
        """Return the content length, or ``None`` if it is not announced."""
        length = self._response.length
        return length if isinstance(length, int) else None

    @property
    def was_closed(self) -> bool:
        """Return whether the connection ended with an orderly close."""
        return self._connection.was_closed

    def deliverBody(self, protocol: Protocol) -> None:  # noqa: N802
        """Deliver the body to a protocol, with flow control."""
        self._response.deliverBody(protocol)

    def abort(self) -> None:
        """Abort the connection, which discards the rest of the body."""
        self._connection.abort()

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
            Bytes of the part that have arrived, or that are announced.
        """
        self._connection.abort_oversized(part, limit, received)


def has_malformed_head(error: Exception) -> bool:
    """Return whether a request failed for a malformed response head."""
    return isinstance(error, ResponseFailed) and any(
        reason.check(MalformedHeadError) for reason in error.reasons
    )


class ClientConnection(HTTP11ClientProtocol):
    """Client connection that checks response heads and records its end.

    For a body without a length, twisted reports a clean close and a reset
    as the same ``PotentialDataLoss``.  It limits the length of a header line,
    a chunk-size line and the trailers, but neither the number of header lines
    nor that of interim responses.
    """

    def __init__(self, *quiescent: Callable[[Any], None]) -> None:
        """Initialize before the connection is made."""
        super().__init__(*quiescent)
        self.was_closed = False
        self._awaits_head = False
        self._head_bytes = 0
        self._head_checker = HeadChecker()

    def request(self, request: Any) -> Deferred[ClientResponse]:
        """Send a request; return a deferred of the response without body."""
        self._awaits_head = True
        self._head_bytes = 0
        self._head_checker = HeadChecker()
        deferred = super().request(request)
        parser: Any = self._parser
        if parser is not None:
            # The limit of the whole head applies, not one of each line.
            parser.MAX_LENGTH = MAX_HEAD_BYTES
        return deferred.addCallback(self._wrap_response)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, WPS110
        """Process received bytes; abort the connection on an invalid head."""
        rest = data
        if self._awaits_head:
            allowed = MAX_HEAD_BYTES - self._head_bytes
            rest = data[allowed:]
            self._head_bytes += len(data)
            if not self._check_head(data[:allowed]):
                return
            super().dataReceived(data[:allowed])
            if not rest:
                return
        if self._awaits_head:
            self.abort_oversized(
                ResponsePart.HEAD, MAX_HEAD_BYTES, self._head_bytes
            )
        else:
            super().dataReceived(rest)

    def abort(self) -> None:
        """Abort the connection; no more bytes are received."""
        transport: Any = self.transport
        if transport is not None:
            transport.abortConnection()

    def abort_oversized(
        self, part: ResponsePart, limit: int, received: int
    ) -> None:
        """Log that a part exceeds its limit, and abort the connection."""
        log_warning(
            'response_oversized',
            server=self._describe_server(),
            part=part.value,
            limit=limit,
            received=received,
        )
        self.abort()

    def connectionLost(  # noqa: N802
        self,
        reason: Failure = connectionDone,
    ) -> None:
        """Record how the connection ended before the response is notified."""
        self.was_closed = reason.check(ConnectionDone) is not None
        super().connectionLost(reason)

    def _giveUp(self, reason: Failure) -> None:  # noqa: N802
        super()._giveUp(reason)
        if reason.check(ConnectionDone) is None:
            # A server that sends no valid response may not read the rest of
            # the request, for which an orderly close would wait.
            self.abort()

    def _check_head(self, raw: bytes) -> bool:
        """Return whether a head is valid so far; abort if it is not."""
        try:
            self._head_checker.feed(raw)
        except MalformedHeadError as error:
            log_warning(
                'response_malformed',
                server=self._describe_server(),
                reason=error.fault.value,
            )
            self._giveUp(Failure(error))
            return False
        return True

    def _describe_server(self) -> str:
        transport: Any = self.transport
        address = transport.getPeer()
        return f'{address.host}:{address.port}'

    def _wrap_response(self, response: Any) -> ClientResponse:
        self._awaits_head = False
        return ClientResponse(self, response)


class _ConnectionFactory(Factory):
    """Creates connections that return to their pool when they are idle."""

    noisy = False

    def __init__(
        self, quiescent: Callable[[Any], None], _metadata: str
    ) -> None:
        """Keep the callback that returns an idle connection to its pool."""
        self._quiescent = quiescent

    def buildProtocol(self, addr: object) -> ClientConnection:  # noqa: N802
        return ClientConnection(self._quiescent)


class _ClientPool(HTTPConnectionPool):
    """Pool whose connections record whether they were closed cleanly."""

    _factory = _ConnectionFactory


def make_client_pool(keeps_connections: bool) -> HTTPConnectionPool:
    """Return a connection pool that never resends a request by itself.

    Parameters
    ----------
    keeps_connections
        Whether idle connections are kept open for later requests.
    """
    pool = _ClientPool(reactor, keeps_connections)
    pool.retryAutomatically = False
    return pool
