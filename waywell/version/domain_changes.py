"""Which changes of groups can be made in one fabric domain.

What can be made depends on the domain's own boxes only, and few domains change
between two plans, so it is worked out anew only where a box or group has
changed.  What a change gains depends on all domains and is weighed each time.
With 760 boxes in 40 domains, 3 idle in each and 2 domains changed, a search
takes 2.4 ms in place of 13.9 ms (``python -m waywell.bench.search``).
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

MOST_CLOSED = 2
"""Groups that one change closes at the most: what is gained by more does not
make up for the places that are missing meanwhile."""

Counts = tuple[int, ...]
"""Numbers of groups, by the engine's models in their order."""

BoxKind = tuple[float, ...]
"""Whether a box is slow, and the seconds until it could serve each model."""

GroupKind = tuple[ModelName, tuple[BoxKind, ...]]
"""What matters of a group: its model, and its boxes."""


@attrs.frozen
class NewGroup:
    """A group that is to be formed."""

    model: EngineModel
    """Its model."""

    boxes: tuple[FleetBox, ...]
    """Its members, the head first."""


@attrs.frozen
class PossibleChange:
    """A change of the groups of one domain, before it is weighed."""

    closed: tuple[FleetGroup, ...]
    """Groups to close first."""

    formed: tuple[NewGroup, ...]
    """Groups to form of their boxes and idle ones."""

    less: Counts
    """Groups of each model that are closed."""

    change: Counts
    """Groups of each model that there are more, or less, afterwards."""

    left: Counts
    """Boxes that leave each model, where the domain can form a group of it
    with them."""

    converted: int
    """Other boxes that join with a model which they did not serve last."""

    joined: float
    """Seconds until the slowest of its boxes is ready."""


@attrs.frozen
class Domain:
    """The boxes of one fabric domain that may change their groups."""

    idle: tuple[FleetBox, ...]
    """Boxes that may join a group."""

    serving: tuple[FleetGroup, ...]
    """Groups that serve."""


