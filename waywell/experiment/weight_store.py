"""The simulated weight store, which slows down when it is overloaded."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import attrs

from waywell.experiment.load_file import Load
from waywell.experiment.timeline import Timeline

if TYPE_CHECKING:
    from waywell.experiment.load_file import ModelSettings
    from waywell.experiment.timeline import Action


@attrs.define(eq=False)
class WeightStore:
    """Delivers model weights to boxes."""

    load: Load
    """Capacity of the store and length of the warm-up."""

    timeline: Timeline
    """Events of the simulation."""

    running_loads: int = 0
    """Number of loads in progress."""

    def start_load(self, model: ModelSettings, finish: Action) -> None:
        """Start loading a model and call ``finish`` when it is loaded.

        The number of concurrent loads at the start sets the speed, which
        stays the same until the end.
        """
        self.running_loads += 1
        engine = self.load.engine
        slowdown = self.running_loads / engine.loads_at_once
        if self.timeline.now < self.load.warm_up:
            slowdown = min(slowdown, engine.first_crowd)
        seconds = model.load_seconds * max(1.0, slowdown)
        self.timeline.schedule_in(seconds, partial(self._finish_load, finish))

    def _finish_load(self, finish: Action) -> None:
        self.running_loads -= 1
        finish()
