"""Distinction of an outage of the store from a lost link of one node."""

from __future__ import annotations

import math
from collections import deque

MAX_SIGHTINGS = 16
"""Maximum number of sightings that are kept, several for each of the last
failed calls."""


class StoreSightings:
    """Times after which other nodes are known to have reached the store."""

    def __init__(self) -> None:
        """Start without sightings."""
        self._times: deque[float] = deque(maxlen=MAX_SIGHTINGS)

    def add(self, asked_at: float) -> None:
        """Record that a node reached the store.

        Parameters
        ----------
        asked_at
            Time at which it was asked to, in seconds.
        """
        self._times.append(asked_at)

    def has_between(self, start: float, end: float) -> bool:
        """Return whether there is one from ``start`` until before ``end``."""
        return any(start <= asked_at < end for asked_at in self._times)


class OutageTracker:
    """Tells whether the calls that failed lately met an outage of the store.

    Only this node was cut off if another one reached the store while the calls
    failed.  After several failures, nodes that were asked at the last one
    don't count: they may have reached a store that had just returned.

    Parameters
    ----------
    sightings
        Times at which other nodes reached the store.
    """

    def __init__(self, sightings: StoreSightings) -> None:
        """Start with a store that answers."""
        self.is_failing = False
        self._sightings = sightings
        self._failed_at: tuple[float, ...] = ()
        self._returned_at = -math.inf
        self._former_outage_end = -math.inf

    def record_failure(self, now: float) -> None:
        """Record that a call failed at ``now``, in seconds."""
        if not self.is_failing:
            self._former_outage_end = self.get_outage_end()
            self._failed_at = ()
        self.is_failing = True
        # The last three failures are enough to judge by.
        self._failed_at = (*self._failed_at[-2:], now)

    def record_success(self, now: float) -> None:
        """Record that a call succeeded at ``now``, in seconds."""
        if self.is_failing:
            self._returned_at = now
        self.is_failing = False

    def reset(self) -> None:
        """Forget all failures, as this node stops calling the store."""
        self.is_failing = False
        self._failed_at = ()
        self._returned_at = -math.inf
        self._former_outage_end = -math.inf

    def get_outage_end(self) -> float:
        """Return when calls succeeded again after the latest outage.

        A cut of this node alone in between does not change it.

        Returns
        -------
        float
            Time in seconds; negative infinity if there was no outage.
        """
        if self._was_outage():
            return self._returned_at
        return self._former_outage_end

    def _was_outage(self) -> bool:
        """Return whether the latest failures met an outage."""
        if not self._failed_at:
            return False
        is_single = len(self._failed_at) == 1
        end = math.inf if is_single else self._failed_at[-1]
        return not self._sightings.has_between(self._failed_at[0], end)
