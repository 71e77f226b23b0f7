"""Simulation of a group's engine, which alternates prefill and token steps.

Prefill delays the steps of all running requests, and a step takes longer the
more requests run.
"""

from __future__ import annotations

import abc
import heapq
from collections import deque
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from waywell.experiment.load_file import EngineSettings
    from waywell.experiment.timeline import Timeline

STEP_TOLERANCE = 1e-6
"""Fraction of a step that is ignored as a rounding error."""


class EngineClient(abc.ABC):
    """Callbacks for the progress of a request at an engine."""

    @abc.abstractmethod
    def on_first_event(self) -> None:
        """Handle the first event of the answer."""

    @abc.abstractmethod
    def on_end(self) -> None:
        """Handle the last event of the answer."""

    @abc.abstractmethod
    def on_stalled(self) -> None:
        """Handle a stalled engine, which sends no further events."""

    @abc.abstractmethod
    def on_broken(self) -> None:
        """Handle a broken connection."""


@attrs.define(eq=False)
class EngineRequest:
    """A request as an engine sees it."""

    client: EngineClient
    """Receives the callbacks."""

    prompt_tokens: int
    """Number of tokens to prefill."""

    answer_tokens: int
    """Number of tokens to generate."""

    started_at: float | None = None
    """Step count of the engine at the start; ``None`` while queued."""


class GroupEngine:
    """Runs the requests of one group.

    Parameters
    ----------
    settings
        Speed and capacity of the engine.
    timeline
        Events of the simulation.
    pace
        Factor by which all work takes longer.
    """

    def __init__(
        self,
        settings: EngineSettings,
        timeline: Timeline,
        pace: float,
    ) -> None:
        """Create an engine without requests."""
        self.is_closing = False
        self.is_stalled = False
        self._settings = settings
        self._timeline = timeline
        self._pace = pace
        self._steps = 0.0
        self._updated_at = timeline.now
        self._prefill_until = timeline.now
        self._milestones: list[tuple[float, int, EngineRequest, bool]] = []
        self._count = 0
        self._wake_number = 0
        self._running: dict[EngineRequest, None] = {}
        self._waiting: deque[EngineRequest] = deque()

    @property
    def running(self) -> int:
        """Return the number of running requests."""
        return len(self._running)

    @property
    def is_empty(self) -> bool:
        """Return whether no request is running or queued."""
        return not self._running and not self._waiting

    def submit(self, request: EngineRequest) -> bool:
        """Queue a request; return False if the engine is full or closing."""
        if self.is_closing or self._is_full():
            return False
        self._waiting.append(request)
        self._update()
        return True

    def cancel(self, request: EngineRequest) -> None:
        """Remove a running or queued request."""
        if request in self._running:
            self._advance()
            self._running.pop(request)
        elif request in self._waiting:
            self._waiting.remove(request)
        self._update()

    def count_generated_tokens(self, request: EngineRequest) -> int:
        """Return the number of tokens generated for a request."""
        if request.started_at is None:
            return 0
        self._advance()
        generated = int(self._steps - request.started_at + STEP_TOLERANCE)
        return min(request.answer_tokens, generated)

    def change_pace(self, pace: float) -> None:
        """Set the factor by which all work takes longer."""
        self._advance()
        self._pace = pace
        self._update()

    def stall(self) -> None:
        """Stop generating and notify the clients."""
        self._advance()
        self.is_stalled = True
        for request in (*self._running, *self._waiting):
            request.client.on_stalled()

    def break_connections(self) -> None:
        """Break the connections of all requests and accept no more."""
        self.is_closing = True
        for request in (*self._running, *self._waiting):
            request.client.on_broken()

    def _is_full(self) -> bool:
        room = self._settings.places + self._settings.queue
        return len(self._running) + len(self._waiting) >= room

    def _advance(self) -> None:
        """Add the steps made since the last update."""
        now = self._timeline.now
        since = max(self._updated_at, self._prefill_until)
        if now > since and not self.is_stalled:
            self._steps += (now - since) / self._compute_step_seconds()
        self._updated_at = now

    def _compute_step_seconds(self) -> float:
        settings = self._settings
        seconds = settings.step_seconds
        seconds += settings.sequence_seconds * len(self._running)
        return seconds * self._pace

    def _update(self) -> None:
        """Start queued requests and schedule the next event."""
        self._advance()
        if self.is_stalled:
            return
        while self._waiting and len(self._running) < self._settings.places:
            self._start(self._waiting.popleft())
        self._schedule_wake()

    def _start(self, request: EngineRequest) -> None:
        prefill_seconds = (
            request.prompt_tokens / self._settings.read_per_second
        )
        begins_at = max(self._prefill_until, self._timeline.now)
        self._prefill_until = begins_at + prefill_seconds * self._pace
        request.started_at = self._steps
        self._running[request] = None
        first = min(self._settings.steps_a_pass, request.answer_tokens)
        self._add_milestone(request, first, is_end=False)
        self._add_milestone(request, request.answer_tokens, is_end=True)

    def _add_milestone(
        self, request: EngineRequest, tokens: int, *, is_end: bool
    ) -> None:
        self._count += 1
        milestone = (self._steps + tokens, self._count, request, is_end)
        heapq.heappush(self._milestones, milestone)

    def _schedule_wake(self) -> None:
        while self._milestones and self._milestones[0][2] not in self._running:
            heapq.heappop(self._milestones)
        self._wake_number += 1
        if not self._milestones:
            return
        number = self._wake_number
        steps = max(0.0, self._milestones[0][0] - self._steps)
        begins_at = max(self._prefill_until, self._timeline.now)
        wakes_at = begins_at + steps * self._compute_step_seconds()
        self._timeline.schedule(wakes_at, lambda: self._wake(number))

    def _wake(self, number: int) -> None:
        if number != self._wake_number or self.is_stalled:
            return
        self._advance()
        while (
            self._milestones
            and self._milestones[0][0] <= self._steps + STEP_TOLERANCE
        ):
            _steps, _count, request, is_end = heapq.heappop(self._milestones)
            if request in self._running:
                self._notify_client(request, is_end=is_end)
        self._update()

    def _notify_client(self, request: EngineRequest, *, is_end: bool) -> None:
        if not is_end:
            request.client.on_first_event()
            return
        self._running.pop(request)
        request.client.on_end()
