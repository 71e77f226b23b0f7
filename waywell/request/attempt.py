"""One attempt at a request: sends it and posts the outcome to an inbox."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs
import msgspec
from returns.result import Failure

from waywell.connection.body_end import BodyEnd, BodyOutcome
from waywell.connection.client_connection import ResponsePart
from waywell.connection.content_type import is_event_stream
from waywell.connection.exchange import (
    BodySink,
    Exchange,
    PendingRequest,
    SendFault,
    open_exchange,
)
from waywell.connection.wire_format import RawHeaders
from waywell.request.decoded_request import AnswerMetadata
from waywell.request.stream_events import EventSplitter, StreamEvent
from waywell.request.stream_progress import StreamProgress

if TYPE_CHECKING:
    from collections.abc import Callable

    from waywell.process.clock import Clock
    from waywell.request.destination import Destination
    from waywell.request.traits import RequestTraits
    from waywell.version.fleet import Replica

CONNECT_TIMEOUT_SECONDS = 0.15
"""Timeout for establishing a connection: a few times the longest latency
between halls. A box without power does not refuse the connection, so only the
timeout detects it."""

MAX_BUFFERED_BYTES = 262_144
"""Maximum size of a plain answer that is buffered until its end, so that the
request can be retried if the answer is truncated. Longer answers are relayed
as they arrive."""

MAX_EVENT_BYTES = 262_144
"""Maximum size of an event of a stream in bytes. An event is held in memory
until it is complete; a stream with a larger one is aborted."""

MAX_QUEUED_PIECES = 64
"""Pieces waiting for the caller above which reading from the replica is
paused."""

MAX_QUEUED_BYTES = 1_048_576
"""Bytes of such pieces above which it is paused as well."""


def _hold_without_limit(_size: int) -> bool:
    return True


class Inbox:
    """Message queue that the attempts at one request post to.

    Parameters
    ----------
    hold
        Accounts for bytes of answers, and returns whether there is memory for
        more.
    """

    def __init__(
        self, hold: Callable[[int], bool] = _hold_without_limit
    ) -> None:
        """Create an empty queue."""
        self.queue: asyncio.Queue[tuple[object, int]] = asyncio.Queue()
        self.has_memory = True
        self._hold = hold
        self._queued_bytes = 0
        self._paused: set[_BodyReader] = set()

    def put(self, message: object, size: int = 0) -> None:
        """Append a message that holds ``size`` bytes of an answer."""
        self._queued_bytes += size
        self.hold(size)
        self.queue.put_nowait((message, size))

    def hold(self, size: int) -> None:
        """Account for bytes of an answer, or for fewer if negative."""
        if size:
            self.has_memory = self._hold(size)

    def close(self) -> None:
        """Account for nothing any more: the request has ended."""
        self._hold = _hold_without_limit

    def pause_if_full(self, reader: _BodyReader) -> None:
        """Pause a reader while the caller is slower than the replica."""
        is_full = self._queued_bytes > MAX_QUEUED_BYTES
        has_many = self.queue.qsize() > MAX_QUEUED_PIECES
        if is_full or has_many or not self.has_memory:
            reader.pause()
            self._paused.add(reader)

    async def get(self, seconds: float) -> object | None:
        """Return the next message, or ``None`` after a timeout in seconds."""
        try:
            async with asyncio.timeout(seconds):
                message, size = await self.queue.get()
        except TimeoutError:
            return None
        self._queued_bytes -= size
        self.hold(-size)
        if self._paused and self.queue.empty():
            for reader in self._paused:
                reader.resume()
            self._paused.clear()
        return message


class Attempt:
    """Sends a request to one destination.

    Parameters
    ----------
    destination
        Replica or peer that the request is sent to.
    number
        Sequence number among the attempts at the request, from 1.
    inbox
        Queue that receives the messages of the attempt.
    traits
        Properties of the request that crashes of replicas are attributed to.
    clock
        Clock of the node.
    """

    class Head(msgspec.Struct, frozen=True):
        """The head of an answer has arrived."""

        attempt: Attempt
        """Attempt that posts this message."""

        status: int
        """HTTP status code of the answer."""

        headers: RawHeaders
        """Headers to relay to the caller."""

        metadata: AnswerMetadata
        """Metadata from the headers of the answer."""

        length: int | None
        """Body length in bytes; ``None`` if the answer does not state it."""

    class Piece(msgspec.Struct, frozen=True):
        """A piece of the body has arrived; in a stream, a complete event."""

        attempt: Attempt
        """Attempt that posts this message."""

        event: StreamEvent
        """Bytes of the piece, with the event number if it has one."""

    class End(msgspec.Struct, frozen=True):
        """The body has ended, complete or truncated."""

        attempt: Attempt
        """Attempt that posts this message."""

        outcome: BodyOutcome
        """How the body ended and whether it is complete."""

    class Fault(msgspec.Struct, frozen=True):
        """The attempt failed without an answer."""

        attempt: Attempt
        """Attempt that posts this message."""

        fault: SendFault
        """Cause of the failure."""

    def __init__(
        self,
        destination: Destination,
        number: int,
        inbox: Inbox,
        traits: RequestTraits,
        clock: Clock,
    ) -> None:
        """Prepare the attempt without sending anything."""
        self.destination = destination
        self.traits = traits
        self.number = number
        self.started_at = 0.0
        self.sent_at = 0.0
        # Whether a replica may have received the request.
        self.may_have_arrived = False
        # Whether the attempt has drawn on the resend budget.
        self.has_drawn = False
        self.sent_boxes_age: float | None = None
        self.has_begun = False
        self.progress = StreamProgress()
        self._clock = clock
        self._inbox = inbox
        self._task: asyncio.Task[None] | None = None
        self._open_request: PendingRequest | None = None
        self._exchange: Exchange | None = None
        self.head: Attempt.Head | None = None
        self._is_abandoned = False
        self._awaits_head_only = False

    @property
    def replica(self) -> Replica | None:
        """Return the replica; ``None`` if a peer selects it."""
        return self.destination.replica

    def get_last_arrival(self) -> float:
        """Return when the last event arrived, or the start without one."""
        return (
            self.progress.last_at if self.progress.events else self.started_at
        )

    def start(self, may_send: Callable[[], bool], now: float) -> None:
        """Start the task that sends the request."""
        self.started_at = now
        sending = self._run(may_send)
        self._task = asyncio.get_running_loop().create_task(sending)

    def stop(self) -> None:
        """Abort the attempt, unless it only waits for the answer's head."""
        if not self._awaits_head_only:
            self._abort()

    def await_head_only(self, seconds: float) -> None:
        """Discard the answer, but still process the metadata in its head.

        Parameters
        ----------
        seconds
            Timeout for the head of the answer.
        """
        if self._open_request is None or self._exchange is not None:
            return
        if self._task is None or self._task.done():
            return
        self._is_abandoned = True
        self._awaits_head_only = True
        self._open_request.close_write()
        timer = asyncio.get_running_loop().call_later(seconds, self._abort)
        self._task.add_done_callback(lambda _task: timer.cancel())

    def post(self, message: object, size: int = 0) -> None:
        """Post a message to the inbox, unless the attempt was abandoned.

        Parameters
        ----------
        message
            Message to post.
        size
            Number of bytes of an answer that the message holds.
        """
        if not self._is_abandoned:
            self._inbox.put(message, size)

    def record_event(self) -> None:
        """Record that an event has arrived from the replica."""
        self.progress.record_event(self._clock.read())

    def receive_head(
        self,
        status: int,
        headers: RawHeaders,
        metadata: AnswerMetadata,
        length: int | None,
    ) -> None:
        """Process the metadata of the answer and post its head."""
        self.destination.on_metadata(
            metadata, self.sent_at, self._clock.read()
        )
        self.post(self.Head(self, status, headers, metadata, length))

    def _abort(self) -> None:
        self._is_abandoned = True
        if self._task is not None:
            self._task.cancel()
        if self._exchange is not None:
            self._exchange.abort()

    def _on_connected(self, request: PendingRequest) -> None:
        self.destination.on_connected(self._clock.read())
        self._open_request = request

    async def _run(self, may_send: Callable[[], bool]) -> None:
        await self.destination.await_current_boxes()
        if not await self.destination.acquire_permit():
            self.post(self.Fault(self, SendFault.NO_PERMIT))
            return
        opened = await open_exchange(
            self.destination.make_outgoing(self._clock.read()),
            CONNECT_TIMEOUT_SECONDS,
            may_send,
            self._on_connected,
        )
        if isinstance(opened, Failure):
            if opened.failure() is SendFault.NOT_SENT:
                self.destination.on_unreachable(self._clock.read())
            self.post(self.Fault(self, opened.failure()))
            return
        exchange = opened.unwrap()
        self._exchange = exchange
        self.receive_head(
            exchange.status,
            exchange.headers,
            self.destination.read_metadata(exchange.status, exchange.headers),
            exchange.length,
        )
        if self._is_abandoned:
            exchange.abort()
            return
        exchange.deliver(make_reader(self, exchange, self._inbox))


