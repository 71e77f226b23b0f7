"""Search for the group changes of a fabric domain, weighed as a whole.

A single step can look poor where the whole change pays: closing one group for
the box that three idle ones lack costs places at first. Each domain is
therefore searched for the change, closings included, with the greatest gain
over the time that it is likely to last. Where a box is lost every three
seconds, this leaves 6 to 10 of 45 boxes without a group instead of 12 to 17.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs

from waywell.ids import ModelName
from waywell.version.closing_limit import count_closable
from waywell.version.domain_changes import (
    CandidateChange,
    Counts,
    Domain,
    DomainChanges,
    NewGroup,
)
from waywell.version.fleet import (
    BoxesByDomain,
    FleetGroup,
    group_by_domain,
)
from waywell.version.forming_memory import CachedChanges, FormingMemory
from waywell.version.model_need import ModelNeed

if TYPE_CHECKING:
    from waywell.ids import DomainName


CLOSING_SECONDS = 1.5
"""Time from the order to close a group until its boxes can join another: its
streams end, and the box list shows it."""

MIN_HORIZON_SECONDS = 10.0
"""Shortest time over which a change is weighed, for models whose load time is
short or unknown."""

CONVERSION_COST = 0.15
"""Cost per second, as a share of one place, of a box that leaves the model it
served last: until it has loaded that model again it holds only one."""

MIN_LOAD_FOR_SLOW_BOXES = 0.6
"""Utilisation of a model's places above which slow boxes are used."""


@attrs.frozen
class Regrouping:
    """A change of the groups of one domain, with its gain."""

    candidate: CandidateChange
    """The change itself."""

    gain: float
    """Gain for callers, in place-seconds."""

    @property
    def closed(self) -> tuple[FleetGroup, ...]:
        """Return the groups to close first."""
        return self.candidate.closed

    @property
    def formed(self) -> tuple[NewGroup, ...]:
        """Return the groups to form from their boxes and idle ones."""
        return self.candidate.formed

    @property
    def domain(self) -> DomainName:
        """Return the fabric domain of the change."""
        head = self.formed[0].boxes[0]
        return head.domain


def _count_closable(search: RegroupSearch) -> Counter[ModelName]:
    """Return how many groups of each model may be closed now."""
    return count_closable(search.serving, search.closing)


def _make_changes(search: RegroupSearch) -> DomainChanges:
    """Return the generator of the changes that a domain allows."""
    need = search.need
    models = need.engine.models
    return DomainChanges(
        models,
        search.memory,
        tuple(
            need.get_utilisation(model) > MIN_LOAD_FOR_SLOW_BOXES
            for model in models
        ),
    )


def _get_present_cost(search: RegroupSearch) -> float:
    """Return the callers' loss per second without any change."""
    return search.need.get_cost({})


