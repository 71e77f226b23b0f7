"""Which free boxes make up the next group, and of which model."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from waywell.version.forming_memory import FormingMemory
from waywell.version.model_need import ModelNeed
from waywell.version.reclaim import RECLAIM_LOAD

if TYPE_CHECKING:
    from waywell.version.fleet import FleetBox, Pools
    from waywell.version.routes import EngineModel

CONVERT_LOAD = 0.6
"""Part of a model's places taken from which on boxes that served another model
are made into a group of it.  A box keeps the weights of one model only beside
the one that it serves, so each change loses a choice for later."""


@attrs.frozen
class GroupPicker:
    """Picks boxes for new groups."""

    need: ModelNeed
    """What callers ask of the models."""

    memory: FormingMemory
    """What the holder remembers of the boxes."""

    takes_loads: bool
    """Whether boxes may load the model's weights to join a group."""

    def find_best(
        self,
        free: Pools,
    ) -> tuple[EngineModel, list[FleetBox]] | None:
        """Return the model of the greatest need whose group can be made.

        Its boxes come with it; ``None`` where no group can be made.

        Parameters
        ----------
        free
            Boxes that may join a group, by fabric domain.
        """
        for model in self.need.rank_models():
            converts = self.need.get_load(model) > CONVERT_LOAD
            ready = [
                picked
                for boxes in free.values()
                if (picked := self._pick_fastest(boxes, model, converts))
            ]
            if ready:
                return model, self._pick_domain(ready, free, model)
        return None

    def _pick_domain(
        self,
        ready: list[list[FleetBox]],
        free: Pools,
        model: EngineModel,
    ) -> list[FleetBox]:
        """Return the boxes that are ready soonest, where most are free."""
        return min(
            ready,
            key=lambda boxes: (
                max(self.memory.estimate(box, model) for box in boxes),
                -len(free[boxes[0].domain]),
            ),
        )

    def _pick_fastest(
        self,
        boxes: list[FleetBox],
        model: EngineModel,
        converts: bool,
    ) -> list[FleetBox]:
        """Return the boxes that make up a group soonest, or none.

        Slow boxes come last, and only where the model is short of places.

        Parameters
        ----------
        boxes
            Boxes of one domain that may join.
        model
            Model of the group.
        converts
            Whether a group may be made up of boxes none of which served it
            last; they lose the model that they did serve.
        """
        fit = [
            box
            for box in boxes
            if self.takes_loads or self.memory.holds(box, model)
        ]
        if not converts and not any(
            self.memory.has_served(box, model) for box in fit
        ):
            return []
        fit.sort(
            key=lambda box: (
                self.memory.is_slow(box.box),
                self.memory.estimate(box, model),
                box.box,
            ),
        )
        size = model.boxes_per_group
        picked = fit[:size] if len(fit) >= size else []
        is_slow = any(self.memory.is_slow(box.box) for box in picked)
        if is_slow and self.need.get_load(model) < RECLAIM_LOAD:
            return []
        return picked
