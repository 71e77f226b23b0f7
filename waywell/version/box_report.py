"""Reports that boxes return when they are asked for their state."""

from __future__ import annotations

import msgspec

from waywell.ids import Incarnation
from waywell.version.fleet import UNKNOWN_INCARNATION, Standing

NORMAL_PACE = 1.0
"""Pace of a box that is as fast as it should be."""

SLOW_PACE = 2.0
"""Pace from which on a box counts as slow. A first event usually takes some
0.6 of its goal, so a group with such a box misses the goal."""


class BoxReport(msgspec.Struct, frozen=True):
    """State that a box reports about itself."""

    pace: float = NORMAL_PACE
    """Duration of the box's work as a multiple of the normal duration."""

    orders_begun: int = 0
    """Number of orders that the box has begun since its start; identifies its
    state."""

    standing: Standing | None = None
    """Place of the box in a group in that state."""

    incarnation: Incarnation = UNKNOWN_INCARNATION
    """Incarnation of the box that sent the report."""

    def is_slow(self) -> bool:
        """Return whether a group is better off without the box."""
        return self.pace >= SLOW_PACE


class TimedReport(msgspec.Struct, frozen=True):
    """A report with the time of its arrival."""

    report: BoxReport
    """Report of the box."""

    read_at: float
    """Time at which the report was read, in seconds."""
