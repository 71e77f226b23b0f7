"""A clock for tests that stands until it is moved."""

from __future__ import annotations

from waywell.process.clock import Clock


class ManualClock(Clock):
    """Tells the moment that a test has set."""

    now = 100.0

    def read(self) -> float:
        return self.now

    def read_wall(self) -> float:
        return self.now
