"""How much work callers ask of each model, as one node sees it."""

from __future__ import annotations

import math
from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from waywell.ids import ModelName

MEMORY_SECONDS = 8.0
"""Time in which the weight of what was seen falls to about a third."""

LEAST_AGE = 2.0
"""Seconds that count as seen at least, so that a first request is no flood."""


class DemandMeter:
    """Keeps a running mean of the places that requests take."""

    def __init__(self) -> None:
        """Start without requests."""
        self._work: dict[ModelName, float] = defaultdict(float)
        self._at = 0.0
        self._first_at = 0.0

    def note(self, model: ModelName, seconds: float, now: float) -> None:
        """Count a request that took a place for some seconds."""
        self._fade(now)
        if not self._work:
            self._first_at = now
        self._work[model] += seconds / MEMORY_SECONDS

    def read(self, now: float) -> dict[ModelName, float]:
        """Return the places that are taken at a time, by model.

        What came before the first request is not counted as idle time.
        """
        self._fade(now)
        age = max(LEAST_AGE, now - self._first_at)
        seen = 1.0 - math.exp(-age / MEMORY_SECONDS)
        return {model: work / seen for model, work in self._work.items()}

    def _fade(self, now: float) -> None:
        factor = math.exp((self._at - now) / MEMORY_SECONDS)
        self._at = now
        for model in self._work:
            self._work[model] *= factor
