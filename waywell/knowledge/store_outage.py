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
        self.is_failing = False
        self._failures = 0
        self._failed_at = math.inf
        self._failed_before_at = math.inf
        self._is_contradicted = False
        self._returned_at = -math.inf
        self._former_outage_end = -math.inf

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
            self._former_outage_end = self.get_outage_end(reached_at)
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
            self._returned_at = now
        self.is_failing = False

    def reset(self) -> None:
        """Forget all failures, as this node stops calling the store."""
        self.is_failing = False
        self._returned_at = -math.inf
        self._former_outage_end = -math.inf

    def get_outage_end(self, reached_at: float) -> float:
        """Return when calls succeeded again after the latest outage.

        A cut of this node alone in between does not change it.

        Parameters
        ----------
        reached_at
            Latest time at which another node is known to have reached the
            store, in seconds.

        Returns
        -------
        float
            Time in seconds; negative infinity if there was no outage.
        """
        if self._was_outage(reached_at):
            return self._returned_at
        return self._former_outage_end

    def _was_outage(self, reached_at: float) -> bool:
        """Return whether the latest failures met an outage."""
        if self._failures > 1:
            return not self._is_contradicted
        return reached_at < self._failed_at
