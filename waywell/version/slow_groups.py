"""Choice of the groups to dissolve because one of their boxes is slow.

A group runs at the pace of its slowest box.  If the fast boxes of some slow
groups and the idle boxes of their domain suffice for a whole group, the slow
groups are closed, and the next plan forms a group of the fast boxes.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs

from waywell.version.closing_limit import count_closable
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
        Demand for the models and the groups that meet it.
    memory
        State of the duty's holder.
    idle
        Boxes in no group, by fabric domain.
    groups
        All groups of the service.
    serving
        Groups that serve.
    """
    closing = [group for group in groups if group.group in memory.abandoned]
    closable = count_closable(serving, closing)
    chosen: list[FleetGroup] = []
    for domain, domain_groups in _group_by_settled_domain(
        serving, closing
    ).items():
        found = _SlowGroupSearch(
            need, memory, idle.get(domain, []), domain_groups
        ).find()
        wanted = Counter(parse_group_model(group.group) for group in found)
        if all(closable[model] >= count for model, count in wanted.items()):
            closable.subtract(wanted)
            chosen.extend(found)
    return chosen


def _group_by_settled_domain(
    serving: list[FleetGroup],
    closing: list[FleetGroup],
) -> dict[DomainName, list[FleetGroup]]:
    """Return the serving groups of the domains in which none is closing."""
    closing_domains = {group.domain for group in closing}
    return group_by_domain(
        group for group in serving if group.domain not in closing_domains
    )


@attrs.frozen
class _SlowGroupSearch:
    """Searches one domain for groups whose fast boxes form a whole one."""

    need: ModelNeed
    memory: FormingMemory
    idle: list[FleetBox]
    serving: list[FleetGroup]

    def find(self) -> tuple[FleetGroup, ...]:
        """Return the groups to close; none if there is nothing to gain."""
        slow = [group for group in self.serving if self._is_slow(group)]
        for model in self.need.rank_models():
            own = [
                group
                for group in slow
                if parse_group_model(group.group) == model.name
            ]
            others = [group for group in slow if group not in own]
            found = self._collect(model, own, others)
            if found:
                return found
        return ()

    def _collect(
        self,
        model: EngineModel,
        own: list[FleetGroup],
        others: list[FleetGroup],
    ) -> tuple[FleetGroup, ...]:
        """Return the fewest groups whose fast boxes form one group of a model.

        At least one of them is a group of that model, so that no model gains
        groups.
        """
        if not own:
            return ()
        missing = model.boxes_per_group - self._count_fast(self.idle, model)
        closed: list[FleetGroup] = []
        for group in (*self._rank(own, model), *self._rank(others, model)):
            if missing <= 0 and closed:
                break
            closed.append(group)
            missing -= self._count_fast(group.members, model)
        return tuple(closed) if missing <= 0 else ()

    def _rank(
        self,
        groups: list[FleetGroup],
        model: EngineModel,
    ) -> list[FleetGroup]:
        """Return groups, those with the most fast boxes for a model first."""
        return sorted(
            groups,
            key=lambda group: -self._count_fast(group.members, model),
        )

    def _is_slow(self, group: FleetGroup) -> bool:
        return any(self.memory.is_slow(box.life) for box in group.members)

    def _count_fast(
        self,
        boxes: list[FleetBox] | tuple[FleetBox, ...],
        model: EngineModel,
    ) -> int:
        """Return how many fast boxes can join a group of a model."""
        return sum(
            self.memory.has_weights(box, model)
            and not self.memory.is_slow(box.life)
            for box in boxes
        )
