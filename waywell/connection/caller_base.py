"""Base classes of the caller ports: connections, bodies, malformed input."""

from __future__ import annotations

from io import BytesIO
from typing import TYPE_CHECKING, Any

from twisted.web.server import Request, Site

from waywell.codes import Code, Ran, Refusal
from waywell.connection.caller_channel import (
    CallerChannel,
    make_busy_refusal,
)
from waywell.connection.deferreds import start_task
from waywell.telemetry.events import log_warning

if TYPE_CHECKING:
    from twisted.web.http import HTTPChannel

    from waywell.connection.caller_capacity import CallerCapacity

IDLE_SECONDS = 120
"""Timeout of idle connections of callers, in seconds."""


class BaseCallerRequest(Request):
    """Request of a caller; subclasses implement how it is served."""

    def __init__(self, channel: HTTPChannel, *args: Any) -> None:
        """Initialize before the request line is received."""
        super().__init__(channel, *args)
        self.backend: Any = channel.site.backend
        self.is_disconnected = False
        self.is_relaying = False
        self._serving_task: Any = None
        self._is_body_refused = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Receive the body into memory, since entry boxes have no disk."""
        self.content = BytesIO()
        if length is not None and length > self.backend.body_bytes:
            self.refuse_body(Refusal(Code.BODY_TOO_LARGE))

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802, WPS110
        """Append to the body; refuse it once it exceeds a limit."""
        if self._is_body_refused:
            return
        self.channel.chunks += 1
        if self.content.tell() + len(data) > self.backend.body_bytes:
            self.refuse_body(Refusal(Code.BODY_TOO_LARGE))
        elif self.channel.memory.reserve(len(data)):
            self.content.write(data)
        else:
            self.refuse_body(make_busy_refusal())

    def take_body(self) -> bytes:
        """Return the body, of which the request keeps no copy."""
        body = self.content.getvalue()
        self.content = BytesIO()
        return bytes(body)

    def refuse_body(self, refusal: Refusal) -> None:
        """Refuse the request without reading the rest of its body."""
        self._is_body_refused = True
        self.content = BytesIO()
        self.backend.report(self, refusal.code, refusal.ran)
        self.channel.write_refusal(refusal)

    def process(self) -> None:
        """Start to serve the request; twisted calls this after the body."""
        if self._is_body_refused:
            return
        if not self.channel.begin_serving(self._count_body_bytes()):
            self.content = BytesIO()
            self.refuse(make_busy_refusal())
            return
        self.notifyFinish().addErrback(self._on_disconnect)
        self._serving_task = start_task(self._serve())
        self._serving_task.addErrback(self._on_failure)

    def refuse(self, refusal: Refusal) -> None:
        """Send a refusal as the response."""
        raise NotImplementedError

    async def serve_path(self) -> None:
        """Serve the resource that the request names.

        Raises
        ------
        waywell.codes.Refusal
            If the request is not served.
        """
        raise NotImplementedError

    async def _serve(self) -> None:
        if self.clientproto != b'HTTP/1.1':
            self.refuse(Refusal(Code.UNSUPPORTED_HTTP))
            return
        try:
            await self.serve_path()
        except Refusal as refusal:
            self.refuse(refusal)

    def _count_body_bytes(self) -> int:
        return int(self.content.getbuffer().nbytes)

    def _on_disconnect(self, _failure: object) -> None:
        self.is_disconnected = True
        if not self.is_relaying and self._serving_task is not None:
            self._serving_task.cancel()

    def _on_failure(self, failure: Any) -> None:
        """Record a request that failed or was cancelled.

        The connection is closed unless the caller has disconnected.
        """
        if not self.is_disconnected:
            log_warning('request_failed', error=repr(failure.value))
            self.loseConnection()
        self.backend.report(self, Code.TARGET_FAILED, Ran.MAY_HAVE_RUN)


class BaseCallerSite(Site):
    """Site that serves callers and tracks their connections.

    Parameters
    ----------
    backend
        Functions of the node that serve the requests.
    capacity
        What all callers may occupy together.
    """

    protocol = CallerChannel
    request_class: Any = BaseCallerRequest
    displayTracebacks = False

    def __init__(self, backend: Any, capacity: CallerCapacity) -> None:
        """Keep the functions of the node; no connection is open yet."""
        super().__init__(
            None,
            requestFactory=self.request_class,
            timeout=IDLE_SECONDS,
            parsePOSTFormSubmission=False,
        )
        self.backend = backend
        self.capacity = capacity
        self.channels: set[CallerChannel] = set()

    def log(self, request: Any) -> None:
        """Write no access log; the node logs its own request events."""

    def close_idle_connections(self) -> None:
        """Close the connections on which no request was begun.

        A request counts from its first line, before a task serves it.
        """
        for channel in tuple(self.channels):
            if not channel.requests:
                channel.loseConnection()

    def close_connections(self) -> None:
        """Close all connections once their buffered output is sent."""
        for channel in tuple(self.channels):
            channel.loseConnection()
