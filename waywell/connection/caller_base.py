"""What the ports for callers share: connections, bodies, malformed input."""

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
"""Seconds after which an idle caller connection is closed."""

LINGER_SECONDS = 1.0
"""Seconds for which bytes after a refusal are read and dropped."""


class BaseCallerRequest(Request):
    """One request of a caller; subclasses serve it."""

    def __init__(self, channel: HTTPChannel, *rest: Any) -> None:
        """Start before the first line."""
        super().__init__(channel, *rest)
        self.backend: Any = channel.site.backend
        self.is_disconnected = False
        self.is_relaying = False
        self._serving: Any = None
        self._refused = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Keep the body in memory: entry boxes have no disk."""
        self.content = BytesIO()
        if length is not None and length > self.backend.body_bytes:
            self._refuse_body()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802, WPS110
        """Take in a piece of the body, up to the limit."""
        if self._refused:
            return
        if self.content.tell() + len(data) > self.backend.body_bytes:
            self._refuse_body()
        else:
            self.content.write(data)

    def process(self) -> None:
        """Serve the request; twisted calls this when it is whole."""
        if self._refused:
            return
        self.notifyFinish().addErrback(self._note_gone)
        self._serving = start_task(self._serve())
        self._serving.addErrback(self._fail)

    def refuse(self, refusal: Refusal) -> None:
        """Answer with a refusal, at once."""
        raise NotImplementedError

    async def serve_path(self) -> None:
        """Serve what is asked for.

        Raises
        ------
        waywell.codes.Refusal
            When it is not served.
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
        self._refused = True
        refusal = Refusal(Code.BODY_TOO_LARGE)
        self.backend.report(self, refusal.code, refusal.ran)
        self.channel.write_refusal(refusal)

    def _note_gone(self, _failure: object) -> None:
        self.is_disconnected = True
        if not self.is_relaying and self._serving is not None:
            self._serving.cancel()

    def _fail(self, failure: Any) -> None:
        """End a request whose caller has gone, or that met our own fault."""
        if not self.is_disconnected:
            log_warning('request_failed', error=repr(failure.value))
            self.loseConnection()
        self.backend.report(self, Code.TARGET_FAILED, Ran.MAY_HAVE_RUN)


class CallerChannel(HTTPChannel):
    """A caller's connection; malformed input gets a numbered answer."""

    def __init__(self) -> None:
        """Start before the first byte."""
        super().__init__()
        self.is_refusing = False

    def connectionMade(self) -> None:  # noqa: N802
        """Count the connection in."""
        super().connectionMade()
        self.site.channels.add(self)

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Count the connection out."""
        self.site.channels.discard(self)
        super().connectionLost(reason)

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Take in a line, or drop what comes after a refusal."""
        if not self.is_refusing:
            super().lineReceived(line)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take in a piece of a body, or drop what comes after a refusal."""
        if not self.is_refusing:
            super().rawDataReceived(data)

    def lineLengthExceeded(self, line: bytes) -> None:  # noqa: N802
        """Refuse a line that is too long."""
        self.write_refusal(Refusal(Code.MALFORMED_HTTP))

    def write_refusal(self, refusal: Refusal) -> None:
        """Write a refusal outside of a request, and hang up.

        What the caller is still sending is read and dropped for a while:
        a connection that is closed over unread bytes is reset, and the
        refusal would be lost with it.
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
        """Answer what twisted found malformed."""
        self.write_refusal(Refusal(Code.MALFORMED_HTTP))


class BaseCallerSite(Site):
    """Makes the requests of callers.

    Parameters
    ----------
    backend
        The node.
    """

    protocol = CallerChannel
    request_class: Any = BaseCallerRequest
    displayTracebacks = False

    def __init__(self, backend: Any) -> None:
        """Serve for a node."""
        super().__init__(
            None,
            requestFactory=self.request_class,
            timeout=IDLE_SECONDS,
            parsePOSTFormSubmission=False,
        )
        self.backend = backend
        self.channels: set[CallerChannel] = set()

    def log(self, request: Any) -> None:
        """Write no access log: each request has its own event."""

    def close_connections(self) -> None:
        """Close every connection when what was written has left."""
        for channel in tuple(self.channels):
            channel.loseConnection()
