"""Orders that form or close whole groups, and their bookkeeping."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from waywell.ids import Epoch
from waywell.version.fleet import FleetBox, FleetGroup, make_group_name
from waywell.version.forming_memory import FormingGroup, FormingMemory
from waywell.version.model_need import ModelNeed
from waywell.version.orders import BoxOrder, Close, Join, OrderReason

if TYPE_CHECKING:
    from waywell.version.routes import EngineModel


@attrs.frozen
class GroupChanges:
    """Sends the orders of one plan that form or close whole groups."""

    need: ModelNeed
    """Demand for the models; counts the groups that are formed."""

    memory: FormingMemory
    """State of the duty's holder; updated by the orders."""

    assign: Callable[[FleetBox, BoxOrder, OrderReason], bool]
    """Gives an order to a box unless it has a pending one; returns whether the
    order was given."""

    now: float
    """Current time, in seconds."""

    def join(self, model: EngineModel, boxes: list[FleetBox]) -> None:
        """Order free boxes to form a group; the first one becomes its head."""
        epoch = Epoch(self.memory.next_epoch)
        self.memory.next_epoch += 1
        group = make_group_name(model.name, epoch)
        members = tuple(box.box for box in boxes)
        lives = tuple(box.life for box in boxes)
        self.memory.forming[group] = FormingGroup(lives, self.now)
        self.memory.openings.record_formed(group, boxes)
        self.need.groups[model.name] += 1
        for box in boxes:
            if box.standing is not None:
                self.memory.abandoned[box.standing.group] = self.now
            join = Join(group, epoch, model.name, members)
            self.assign(box, join, OrderReason.NEEDED)

    def close(self, group: FleetGroup, reason: OrderReason) -> None:
        """Order a group to finish its work, which frees its boxes."""
        self.memory.abandoned[group.group] = self.now
        close = Close(group.group, group.epoch)
        self.assign(group.members[0], close, reason)
