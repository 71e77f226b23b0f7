"""Clocks.  Code that decides by the time gets it as an argument."""

from __future__ import annotations

import abc
import time


class Clock(abc.ABC):
    """Source of the current time."""

    @abc.abstractmethod
    def read(self) -> float:
        """Return monotonic seconds from an arbitrary starting point."""

    @abc.abstractmethod
    def read_wall(self) -> float:
        """Return the wall-clock time, in seconds since the Unix epoch."""


class SystemClock(Clock):
    """Clock that reads the machine's boot-time and wall clocks."""

    def read(self) -> float:
        """Return the seconds since the machine started."""
        return read_boot_clock()

    def read_wall(self) -> float:
        """Return the wall-clock time, in seconds since the Unix epoch."""
        return time.time()


def read_boot_clock() -> float:
    """Return the seconds since the machine started, including suspended time.

    The monotonic clock excludes suspended time: a node suspended for 4 s
    would rely for 4 s longer on removed keys and on a lease that it has lost.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
