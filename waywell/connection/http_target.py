"""HTTP client for targets."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import msgspec
from returns.result import Failure, Result, Success
from twisted.internet import reactor
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import (
    IProtocol,
    IProtocolFactory,
    IStreamClientEndpoint,
)
from twisted.web.client import (
    URI,
    Agent,
    HTTPConnectionPool,
)
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from waywell.connection.bodies import BytesBodyProducer, read_body
from waywell.connection.client_connection import (
    ClientResponse,
    has_malformed_head,
    make_client_pool,
)
from waywell.connection.deferreds import await_deferred
from waywell.connection.hop_headers import HOP_BY_HOP_HEADERS
from waywell.connection.http_client import MAX_BODY_BYTES
from waywell.connection.limit_header import LIMIT_HEADER, read_limit
from waywell.connection.retry_after import RETRY_AFTER_HEADER, read_retry_after
from waywell.connection.target import (
    EPOCH_HEADER,
    FENCE_HEADER,
    FENCE_REFUSED,
    GROUP_HEADER,
    LOAD_HEADER,
    PRIORITY_HEADER,
    Dispatch,
    DispatchFault,
    GroupOrder,
    OrderOutcome,
    ProbeAnswer,
    Target,
    TargetAnswer,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.defer import Deferred

    from waywell.version.roster import Member

IDLE_CONNECTIONS = 16
"""Largest number of idle connections kept to one target."""

IDLE_SECONDS = 30.0
"""Seconds after which an idle connection is closed."""


class NotSentError(Exception):
    """The guard rejected the request before it was written."""


@implementer(IStreamClientEndpoint)
class GuardedEndpoint:
    """An endpoint that calls a guard once its connection is established.

    The check runs in the same iteration of the event loop as the write of the
    request, so no other code runs between them.
    """

    def __init__(
        self,
        inner: TCP4ClientEndpoint,
        may_send: Callable[[], bool],
    ) -> None:
        """Wrap an endpoint and its guard."""
        self.attempted = False
        self.connected = False
        self.refused = False
        self._inner = inner
        self._may_send = may_send

    def connect(self, factory: IProtocolFactory) -> Deferred[IProtocol]:
        """Connect, then call the guard."""
        self.attempted = True
        return self._inner.connect(factory).addCallback(self._check)

    def _check(self, protocol: Any) -> Any:
        if not self._may_send():
            self.refused = True
            protocol.transport.abortConnection()
            raise NotSentError
        self.connected = True
        return protocol


@implementer(IAgentEndpointFactory)
class _FixedEndpointFactory:
    """Returns the same endpoint for every address."""

    def __init__(self, endpoint: GuardedEndpoint) -> None:
        self._endpoint = endpoint

    def endpointForURI(self, uri: URI) -> GuardedEndpoint:  # noqa: N802
        return self._endpoint


class HttpTargetAnswer(TargetAnswer):
    """Answer of a target over HTTP."""

    def __init__(self, response: ClientResponse) -> None:
        """Read the status and the headers of a response."""
        self._response = response
        self.status = response.code
        self.headers = [
            (name, text)
            for name, texts in response.headers.getAllRawHeaders()
            for text in texts
            if name.lower().decode('latin-1') not in HOP_BY_HOP_HEADERS
        ]
        self.length = response.length
        self.load = self._read_load()
        retry_after = response.headers.getRawHeaders(RETRY_AFTER_HEADER, [''])
        self.rest_seconds = read_retry_after(self.status, retry_after[0])
        limits = response.headers.getRawHeaders(LIMIT_HEADER, [None])
        self.limit = read_limit(limits[0])

    @property
    def was_closed(self) -> bool:
        """Return whether the connection ended with an orderly close."""
        return self._response.was_closed

    def deliver(self, receiver: IProtocol) -> None:
        """Deliver the body to a receiver, with back pressure."""
        self._response.deliverBody(receiver)

    def abandon(self) -> None:
        """Abort the connection and discard the rest of the body."""
        self._response.abort()

    def _read_load(self) -> int | None:
        texts = self._response.headers.getRawHeaders(LOAD_HEADER, [])
        text = texts[0] if texts else ''
        return int(text) if text.isdecimal() else None


class HttpTarget(Target):
    """Calls targets over HTTP/1.1.

    Parameters
    ----------
    connect_seconds
        Time limit for connecting, in seconds.
    """

    def __init__(self, connect_seconds: float) -> None:
        """Set up the connection pool; connections are opened on demand."""
        self._connect_seconds = connect_seconds
        self._pool = make_client_pool(keeps_connections=True)
        self._pool.maxPersistentPerHost = IDLE_CONNECTIONS
        self._pool.cachedConnectionTimeout = IDLE_SECONDS

    async def dispatch(
        self,
        dispatch: Dispatch,
        seconds: float,
        may_send: Callable[[], bool],
    ) -> Result[TargetAnswer, DispatchFault]:
        """Send a request and return the answer, up to its body."""
        if not may_send():
            return Failure(DispatchFault.TOO_LATE)
        endpoint = self._make_endpoint(dispatch.member, may_send)
        requested = self._make_agent(
            endpoint, dispatch.needs_new_connection
        ).request(
            dispatch.method.encode(),
            _make_url(dispatch.member, dispatch.path),
            _make_headers(dispatch),
            BytesBodyProducer(dispatch.body) if dispatch.body else None,
        )
        try:
            response: ClientResponse = await await_deferred(requested, seconds)
        except Exception as error:
            return Failure(_classify_failure(endpoint, error))
        if _is_fenced(response):
            response.abort()
            return Failure(DispatchFault.FENCED)
        return Success(HttpTargetAnswer(response))

    async def order(
        self,
        member: Member,
        order: GroupOrder,
        seconds: float,
    ) -> OrderOutcome:
        """Send an order, which its epoch fences, to a box."""
        body = BytesBodyProducer(msgspec.json.encode(order))
        url = _make_url(member, '/waywell/order')
        try:
            response = await self._call(b'PUT', url, body, seconds)
        except Exception:
            return OrderOutcome.UNKNOWN
        if response.code == HTTPStatus.CONFLICT:
            return OrderOutcome.FENCED
        is_accepted = response.code < HTTPStatus.MULTIPLE_CHOICES
        return OrderOutcome.ACCEPTED if is_accepted else OrderOutcome.UNKNOWN

    async def probe(
        self,
        member: Member,
        seconds: float,
    ) -> ProbeAnswer | None:
        """Return the state of a box, or ``None`` without a valid answer."""
        url = _make_url(member, '/waywell/health')
        try:
            response = await self._call(b'GET', url, None, seconds)
        except Exception:
            return None
        if response.code >= HTTPStatus.MULTIPLE_CHOICES:
            return None
        try:
            return msgspec.json.decode(response.raw, type=ProbeAnswer)
        except msgspec.MsgspecError:
            return None

    async def _call(
        self,
        method: bytes,
        url: bytes,
        body: BytesBodyProducer | None,
        seconds: float,
    ) -> _WholeAnswer:
        agent = Agent(
            reactor,
            connectTimeout=self._connect_seconds,
            pool=self._pool,
        )
        response: Any = await await_deferred(
            agent.request(method, url, None, body),
            seconds,
        )
        raw = await read_body(response, seconds, MAX_BODY_BYTES)
        return _WholeAnswer(response.code, raw)

    def _make_endpoint(
        self,
        member: Member,
        may_send: Callable[[], bool],
    ) -> GuardedEndpoint:
        inner = TCP4ClientEndpoint(
            reactor,
            member.host,
            member.port,
            timeout=self._connect_seconds,
        )
        return GuardedEndpoint(inner, may_send)

    def _make_agent(
        self, endpoint: GuardedEndpoint, needs_new_connection: bool
    ) -> Agent:
        return Agent.usingEndpointFactory(
            reactor,
            _FixedEndpointFactory(endpoint),
            pool=self._make_pool(needs_new_connection),
        )

    def _make_pool(self, needs_new_connection: bool) -> HTTPConnectionPool:
        return (
            make_client_pool(keeps_connections=False)
            if needs_new_connection
            else self._pool
        )


class _WholeAnswer(msgspec.Struct, frozen=True):
    code: int
    raw: bytes


def _classify_failure(
    endpoint: GuardedEndpoint, error: Exception
) -> DispatchFault:
    """Return why a request got no answer."""
    if endpoint.refused:
        return DispatchFault.TOO_LATE
    # Without an attempt to connect, a kept connection was used, on which the
    # request may have been sent.
    if endpoint.attempted and not endpoint.connected:
        return DispatchFault.NOT_SENT
    if isinstance(error, TimeoutError):
        return DispatchFault.TIMED_OUT
    if has_malformed_head(error):
        return DispatchFault.MALFORMED
    return DispatchFault.BROKEN


def _make_url(member: Member, path: str) -> bytes:
    return f'http://{member.host}:{member.port}{path}'.encode()


def _make_headers(dispatch: Dispatch) -> Headers:
    headers = Headers()
    for name, text in dispatch.headers:
        headers.addRawHeader(name, text)
    headers.setRawHeaders(GROUP_HEADER, [dispatch.group])
    headers.setRawHeaders(EPOCH_HEADER, [str(dispatch.epoch)])
    headers.setRawHeaders(PRIORITY_HEADER, [str(dispatch.priority)])
    return headers


def _is_fenced(response: ClientResponse) -> bool:
    fences = response.headers.getRawHeaders(FENCE_HEADER, [])
    return response.code == HTTPStatus.CONFLICT and FENCE_REFUSED in fences
