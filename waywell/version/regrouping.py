"""Which groups of a fabric domain are closed and formed, weighed as a whole.

A single step looks poor where the whole pays: to close one group for the box
that three idle ones lack costs places at first.  So each domain is searched
for the change of groups, closings and all, that gains most over the time in
which it is likely to last.  Where a box is lost each three seconds, 6 to 10 of
45 boxes then stand in no group, in place of 12 to 17 (counted from the logs of
one such day each).
"""

from __future__ import annotations

from collections import Counter
from itertools import combinations, product
from typing import TYPE_CHECKING

import attrs

from waywell.ids import ModelName
from waywell.version.closable import count_closable
from waywell.version.fleet import (
    FleetBox,
    FleetGroup,
    Pools,
    divide_by_domain,
    parse_group,
)
from waywell.version.forming_memory import FormingMemory
from waywell.version.model_need import ModelNeed
from waywell.version.routes import EngineModel

if TYPE_CHECKING:
    from collections.abc import Iterator

    from waywell.ids import DomainName


MOST_CLOSED = 2
"""Groups that one change closes at the most: what is gained by more does not
make up for the places that are missing meanwhile."""

CLOSING_SECONDS = 1.5
"""From the order to close a group until its boxes can join another: its
streams end, and the box list shows it."""

LEAST_HORIZON = 10.0
"""Seconds over which a change is weighed at the least, where loads are short
or unsaid."""

CONVERSION_COST = 0.15
"""Cost a second of a box that leaves the model it served last, as a part of
one place: it holds one model only until it has loaded the other again."""

SLOW_BOX_LOAD = 0.6
"""Part of a model's places taken from which on slow boxes are put to use."""

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
class Regrouping:
    """A change of the groups of one domain."""

    closed: tuple[FleetGroup, ...]
    """Groups to close first."""

    formed: tuple[NewGroup, ...]
    """Groups to form of their boxes and idle ones."""

    gain: float
    """What callers gain by it, in place-seconds."""

    @property
    def domain(self) -> DomainName:
        """Return the fabric domain that it changes."""
        head = self.formed[0].boxes[0]
        return head.domain


def _count_closable(search: RegroupSearch) -> Counter[ModelName]:
    """Return how many groups of each model may be closed now."""
    return count_closable(search.serving, search.closing)


def _get_present_cost(search: RegroupSearch) -> float:
    """Return what callers lose a second while nothing is changed."""
    return search.need.get_cost({})


