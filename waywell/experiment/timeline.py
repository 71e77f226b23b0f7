"""Events of a model in the order of their time."""

from __future__ import annotations

import heapq
from collections.abc import Callable

Action = Callable[[], None]
"""What happens at a moment."""


class Timeline:
    """A heap of events; those of one moment run in the order of scheduling."""

    def __init__(self) -> None:
        """Start at 0 without events."""
        self.now = 0.0
        self._events: list[tuple[float, int, Action]] = []
        self._count = 0

    def schedule(self, at: float, action: Action) -> None:
        """Let an action run at a moment, at once if it is over."""
        self._count += 1
        event = (max(at, self.now), self._count, action)
        heapq.heappush(self._events, event)

    def schedule_in(self, seconds: float, action: Action) -> None:
        """Let an action run after some seconds."""
        self.schedule(self.now + seconds, action)

    def repeat(self, seconds: float, action: Action) -> None:
        """Run an action now and again after each period."""
        action()
        self.schedule_in(seconds, lambda: self.repeat(seconds, action))

    def run_until(self, end: float) -> None:
        """Run all events up to a moment."""
        while self._events and self._events[0][0] <= end:
            event = heapq.heappop(self._events)
            self.now = event[0]
            event[2]()
        self.now = end
