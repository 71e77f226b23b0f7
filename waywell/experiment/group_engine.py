"""The engine of one group: it reads prompts and makes token steps in turns.

Reading holds up the steps of all running requests; a step takes longer the
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
"""Part of a step that counts as nothing."""


class EngineClient(abc.ABC):
    """Is told what becomes of work at an engine."""

    @abc.abstractmethod
    def on_first_event(self) -> None:
        """Take in the first event."""

    @abc.abstractmethod
    def on_end(self) -> None:
        """Take in the last event."""

    @abc.abstractmethod
    def on_stalled(self) -> None:
        """Take in that nothing more comes."""

    @abc.abstractmethod
    def on_broken(self) -> None:
        """Take in that the connection broke."""


@attrs.define(eq=False)
class EngineRequest:
    """A request at an engine."""

    client: EngineClient
    """Who is told."""

    prompt_tokens: int
    """Tokens to read."""

    answer_tokens: int
    """Tokens to make."""

    started_at: float | None = None
    """Steps of the engine when it began; ``None`` while it waits."""


class GroupEngine:
    """Runs the requests of one group.

    Parameters
    ----------
    settings
        Published figures.
    timeline
        Events of the model.
    pace
        Factor on all times.
    """

    def __init__(
        self,
        settings: EngineSettings,
        timeline: Timeline,
        pace: float,
    ) -> None:
        """Start without requests."""
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
        """Return the requests that run."""
        return len(self._running)

    @property
    def is_empty(self) -> bool:
        """Return whether it has no requests."""
        return not self._running and not self._waiting

    def submit(self, request: EngineRequest) -> bool:
        """Take a request; answer whether there was room for it."""
        if self.is_closing or self._is_full():
            return False
        self._waiting.append(request)
        self._update()
        return True

    def cancel(self, request: EngineRequest) -> None:
        """Forget a request."""
        if request in self._running:
            self._advance()
            self._running.pop(request)
        elif request in self._waiting:
            self._waiting.remove(request)
        self._update()

    def count_generated_tokens(self, request: EngineRequest) -> int:
        """Return the tokens that a request has got."""
        if request.started_at is None:
            return 0
        self._advance()
        generated = int(self._steps - request.started_at + STEP_TOLERANCE)
        return min(request.answer_tokens, generated)

    def change_pace(self, pace: float) -> None:
        """Change the factor on all times."""
        self._advance()
        self._pace = pace
        self._update()

    def stall(self) -> None:
        """Make no more steps."""
        self._advance()
        self.is_stalled = True
        for request in (*self._running, *self._waiting):
            request.client.on_stalled()

    def break_connections(self) -> None:
        """End all requests at once."""
        self.is_closing = True
        for request in (*self._running, *self._waiting):
            request.client.on_broken()

    def _is_full(self) -> bool:
        room = self._settings.places + self._settings.queue
        return len(self._running) + len(self._waiting) >= room

    def _advance(self) -> None:
        """Make the steps up to now."""
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
        """Start what waits and plan the next wake."""
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
