"""HTTP port for callers on the platform, which routes by host and path."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

import attrs
import msgspec
from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

from waywell.codes import (
    PROMISE_STATUSES,
    UNKNOWN_OUTCOME_STATUS,
    Code,
    Ran,
    Refusal,
)
from waywell.connection.caller_base import (
    BaseCallerRequest,
    BaseCallerSite,
)
from waywell.connection.caller_channel import CallerChannel
from waywell.connection.forwarding import (
    CODE_HEADER,
    FORWARDING_HEADER_BYTES,
    RAN_HEADER,
    SENDS_HEADER,
)
from waywell.connection.wire_format import WireFormat
from waywell.request.decoded_request import DecodedRequest
from waywell.request.request_context import AnswerWriter
from waywell.version.routes import CallerLimits

if TYPE_CHECKING:
    from twisted.web.http import HTTPChannel

    from waywell.connection.wire_format import RawHeaders

NOT_RUN_STATUS = 503
"""HTTP status that guarantees that a request has not run."""


@attrs.frozen
class FrontBackend:
    """Functions of the node that the port uses."""

    wire: WireFormat
    """Codec of the request headers."""

    serve: Callable[[DecodedRequest, AnswerWriter], Awaitable[None]]
    """Serves a request; raises ``Refusal`` if it can't."""

    get_limits: Callable[[], CallerLimits]
    """Returns the limits for callers that are in force."""

    is_leaving: Callable[[], bool]
    """Returns whether the node is leaving, so that callers should reconnect
    to another one."""

    report: Callable[[FrontRequest, Code, Ran], None]
    """Records the result code of a request and whether the request ran."""

    @property
    def body_bytes(self) -> int:
        """Return the largest request body in force, in bytes."""
        return self.get_limits().body_bytes


class FrontRequest(BaseCallerRequest):
    """Request of a caller on the platform."""

    backend: Any

    def __init__(self, channel: HTTPChannel, *args: Any) -> None:
        """Initialize before the request line is received."""
        super().__init__(channel, *args)
        # The caller's id of this attempt; empty until the request is
        # decoded.
        self.attempt_id = ''

    def refuse(self, refusal: Refusal) -> None:
        """Record a refusal and send it as the response."""
        self.backend.report(self, refusal.code, refusal.ran)
        if self.is_disconnected:
            return
        raw = msgspec.json.encode(refusal.describe())
        self.setResponseCode(_choose_status(refusal))
        self.setHeader(b'content-type', b'application/json')
        self.setHeader(b'content-length', str(len(raw)).encode())
        self.setHeader(CODE_HEADER.encode(), str(int(refusal.code)).encode())
        self.setHeader(RAN_HEADER.encode(), refusal.ran.value.encode())
        if refusal.sends is not None:
            self.setHeader(SENDS_HEADER.encode(), str(refusal.sends).encode())
        if refusal.retry_after is not None:
            self.setHeader(b'retry-after', f'{refusal.retry_after:g}'.encode())
        self.disable_keep_alive_if_leaving()
        self.write(raw)
        self.finish()

    def disable_keep_alive_if_leaving(self) -> None:
        """Announce the close of the connection if the node is leaving."""
        if self.backend.is_leaving():
            self.setHeader(b'connection', b'close')
            self.channel.persistent = False

    async def serve_path(self) -> None:
        """Decode the request and serve it by its host and path."""
        raw_headers = tuple(
            (name, text)
            for name, texts in self.requestHeaders.getAllRawHeaders()
            for text in texts
        )
        request = self.backend.wire.read_request(
            self.method.decode('latin-1'),
            self.uri.decode('latin-1'),
            raw_headers,
            self.take_body(),
        )
        self.attempt_id = request.attempt_id
        await self.backend.serve(request, _FrontAnswer(self))
        self.backend.report(self, Code.OK, Ran.RAN)


def _choose_status(refusal: Refusal) -> int:
    """Return the HTTP status of a refusal.

    Among the 5xx statuses, 503 and no other guarantees that the request has
    not run.
    """
    if refusal.ran is Ran.NOT_RUN:
        return min(refusal.status, NOT_RUN_STATUS)
    if refusal.status in PROMISE_STATUSES:
        return UNKNOWN_OUTCOME_STATUS
    return refusal.status


