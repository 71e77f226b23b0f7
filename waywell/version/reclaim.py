"""Which groups of one model give their boxes to another."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from waywell.version.fleet import divide_by_domain, parse_group
from waywell.version.forming_memory import FormingMemory
from waywell.version.model_need import ModelNeed
from waywell.version.routes import EngineModel

if TYPE_CHECKING:
    from waywell.version.fleet import FleetBox, FleetGroup, Pools

RECLAIM_LOAD = 0.6
"""Part of a model's places taken from which on it gets groups of another:
above it, requests begin to wait for places of their group."""

RECLAIM_RATIO = 1.25
"""How much less the giving model's places must be taken afterwards, so that
groups do not go back and forth."""


def choose_donors(
    need: ModelNeed,
    memory: FormingMemory,
    idle: Pools,
    serving: list[FleetGroup],
) -> tuple[FleetGroup, ...]:
    """Return the fewest groups to close so that a needy model gets one more.

    Parameters
    ----------
    need
        What callers ask of the models.
    memory
        What the holder remembers of the boxes.
    idle
        Boxes in no group, by fabric domain.
    serving
        Groups that serve.
    """
    needy = need.rank_models()[0]
    if need.get_load(needy) < RECLAIM_LOAD:
        return ()
    search = _DonorSearch(need, memory, needy)
    found = [
        search.find(idle.get(domain, []), groups)
        for domain, groups in divide_by_domain(serving).items()
    ]
    return min((donors for donors in found if donors), key=len, default=())


@attrs.frozen
class _DonorSearch:
    """Looks for groups that give their boxes to one model."""

    need: ModelNeed
    memory: FormingMemory
    needy: EngineModel

    def find(
        self,
        idle: list[FleetBox],
        serving: list[FleetGroup],
    ) -> tuple[FleetGroup, ...]:
        """Return the groups of a domain that would make up a new one."""
        lacking = self.needy.boxes_per_group - sum(
            self.memory.holds(box, self.needy) for box in idle
        )
        donors: list[FleetGroup] = []
        for group in sorted(serving, key=self._count_given, reverse=True):
            if lacking > 0 and self._can_give(group, len(donors) + 1):
                donors.append(group)
                lacking -= self._count_given(group)
        return tuple(donors) if lacking <= 0 else ()

    def _count_given(self, group: FleetGroup) -> int:
        """Return how many boxes of a group can serve the model at once."""
        return sum(self.memory.holds(box, self.needy) for box in group.members)

    def _can_give(self, group: FleetGroup, given: int) -> bool:
        """Answer whether a group is less needed than one of the model."""
        model = self.need.engine.find_model(parse_group(group.group))
        if model is None or model.name == self.needy.name:
            return False
        if not self._count_given(group):
            return False
        left = self.need.get_load(model, given)
        return left * RECLAIM_RATIO < self.need.get_load(self.needy)
