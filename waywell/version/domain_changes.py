"""Enumeration of the group changes that are possible in one fabric domain.

Possible changes depend on the domain's own boxes only, and few domains change
between two plans, so they are computed again only where a box or group has
changed. The gain of a change depends on all domains and is weighed each time.
With 760 boxes in 40 domains, 3 idle boxes in each and 2 domains changed, a
search takes 2.4 ms instead of 13.9 ms (``python -m waywell.bench.search``).
"""

from __future__ import annotations

from collections import Counter
from itertools import combinations, product
from typing import TYPE_CHECKING

import attrs

from waywell.ids import ModelName
from waywell.version.fleet import FleetBox, FleetGroup, parse_group_model
from waywell.version.routes import EngineModel

if TYPE_CHECKING:
    from collections.abc import Iterator

    from waywell.version.forming_memory import FormingMemory

MAX_CLOSED_PER_CHANGE = 2
"""Groups that one change closes at most: closing more gains too little to make
up for the places that are missing meanwhile."""

Counts = tuple[int, ...]
"""Numbers of groups or boxes by model, in the order of the engine's models."""

BoxKind = tuple[float, ...]
"""Whether a box is slow, then the seconds until it could serve each model."""

GroupKind = tuple[ModelName, tuple[BoxKind, ...]]
"""Properties of a group that matter for a change: its model and its boxes."""


@attrs.frozen
class NewGroup:
    """A group that a change forms."""

    model: EngineModel
    """Model that the group is to serve."""

    boxes: tuple[FleetBox, ...]
    """Members, the head first."""


@attrs.frozen
class CandidateChange:
    """A change of the groups of one domain, before it is weighed."""

    closed: tuple[FleetGroup, ...]
    """Groups to close first."""

    formed: tuple[NewGroup, ...]
    """Groups to form from their boxes and idle ones."""

    closed_counts: Counts
    """Closed groups of each model."""

    net_counts: Counts
    """Groups of each model gained, or lost if negative."""

    leaving_counts: Counts
    """Boxes that leave each model, for models of which the domain could form a
    group with them."""

    other_conversions: int
    """Other boxes that join with a model that they did not serve last."""

    ready_seconds: float
    """Seconds until the slowest of the joining boxes is ready."""


@attrs.frozen
class Domain:
    """The boxes of one fabric domain that may change their groups."""

    idle: tuple[FleetBox, ...]
    """Boxes that may join a group."""

    serving: tuple[FleetGroup, ...]
    """Groups that serve."""