@implementer(IPushProducer)
class _FrontAnswer(AnswerWriter):
    """Writes an answer to the caller, with flow control."""

    def __init__(self, request: FrontRequest) -> None:
        self._request = request
        self._writable: asyncio.Future[None] | None = None
        self._is_registered = False

    def begin(
        self,
        status: int,
        headers: RawHeaders,
        length: int | None,
    ) -> None:
        request = self._request
        request.setResponseCode(status)
        for name, text in headers:
            request.responseHeaders.addRawHeader(name, text)
        if length is not None:
            request.setHeader(b'content-length', str(length).encode())
        request.disable_keep_alive_if_leaving()
        request.registerProducer(self, True)
        self._is_registered = True

    async def write(self, raw: bytes) -> None:
        self._request.write(raw)
        if self._writable is not None:
            await self._writable

    def hold(self, size: int) -> bool:
        channel = self._request.channel
        return channel is None or bool(channel.memory.hold(size))

    def finish(self) -> None:
        self._unregister()
        self._request.finish()

    def abort(self) -> None:
        self._unregister()
        self._request.loseConnection()

    def pauseProducing(self) -> None:  # noqa: N802
        """Make ``write`` wait: the send buffer is full."""
        if self._writable is None:
            loop = asyncio.get_running_loop()
            self._writable = loop.create_future()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume ``write``: the send buffer has room again."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None

    def stopProducing(self) -> None:  # noqa: N802
        """Resume ``write``: the caller has disconnected, which cancels the
        request.
        """
        self.resumeProducing()

    def _unregister(self) -> None:
        if self._is_registered:
            self._is_registered = False
            self._request.unregisterProducer()


class FrontChannel(CallerChannel):
    """Connection of a caller, with the timeouts and size limits in force."""

    # Timeout that twisted saves while it serves a request; declared here
    # because twisted has no type annotations for it.
    _savedTimeOut: float | None  # noqa: WPS115

    def __init__(self) -> None:
        """Initialize before the connection is made."""
        super().__init__()
        self._head_timer: Any = None
        self._idle_limit = 0.0

    def connectionMade(self) -> None:  # noqa: N802
        """Apply the limits in force."""
        limits = self.site.backend.get_limits()
        self._idle_limit = limits.idle_seconds
        self.timeOut = limits.idle_seconds
        self.totalHeadersSize = limits.header_bytes + FORWARDING_HEADER_BYTES
        super().connectionMade()

    def requestDone(self, request: Any) -> None:  # noqa: N802
        """Apply the idle timeout that is in force at the end of a request."""
        self._idle_limit = self.site.backend.get_limits().idle_seconds
        if self._savedTimeOut:
            self._savedTimeOut = self._idle_limit
        super().requestDone(request)

    def timeoutConnection(self) -> None:  # noqa: N802
        """Disconnect, unless a longer idle timeout has come into force."""
        limit = self.site.backend.get_limits().idle_seconds
        extension = limit - self._idle_limit
        if extension <= 0:
            super().timeoutConnection()
            return
        self._idle_limit = limit
        self.setTimeout(extension)
        self.timeOut = limit

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Parse a line; the first one of a request head starts its timeout."""
        if self._head_timer is None and line:
            limits = self.site.backend.get_limits()
            self._head_timer = self.callLater(
                limits.header_seconds, self._refuse_slow_head
            )
        super().lineReceived(line)

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Cancel the timeout of the request head."""
        self._cancel_head_timer()
        super().allHeadersReceived()

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Cancel the timeout of the request head."""
        self._cancel_head_timer()
        super().connectionLost(reason)

    def _cancel_head_timer(self) -> None:
        timer = self._head_timer
        self._head_timer = None
        if timer is not None and timer.active():
            timer.cancel()

    def _refuse_slow_head(self) -> None:
        self.write_refusal(Refusal(Code.HEAD_TOO_SLOW))


class FrontSite(BaseCallerSite):
    """Site that serves callers on the platform."""

    protocol = FrontChannel
    request_class = FrontRequest