class DomainChanges:
    """Lists the changes that can be made in one domain.

    Parameters
    ----------
    models
        Models of the service.
    memory
        What the holder remembers of the boxes.
    takes_slow
        For each model, whether it is so short that slow boxes are put to use.
    """

    def __init__(
        self,
        models: tuple[EngineModel, ...],
        memory: FormingMemory,
        takes_slow: tuple[bool, ...],
    ) -> None:
        """Keep what changes are made of."""
        self._models = models
        self._memory = memory
        self._takes_slow = dict(zip(models, takes_slow, strict=True))

    def describe(self, domain: Domain) -> object:
        """Return what is equal while a domain has the same changes."""
        return (
            tuple(self._takes_slow.items()),
            domain,
            tuple(self._mark(box) for box in domain.idle),
            tuple(
                self._mark(box)
                for group in domain.serving
                for box in group.members
            ),
        )

    def list_possible(self, domain: Domain) -> Iterator[PossibleChange]:
        """Return the changes that can be made in a domain."""
        formable = self._list_formable(domain)
        for closed in self._list_closings(domain.serving):
            closed_boxes = [box for one in closed for box in one.members]
            pool = [*domain.idle, *closed_boxes]
            less = self._count(parse_group_model(one.group) for one in closed)
            for counts in self._list_counts(len(pool)):
                formed = self._pick_groups(pool, counts)
                if formed and counts != less:
                    left = self._count_left(formed, formable)
                    yield self._describe_change(closed, formed, less, left)

    def _mark(self, box: FleetBox) -> tuple[ModelName | None, bool]:
        """Return what is remembered of a box beside its entry."""
        life = box.life
        return self._memory.last_models.get(life), self._memory.is_slow(life)

    def _list_formable(self, domain: Domain) -> set[ModelName]:
        """Return the models that a domain has boxes enough to form."""
        boxes = [
            *domain.idle,
            *(box for group in domain.serving for box in group.members),
        ]
        return {
            model.name
            for model in self._models
            if sum(self._memory.holds(box, model) for box in boxes)
            >= model.boxes_per_group
        }

    def _count_left(
        self,
        formed: tuple[NewGroup, ...],
        formable: set[ModelName],
    ) -> Counts:
        """Return how many boxes leave each model that could be formed."""
        last = self._memory.last_models
        left = (
            last[box.life]
            for one in formed
            for box in one.boxes
            if box.life in last and last[box.life] != one.model.name
        )
        return self._count(name for name in left if name in formable)

    def _describe_change(
        self,
        closed: tuple[FleetGroup, ...],
        formed: tuple[NewGroup, ...],
        less: Counts,
        left: Counts,
    ) -> PossibleChange:
        joins = [(box, one.model) for one in formed for box in one.boxes]
        more = self._count(one.model.name for one in formed)
        memory = self._memory
        converted = sum(
            not memory.has_served(box, model) for box, model in joins
        )
        return PossibleChange(
            closed,
            formed,
            less,
            tuple(new - old for new, old in zip(more, less, strict=True)),
            left,
            converted - sum(left),
            max(memory.estimate(box, model) for box, model in joins),
        )

    def _count(self, names: Iterator[ModelName]) -> Counts:
        counted = Counter(names)
        return tuple(counted[model.name] for model in self._models)

    def _list_closings(
        self,
        serving: tuple[FleetGroup, ...],
    ) -> Iterator[tuple[FleetGroup, ...]]:
        """Return the sets of groups that may be closed together.

        Of sets that are alike in models and weights, one is enough.
        """
        kinds = {one.group: self._describe_group(one) for one in serving}
        seen = set()
        for count in range(MOST_CLOSED + 1):
            for closed in combinations(serving, count):
                kind = tuple(sorted(kinds[one.group] for one in closed))
                if kind not in seen:
                    seen.add(kind)
                    yield closed

    def _describe_group(self, group: FleetGroup) -> GroupKind:
        """Return what matters of a group: its model, and what boxes hold."""
        boxes = sorted(
            (
                float(self._memory.is_slow(box.life)),
                *(self._memory.estimate(box, one) for one in self._models),
            )
            for box in group.members
        )
        return parse_group_model(group.group), tuple(boxes)

    def _list_counts(self, boxes: int) -> Iterator[Counts]:
        """Return how many groups of each model so many boxes could be."""
        sizes = [model.boxes_per_group for model in self._models]
        for counts in product(*(range(boxes // size + 1) for size in sizes)):
            taken = sum(
                count * size for count, size in zip(counts, sizes, strict=True)
            )
            if 0 < taken <= boxes:
                yield counts

    def _pick_groups(
        self,
        pool: list[FleetBox],
        counts: Counts,
    ) -> tuple[NewGroup, ...]:
        """Return groups in some number, or none where weights are lacking."""
        left = list(pool)
        groups: list[NewGroup] = []
        wanted = zip(self._models, counts, strict=True)
        for model, count in sorted(
            wanted, key=lambda pair: -pair[0].boxes_per_group
        ):
            fit = self._rank_boxes(left, model)
            size = model.boxes_per_group
            taken = fit[: count * size]
            if len(taken) < count * size:
                return ()
            groups += [
                NewGroup(model, tuple(taken[first : first + size]))
                for first in range(0, len(taken), size)
            ]
            names = {box.box for box in taken}
            left = [box for box in left if box.box not in names]
        return tuple(groups)

    def _rank_boxes(
        self,
        pool: list[FleetBox],
        model: EngineModel,
    ) -> list[FleetBox]:
        """Return the boxes that can join a group, that ready soonest first.

        Slow ones come last, and only where the model is short of places.
        """
        memory = self._memory
        takes_slow = self._takes_slow[model]
        fit = [
            box
            for box in pool
            if memory.holds(box, model)
            and (takes_slow or not memory.is_slow(box.life))
        ]
        return sorted(
            fit,
            key=lambda box: (
                memory.is_slow(box.life),
                memory.estimate(box, model),
                box.box,
            ),
        )
