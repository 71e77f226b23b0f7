"""Event queue and clock of a simulation."""

from __future__ import annotations

import heapq
from collections.abc import Callable

Action = Callable[[], None]
"""Callback of an event."""


class Timeline:
    """Runs events by time, those of the same time in scheduling order."""

    def __init__(self) -> None:
        """Start at 0 without events."""
        self.now = 0.0
        self._events: list[tuple[float, int, Action]] = []
        self._count = 0

    def schedule(self, at: float, action: Action) -> None:
        """Schedule an action at a time; a past time counts as now."""
        self._count += 1
        event = (max(at, self.now), self._count, action)
        heapq.heappush(self._events, event)

    def schedule_in(self, seconds: float, action: Action) -> None:
        """Schedule an action after a delay."""
        self.schedule(self.now + seconds, action)

    def repeat(self, seconds: float, action: Action) -> None:
        """Run an action now and at a fixed interval from then on."""
        action()
        self.schedule_in(seconds, lambda: self.repeat(seconds, action))

    def run_until(self, end: float) -> None:
        """Run all events up to a time and advance the clock to it."""
        while self._events and self._events[0][0] <= end:
            event = heapq.heappop(self._events)
            self.now = event[0]
            event[2]()
        self.now = end
