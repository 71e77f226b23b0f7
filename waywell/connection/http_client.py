"""HTTP client that returns either a complete response or a fault."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from returns.result import Failure, Result, Success
from twisted.internet import reactor
from twisted.internet.error import ConnectError, ConnectionRefusedError
from twisted.web.client import Agent
from twisted.web.http_headers import Headers

from waywell.connection.bodies import BytesBodyProducer, read_body
from waywell.connection.client_connection import make_client_pool
from waywell.connection.deferreds import await_deferred
from waywell.connection.platform import PlatformFault

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_BODY_BYTES = 262_144
"""Maximum size of a response body in bytes, unless a client sets another."""

_NO_HEADERS = Headers()


class HttpResponse(msgspec.Struct, frozen=True):
    """Response with its complete body."""

    status: int
    """HTTP status code."""

    raw: bytes
    """Response body."""

    headers: Headers = _NO_HEADERS
    """Response headers."""

    def find_header(self, name: str) -> str | None:
        """Return the last value of a header, or ``None`` if it is missing."""
        texts = self.headers.getRawHeaders(name) or []
        return texts[-1] if texts else None


class HttpClient:
    """Sends requests to paths below a base URL.

    Parameters
    ----------
    url
        Base URL, ``http://IP:PORT``.
    timeout
        Seconds after which a request counts as unanswered.
    headers
        Headers of every request.
    keeps_connections
        Whether idle connections are kept open for later requests.
    max_body_bytes
        Maximum size of a response body in bytes; a response that exceeds it
        counts as unanswered.
    """

    def __init__(
        self,
        url: str,
        timeout: float,
        headers: Mapping[str, str] | None = None,
        keeps_connections: bool = True,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        """Create the connection pool; no connection is open yet."""
        self._url = url.rstrip('/')
        self._timeout = timeout
        self._max_body_bytes = max_body_bytes
        self._headers = Headers(
            {name: [text] for name, text in (headers or {}).items()},
        )
        pool = make_client_pool(keeps_connections)
        self._agent = Agent(reactor, connectTimeout=timeout, pool=pool)

    async def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        extra: float = 0,
    ) -> Result[HttpResponse, PlatformFault]:
        """Send a request and return the response, whatever its status.

        Parameters
        ----------
        method
            HTTP method.
        path
            Path and query.
        body
            Request body, or ``None`` for none.
        extra
            Seconds added to the timeout, for requests whose response the
            server may delay.
        """
        try:
            return Success(await self._request(method, path, body, extra))
        except ConnectionRefusedError:
            return Failure(PlatformFault.NOT_LISTENING)
        except ConnectError:
            return Failure(PlatformFault.NOT_SENT)
        except Exception:
            # The connection was open, so the server may have carried out
            # a write.
            return Failure(PlatformFault.UNANSWERED)

    async def _request(
        self,
        method: str,
        path: str,
        body: bytes | None,
        extra: float,
    ) -> HttpResponse:
        timeout = self._timeout + extra
        response: Any = await await_deferred(
            self._agent.request(
                method.encode(),
                f'{self._url}{path}'.encode(),
                self._headers,
                None if body is None else BytesBodyProducer(body),
            ),
            timeout,
        )
        raw = await read_body(response, timeout, self._max_body_bytes)
        return HttpResponse(response.code, raw, response.headers)
