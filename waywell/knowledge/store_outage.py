"""Distinction of an outage of the store from a lost link of one node."""

from __future__ import annotations

import math


class OutageTracker:
    """Tells whether the calls that failed lately met an outage of the store.

    Only this node was cut off if another one reached the store while the calls
    failed.  After several failures, only what was known by the last one
    counts: a peer that is asked then may reach a store that has just returned.
    """

    def __init__(self) -> None:
        """Start with a store that answers."""
        self.returned_at = -math.inf
        self.is_failing = False
        self._failures = 0
        self._failed_at = math.inf
        self._failed_before_at = math.inf
        self._is_contradicted = False

    def record_failure(self, reached_at: float, now: float) -> None:
        """Record that a call failed.

        Parameters
        ----------
        reached_at
            Latest time at which another node is known to have reached the
            store, in seconds.
        now
            The current time, in seconds.
        """
        if not self.is_failing:
            self.is_failing = True
            self._failures = 0
            self._failed_at = now
            self._failed_before_at = now
        self._failures += 1
        self._is_contradicted = reached_at >= self._failed_before_at
        self._failed_before_at = self._failed_at
        self._failed_at = now

    def record_success(self, now: float) -> None:
        """Record that a call succeeded at ``now``, in seconds."""
        if self.is_failing:
            self.returned_at = now
        self.is_failing = False

    def reset(self) -> None:
        """Forget all failures, as this node stops calling the store."""
        self.returned_at = -math.inf
        self.is_failing = False

    def was_outage(self, reached_at: float) -> bool:
        """Return whether the last failures met an outage of the store.

        Parameters
        ----------
        reached_at
            Latest time at which another node is known to have reached the
            store, in seconds.
        """
        if self._failures > 1:
            return not self._is_contradicted
        return reached_at < self._failed_at
