"""What a box tells of itself when it is asked."""

from __future__ import annotations

import msgspec

from waywell.ids import Incarnation
from waywell.version.fleet import UNKNOWN_INCARNATION, Standing

USUAL_PACE = 1.0
"""Pace of a box that is as fast as it should be."""

SLOW_PACE = 2.0
"""Pace from which on a box counts as slow.  A first event usually takes some
0.6 of its goal, so a group with such a box misses it."""


class BoxReport(msgspec.Struct, frozen=True):
    """How a box is."""

    pace: float = USUAL_PACE
    """Time that its work takes, as a multiple of the usual time."""

    orders_begun: int = 0
    """Orders that the box has begun since its start; numbers its states."""

    standing: Standing | None = None
    """Its place in a group in that state."""

    incarnation: Incarnation = UNKNOWN_INCARNATION
    """Which of its lives told it."""

    def is_slow(self) -> bool:
        """Answer whether a group is better off without the box."""
        return self.pace >= SLOW_PACE


class ReportReading(msgspec.Struct, frozen=True):
    """A report with its age."""

    report: BoxReport
    """What the box told."""

    read_at: float
    """When it told, in seconds."""
