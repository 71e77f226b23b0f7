"""Which groups are dissolved because a box of theirs is slow.

A group runs at the pace of its slowest box.  Where the fast boxes of some slow
groups, with idle ones, make up a whole group, these are closed, and the next
plan joins the fast boxes with each other.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs

from waywell.version.closable import count_closable
from waywell.version.fleet import (
    BoxesByDomain,
    FleetBox,
    FleetGroup,
    group_by_domain,
    parse_group_model,
)
from waywell.version.forming_memory import FormingMemory
from waywell.version.model_need import ModelNeed

if TYPE_CHECKING:
    from waywell.ids import DomainName
    from waywell.version.routes import EngineModel


def choose_slow_groups(
    need: ModelNeed,
    memory: FormingMemory,
    idle: BoxesByDomain,
    groups: list[FleetGroup],
    serving: list[FleetGroup],
) -> list[FleetGroup]:
    """Return the slow groups to close now.

    Parameters
    ----------
    need
        What callers ask of the models.
    memory
        What the holder remembers of the boxes.
    idle
        Boxes in no group, by fabric domain.
    groups
        All groups.
    serving
        Those that serve.
    """
    closing = [one for one in groups if one.group in memory.abandoned]
    rest = count_closable(serving, closing)
    chosen: list[FleetGroup] = []
    for domain, near in _divide_settled(serving, closing).items():
        found = _Regrouping(need, memory, idle.get(domain, []), near).find()
        wanted = Counter(parse_group_model(one.group) for one in found)
        if all(rest[model] >= count for model, count in wanted.items()):
            rest.subtract(wanted)
            chosen.extend(found)
    return chosen


def _divide_settled(
    serving: list[FleetGroup],
    closing: list[FleetGroup],
) -> dict[DomainName, list[FleetGroup]]:
    """Return the groups of each fabric domain in which none is closing."""
    busy = {one.domain for one in closing}
    return group_by_domain(
        group for group in serving if group.domain not in busy
    )


@attrs.frozen
class _Regrouping:
    """Looks in one domain for groups whose fast boxes make up a whole one."""

    need: ModelNeed
    memory: FormingMemory
    idle: list[FleetBox]
    serving: list[FleetGroup]

    def find(self) -> tuple[FleetGroup, ...]:
        """Return the groups to close, none where nothing is won."""
        slow = [group for group in self.serving if self._is_slow(group)]
        for model in self.need.rank_models():
            own = [
                group
                for group in slow
                if parse_group_model(group.group) == model.name
            ]
            others = [group for group in slow if group not in own]
            found = self._gather(model, own, others)
            if found:
                return found
        return ()

    def _gather(
        self,
        model: EngineModel,
        own: list[FleetGroup],
        others: list[FleetGroup],
    ) -> tuple[FleetGroup, ...]:
        """Return the fewest groups whose fast boxes make up one of a model.

        One of them is a group of the model itself, so that no model gains
        groups by this.
        """
        if not own:
            return ()
        lacking = model.boxes_per_group - self._count_fast(self.idle, model)
        closed: list[FleetGroup] = []
        for group in (*self._rank(own, model), *self._rank(others, model)):
            if lacking <= 0 and closed:
                break
            closed.append(group)
            lacking -= self._count_fast(group.members, model)
        return tuple(closed) if lacking <= 0 else ()

    def _rank(
        self,
        groups: list[FleetGroup],
        model: EngineModel,
    ) -> list[FleetGroup]:
        """Return groups, that with the most fast boxes for a model first."""
        return sorted(
            groups,
            key=lambda one: -self._count_fast(one.members, model),
        )

    def _is_slow(self, group: FleetGroup) -> bool:
        return any(self.memory.is_slow(box.life) for box in group.members)

    def _count_fast(
        self,
        boxes: list[FleetBox] | tuple[FleetBox, ...],
        model: EngineModel,
    ) -> int:
        """Return how many boxes can join a group of a model, and are fast."""
        return sum(
            self.memory.holds(box, model) and not self.memory.is_slow(box.life)
            for box in boxes
        )
