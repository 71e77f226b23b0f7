"""Targets over HTTP."""

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
    readBody,
)
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from waywell.connection.bodies import BytesBodyProducer, read_body
from waywell.connection.client_connection import (
    ClientResponse,
    make_client_pool,
)
from waywell.connection.deferreds import await_deferred
from waywell.connection.hop_headers import HOP_BY_HOP_HEADERS
from waywell.connection.named_limit import LIMIT_HEADER, read_limit
from waywell.connection.retry_after import REST_HEADER, read_rest
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
"""Idle connections kept to one target."""

IDLE_SECONDS = 30.0
"""Seconds for which an idle connection is kept."""


class NotSentError(Exception):
    """The guard spoke against writing the request."""


@implementer(IStreamClientEndpoint)
class GuardedEndpoint:
    """An endpoint that asks once more when the connection stands.

    The check runs in the same turn of the event loop as the write of
    the request, so nothing else comes between them.
    """

    def __init__(
        self,
        inner: TCP4ClientEndpoint,
        may_send: Callable[[], bool],
    ) -> None:
        """Wrap an endpoint."""
        self.asked = False
        self.connected = False
        self.refused = False
        self._inner = inner
        self._may_send = may_send

    def connect(self, factory: IProtocolFactory) -> Deferred[IProtocol]:
        """Connect, then ask."""
        self.asked = True
        return self._inner.connect(factory).addCallback(self._check)

    def _check(self, protocol: Any) -> Any:
        if not self._may_send():
            self.refused = True
            protocol.transport.abortConnection()
            raise NotSentError
        self.connected = True
        return protocol


@implementer(IAgentEndpointFactory)
class _OneEndpoint:
    """Gives out one endpoint, whatever the address."""

    def __init__(self, endpoint: GuardedEndpoint) -> None:
        self._endpoint = endpoint

    def endpointForURI(self, uri: URI) -> GuardedEndpoint:  # noqa: N802
        return self._endpoint


class HttpTargetAnswer(TargetAnswer):
    """An answer over HTTP."""

    def __init__(self, response: ClientResponse) -> None:
        """Read the head of the answer."""
        self._response = response
        self._receiver: IProtocol | None = None
        self.status = response.code
        self.headers = [
            (name, text)
            for name, texts in response.headers.getAllRawHeaders()
            for text in texts
            if name.lower().decode('latin-1') not in HOP_BY_HOP_HEADERS
        ]
        self.length = response.length
        self.load = self._read_load()
        rests = response.headers.getRawHeaders(REST_HEADER, [''])
        self.rest_seconds = read_rest(self.status, rests[0])
        limits = response.headers.getRawHeaders(LIMIT_HEADER, [None])
        self.limit = read_limit(limits[0])

    @property
    def was_closed(self) -> bool:
        """Return whether the connection ended with an orderly close."""
        return self._response.was_closed

    def deliver(self, receiver: IProtocol) -> None:
        """Deliver the body to a receiver, with back pressure."""
        self._receiver = receiver
        self._response.deliverBody(receiver)

    def abandon(self) -> None:
        """Break the connection: the rest of the body is not wanted."""
        if self._receiver is None:
            _drop_body(self._response)
            return
        transport: Any = self._receiver.transport
        if transport is not None:
            transport.loseConnection()

    def _read_load(self) -> int | None:
        texts = self._response.headers.getRawHeaders(LOAD_HEADER, [])
        text = texts[0] if texts else ''
        return int(text) if text.isdecimal() else None


def _drop_body(response: ClientResponse) -> None:
    reading = readBody(response)
    reading.addErrback(lambda _failure: None)
    reading.cancel()


class HttpTarget(Target):
    """Calls targets over HTTP/1.1.

    Parameters
    ----------
    connect_seconds
        Seconds to connect.
    """

    def __init__(self, connect_seconds: float) -> None:
        """Open no connection yet."""
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
        """Send a request and return its answer's head."""
        if not may_send():
            return Failure(DispatchFault.TOO_LATE)
        endpoint = self._make_endpoint(dispatch.member, may_send)
        requested = self._make_agent(endpoint, dispatch.fresh).request(
            dispatch.method.encode(),
            _make_url(dispatch.member, dispatch.path),
            _make_headers(dispatch),
            BytesBodyProducer(dispatch.body) if dispatch.body else None,
        )
        try:
            response: ClientResponse = await await_deferred(requested, seconds)
        except TimeoutError:
            return Failure(self._explain(endpoint, timed_out=True))
        except Exception:
            return Failure(self._explain(endpoint, timed_out=False))
        if _is_fenced(response):
            _drop_body(response)
            return Failure(DispatchFault.FENCED)
        return Success(HttpTargetAnswer(response))

    async def order(
        self,
        member: Member,
        order: GroupOrder,
        seconds: float,
    ) -> OrderOutcome:
        """Send a fenced order to a box."""
        body = BytesBodyProducer(msgspec.json.encode(order))
        url = _make_url(member, '/waywell/order')
        try:
            response = await self._call(b'PUT', url, body, seconds)
        except Exception:
            return OrderOutcome.UNKNOWN
        if response.code == HTTPStatus.CONFLICT:
            return OrderOutcome.FENCED
        taken = response.code < HTTPStatus.MULTIPLE_CHOICES
        return OrderOutcome.TAKEN if taken else OrderOutcome.UNKNOWN

    async def probe(
        self,
        member: Member,
        seconds: float,
    ) -> ProbeAnswer | None:
        """Ask a box how it is; ``None`` when it doesn't answer."""
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
    ) -> _SmallAnswer:
        agent = Agent(
            reactor,
            connectTimeout=self._connect_seconds,
            pool=self._pool,
        )
        response: Any = await await_deferred(
            agent.request(method, url, None, body),
            seconds,
        )
        raw = await read_body(response, seconds)
        return _SmallAnswer(response.code, raw)

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

    def _make_agent(self, endpoint: GuardedEndpoint, fresh: bool) -> Agent:
        return Agent.usingEndpointFactory(
            reactor,
            _OneEndpoint(endpoint),
            pool=self._make_pool(fresh),
        )

    def _make_pool(self, fresh: bool) -> HTTPConnectionPool:
        return (
            make_client_pool(keeps_connections=False) if fresh else self._pool
        )

    def _explain(
        self,
        endpoint: GuardedEndpoint,
        timed_out: bool,
    ) -> DispatchFault:
        if endpoint.refused:
            return DispatchFault.TOO_LATE
        # Where the endpoint was not asked, a kept connection was used.
        if endpoint.asked and not endpoint.connected:
            return DispatchFault.NOT_SENT
        return DispatchFault.TIMED_OUT if timed_out else DispatchFault.BROKEN


class _SmallAnswer(msgspec.Struct, frozen=True):
    code: int
    raw: bytes


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
    marks = response.headers.getRawHeaders(FENCE_HEADER, [])
    return response.code == HTTPStatus.CONFLICT and FENCE_REFUSED in marks
