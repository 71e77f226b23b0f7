"""A clock that tests set by hand."""

from __future__ import annotations

from waywell.process.clock import Clock


class ManualClock(Clock):
    """Clock that returns the time set in ``now``, in seconds."""

    now = 100.0

    def read(self) -> float:
        return self.now

    def read_wall(self) -> float:
        return self.now
