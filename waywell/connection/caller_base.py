"""Base classes of the caller ports: connections, bodies, malformed input."""

from __future__ import annotations

from io import BytesIO
from typing import Any

import msgspec
from twisted.web.http import HTTPChannel
from twisted.web.server import Request, Site

from waywell.codes import Code, Ran, Refusal
from waywell.connection.deferreds import start_task
from waywell.connection.forwarding import CODE_HEADER, RAN_HEADER
from waywell.telemetry.events import log_warning

IDLE_SECONDS = 120
"""Timeout of idle connections of callers, in seconds."""

LINGER_SECONDS = 1.0
"""Time for which input is read and discarded after a refusal, in seconds."""


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
            self._refuse_body()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802, WPS110
        """Append to the body; refuse it once it exceeds the limit."""
        if self._is_body_refused:
            return
        if self.content.tell() + len(data) > self.backend.body_bytes:
            self._refuse_body()
        else:
            self.content.write(data)

    def process(self) -> None:
        """Start to serve the request; twisted calls this after the body."""
        if self._is_body_refused:
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

    def _refuse_body(self) -> None:
        """Refuse a body over the limit without reading the rest of it."""
        self._is_body_refused = True
        refusal = Refusal(Code.BODY_TOO_LARGE)
        self.backend.report(self, refusal.code, refusal.ran)
        self.channel.write_refusal(refusal)

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


class CallerChannel(HTTPChannel):
    """Connection of a caller; malformed input gets a refusal with its code."""

    def __init__(self) -> None:
        """Initialize before the connection is made."""
        super().__init__()
        self.is_refusing = False

    def connectionMade(self) -> None:  # noqa: N802
        """Add the connection to the open connections of the site."""
        super().connectionMade()
        self.site.channels.add(self)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Remove the connection from the open connections of the site."""
        self.site.channels.discard(self)
        super().connectionLost(reason)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Parse a line of the request head; discard it after a refusal."""
        if not self.is_refusing:
            super().lineReceived(line)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse bytes of a body; discard them after a refusal."""
        if not self.is_refusing:
            super().rawDataReceived(data)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Refuse a request that has an overlong line."""
        self.write_refusal(Refusal(Code.MALFORMED_HTTP))

    def write_refusal(self, refusal: Refusal) -> None:
        """Send a refusal that belongs to no parsed request, then disconnect.

        Input is read and discarded for ``LINGER_SECONDS`` before the close.
        Closing a socket with unread input resets the connection, and the
        caller could lose the refusal.
        """
        if self.is_refusing:
            return
        self.is_refusing = True
        raw = msgspec.json.encode(refusal.describe())
        lines = (
            f'HTTP/1.1 {refusal.status} Refused',
            'content-type: application/json',
            f'content-length: {len(raw)}',
            f'{CODE_HEADER}: {refusal.code:d}',
            f'{RAN_HEADER}: {refusal.ran.value}',
            'connection: close',
            '\r\n',
        )
        self.transport.write('\r\n'.join(lines).encode() + raw)
        self.transport.loseWriteConnection()
        self.callLater(LINGER_SECONDS, self.loseConnection)

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        """Send a refusal in place of the bare 400 response of twisted."""
        self.write_refusal(Refusal(Code.MALFORMED_HTTP))


class BaseCallerSite(Site):
    """Site that serves callers and tracks their connections.

    Parameters
    ----------
    backend
        Functions of the node that serve the requests.
    """

    protocol = CallerChannel
    request_class: Any = BaseCallerRequest
    displayTracebacks = False

    def __init__(self, backend: Any) -> None:
        """Keep the functions of the node; no connection is open yet."""
        super().__init__(
            None,
            requestFactory=self.request_class,
            timeout=IDLE_SECONDS,
            parsePOSTFormSubmission=False,
        )
        self.backend = backend
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
