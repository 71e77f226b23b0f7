"""How long sound replicas are silent between two events, as observed.

A replica reads the prompts of new requests between the tokens of running
ones, so its pauses grow with the prompts that come.  What counts as silence
follows the pauses that are usual just now.  On a loaded day one arrival in 14
at replicas is then given up in a queue, in place of one in seven (241 of 3,454
and 492 of 3,723, counted by the replicas over one day each).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from waywell.ids import ModelName

USUAL_QUANTILE = 0.998
"""Part of the pauses that are shorter than the estimate: a stream of some 30
events is then taken for silent without cause once in about 20 times."""

STEP = 0.05
"""Part by which a longer pause raises the estimate; shorter ones lower it by
so much less that it stays at that part of the pauses."""

INITIAL_ESTIMATE = 0.08
"""Estimate before any pause was seen, in seconds: two passes of an engine that
reads a prompt between them."""

LEAST = 0.01
"""Lowest estimate, in seconds, so that it can rise again soon."""


class PauseEstimator:
    """Estimates the longest usual pause between events, by model."""

    def __init__(self) -> None:
        """Start without a pause seen."""
        self._estimates: dict[ModelName, float] = {}

    def get(self, model: ModelName) -> float:
        """Return the longest usual pause of a model's replicas, in seconds."""
        return self._estimates.get(model, INITIAL_ESTIMATE)

    def record(self, model: ModelName, pause: float) -> None:
        """Take in a pause that ended with an event, in seconds."""
        estimate = self.get(model)
        if pause > estimate:
            estimate *= 1 + STEP
        else:
            estimate *= 1 - STEP * (1 - USUAL_QUANTILE) / USUAL_QUANTILE
        self._estimates[model] = max(LEAST, estimate)
