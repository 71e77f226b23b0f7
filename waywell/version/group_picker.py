"""Choice of boxes for the groups of the very first start.

No box holds weights then, and loads cost little until callers come.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from waywell.version.forming_memory import FormingMemory
from waywell.version.model_need import ModelNeed

if TYPE_CHECKING:
    from waywell.version.fleet import BoxesByDomain, FleetBox
    from waywell.version.routes import EngineModel


@attrs.frozen
class GroupPicker:
    """Picks boxes for new groups, whatever weights they hold."""

    need: ModelNeed
    """Expected demand for the models and the groups that meet it."""

    memory: FormingMemory
    """State of the duty's holder."""

    def find_best(
        self,
        free: BoxesByDomain,
    ) -> tuple[EngineModel, list[FleetBox]] | None:
        """Return the model with the greatest need for which boxes suffice.

        Its boxes come with it; ``None`` if no group can be formed.

        Parameters
        ----------
        free
            Boxes that may join a group, by fabric domain.
        """
        for model in self.need.rank_models():
            if not self.memory.load_failures.may_load(model.name):
                continue
            ready = [
                picked
                for boxes in free.values()
                if (picked := self._pick_fastest(boxes, model))
            ]
            if ready:
                return model, self._pick_domain(ready, free, model)
        return None

    def _pick_domain(
        self,
        ready: list[list[FleetBox]],
        free: BoxesByDomain,
        model: EngineModel,
    ) -> list[FleetBox]:
        """Return the boxes ready soonest; ties go to the largest free pool."""
        return min(
            ready,
            key=lambda boxes: (
                max(
                    self.memory.estimate_join_seconds(box, model)
                    for box in boxes
                ),
                -len(free[boxes[0].domain]),
            ),
        )

    def _pick_fastest(
        self,
        boxes: list[FleetBox],
        model: EngineModel,
    ) -> list[FleetBox]:
        """Return the boxes of a domain that form a group soonest, or none.

        Slow boxes come last.
        """
        fit = sorted(
            boxes,
            key=lambda box: (
                self.memory.is_slow(box.life),
                self.memory.estimate_join_seconds(box, model),
                box.box,
            ),
        )
        size = model.boxes_per_group
        return fit[:size] if len(fit) >= size else []
