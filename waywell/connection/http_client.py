"""Single HTTP calls, each answered whole or failed with a reason."""

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

_NO_HEADERS = Headers()


class HttpResponse(msgspec.Struct, frozen=True):
    """A whole answer."""

    status: int
    """HTTP status."""

    raw: bytes
    """Body."""

    headers: Headers = _NO_HEADERS
    """Headers."""

    def find_header(self, name: str) -> str | None:
        """Return the last value of a header, or ``None`` without one."""
        texts = self.headers.getRawHeaders(name) or []
        return texts[-1] if texts else None


class HttpClient:
    """Makes calls at a base address over kept connections.

    Parameters
    ----------
    url
        Base address, ``http://IP:PORT``.
    timeout
        Seconds until a call counts as unanswered.
    headers
        Headers of every call.
    keeps_connections
        Whether connections are kept for later calls.
    """

    def __init__(
        self,
        url: str,
        timeout: float,
        headers: Mapping[str, str] | None = None,
        keeps_connections: bool = True,
    ) -> None:
        """Open no connection yet."""
        self._url = url.rstrip('/')
        self._timeout = timeout
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
        """Return the answer, whatever its status.

        Parameters
        ----------
        method
            HTTP method.
        path
            Path with query.
        body
            Body, or ``None`` for none.
        extra
            Seconds beyond the usual time, where the answer may wait.
        """
        try:
            return Success(await self._exchange(method, path, body, extra))
        except ConnectionRefusedError:
            return Failure(PlatformFault.NOT_LISTENING)
        except ConnectError:
            return Failure(PlatformFault.NOT_SENT)
        except Exception:
            # Whatever broke after the connection stood: a write may have
            # been carried out.
            return Failure(PlatformFault.UNANSWERED)

    async def _exchange(
        self,
        method: str,
        path: str,
        body: bytes | None,
        extra: float,
    ) -> HttpResponse:
        limit = self._timeout + extra
        response: Any = await await_deferred(
            self._agent.request(
                method.encode(),
                f'{self._url}{path}'.encode(),
                self._headers,
                None if body is None else BytesBodyProducer(body),
            ),
            limit,
        )
        raw = await read_body(response, limit)
        return HttpResponse(response.code, raw, response.headers)
