"""Connection of a caller: parsing, malformed input, limits on its memory."""

from __future__ import annotations

import time
from typing import Any

import msgspec
from twisted.web.http import HTTPChannel

from waywell.codes import Code, Refusal
from waywell.connection.caller_memory import CallerMemory, StallTimer
from waywell.connection.forwarding import CODE_HEADER, RAN_HEADER
from waywell.telemetry.events import log_event

LINGER_SECONDS = 1.0
"""Time for which input is read and discarded after a refusal, in seconds."""

BODY_SECONDS = 120.0
"""Longest time from the head of a request to the end of its body, in seconds.
A body that stops is refused earlier, after the timeout of idle connections."""

STALL_SECONDS = 60.0
"""Time for which a caller may read nothing of its answer, in seconds, on
connections without an idle timeout."""

BUSY_RETRY_SECONDS = 1.0
"""Value of Retry-After, in seconds, for requests that find no memory."""

HEADER_LINE_BYTES = 200
"""Memory of a header line beside its text, in bytes."""

READ_BYTES = 65_536
"""Bytes that are read from a connection at a time."""

SMALL_READ_BYTES = 4096
"""The same while a body may consist of small chunks, whose decoding delays
other connections."""

SMALL_CHUNK_BYTES = 512
"""Mean size of chunks below which little is read at a time, in bytes."""


def make_busy_refusal() -> Refusal:
    """Return the refusal of a request for which there is no memory."""
    return Refusal(Code.NODE_BUSY, retry_after=BUSY_RETRY_SECONDS)


