"""HTTP client connections that record whether they were closed cleanly."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
from twisted.internet import reactor
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory, connectionDone
from twisted.web.client import HTTP11ClientProtocol, HTTPConnectionPool

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.defer import Deferred
    from twisted.internet.protocol import Protocol
    from twisted.python.failure import Failure
    from twisted.web.http_headers import Headers


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


class ClientConnection(HTTP11ClientProtocol):
    """Client connection that records whether it was closed cleanly.

    For a body without a length, twisted reports a clean close and a reset
    as the same ``PotentialDataLoss``.
    """

    def __init__(self, *quiescent: Callable[[Any], None]) -> None:
        """Initialize before the connection is made."""
        super().__init__(*quiescent)
        self.was_closed = False

    def request(self, request: Any) -> Deferred[ClientResponse]:
        """Send a request; return a deferred of the response without body."""
        deferred = super().request(request)
        return deferred.addCallback(self._wrap_response)

    def connectionLost(  # noqa: N802
        self,
        reason: Failure = connectionDone,
    ) -> None:
        """Record how the connection ended before the response is notified."""
        self.was_closed = reason.check(ConnectionDone) is not None
        super().connectionLost(reason)

    def _wrap_response(self, response: Any) -> ClientResponse:
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
