"""Passing an answer on, so that a cut answer never looks whole."""

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
"""End marker of a streamed answer of a model."""

TAIL_BYTES = 64
"""Bytes at the end of a stream in which the marker is looked for."""


@implementer(IPushProducer)
class AnswerRelay(Protocol):
    """Receives the body of an answer and writes it to a caller.

    The target's connection is paused while the caller reads slowly, so
    no more than the sockets' own buffers wait in memory.

    Parameters
    ----------
    request
        The caller's request.
    answer
        The target's answer.
    wants_marker
        Whether a stream is whole only with its end marker.
    """

    def __init__(
        self,
        request: Request,
        answer: TargetAnswer,
        needs_end_marker: bool,
    ) -> None:
        """Start before the first byte."""
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
        """Write the head and let the body come."""
        request = self._request
        request.setResponseCode(self._answer.status)
        for name, text in self._answer.headers:
            request.responseHeaders.addRawHeader(name, text)
        if self._answer.length is not None and not self._is_stream:
            # A stream that breaks off must not reach a length that fits.
            length = str(self._answer.length).encode()
            request.setHeader(b'content-length', length)
        request.notifyFinish().addErrback(self._cancel)
        request.registerProducer(self, True)
        self._answer.deliver(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802, WPS110
        """Write a piece of the body."""
        if not self._is_cancelled:
            self._track_stream(data)
            self._request.write(data)

    def connectionLost(  # noqa: N802
        self,
        reason: TwistedFailure = connectionDone,
    ) -> None:
        """End the answer, or break it where it is not whole."""
        if self._is_cancelled:
            return
        end = classify_body_end(reason, self._answer.was_closed)
        self._finish(
            self._make_outcome(end).is_complete and self._has_required_marker()
        )

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop reading: the caller is slow."""
        self._call_transport_method('pauseProducing')

    def resumeProducing(self) -> None:  # noqa: N802
        """Read on: the caller has caught up."""
        self._call_transport_method('resumeProducing')

    def stopProducing(self) -> None:  # noqa: N802
        """Stop for good: the caller is gone."""

    def _call_transport_method(self, name: str) -> None:
        transport: Any = self.transport
        if transport is not None:
            getattr(transport, name)()

    def _track_stream(self, raw: bytes) -> None:
        """Keep what the verdict on a stream needs."""
        if self._is_stream:
            self._tail = (self._tail + raw)[-TAIL_BYTES:]
            self._boundary.feed(raw)

    def _make_outcome(self, end: BodyEnd) -> BodyOutcome:
        """Return whether the body is complete."""
        if not self._is_stream:
            return BodyOutcome(end)
        unfinished = len(self._tail) if self._boundary.is_inside_event else 0
        return BodyOutcome(end, unfinished, self._boundary.has_events)

    def _has_required_marker(self) -> bool:
        if not self._is_stream or not self._needs_end_marker:
            return True
        return STREAM_END in self._tail

    def _finish(self, is_complete: bool) -> None:
        self._request.unregisterProducer()
        if is_complete:
            self._request.finish()
        else:
            # What has come is flushed; the missing end shows the cut.
            self._request.loseConnection()
        self._set_completion(is_complete)

    def _cancel(self, _reason: object) -> None:
        """Cancel at the target: the caller has gone."""
        if self.completion.done():
            return
        self._is_cancelled = True
        self._answer.abandon()
        self._set_completion(is_complete=False)

    def _set_completion(self, is_complete: bool) -> None:
        if not self.completion.done():
            self.completion.set_result(is_complete)
