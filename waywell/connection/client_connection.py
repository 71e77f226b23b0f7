"""Connections of the HTTP client that know how they ended."""

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
    """A response, and the connection that it comes on."""

    _connection: ClientConnection
    """The connection."""

    _response: Any
    """The response as twisted reads it."""

    @property
    def code(self) -> int:
        """Return the HTTP status."""
        return int(self._response.code)

    @property
    def headers(self) -> Headers:
        """Return the headers."""
        return self._response.headers

    @property
    def length(self) -> int | None:
        """Return the length of the body, where it is told."""
        length = self._response.length
        return length if isinstance(length, int) else None

    @property
    def was_closed(self) -> bool:
        """Return whether the connection ended with an orderly close."""
        return self._connection.was_closed

    def deliverBody(self, protocol: Protocol) -> None:  # noqa: N802
        """Deliver the body to a protocol, with back pressure."""
        self._response.deliverBody(protocol)


class ClientConnection(HTTP11ClientProtocol):
    """A client connection that remembers how it ended."""

    def __init__(self, *quiescent: Callable[[Any], None]) -> None:
        """Start before the connection stands."""
        super().__init__(*quiescent)
        self.was_closed = False

    def request(self, request: Any) -> Deferred[ClientResponse]:
        """Send a request and return its response's head."""
        answered = super().request(request)
        return answered.addCallback(self._make_response)

    def connectionLost(  # noqa: N802
        self,
        reason: Failure = connectionDone,
    ) -> None:
        """Remember the end before the response is told of it."""
        self.was_closed = reason.check(ConnectionDone) is not None
        super().connectionLost(reason)

    def _make_response(self, response: Any) -> ClientResponse:
        return ClientResponse(self, response)


class _ConnectionFactory(Factory):
    """Makes connections that return to their pool once they are free."""

    noisy = False

    def __init__(
        self, quiescent: Callable[[Any], None], _metadata: str
    ) -> None:
        """Keep what returns a free connection to its pool."""
        self._quiescent = quiescent

    def buildProtocol(self, addr: object) -> ClientConnection:  # noqa: N802
        return ClientConnection(self._quiescent)


class _ClientPool(HTTPConnectionPool):
    """A pool of connections that know how they ended."""

    _factory = _ConnectionFactory


def make_client_pool(keeps_connections: bool) -> HTTPConnectionPool:
    """Return a pool that repeats no request by itself.

    Parameters
    ----------
    keeps_connections
        Whether connections are kept for later requests.
    """
    pool = _ClientPool(reactor, keeps_connections)
    pool.retryAutomatically = False
    return pool
