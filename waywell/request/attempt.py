"""One attempt at a request: a task that sends it and tells what comes back."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs
import msgspec
from returns.result import Failure

from waywell.connection.body_end import BodyEnd, BodyOutcome
from waywell.connection.content_type import is_event_stream
from waywell.connection.exchange import (
    BodySink,
    Exchange,
    OutgoingRequest,
    PendingRequest,
    SendFault,
    open_exchange,
)
from waywell.connection.wire_format import RawHeaders
from waywell.request.ask import AnswerMark
from waywell.request.stream_events import EventCutter, StreamEvent

if TYPE_CHECKING:
    from collections.abc import Callable

    from waywell.process.clock import Clock
    from waywell.request.destination import Destination
    from waywell.request.traits import RequestTraits
    from waywell.version.fleet import Replica

CONNECT_SECONDS = 0.15
"""For a connection to come up: a few times the longest way between halls;
a box without power says nothing at all."""

GATHERED_BYTES = 262_144
"""Most bytes of a plain answer that wait for its end, so that an answer that
breaks off can be asked for again; a longer one is passed on as it comes."""

MOST_WAITING = 64
"""Pieces that wait for the caller until the replica is read no further."""


class Inbox:
    """Where the attempts at one request put what comes."""

    def __init__(self) -> None:
        """Start empty."""
        self.queue: asyncio.Queue[object] = asyncio.Queue()
        self._paused: set[_BodyReader] = set()

    def put(self, message: object) -> None:
        """Put a message in."""
        self.queue.put_nowait(message)

    def pause_if_full(self, reader: _BodyReader) -> None:
        """Stop a reader while the caller is slower than the replica."""
        if self.queue.qsize() > MOST_WAITING:
            reader.pause()
            self._paused.add(reader)

    async def get(self, seconds: float) -> object | None:
        """Return the next message, or ``None`` when none comes in time."""
        try:
            async with asyncio.timeout(seconds):
                message = await self.queue.get()
        except TimeoutError:
            return None
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
        Where it goes.
    number
        Place among the attempts at the request, from 1.
    inbox
        Where what comes is put.
    traits
        What the request may be blamed by.
    clock
        Where the time is read.
    """

    class Head(msgspec.Struct, frozen=True):
        """The head of an answer came."""

        attempt: Attempt
        """Sender."""

        status: int
        """HTTP status."""

        headers: RawHeaders
        """Headers to pass on."""

        mark: AnswerMark
        """What the replica says of the answer."""

        length: int | None
        """Length of the body, where it is told."""

    class Piece(msgspec.Struct, frozen=True):
        """A piece of the body came; of a stream, one whole event."""

        attempt: Attempt
        """Sender."""

        event: StreamEvent
        """The piece."""

    class End(msgspec.Struct, frozen=True):
        """The body has ended."""

        attempt: Attempt
        """Sender."""

        outcome: BodyOutcome
        """Whether all of it came."""

    class Fault(msgspec.Struct, frozen=True):
        """No answer came."""

        attempt: Attempt
        """Sender."""

        fault: SendFault
        """Why."""

    def __init__(
        self,
        destination: Destination,
        number: int,
        inbox: Inbox,
        traits: RequestTraits,
        clock: Clock,
    ) -> None:
        """Send nothing yet."""
        self.destination = destination
        self.traits = traits
        self.number = number
        self.started_at = 0.0
        self.sent_at = 0.0
        self.has_begun = False
        self._clock = clock
        self._inbox = inbox
        self._task: asyncio.Task[None] | None = None
        self._open_request: PendingRequest | None = None
        self._exchange: Exchange | None = None
        self.head: Attempt.Head | None = None
        self._is_over = False
        self._is_released = False

    @property
    def replica(self) -> Replica | None:
        """Return the replica; ``None`` where a peer chooses it."""
        return self.destination.replica

    def start(self, may_send: Callable[[], bool], now: float) -> None:
        """Begin to send."""
        self.started_at = now
        outgoing = self.destination.make_outgoing(now)
        work = self._run(outgoing, may_send)
        self._task = asyncio.get_running_loop().create_task(work)

    def stop(self) -> None:
        """Break it off, unless only the head of its answer is waited for."""
        if not self._is_released:
            self._abort()

    def release(self, seconds: float) -> None:
        """Give up the answer, but for what its head says of the replica.

        Parameters
        ----------
        seconds
            For how long the head is waited for.
        """
        if self._open_request is None or self._exchange is not None:
            return
        if self._task is None or self._task.done():
            return
        self._is_over = True
        self._is_released = True
        self._open_request.close_write()
        end = asyncio.get_running_loop().call_later(seconds, self._abort)
        self._task.add_done_callback(lambda _task: end.cancel())

    def tell(self, message: object) -> None:
        """Put a message into the inbox, unless it was broken off."""
        if not self._is_over:
            self._inbox.put(message)

    def take_head(
        self,
        status: int,
        headers: RawHeaders,
        mark: AnswerMark,
        length: int | None,
    ) -> None:
        """Take in the head of the answer, and tell it."""
        self.destination.on_mark(mark, self.sent_at, self._clock.read())
        self.tell(self.Head(self, status, headers, mark, length))

    def _abort(self) -> None:
        self._is_over = True
        if self._task is not None:
            self._task.cancel()
        if self._exchange is not None:
            self._exchange.abort()

    def _keep_open_request(self, request: PendingRequest) -> None:
        self.destination.on_connected(self._clock.read())
        self._open_request = request

    async def _run(
        self,
        outgoing: OutgoingRequest,
        may_send: Callable[[], bool],
    ) -> None:
        if not await self.destination.take_turn():
            self.tell(self.Fault(self, SendFault.NO_PERMIT))
            return
        opened = await open_exchange(
            outgoing, CONNECT_SECONDS, may_send, self._keep_open_request
        )
        if isinstance(opened, Failure):
            if opened.failure() is SendFault.NOT_SENT:
                self.destination.on_unreachable(self._clock.read())
            self.tell(self.Fault(self, opened.failure()))
            return
        exchange = opened.unwrap()
        self._exchange = exchange
        self.take_head(
            exchange.status,
            exchange.headers,
            self.destination.read_mark(exchange.status, exchange.headers),
            exchange.length,
        )
        if self._is_over:
            exchange.abort()
            return
        exchange.deliver(_make_reader(self, exchange, self._inbox))


