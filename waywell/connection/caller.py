"""The port for callers: entry list and requests, over HTTP/1.1."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from io import BytesIO
from typing import TYPE_CHECKING, Any

import msgspec
from twisted.web.http import HTTPChannel
from twisted.web.server import Request, Site

from waywell.codes import Code, Ran, Refusal
from waywell.connection.deferreds import start_task
from waywell.connection.http_target import HOP_HEADERS
from waywell.connection.relay import AnswerRelay
from waywell.connection.target import (
    EPOCH_HEADER,
    GROUP_HEADER,
    PRIORITY_HEADER,
)
from waywell.process.events import log_warning
from waywell.request.submission import CallerPort, Submission
from waywell.version.objects import Service, ServiceType

if TYPE_CHECKING:
    from waywell.connection.target import TargetAnswer

ENTRIES_PATH = b'/entries'
"""Path of the entry list."""

CODE_HEADER = 'waywell-code'
"""Number of the result code, on refusals."""

RAN_HEADER = 'waywell-ran'
"""Whether the request ran, on refusals."""

CONFIGURATION_HEADER = 'waywell-configuration'
"""Version of the configuration that a request was served by."""

IDLE_SECONDS = 120
"""Seconds after which an idle caller connection is closed."""

_DROPPED = HOP_HEADERS | {
    'authorization',
    'host',
    'expect',
    'content-length',
    GROUP_HEADER,
    EPOCH_HEADER,
    PRIORITY_HEADER,
}


LONGEST_RETRY = 3600
"""Longest advice to come back, in seconds."""


LINGER_SECONDS = 1.0
"""Seconds for which bytes after a refusal are read and dropped."""


class CallerBackend(msgspec.Struct, frozen=True):
    """What the port needs of the node."""

    serve: Callable[[Submission, CallerPort], Awaitable[None]]
    """Serves a request; raises a refusal."""

    list_entries: Callable[[], dict[str, Any]]
    """Returns the entry list."""

    get_configuration: Callable[[], int]
    """Returns the version of the configuration in force."""

    report: Callable[[CallerRequest, Code, Ran], None]
    """Takes in how a request ended."""

    body_bytes: int
    """Largest request body."""


class CallerRequest(Request):
    """One request of a caller."""

    def __init__(self, channel: HTTPChannel, *rest: Any) -> None:
        """Start before the first line."""
        super().__init__(channel, *rest)
        self.backend: CallerBackend = channel.site.backend
        self.is_gone = False
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
        self.backend.report(self, refusal.code, refusal.ran)
        if self.is_gone:
            return
        raw = msgspec.json.encode(refusal.describe())
        self.setResponseCode(refusal.status)
        self.setHeader(b'content-type', b'application/json')
        self.setHeader(b'content-length', str(len(raw)).encode())
        self.setHeader(CODE_HEADER.encode(), str(int(refusal.code)).encode())
        self.setHeader(RAN_HEADER.encode(), refusal.ran.value.encode())
        if refusal.retry_after is not None:
            seconds = max(1, round(min(refusal.retry_after, LONGEST_RETRY)))
            self.setHeader(b'retry-after', str(seconds).encode())
        self.write(raw)
        self.finish()

    def read_text(self, header: str) -> str:
        """Return a header's last value as text, or an empty one."""
        texts = self.requestHeaders.getRawHeaders(header.encode(), [b''])
        return str(texts[-1].decode('latin-1'))

    async def _serve(self) -> None:
        if self.clientproto != b'HTTP/1.1':
            self.refuse(Refusal(Code.UNSUPPORTED_HTTP))
            return
        try:
            await self._serve_path()
        except Refusal as refusal:
            self.refuse(refusal)

    async def _serve_path(self) -> None:
        if self.path == ENTRIES_PATH:
            self._answer_entries()
            return
        number = str(self.backend.get_configuration()).encode()
        self.setHeader(CONFIGURATION_HEADER.encode(), number)
        await self.backend.serve(self._submit(), _RequestPort(self))
        self.backend.report(self, Code.OK, Ran.RAN)

    def _answer_entries(self) -> None:
        raw = msgspec.json.encode(self.backend.list_entries())
        self.setHeader(b'content-type', b'application/json')
        self.setHeader(b'content-length', str(len(raw)).encode())
        self.write(raw)
        self.finish()

    def _submit(self) -> Submission:
        headers = {
            name.decode('latin-1').lower(): texts
            for name, texts in self.requestHeaders.getAllRawHeaders()
        }
        passed = tuple(
            (name.encode('latin-1'), text)
            for name, texts in headers.items()
            if name not in _DROPPED
            for text in texts
        )
        return Submission(
            method=self.method.decode('latin-1'),
            target=self.uri.decode('latin-1'),
            headers={
                name: texts[-1].decode('latin-1')
                for name, texts in headers.items()
            },
            passed=passed,
            body=self.content.getvalue(),
        )

    def _refuse_body(self) -> None:
        """Refuse a body over the limit without reading the rest of it."""
        self._refused = True
        refusal = Refusal(Code.BODY_TOO_LARGE)
        self.backend.report(self, refusal.code, refusal.ran)
        self.channel.write_refusal(refusal)

    def _note_gone(self, _failure: object) -> None:
        self.is_gone = True
        if not self.is_relaying and self._serving is not None:
            self._serving.cancel()

    def _fail(self, failure: Any) -> None:
        """End a request whose caller has gone, or that met our own fault."""
        if not self.is_gone:
            log_warning('request_failed', error=repr(failure.value))
            self.loseConnection()
        self.backend.report(self, Code.TARGET_FAILED, Ran.MAY_HAVE_RUN)


class _RequestPort(CallerPort):
    def __init__(self, request: CallerRequest) -> None:
        self._request = request

    def is_gone(self) -> bool:
        return self._request.is_gone

    async def relay(self, answer: TargetAnswer, service: Service) -> bool:
        if self._request.is_gone:
            answer.abandon()
            return False
        wants_marker = service.type is ServiceType.MODEL
        relay = AnswerRelay(self._request, answer, wants_marker)
        self._request.is_relaying = True
        relay.start()
        return await relay.whole


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


class CallerSite(Site):
    """Makes the requests of callers.

    Parameters
    ----------
    backend
        The node.
    """

    protocol = CallerChannel
    request_class = CallerRequest
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

    def hang_up(self) -> None:
        """Close every connection when what was written has left."""
        for channel in tuple(self.channels):
            channel.loseConnection()