@attrs.define(eq=False, repr=False, slots=False)
class _BodyReader(BodySink):
    """Posts the pieces of a body to the inbox."""

    _attempt: Attempt
    """Attempt that receives this body."""

    _exchange: Exchange
    """Exchange that the body is read from."""

    _inbox: Inbox
    """Queue whose length decides when reading is paused."""

    def was_closed(self) -> bool:
        return self._exchange.was_closed

    def pause(self) -> None:
        self._attempt.progress.is_throttled = True
        super().pause()

    def on_end(self, end: BodyEnd) -> None:
        outcome = self._make_outcome(end)
        if outcome.is_complete:
            self._flush()
        self._attempt.post(Attempt.End(self._attempt, outcome))

    def _make_outcome(self, end: BodyEnd) -> BodyOutcome:
        """Return how the body ended, with what is known of its events."""
        return BodyOutcome(end)

    def _flush(self) -> None:
        """Post the bytes that are still buffered."""
        raise NotImplementedError

    def _post_piece(self, event: StreamEvent) -> None:
        piece = Attempt.Piece(self._attempt, event)
        self._attempt.post(piece, len(event.raw))
        self._inbox.pause_if_full(self)


@attrs.define(eq=False, repr=False, slots=False)
class _EventReader(_BodyReader):
    """Posts complete events only, as a replica may fail within an event."""

    _splitter: EventSplitter = attrs.field(factory=EventSplitter, init=False)
    """Splits the received bytes into events."""

    _has_events: bool = attrs.field(default=False, init=False)
    """Whether a complete event has arrived."""

    _is_oversized: bool = attrs.field(default=False, init=False)
    """Whether an event exceeded its maximum size."""

    _held_remainder: int = attrs.field(default=0, init=False)
    """Bytes of an incomplete event that are accounted for."""

    def on_bytes(self, raw: bytes) -> None:
        if self._is_oversized:
            # The rest of the bytes that arrived with the oversized event.
            return
        for event in self._splitter.feed(raw):
            self._check_size(len(event.raw))
            if self._is_oversized:
                return
            if event.has_fields:
                self._has_events = True
                self._attempt.record_event()
            self._post_piece(event)
        self._check_size(len(self._splitter.remainder))
        self._account_remainder()

    def _account_remainder(self) -> None:
        remainder = len(self._splitter.remainder)
        self._inbox.hold(remainder - self._held_remainder)
        self._held_remainder = remainder

    def _check_size(self, size: int) -> None:
        if size > MAX_EVENT_BYTES:
            self._is_oversized = True
            self._exchange.abort_oversized(
                ResponsePart.EVENT, MAX_EVENT_BYTES, size
            )

    def _make_outcome(self, end: BodyEnd) -> BodyOutcome:
        unfinished = self._splitter.count_unfinished_bytes()
        return BodyOutcome(end, unfinished, self._has_events)

    def _flush(self) -> None:
        # Only comments and empty lines, so no event to resume after.
        if self._splitter.remainder:
            self._post_piece(StreamEvent(self._splitter.remainder, None))


@attrs.define(eq=False, repr=False, slots=False)
class _PlainReader(_BodyReader):
    """Buffers a body up to a maximum size and posts it in one piece."""

    _buffer: bytearray = attrs.field(factory=bytearray, init=False)
    """Bytes that were not posted yet."""

    def on_bytes(self, raw: bytes) -> None:
        self._buffer += raw
        self._inbox.hold(len(raw))
        is_full = len(self._buffer) > MAX_BUFFERED_BYTES
        if is_full or not self._inbox.has_memory:
            self._flush()

    def _flush(self) -> None:
        if self._buffer:
            self._inbox.hold(-len(self._buffer))
            self._post_piece(StreamEvent(bytes(self._buffer), None))
            self._buffer.clear()


def make_reader(
    attempt: Attempt,
    exchange: Exchange,
    inbox: Inbox,
) -> BodySink:
    """Return the reader for the body of an answer, by its content type."""
    is_stream = is_event_stream(exchange.headers)
    reader_class = _EventReader if is_stream else _PlainReader
    return reader_class(attempt, exchange, inbox)