@attrs.define(eq=False, repr=False, slots=False)
class _BodyReader(BodySink):
    """Tells the pieces of a body."""

    _attempt: Attempt
    """Whose answer it is."""

    _exchange: Exchange
    """Where the body is read."""

    _inbox: Inbox
    """Where what comes is put."""

    def was_closed(self) -> bool:
        return self._exchange.was_closed

    def on_end(self, end: BodyEnd) -> None:
        outcome = self._judge(end)
        if outcome.is_complete:
            self._flush()
        self._attempt.tell(Attempt.End(self._attempt, outcome))

    def _judge(self, end: BodyEnd) -> BodyOutcome:
        """Return whether the body is complete."""
        return BodyOutcome(end)

    def _flush(self) -> None:
        """Tell what was held back."""
        raise NotImplementedError

    def _tell(self, event: StreamEvent) -> None:
        self._attempt.tell(Attempt.Piece(self._attempt, event))
        self._inbox.pause_if_full(self)


@attrs.define(eq=False, repr=False, slots=False)
class _EventReader(_BodyReader):
    """Tells whole events only: a replica may break off within one."""

    _cutter: EventCutter = attrs.field(factory=EventCutter, init=False)
    """Where the events are cut from the bytes."""

    _has_events: bool = attrs.field(default=False, init=False)
    """Whether an event has come."""

    def on_bytes(self, raw: bytes) -> None:
        for event in self._cutter.feed(raw):
            self._has_events = self._has_events or event.has_fields
            self._tell(event)

    def _judge(self, end: BodyEnd) -> BodyOutcome:
        unfinished = self._cutter.count_unfinished()
        return BodyOutcome(end, unfinished, self._has_events)

    def _flush(self) -> None:
        # Comments and empty lines: no event that a caller could take up.
        if self._cutter.rest:
            self._tell(StreamEvent(self._cutter.rest, None))


@attrs.define(eq=False, repr=False, slots=False)
class _PlainReader(_BodyReader):
    """Gathers a body of moderate size and tells it whole."""

    _gathered: bytearray = attrs.field(factory=bytearray, init=False)
    """What was not told yet."""

    def on_bytes(self, raw: bytes) -> None:
        self._gathered += raw
        if len(self._gathered) > GATHERED_BYTES:
            self._flush()

    def _flush(self) -> None:
        if self._gathered:
            self._tell(StreamEvent(bytes(self._gathered), None))
            self._gathered.clear()


def _make_reader(
    attempt: Attempt,
    exchange: Exchange,
    inbox: Inbox,
) -> _BodyReader:
    is_stream = is_event_stream(exchange.headers)
    maker = _EventReader if is_stream else _PlainReader
    return maker(attempt, exchange, inbox)
