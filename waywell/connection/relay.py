"""Relay of an answer that never makes a truncated body look complete."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Protocol, connectionDone
from zope.interface import implementer

from waywell.connection.body_end import BodyOutcome, classify_body_end
from waywell.connection.content_type import is_event_stream
from waywell.connection.event_boundary import EventBoundaryTracker

if TYPE_CHECKING:
    from twisted.python.failure import Failure as TwistedFailure
    from twisted.web.http import Request

    from waywell.connection.body_end import BodyEnd
    from waywell.connection.target import TargetAnswer

STREAM_END = b'data: [DONE]'
"""Event that ends a streamed answer of a model."""

TAIL_BYTES = 64
"""Length of the end of a stream that is searched for the end marker, in
bytes."""


@implementer(IPushProducer)
class AnswerRelay(Protocol):
    """Receives the body of an answer and writes it to a caller.

    The connection to the target is paused while the send buffer of the
    caller is full, so no more than the buffers of the sockets is held.

    Parameters
    ----------
    request
        Request of the caller, to which the answer is written.
    answer
        Answer of the target.
    needs_end_marker
        Whether a stream without the end marker counts as truncated.
    """

    def __init__(
        self,
        request: Request,
        answer: TargetAnswer,
        needs_end_marker: bool,
    ) -> None:
        """Initialize the relay; ``start`` writes the first bytes."""
        self.completion: asyncio.Future[bool] = (
            asyncio.get_running_loop().create_future()
        )
        self._request = request
        self._answer = answer
        self._needs_end_marker = needs_end_marker
        self._is_stream = is_event_stream(answer.headers)
        self._boundary = EventBoundaryTracker()
        self._tail = b''
        self._is_cancelled = False

    def start(self) -> None:
        """Write the status and headers and start to receive the body."""
        request = self._request
        request.setResponseCode(self._answer.status)
        for name, text in self._answer.headers:
            request.responseHeaders.addRawHeader(name, text)
        if self._answer.length is not None and not self._is_stream:
            # Without a content length, a truncated stream can't happen to
            # look complete by having the announced length.
            length = str(self._answer.length).encode()
            request.setHeader(b'content-length', length)
        request.notifyFinish().addErrback(self._cancel)
        request.registerProducer(self, True)
        self._answer.deliver(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, WPS110
        """Write bytes of the body to the caller."""
        if not self._is_cancelled:
            self._track_stream(data)
            self._request.write(data)

    def connectionLost(  # noqa: N802
        self,
        reason: TwistedFailure = connectionDone,
    ) -> None:
        """Finish the answer, or abort it if the body is incomplete."""
        if self._is_cancelled:
            return
        end = classify_body_end(reason, self._answer.was_closed)
        self._finish(
            self._make_outcome(end).is_complete
            and self._has_required_end_marker()
        )

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop reading from the target: the send buffer is full."""
        self._call_transport_method('pauseProducing')

    def resumeProducing(self) -> None:  # noqa: N802
        """Continue to read: the send buffer has room again."""
        self._call_transport_method('resumeProducing')

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: ``_cancel`` handles the disconnect of the caller."""

    def _call_transport_method(self, name: str) -> None:
        transport: Any = self.transport
        if transport is not None:
            getattr(transport, name)()

    def _track_stream(self, raw: bytes) -> None:
        """Update what decides whether an event stream is complete."""
        if self._is_stream:
            self._tail = (self._tail + raw)[-TAIL_BYTES:]
            self._boundary.feed(raw)

    def _make_outcome(self, end: BodyEnd) -> BodyOutcome:
        """Return how the body ended."""
        if not self._is_stream:
            return BodyOutcome(end)
        unfinished = len(self._tail) if self._boundary.is_inside_event else 0
        return BodyOutcome(end, unfinished, self._boundary.has_events)

    def _has_required_end_marker(self) -> bool:
        if not self._is_stream or not self._needs_end_marker:
            return True
        return STREAM_END in self._tail

    def _finish(self, is_complete: bool) -> None:
        self._request.unregisterProducer()
        if is_complete:
            self._request.finish()
        else:
            # The bytes so far are flushed; the missing end of the body shows
            # the caller that the answer is truncated.
            self._request.loseConnection()
        self._set_completion(is_complete)

    def _cancel(self, _reason: object) -> None:
        """Abandon the answer of the target: the caller has disconnected."""
        if self.completion.done():
            return
        self._is_cancelled = True
        self._answer.abandon()
        self._set_completion(is_complete=False)

    def _set_completion(self, is_complete: bool) -> None:
        if not self.completion.done():
            self.completion.set_result(is_complete)