class CallerChannel(HTTPChannel):
    """Connection of a caller; malformed input gets a refusal with its code.

    It accounts for its memory in the budget of all callers, which may evict
    it while it waits for its caller.
    """

    # Whether a request is being served, as twisted tracks it.
    _handlingRequest: bool  # noqa: WPS115
    # Whether the send buffer is full, as twisted tracks it.
    _waitingForTransport: bool  # noqa: WPS115
    # Idle timeout that twisted restores after a request.
    _savedTimeOut: float | None  # noqa: WPS115

    def __init__(self) -> None:
        """Initialize before the connection is made."""
        super().__init__()
        self.is_refusing = False
        self.chunks = 0
        self.memory: CallerMemory
        self._stall_timer: StallTimer
        self._body_timer: Any = None

    def connectionMade(self) -> None:
        """Add the connection to the open ones, or close it without room."""
        super().connectionMade()
        capacity = self.site.capacity
        self.memory = CallerMemory(capacity.memory, self._evict)
        self._stall_timer = StallTimer(
            self.callLater,
            self._account_unsent,
            self.transport.abortConnection,
        )
        self.transport.bufferSize = SMALL_READ_BYTES
        self.site.channels.add(self)
        is_excess = len(self.site.channels) > capacity.connections
        if not self.memory.open(is_excess=is_excess):
            self.transport.abortConnection()

    def connectionLost(self, reason: Any) -> None:
        """Remove the connection from the open connections of the site."""
        self.site.channels.discard(self)
        self._cancel_body_timer()
        self._stall_timer.stop()
        self.memory.close()
        super().connectionLost(reason)

    def begin_serving(self, body_bytes: int) -> bool:
        """Occupy the memory that serving a request takes, if there is room."""
        self._cancel_body_timer()
        self.transport.bufferSize = SMALL_READ_BYTES
        return self.memory.begin_request(body_bytes)

    def lineReceived(self, line: bytes) -> None:
        """Parse a line of the request head; discard it after a refusal."""
        if self.is_refusing:
            return
        if self.memory.reserve(len(line) + HEADER_LINE_BYTES):
            super().lineReceived(line)
        else:
            self.write_refusal(make_busy_refusal())

    def allHeadersReceived(self) -> None:
        """Limit the time of the body."""
        if self.length != 0:
            self._body_timer = self.callLater(
                BODY_SECONDS, self._refuse_slow_body
            )
        if self.length is not None:
            self.transport.bufferSize = READ_BYTES
        super().allHeadersReceived()

    def rawDataReceived(self, data: bytes) -> None:
        """Parse bytes of a body; discard them after a refusal."""
        if self.is_refusing:
            return
        is_chunked = self.length is None and not self._handlingRequest
        self.chunks = 0
        super().rawDataReceived(data)
        if is_chunked and not self.is_refusing:
            self._pace_chunks(len(data))

    def requestDone(self, request: Any) -> None:
        """Release the memory of the request."""
        self._account_unsent()
        self.memory.end_request()
        super().requestDone(request)

    def write(self, data: bytes) -> None:
        """Write bytes of an answer and account for those that wait."""
        super().write(data)
        if self._waitingForTransport:
            self._account_unsent()

    def writeSequence(self, iovec: Any) -> None:
        """Write bytes of an answer and account for those that wait."""
        super().writeSequence(iovec)
        if self._waitingForTransport:
            self._account_unsent()

    def pauseProducing(self) -> None:
        """Let the connection be evicted while its caller reads nothing."""
        super().pauseProducing()
        self.memory.allow_eviction(is_allowed=True)
        limit = self.timeOut or self._savedTimeOut or STALL_SECONDS
        self._stall_timer.start(limit)

    def resumeProducing(self) -> None:
        """Keep the connection while its request is served."""
        self._stall_timer.stop()
        self._account_unsent()
        self.memory.allow_eviction(is_allowed=not self._handlingRequest)
        super().resumeProducing()

    def timeoutConnection(self) -> None:
        """Refuse a body that has stopped, or close the idle connection."""
        if self._is_reading_body():
            self._refuse_slow_body()
        else:
            super().timeoutConnection()

    def lineLengthExceeded(self, line: bytes) -> None:
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
        self._cancel_body_timer()
        self.memory.end_request()
        raw = msgspec.json.encode(refusal.describe())
        lines = (
            f'HTTP/1.1 {refusal.status} Refused',
            'content-type: application/json',
            f'content-length: {len(raw)}',
            f'{CODE_HEADER}: {refusal.code:d}',
            f'{RAN_HEADER}: {refusal.ran.value}',
            *_format_retry_after(refusal),
            'connection: close',
            '\r\n',
        )
        self.transport.write('\r\n'.join(lines).encode() + raw)
        self.transport.loseWriteConnection()
        self.callLater(LINGER_SECONDS, self.loseConnection)

    def _respondToBadRequestAndDisconnect(self) -> None:
        """Send a refusal in place of the bare 400 response of twisted."""
        self.write_refusal(Refusal(Code.MALFORMED_HTTP))

    def _is_reading_body(self) -> bool:
        return self._body_timer is not None

    def _refuse_slow_body(self) -> None:
        self._cancel_body_timer()
        self.requests[-1].refuse_body(Refusal(Code.BODY_TOO_SLOW))

    def _evict(self) -> None:
        """Free the memory of the connection; the budget has released it."""
        log_event(
            'caller_evicted',
            reads_body=self._is_reading_body(),
            serves=self._handlingRequest,
            unsent=self.memory.unsent_bytes,
        )
        if self._is_reading_body():
            self.requests[-1].refuse_body(make_busy_refusal())
            # The descriptor may be needed as well, so input is not awaited.
            self.loseConnection()
        elif self._handlingRequest or self._waitingForTransport:
            self.transport.abortConnection()
        else:
            self.loseConnection()

    def _account_unsent(self) -> int:
        """Account for the bytes in the send buffer; return their number."""
        transport = self.transport
        unsent = len(getattr(transport, 'dataBuffer', b''))
        unsent += getattr(transport, '_tempDataLen', 0)
        unsent -= getattr(transport, 'offset', 0)
        self.memory.set_unsent(unsent)
        return unsent

    def _pace_chunks(self, size: int) -> None:
        """Pause reading if the caller sends too many small chunks."""
        is_small = self.chunks * SMALL_CHUNK_BYTES > size + SMALL_CHUNK_BYTES
        self.transport.bufferSize = (
            SMALL_READ_BYTES if is_small else READ_BYTES
        )
        now = time.monotonic()
        pause = self.site.capacity.pacer.record(self.chunks, size, now)
        if pause:
            self._networkProducer.pauseProducing()
            self.callLater(pause, self._resume_reading)

    def _resume_reading(self) -> None:
        if not self._waitingForTransport and not self._handlingRequest:
            self._networkProducer.resumeProducing()

    def _cancel_body_timer(self) -> None:
        timer = self._body_timer
        self._body_timer = None
        if timer is not None and timer.active():
            timer.cancel()


def _format_retry_after(refusal: Refusal) -> list[str]:
    if refusal.retry_after is None:
        return []
    return [f'retry-after: {refusal.retry_after:g}']
