"""Where the present time is read; decisions get it as an argument."""

from __future__ import annotations

import abc
import time


class Clock(abc.ABC):
    """Reads the present time."""

    @abc.abstractmethod
    def read(self) -> float:
        """Return seconds that never go back, from any start."""

    @abc.abstractmethod
    def read_wall(self) -> float:
        """Return seconds since the epoch of the calendar."""


class SystemClock(Clock):
    """The machine's clocks."""

    def read(self) -> float:
        """Return the monotonic clock, in seconds."""
        return time.monotonic()

    def read_wall(self) -> float:
        """Return the calendar clock, in seconds."""
        return time.time()
