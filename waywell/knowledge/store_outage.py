"""Distinction of an outage of the store from a lost link of one node."""

from __future__ import annotations

import math

SHORTEST_OUTAGE = 1.2
"""Shortest outage of the store, in seconds, in which an entry of a box that
lives may expire.  It is the period of the reports of boxes, of which several
are missed before an entry expires."""


class OutageTracker:
    """Tells an outage of the store from a time in which only this node failed.

    The store was away if nobody is known to have reached it for long.  Other
    nodes that reach it while this one does not rule an outage out.
    """

    def __init__(self) -> None:
        """Start without knowing when the store was reached."""
        self.is_failing = False
        self.outage_end = -math.inf
        self.is_overdue = False
        self._reached_at = -math.inf
        self._longest_gap = 0.0

    def begin(self, now: float) -> None:
        """Begin to observe the store, unless that has begun already.

        Nothing is known of the time before, so it counts as no outage.
        """
        if self._reached_at == -math.inf:
            self._reached_at = now

    def record_overdue(self) -> None:
        """Record that the store has not answered this node for too long."""
        self.is_overdue = True

    def record_failure(self) -> None:
        """Record that a call of this node failed."""
        self.is_failing = True

    def record_sighting(self, asked_at: float, now: float) -> None:
        """Record that another node has reached the store.

        It did so after it was asked and before its report arrived, so the
        store may have been away until now.

        Parameters
        ----------
        asked_at
            Time at which the node was asked to, in seconds.
        now
            The current time, in seconds.
        """
        self._close_gap(now)
        self._reached_at = max(self._reached_at, asked_at)

    def record_success(self, now: float) -> None:
        """Record that a call of this node succeeded.

        If calls have failed before, ``outage_end`` is set to ``now`` after an
        outage, and remains as it was after a cut of this node alone.
        """
        self._close_gap(now)
        if self.is_failing and self._longest_gap >= SHORTEST_OUTAGE:
            self.outage_end = now
        self.is_failing = False
        self.is_overdue = False
        self._reached_at = now
        self._longest_gap = 0.0

    def exclude(self, seconds: float, now: float) -> None:
        """Exclude a time in which this node did not run.

        Parameters
        ----------
        seconds
            Length of that time, which has just ended.
        now
            The current time, in seconds.
        """
        self._reached_at = min(now, self._reached_at + seconds)

    def reset(self) -> None:
        """Forget all calls, as this node stops calling the store."""
        self.is_failing = False
        self.is_overdue = False
        self.outage_end = -math.inf
        self._reached_at = -math.inf
        self._longest_gap = 0.0

    def _close_gap(self, now: float) -> None:
        """Measure the time since the store was last reached."""
        self._longest_gap = max(self._longest_gap, now - self._reached_at)