@attrs.frozen
class RegroupSearch:
    """Looks for the change of groups that gains most."""

    need: ModelNeed
    """What callers ask of the models."""

    memory: FormingMemory
    """What the holder remembers of the boxes."""

    serving: tuple[FleetGroup, ...]
    """Groups that serve."""

    closing: tuple[FleetGroup, ...] = ()
    """Groups that were ordered to close."""

    may_close: bool = True
    """Whether groups may be closed for others."""

    closable: Counter[ModelName] = attrs.field(
        init=False, default=attrs.Factory(_count_closable, takes_self=True)
    )
    """How many groups of each model may be closed now."""

    present_cost: float = attrs.field(
        init=False, default=attrs.Factory(_get_present_cost, takes_self=True)
    )
    """What callers lose a second while nothing is changed."""

    def list_best(self, idle: Pools) -> list[Regrouping]:
        """Return the best change of each domain, that gains most first.

        Domains where no change gains anything are left out.

        Parameters
        ----------
        idle
            Boxes that may join a group, by fabric domain.
        """
        near = divide_by_domain(self.serving)
        best = [
            self._find_best(idle.get(domain, []), near.get(domain, []))
            for domain in sorted(set(idle) | set(near))
        ]
        found = [change for change in best if change is not None]
        return sorted(found, key=lambda change: -change.gain)

    def find_in(self, domain: DomainName, idle: Pools) -> Regrouping | None:
        """Return the best change of one domain, if any gains something."""
        near = divide_by_domain(self.serving)
        return self._find_best(idle.get(domain, []), near.get(domain, []))

    def _find_best(
        self,
        idle: list[FleetBox],
        serving: list[FleetGroup],
    ) -> Regrouping | None:
        """Return the change of one domain that gains most, if any gains."""
        if not idle and not self.need.is_unbalanced():
            return None
        best = max(
            self._list_changes(idle, serving),
            key=lambda change: change.gain,
            default=None,
        )
        return best if best is not None and best.gain > 0 else None

    def _list_changes(
        self,
        idle: list[FleetBox],
        serving: list[FleetGroup],
    ) -> Iterator[Regrouping]:
        """Return the changes that can be made in one domain."""
        for closed in self._list_closings(serving):
            pool = [*idle, *(box for one in closed for box in one.members)]
            for counts in self._list_counts(len(pool)):
                formed = self._pick_groups(pool, counts)
                if formed and _differ(closed, formed):
                    yield self._weigh(closed, formed)

    def _list_closings(
        self,
        serving: list[FleetGroup],
    ) -> Iterator[tuple[FleetGroup, ...]]:
        """Return the sets of groups that may be closed together.

        Of sets that are alike in models and weights, one is enough.
        """
        kinds = {one.group: self._describe(one) for one in serving}
        most = MOST_CLOSED if self.may_close else 0
        seen = set()
        for count in range(most + 1):
            for closed in combinations(serving, count):
                kind = tuple(sorted(kinds[one.group] for one in closed))
                if kind in seen:
                    continue
                seen.add(kind)
                if Counter(model for model, _boxes in kind) <= self.closable:
                    yield closed

    def _describe(self, group: FleetGroup) -> GroupKind:
        """Return what matters of a group: its model, and what boxes hold."""
        boxes = sorted(
            (
                float(self.memory.is_slow(box.box)),
                *(
                    self.memory.estimate(box, model)
                    for model in self.need.engine.models
                ),
            )
            for box in group.members
        )
        return parse_group(group.group), tuple(boxes)

    def _list_counts(self, boxes: int) -> Iterator[tuple[int, ...]]:
        """Return how many groups of each model so many boxes could be."""
        models = self.need.engine.models
        ranges = [range(boxes // one.boxes_per_group + 1) for one in models]
        for counts in product(*ranges):
            taken = sum(
                count * model.boxes_per_group
                for count, model in zip(counts, models, strict=True)
            )
            if 0 < taken <= boxes:
                yield counts

    def _pick_groups(
        self,
        pool: list[FleetBox],
        counts: tuple[int, ...],
    ) -> tuple[NewGroup, ...]:
        """Return groups in some number, or none where weights are lacking."""
        left = list(pool)
        groups: list[NewGroup] = []
        wanted = zip(self.need.engine.models, counts, strict=True)
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
            left = [box for box in left if box not in taken]
        return tuple(groups)

    def _rank_boxes(
        self,
        pool: list[FleetBox],
        model: EngineModel,
    ) -> list[FleetBox]:
        """Return the boxes that can join a group, that ready soonest first.

        Slow ones come last, and only where the model is short of places.
        """
        takes_slow = self.need.get_load(model) > SLOW_BOX_LOAD
        fit = [
            box
            for box in pool
            if self.memory.holds(box, model)
            and (takes_slow or not self.memory.is_slow(box.box))
        ]
        return sorted(
            fit,
            key=lambda box: (
                self.memory.is_slow(box.box),
                self.memory.estimate(box, model),
                box.box,
            ),
        )

    def _weigh(
        self,
        closed: tuple[FleetGroup, ...],
        formed: tuple[NewGroup, ...],
    ) -> Regrouping:
        """Return a change with what it gains."""
        less = Counter(parse_group(one.group) for one in closed)
        change = Counter(one.model.name for one in formed)
        change.subtract(less)
        won = self.present_cost - self.need.get_cost(change)
        won -= CONVERSION_COST * self._count_converted(formed)
        missed = self.need.get_missed(less)
        waited = self._estimate_wait(closed, formed)
        lasting = max(0.0, self._get_horizon() - waited)
        return Regrouping(closed, formed, won * lasting - missed * waited)

    def _estimate_wait(
        self,
        closed: tuple[FleetGroup, ...],
        formed: tuple[NewGroup, ...],
    ) -> float:
        """Return the seconds until all new groups serve."""
        joined = max(
            self.memory.estimate(box, group.model)
            for group in formed
            for box in group.boxes
        )
        closing = CLOSING_SECONDS if closed else 0.0
        return closing + joined + self.need.engine.form_seconds

    def _get_horizon(self) -> float:
        """Return for how long a change is likely to last, in seconds.

        A box that is lost is made up for by a load at the latest.
        """
        models = self.need.engine.models
        return max(LEAST_HORIZON, *(model.load_seconds for model in models))

    def _count_converted(self, formed: tuple[NewGroup, ...]) -> int:
        return sum(
            not self.memory.has_served(box, group.model)
            for group in formed
            for box in group.boxes
        )


def _differ(
    closed: tuple[FleetGroup, ...],
    formed: tuple[NewGroup, ...],
) -> bool:
    """Answer whether a change forms other groups than it closes."""
    before = Counter(parse_group(one.group) for one in closed)
    return before != Counter(one.model.name for one in formed)
