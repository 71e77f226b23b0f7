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
from typing import TYPE_CHECKING

import attrs

from waywell.ids import ModelName
from waywell.version.closable import count_closable
from waywell.version.domain_changes import (
    Counts,
    Domain,
    DomainChanges,
    NewGroup,
    PossibleChange,
)
from waywell.version.fleet import (
    BoxesByDomain,
    FleetGroup,
    group_by_domain,
)
from waywell.version.forming_memory import FormingMemory, KnownChanges
from waywell.version.model_need import ModelNeed

if TYPE_CHECKING:
    from waywell.ids import DomainName


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


@attrs.frozen
class Regrouping:
    """A change of the groups of one domain, with what it gains."""

    possible: PossibleChange
    """The change."""

    gain: float
    """What callers gain by it, in place-seconds."""

    @property
    def closed(self) -> tuple[FleetGroup, ...]:
        """Return the groups to close first."""
        return self.possible.closed

    @property
    def formed(self) -> tuple[NewGroup, ...]:
        """Return the groups to form of their boxes and idle ones."""
        return self.possible.formed

    @property
    def domain(self) -> DomainName:
        """Return the fabric domain that it changes."""
        head = self.formed[0].boxes[0]
        return head.domain


def _count_closable(search: RegroupSearch) -> Counter[ModelName]:
    """Return how many groups of each model may be closed now."""
    return count_closable(search.serving, search.closing)


def _make_changes(search: RegroupSearch) -> DomainChanges:
    """Return what lists the changes that a domain allows."""
    need = search.need
    models = need.engine.models
    return DomainChanges(
        models,
        search.memory,
        tuple(need.get_load(model) > SLOW_BOX_LOAD for model in models),
    )


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

    changes: DomainChanges = attrs.field(
        init=False, default=attrs.Factory(_make_changes, takes_self=True)
    )
    """Lists what each domain allows."""

    costs: dict[Counts, float] = attrs.field(init=False, factory=dict)
    """Costs that are worked out already, by change."""

    missed: dict[Counts, float] = attrs.field(init=False, factory=dict)
    """Losses meanwhile that are worked out already, by groups closed."""

    def list_best(self, idle: BoxesByDomain) -> list[Regrouping]:
        """Return the best change of each domain, that gains most first.

        Domains where no change gains anything are left out.

        Parameters
        ----------
        idle
            Boxes that may join a group, by fabric domain.
        """
        near = group_by_domain(self.serving)
        names = sorted(set(idle) | set(near))
        best = [
            self._find_best(name, _make_domain(name, idle, near))
            for name in names
        ]
        for gone in self.memory.possible.keys() - set(names):
            self.memory.possible.pop(gone)
        found = [change for change in best if change is not None]
        return sorted(found, key=lambda change: -change.gain)

    def find_in(
        self, domain: DomainName, idle: BoxesByDomain
    ) -> Regrouping | None:
        """Return the best change of one domain, if any gains something."""
        near = group_by_domain(self.serving)
        return self._find_best(domain, _make_domain(domain, idle, near))

    def _find_best(
        self,
        name: DomainName,
        domain: Domain,
    ) -> Regrouping | None:
        """Return the change of one domain that gains most, if any gains."""
        if not domain.idle and not self.need.is_unbalanced():
            return None
        best = max(
            (
                Regrouping(one, gain)
                for one in self._list_possible(name, domain)
                if self._may_make(one) and (gain := self._weigh(one)) > 0
            ),
            key=lambda change: change.gain,
            default=None,
        )
        return best

    def _list_possible(
        self,
        name: DomainName,
        domain: Domain,
    ) -> tuple[PossibleChange, ...]:
        """Return the changes of a domain, those known where it is the same."""
        known = self.memory.possible.get(name)
        mark = self.changes.describe(domain)
        if known is None or known.mark != mark:
            possible = tuple(self.changes.list_possible(domain))
            known = KnownChanges(mark, possible)
            self.memory.possible[name] = known
        return known.possible

    def _may_make(self, change: PossibleChange) -> bool:
        """Answer whether the groups of a change may be closed now."""
        if not change.closed:
            return True
        return self.may_close and all(
            count <= self.closable[model.name]
            for count, model in zip(
                change.less, self.need.engine.models, strict=True
            )
        )

    def _weigh(self, change: PossibleChange) -> float:
        """Return what a change gains, in place-seconds."""
        won = self.present_cost - self._get_cost(change.change)
        won -= self._get_conversion_cost(change)
        closing = CLOSING_SECONDS if change.closed else 0.0
        waited = closing + change.joined + self.need.engine.form_seconds
        lasting = max(0.0, self._get_horizon() - waited)
        return won * lasting - self._get_missed(change.less) * waited

    def _get_cost(self, change: Counts) -> float:
        """Return what callers lose a second after a change, in places."""
        cost = self.costs.get(change)
        if cost is None:
            cost = self.need.get_cost(self._name(change))
            self.costs[change] = cost
        return cost

    def _get_conversion_cost(self, change: PossibleChange) -> float:
        """Return what it costs a second that boxes leave their models.

        A box that joins with another model gives up the weights of the one
        that it served.  Where that one is short, this is worth as much as its
        part in one more group: after the loss of a box, survivors of groups of
        eight became groups of four of a model with room, and the large one
        had 1 to 4 of its 6 groups for 10 s (one day's log).
        """
        cost = CONVERSION_COST * change.converted
        for model, count in zip(
            self.need.engine.models, change.left, strict=True
        ):
            if count:
                worth = self.need.get_gain(model) / model.boxes_per_group
                cost += count * max(CONVERSION_COST, worth)
        return cost

    def _get_missed(self, less: Counts) -> float:
        """Return what callers lose a second until a change is made."""
        missed = self.missed.get(less)
        if missed is None:
            missed = self.need.get_missed(self._name(less))
            self.missed[less] = missed
        return missed

    def _name(self, counts: Counts) -> dict[ModelName, int]:
        models = self.need.engine.models
        return {
            model.name: count
            for model, count in zip(models, counts, strict=True)
        }

    def _get_horizon(self) -> float:
        """Return for how long a change is likely to last, in seconds.

        A box that is lost is made up for by a load at the latest.
        """
        models = self.need.engine.models
        return max(LEAST_HORIZON, *(model.load_seconds for model in models))


def _make_domain(
    name: DomainName,
    idle: BoxesByDomain,
    near: dict[DomainName, list[FleetGroup]],
) -> Domain:
    return Domain(tuple(idle.get(name, ())), tuple(near.get(name, ())))
