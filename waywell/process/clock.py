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
        """Return the seconds since the machine's start."""
        return read_boot_clock()

    def read_wall(self) -> float:
        """Return the calendar clock, in seconds."""
        return time.time()


def read_boot_clock() -> float:
    """Return the seconds since the machine's start, suspended ones counted.

    The monotonic clock leaves them out: a node that had slept for 4 s would
    rely for 4 s longer on keys that were removed and a lease that it has lost.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
