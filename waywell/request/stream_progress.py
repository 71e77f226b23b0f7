"""Arrival times of the events of a stream."""

from __future__ import annotations

import attrs


@attrs.define
class StreamProgress:
    """Counts and times the events that one attempt receives."""

    events: int = 0
    """Number of events, without comments."""

    first_at: float = 0.0
    """Time of the first event, in seconds."""

    last_at: float = 0.0
    """Time of the last event, in seconds."""

    longest_pause: float = 0.0
    """Longest time between two events, in seconds."""

    is_throttled: bool = False
    """Whether reading was paused for a slow caller, so that the times are not
    those of the replica."""

    def record_event(self, now: float) -> None:
        """Record that an event arrived at ``now``, in seconds."""
        if self.events:
            pause = now - self.last_at
            self.longest_pause = max(self.longest_pause, pause)
        else:
            self.first_at = now
        self.last_at = now
        self.events += 1

    def compute_pace(self) -> float:
        """Return the seconds per event, leaving out the longest pause.

        At least three events are required.
        """
        seconds = self.last_at - self.first_at - self.longest_pause
        return seconds / (self.events - 2)
