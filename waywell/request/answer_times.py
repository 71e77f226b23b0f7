"""Upper bounds on the time that answers of a known size still take."""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING

import attrs

from waywell.ids import ModelName, ServiceName
from waywell.request.hedge_timeouts import DEFAULT_GOAL
from waywell.version.routes import RouteKind

if TYPE_CHECKING:
    from waywell.request.request_context import RequestContext
    from waywell.request.stream_progress import StreamProgress

WINDOW_SECONDS = 60.0
"""Length of an observation window, in seconds.  A stream counts for one to two
windows."""

MARGIN = 1.25
"""Factor by which a stream may be slower than the slowest recent one."""

MIN_PACED_EVENTS = 8
"""Minimum number of events of a stream from which a pace is computed."""

MAX_ENGINES = 400
"""Maximum number of kinds of engines that are kept.  Those observed least
recently are evicted, because services are added and removed while the node
runs."""

EngineKey = tuple[ServiceName, ModelName, int]
"""Service, model and tokens per event of engines of about the same pace."""


class EstimateBasis(enum.Enum):
    """What an estimate of an answer's end rests on."""

    DEADLINE = 'deadline'
    """The time at which the request is given up."""

    PACE = 'pace'
    """The maximum size of the answer and the pace of recent streams."""


@attrs.frozen
class EndEstimate:
    """Latest time at which an answer should end."""

    ends_at: float
    """Time in seconds; never after the deadline."""

    basis: EstimateBasis
    """What the time was computed from."""


@attrs.frozen
class _SlowestStreams:
    """Maxima over the streams of one observation window."""

    events: int = 0
    """Number of events that the pace was computed from."""

    pace: float = 0.0
    """Seconds per event."""

    pause: float = 0.0
    """Longest pause within a stream, in seconds."""

    first: float = 0.0
    """Seconds from the arrival of a request to its first event."""

    def add(
        self, context: RequestContext, progress: StreamProgress
    ) -> _SlowestStreams:
        """Return the maxima with another stream added."""
        events, pace = self.events, self.pace
        if progress.events >= MIN_PACED_EVENTS:
            events += progress.events
            pace = max(pace, progress.compute_pace())
        return _SlowestStreams(
            events,
            pace,
            max(self.pause, progress.longest_pause),
            max(self.first, progress.first_at - context.arrived_at),
        )


@attrs.frozen
class _Windows:
    """The streams of the current and of the previous window."""

    since: float
    """Start of the current window, in seconds."""

    current: _SlowestStreams = _SlowestStreams()
    """Streams of the current window."""

    previous: _SlowestStreams = _SlowestStreams()
    """Streams of the previous window."""

    def advance_to(self, now: float) -> _Windows:
        """Return the windows as of ``now``, with expired streams dropped."""
        elapsed = now - self.since
        if elapsed < WINDOW_SECONDS:
            return self
        is_next = elapsed < 2 * WINDOW_SECONDS
        previous = self.current if is_next else _SlowestStreams()
        return _Windows(now, previous=previous)

    def merge(self) -> _SlowestStreams:
        """Return the maxima over both windows."""
        current, previous = self.current, self.previous
        return _SlowestStreams(
            current.events + previous.events,
            max(current.pace, previous.pace),
            max(current.pause, previous.pause),
            max(current.first, previous.first),
        )


class AnswerTimes:
    """Tracks the slowest recent streams of each kind of engine.

    How long earlier answers took says little about the next one, which may be
    many times longer.  A stream's end is therefore computed from the most
    tokens that it may generate and from the pace of its events.  The end of
    any other answer is known only by its deadline.
    """

    def __init__(self) -> None:
        """Create estimates without any stream observed."""
        # Ordered by the time of the last stream, most recent last.
        self._windows: dict[EngineKey, _Windows] = {}

    def __len__(self) -> int:
        """Return the number of kinds of engines that are kept."""
        return len(self._windows)

    def record(
        self, context: RequestContext, progress: StreamProgress, now: float
    ) -> None:
        """Record the events of an attempt that has ended.

        Attempts that ended early count as well, as the slowest streams are
        those that callers or deadlines end.
        """
        if progress.is_throttled or not progress.events:
            return
        key = _make_key(context)
        found = self._get_windows(key, now)
        self._windows.pop(key, None)
        self._windows[key] = attrs.evolve(
            found, current=found.current.add(context, progress)
        )
        if len(self._windows) > MAX_ENGINES:
            self._windows.pop(next(iter(self._windows)))

    def estimate_end(self, context: RequestContext, now: float) -> EndEstimate:
        """Return the latest time at which a request should end.

        Parameters
        ----------
        context
            Request that was just received.
        now
            The current time, in seconds.
        """
        seconds = self._bound_stream(context, now)
        if now + seconds < context.deadline_at:
            return EndEstimate(now + seconds, EstimateBasis.PACE)
        return EndEstimate(context.deadline_at, EstimateBasis.DEADLINE)

    def _bound_stream(self, context: RequestContext, now: float) -> float:
        """Return an upper bound on the seconds that a stream takes.

        The bound is infinite for an answer that may have any length, and while
        fewer events were observed than the stream may have.
        """
        route = context.route
        events = _count_most_events(context)
        slowest = self._get_windows(_make_key(context), now).merge()
        if route.kind is not RouteKind.STREAM or slowest.events < events:
            return math.inf
        first = max(slowest.first * MARGIN, route.goal or DEFAULT_GOAL)
        pause = max(slowest.pause, route.gap_goal)
        pace = max(slowest.pace * MARGIN, _compute_full_pass(context))
        return first + pause + pace * events

    def _get_windows(self, key: EngineKey, now: float) -> _Windows:
        return self._windows.get(key, _Windows(now)).advance_to(now)


def _make_key(context: RequestContext) -> EngineKey:
    stride = _get_tokens_per_event(context)
    return context.service, context.request.model, stride


def _get_tokens_per_event(context: RequestContext) -> int:
    return 1 if context.engine is None else context.engine.steps_a_pass


def _count_most_events(context: RequestContext) -> float:
    """Return the most events of an answer; infinite if it is not known."""
    tokens = context.request.answer_tokens
    if not tokens:
        return math.inf
    return math.ceil(tokens / _get_tokens_per_event(context))


def _compute_full_pass(context: RequestContext) -> float:
    """Return the seconds between two events of a group without a free place.

    The observed streams may all have run beside few others.
    """
    engine = context.engine
    if engine is None:
        return 0.0
    model = engine.find_model(context.request.model)
    factor = 1.0 if model is None else model.pace
    step = engine.step_seconds + engine.places * engine.sequence_seconds
    return step * engine.steps_a_pass * factor