@attrs.frozen
class RegroupSearch:
    """Searches for the group changes with the greatest gain."""

    need: ModelNeed
    """Demand for the models and the groups that meet it."""

    memory: FormingMemory
    """State of the duty's holder."""

    serving: tuple[FleetGroup, ...]
    """Groups that serve."""

    closing: tuple[FleetGroup, ...] = ()
    """Groups that were ordered to close."""

    may_close: bool = True
    """Whether groups may be closed in favour of others."""

    closable: Counter[ModelName] = attrs.field(
        init=False, default=attrs.Factory(_count_closable, takes_self=True)
    )
    """Number of groups of each model that may be closed now."""

    present_cost: float = attrs.field(
        init=False, default=attrs.Factory(_get_present_cost, takes_self=True)
    )
    """Loss of callers per second without any change, in places."""

    changes: DomainChanges = attrs.field(
        init=False, default=attrs.Factory(_make_changes, takes_self=True)
    )
    """Lists the changes that each domain allows."""

    costs: dict[Counts, float] = attrs.field(init=False, factory=dict)
    """Computed losses per second after a change, by net group counts."""

    closing_costs: dict[Counts, float] = attrs.field(init=False, factory=dict)
    """Computed losses per second until a change is complete, by closed group
    counts."""

    def list_best(self, idle: BoxesByDomain) -> list[Regrouping]:
        """Return the best change of each domain, greatest gain first.

        Domains where no change has a gain are left out.

        Parameters
        ----------
        idle
            Boxes that may join a group, by fabric domain.
        """
        serving_by_domain = group_by_domain(self.serving)
        names = sorted(set(idle) | set(serving_by_domain))
        best = [
            self._find_best(name, _make_domain(name, idle, serving_by_domain))
            for name in names
        ]
        for gone in self.memory.candidate_changes.keys() - set(names):
            self.memory.candidate_changes.pop(gone)
        found = [change for change in best if change is not None]
        return sorted(found, key=lambda change: -change.gain)

    def find_in(
        self, domain: DomainName, idle: BoxesByDomain
    ) -> Regrouping | None:
        """Return the best change of one domain, if any has a gain."""
        serving_by_domain = group_by_domain(self.serving)
        return self._find_best(
            domain, _make_domain(domain, idle, serving_by_domain)
        )

    def _find_best(
        self,
        name: DomainName,
        domain: Domain,
    ) -> Regrouping | None:
        """Return the change of one domain with the greatest gain, if any."""
        if not domain.idle and not self.need.is_unbalanced():
            return None
        best = max(
            (
                Regrouping(candidate, gain)
                for candidate in self._list_candidates(name, domain)
                if self._may_make(candidate)
                and (gain := self._weigh(candidate)) > 0
            ),
            key=lambda change: change.gain,
            default=None,
        )
        return best

    def _list_candidates(
        self,
        name: DomainName,
        domain: Domain,
    ) -> tuple[CandidateChange, ...]:
        """Return the changes of a domain, cached while it is unchanged."""
        known = self.memory.candidate_changes.get(name)
        key = self.changes.describe(domain)
        if known is None or known.key != key:
            changes = tuple(self.changes.list_candidates(domain))
            known = CachedChanges(key, changes)
            self.memory.candidate_changes[name] = known
        return known.changes

    def _may_make(self, change: CandidateChange) -> bool:
        """Return whether the groups of a change may be closed now."""
        if not change.closed:
            return True
        return self.may_close and all(
            count <= self.closable[model.name]
            for count, model in zip(
                change.closed_counts, self.need.engine.models, strict=True
            )
        )

    def _weigh(self, change: CandidateChange) -> float:
        """Return the gain of a change, in place-seconds."""
        saved = self.present_cost - self._get_cost(change.net_counts)
        saved -= self._get_conversion_cost(change)
        closing = CLOSING_SECONDS if change.closed else 0.0
        delay = closing + change.ready_seconds + self.need.engine.form_seconds
        duration = max(0.0, self._get_horizon() - delay)
        return (
            saved * duration
            - self._get_closing_cost(change.closed_counts) * delay
        )

    def _get_cost(self, net_counts: Counts) -> float:
        """Return the callers' loss per second after a change, in places."""
        cost = self.costs.get(net_counts)
        if cost is None:
            cost = self.need.get_cost(self._key_by_model(net_counts))
            self.costs[net_counts] = cost
        return cost

    def _get_conversion_cost(self, change: CandidateChange) -> float:
        """Return the cost per second of boxes that leave their models.

        A box that joins with another model gives up the weights of the one it
        served. Where that model is short of places, the weights are worth the
        box's share of one more group. At a fixed cost, after the loss of a
        box, the survivors of groups of eight became groups of four of a model
        with room, and the large model had 1 to 4 of its 6 groups for 10 s.
        """
        cost = CONVERSION_COST * change.other_conversions
        for model, count in zip(
            self.need.engine.models, change.leaving_counts, strict=True
        ):
            if count:
                worth = self.need.get_gain(model) / model.boxes_per_group
                cost += count * max(CONVERSION_COST, worth)
        return cost

    def _get_closing_cost(self, closed_counts: Counts) -> float:
        """Return the callers' loss per second until a change is complete."""
        cost = self.closing_costs.get(closed_counts)
        if cost is None:
            cost = self.need.get_closing_cost(
                self._key_by_model(closed_counts)
            )
            self.closing_costs[closed_counts] = cost
        return cost

    def _key_by_model(self, counts: Counts) -> dict[ModelName, int]:
        models = self.need.engine.models
        return {
            model.name: count
            for model, count in zip(models, counts, strict=True)
        }

    def _get_horizon(self) -> float:
        """Return how long a change is likely to last, in seconds.

        A lost box is replaced after one load at the latest.
        """
        models = self.need.engine.models
        return max(
            MIN_HORIZON_SECONDS, *(model.load_seconds for model in models)
        )


def _make_domain(
    name: DomainName,
    idle: BoxesByDomain,
    serving_by_domain: dict[DomainName, list[FleetGroup]],
) -> Domain:
    return Domain(
        tuple(idle.get(name, ())), tuple(serving_by_domain.get(name, ()))
    )
