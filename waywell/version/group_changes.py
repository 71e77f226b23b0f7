"""Orders that form a group, or close one, with what is remembered of them."""

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
    """Gives the orders of one plan that change whole groups."""

    need: ModelNeed
    """Counts the groups of each model."""

    memory: FormingMemory
    """What the holder remembers; changed by the orders."""

    assign: Callable[[FleetBox, BoxOrder, OrderReason], bool]
    """Gives an order to a box, unless one is open; answers whether so."""

    now: float
    """The present time, in seconds."""

    def join(self, model: EngineModel, boxes: list[FleetBox]) -> None:
        """Let free boxes form a group; the first one is its head."""
        epoch = Epoch(self.memory.next_epoch)
        self.memory.next_epoch += 1
        group = make_group_name(model.name, epoch)
        members = tuple(box.box for box in boxes)
        lives = tuple(box.life for box in boxes)
        self.memory.forming[group] = FormingGroup(lives, self.now)
        self.memory.rights.note_formed(group, boxes)
        self.need.groups[model.name] += 1
        for box in boxes:
            if box.standing is not None:
                self.memory.abandoned[box.standing.group] = self.now
            join = Join(group, epoch, model.name, members)
            self.assign(box, join, OrderReason.NEEDED)

    def close(self, group: FleetGroup, reason: OrderReason) -> None:
        """Let a group finish its work, so that its boxes may join others."""
        self.memory.abandoned[group.group] = self.now
        close = Close(group.group, group.epoch)
        self.assign(group.members[0], close, reason)