class DomainChanges:
    """Lists the changes that are possible in one domain.

    Parameters
    ----------
    models
        Models of the service.
    memory
        State of the duty's holder.
    takes_slow
        For each model, whether it is so short of places that slow boxes are
        used.
    """

    def __init__(
        self,
        models: tuple[EngineModel, ...],
        memory: FormingMemory,
        takes_slow: tuple[bool, ...],
    ) -> None:
        """Store the inputs of the enumeration."""
        self._models = models
        self._memory = memory
        self._takes_slow = dict(zip(models, takes_slow, strict=True))

    def describe(self, domain: Domain) -> object:
        """Return a key that is equal while the possible changes are equal."""
        return (
            tuple(self._takes_slow.items()),
            domain,
            tuple(self._describe_box(box) for box in domain.idle),
            tuple(
                self._describe_box(box)
                for group in domain.serving
                for box in group.members
            ),
        )

    def list_candidates(self, domain: Domain) -> Iterator[CandidateChange]:
        """Return the changes that are possible in a domain."""
        formable = self._list_formable(domain)
        for closed in self._list_closings(domain.serving):
            closed_boxes = [box for group in closed for box in group.members]
            pool = [*domain.idle, *closed_boxes]
            closed_counts = self._count(
                parse_group_model(group.group) for group in closed
            )
            for counts in self._list_counts(len(pool)):
                formed = self._pick_groups(pool, counts)
                if formed and counts != closed_counts:
                    leaving = self._count_leaving(formed, formable)
                    yield self._describe_change(
                        closed, formed, closed_counts, leaving
                    )

    def _describe_box(self, box: FleetBox) -> tuple[ModelName | None, bool]:
        """Return what is known of a box beyond its entry."""
        life = box.life
        return self._memory.last_models.get(life), self._memory.is_slow(life)

    def _list_formable(self, domain: Domain) -> set[ModelName]:
        """Return the models for which a domain has boxes for a group."""
        boxes = [
            *domain.idle,
            *(box for group in domain.serving for box in group.members),
        ]
        return {
            model.name
            for model in self._models
            if sum(self._memory.has_weights(box, model) for box in boxes)
            >= model.boxes_per_group
        }

    def _count_leaving(
        self,
        formed: tuple[NewGroup, ...],
        formable: set[ModelName],
    ) -> Counts:
        """Return how many boxes leave each model that could be formed."""
        last = self._memory.last_models
        leaving = (
            last[box.life]
            for group in formed
            for box in group.boxes
            if box.life in last and last[box.life] != group.model.name
        )
        return self._count(name for name in leaving if name in formable)

    def _describe_change(
        self,
        closed: tuple[FleetGroup, ...],
        formed: tuple[NewGroup, ...],
        closed_counts: Counts,
        leaving: Counts,
    ) -> CandidateChange:
        joins = [(box, group.model) for group in formed for box in group.boxes]
        formed_counts = self._count(group.model.name for group in formed)
        memory = self._memory
        converted = sum(
            not memory.has_last_served(box, model) for box, model in joins
        )
        return CandidateChange(
            closed,
            formed,
            closed_counts,
            tuple(
                new - old
                for new, old in zip(formed_counts, closed_counts, strict=True)
            ),
            leaving,
            converted - sum(leaving),
            max(
                memory.estimate_join_seconds(box, model)
                for box, model in joins
            ),
        )

    def _count(self, names: Iterator[ModelName]) -> Counts:
        counted = Counter(names)
        return tuple(counted[model.name] for model in self._models)

    def _list_closings(
        self,
        serving: tuple[FleetGroup, ...],
    ) -> Iterator[tuple[FleetGroup, ...]]:
        """Return the sets of groups that may be closed together.

        Of sets that are equal in models and weights, only one is returned.
        """
        kinds = {group.group: self._describe_group(group) for group in serving}
        seen = set()
        for count in range(MAX_CLOSED_PER_CHANGE + 1):
            for closed in combinations(serving, count):
                kind = tuple(sorted(kinds[group.group] for group in closed))
                if kind not in seen:
                    seen.add(kind)
                    yield closed

    def _describe_group(self, group: FleetGroup) -> GroupKind:
        """Return the properties of a group that matter for a change."""
        boxes = sorted(
            (
                float(self._memory.is_slow(box.life)),
                *(
                    self._memory.estimate_join_seconds(box, model)
                    for model in self._models
                ),
            )
            for box in group.members
        )
        return parse_group_model(group.group), tuple(boxes)

    def _list_counts(self, boxes: int) -> Iterator[Counts]:
        """Return the numbers of groups of each model that fit some boxes."""
        sizes = [model.boxes_per_group for model in self._models]
        for counts in product(*(range(boxes // size + 1) for size in sizes)):
            needed = sum(
                count * size for count, size in zip(counts, sizes, strict=True)
            )
            if 0 < needed <= boxes:
                yield counts

    def _pick_groups(
        self,
        pool: list[FleetBox],
        counts: Counts,
    ) -> tuple[NewGroup, ...]:
        """Return the given numbers of groups, or none if weights are short."""
        remaining = list(pool)
        groups: list[NewGroup] = []
        wanted = zip(self._models, counts, strict=True)
        for model, count in sorted(
            wanted, key=lambda pair: -pair[0].boxes_per_group
        ):
            fit = self._rank_boxes(remaining, model)
            size = model.boxes_per_group
            chosen = fit[: count * size]
            if len(chosen) < count * size:
                return ()
            groups += [
                NewGroup(model, tuple(chosen[first : first + size]))
                for first in range(0, len(chosen), size)
            ]
            names = {box.box for box in chosen}
            remaining = [box for box in remaining if box.box not in names]
        return tuple(groups)

    def _rank_boxes(
        self,
        pool: list[FleetBox],
        model: EngineModel,
    ) -> list[FleetBox]:
        """Return the boxes that can join a group, soonest ready first.

        Slow boxes come last, and only where the model is short of places.
        """
        memory = self._memory
        takes_slow = self._takes_slow[model]
        fit = [
            box
            for box in pool
            if memory.has_weights(box, model)
            and (takes_slow or not memory.is_slow(box.life))
        ]
        return sorted(
            fit,
            key=lambda box: (
                memory.is_slow(box.life),
                memory.estimate_join_seconds(box, model),
                box.box,
            ),
        )
