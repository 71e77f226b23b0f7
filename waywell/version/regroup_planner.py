"""Planning of group changes that begin in one plan and finish in later ones.

A group whose boxes still belong to others is recorded as intended: the other
groups are closed, its idle boxes are reserved, and it is formed once the last
box is free. The next plan therefore does not form again what this one closed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgspec

from waywell.version.fleet import (
    BoxesByDomain,
    Fleet,
    FleetGroup,
    parse_group_model,
)
from waywell.version.forming_memory import (
    FormingMemory,
    IntendedGroup,
    SearchSnapshot,
)
from waywell.version.group_changes import GroupChanges
from waywell.version.model_need import ModelNeed
from waywell.version.orders import OrderReason
from waywell.version.regrouping import Regrouping, RegroupSearch

if TYPE_CHECKING:
    from waywell.version.domain_changes import NewGroup

INTENDED_GROUP_SECONDS = 8.0
"""Seconds for which boxes are reserved for a group whose other members have
yet to leave their groups; the longest streams end within that time."""

DEMAND_WARMUP_SECONDS = 3.0
"""Time from a holder's first measured demand until it closes groups because of
it: after a stop of all nodes the first requests say little."""

SEARCH_INTERVAL_SECONDS = 0.6
"""Time between two searches while no box and no group has changed; the mean of
the requests changes little within it."""

MAX_CHANGES_PER_PLAN = 4
"""Group changes that one plan begins; the next plan follows at once."""


@attrs.frozen
class RegroupPlanner:
    """Plans the group changes of one service."""

    need: ModelNeed
    """Demand for the models and the groups that meet it."""

    memory: FormingMemory
    """State of the duty's holder; updated by the plan."""

    changes: GroupChanges
    """Sends the orders that form and close groups."""

    fleet: Fleet
    """Boxes of the service that are not known to be lost."""

    now: float
    """Current time, in seconds."""

    def plan(
        self,
        free: BoxesByDomain,
        serving: list[FleetGroup],
        closing: list[FleetGroup],
    ) -> None:
        """Continue pending changes and begin those with the greatest gain.

        At most one change begins in each domain; each is weighed again after
        those that began before it.

        Parameters
        ----------
        free
            Boxes that may join a group, by fabric domain; those that are
            used or reserved for a group are removed.
        serving
            Groups that serve.
        closing
            Groups that were ordered to close.
        """
        self._form_intended(free)
        if not self._is_search_due(free, serving):
            return
        if not self._limit_models().engine.models:
            return
        begun = 0
        for ranked in self._make_search(serving, closing).list_best(free):
            if begun >= MAX_CHANGES_PER_PLAN:
                return
            change: Regrouping | None = ranked
            if begun:
                # An earlier change of this plan may have met the demand.
                search = self._make_search(serving, closing)
                change = search.find_in(ranked.domain, free)
            if change is not None and self._may_form(change):
                begun += 1
                self._begin(change, free)
                closing = [*closing, *change.closed]

    def _is_search_due(
        self,
        free: BoxesByDomain,
        serving: list[FleetGroup],
    ) -> bool:
        """Return whether boxes have changed, or demand may have."""
        idle = frozenset(box.life for boxes in free.values() for box in boxes)
        serving_groups = frozenset(group.group for group in serving)
        snapshot = SearchSnapshot(self.now, idle, serving_groups)
        last = self.memory.last_search
        if last is not None and self.now - last.at < SEARCH_INTERVAL_SECONDS:
            if (last.idle, last.serving) == (idle, serving_groups):
                return False
        self.memory.last_search = snapshot
        return True

    def _make_search(
        self,
        serving: list[FleetGroup],
        closing: list[FleetGroup],
    ) -> RegroupSearch:
        """Return a search that accounts for what the plan has begun."""
        abandoned = self.memory.abandoned
        remaining = [
            group for group in serving if group.group not in abandoned
        ]
        need = self._limit_models()
        names = {model.name for model in need.engine.models}
        return RegroupSearch(
            need,
            self.memory,
            tuple(
                group
                for group in remaining
                if parse_group_model(group.group) in names
            ),
            tuple(
                group
                for group in closing
                if parse_group_model(group.group) in names
            ),
            may_close=self._has_watched_demand(),
        )

    def _may_form(self, change: Regrouping) -> bool:
        """Return whether the models of all new groups may be loaded now."""
        failures = self.memory.load_failures
        return all(
            failures.may_load(formed.model.name) for formed in change.formed
        )

    def _limit_models(self) -> ModelNeed:
        """Return the demand restricted to the models that may be loaded now.

        Groups of the other models are left alone: they may serve, and could
        not be formed again.
        """
        failures = self.memory.load_failures
        models = tuple(
            model
            for model in self.need.engine.models
            if failures.may_load(model.name)
        )
        engine = msgspec.structs.replace(self.need.engine, models=models)
        return attrs.evolve(self.need, engine=engine)

    def _form_intended(self, free: BoxesByDomain) -> None:
        """Form the intended groups whose members are all free."""
        known = {box.life: box for boxes in free.values() for box in boxes}
        waiting: list[IntendedGroup] = []
        for intended in self.memory.intended:
            if not self._is_possible(intended):
                continue
            boxes = [known[life] for life in intended.members if life in known]
            for reserved in boxes:
                free[reserved.domain].remove(reserved)
            if len(boxes) == len(intended.members):
                self.changes.join(intended.model, boxes)
            else:
                waiting.append(intended)
                self.need.groups[intended.model.name] += 1
        self.memory.intended = waiting

    def _is_possible(self, intended: IntendedGroup) -> bool:
        """Return whether an intended group can still be formed soon."""
        if self.now - intended.since > INTENDED_GROUP_SECONDS:
            return False
        if not self.memory.load_failures.may_load(intended.model.name):
            return False
        boxes = [self.fleet.find_life(life) for life in intended.members]
        return all(box is not None and not box.leaving for box in boxes)

    def _begin(self, change: Regrouping, free: BoxesByDomain) -> None:
        """Close the groups of a change and form those that can be formed."""
        for closed in change.closed:
            self.changes.close(closed, OrderReason.OTHER_MODEL_SHORT)
            self.need.groups[parse_group_model(closed.group)] -= 1
            self.need.serving[parse_group_model(closed.group)] -= 1
        for formed in change.formed:
            self._begin_group(formed, free)

    def _begin_group(self, formed: NewGroup, free: BoxesByDomain) -> None:
        """Form a group at once, or reserve its idle boxes."""
        idle = [box for box in formed.boxes if box in free[box.domain]]
        for reserved in idle:
            free[reserved.domain].remove(reserved)
        if len(idle) == len(formed.boxes):
            self.changes.join(formed.model, idle)
            return
        members = tuple(box.life for box in formed.boxes)
        intended = IntendedGroup(formed.model, members, self.now)
        self.memory.intended.append(intended)
        self.need.groups[formed.model.name] += 1

    def _has_watched_demand(self) -> bool:
        """Return whether demand has been measured for long enough."""
        since = self.memory.planned_since
        return since is not None and self.now - since >= DEMAND_WARMUP_SECONDS
