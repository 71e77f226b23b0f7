"""How much work callers ask of each model, as one node sees it."""

from __future__ import annotations

import math
from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from waywell.ids import ModelName

MEMORY_SECONDS = 8.0
"""Time in which the weight of what was seen falls to about a third."""


class DemandMeter:
    """Keeps a running mean of the places that requests take."""

    def __init__(self) -> None:
        """Start without requests."""
        self._work: dict[ModelName, float] = defaultdict(float)
        self._at = 0.0

    def note(self, model: ModelName, seconds: float, now: float) -> None:
        """Count a request that took a place for some seconds."""
        self._fade(now)
        self._work[model] += seconds / MEMORY_SECONDS

    def read(self, now: float) -> dict[ModelName, float]:
        """Return the places that are taken at a time, by model."""
        self._fade(now)
        return dict(self._work)

    def _fade(self, now: float) -> None:
        factor = math.exp((self._at - now) / MEMORY_SECONDS)
        self._at = now
        for model in self._work:
            self._work[model] *= factor
