"""Changes of groups that are begun in one plan and finished in later ones.

A group whose boxes are still in others is decided on first: those are closed,
its idle boxes are kept, and it is formed when the last box is free.  So the
next plan does not form again what this one took apart.
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
    SearchMark,
)
from waywell.version.group_changes import GroupChanges
from waywell.version.model_need import ModelNeed
from waywell.version.orders import OrderReason
from waywell.version.regrouping import Regrouping, RegroupSearch

if TYPE_CHECKING:
    from waywell.version.domain_changes import NewGroup

INTENDED_SECONDS = 8.0
"""For which boxes are kept for a group whose members are to leave others: the
longest streams end within it."""

LOOK_SECONDS = 3.0
"""From a holder's first look at callers until it closes groups by what they
ask: after a stop of all nodes the first requests tell little."""

SEARCH_SECONDS = 0.6
"""Between two searches while no box and no group has changed: the mean of the
requests moves little within it."""

MOST_CHANGES = 4
"""Changes of groups that one plan begins; the next one follows at once."""


@attrs.frozen
class RegroupPlanner:
    """Plans the changes of groups for one service."""

    need: ModelNeed
    """What callers ask of the models."""

    memory: FormingMemory
    """What the holder remembers; changed by the plan."""

    changes: GroupChanges
    """Gives the orders."""

    fleet: Fleet
    """The boxes of the service that give signs of life."""

    now: float
    """The present time, in seconds."""

    def plan(
        self,
        free: BoxesByDomain,
        serving: list[FleetGroup],
        closing: list[FleetGroup],
    ) -> None:
        """Go on with what was begun, and make the changes that gain most.

        One a domain; each is weighed again by what was begun before it.

        Parameters
        ----------
        free
            Boxes that may join a group, by fabric domain; those that are
            taken or kept for a group are removed.
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
            if begun >= MOST_CHANGES:
                return
            change: Regrouping | None = ranked
            if begun:
                # What was begun before may have met the need.
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
        """Answer whether boxes have changed, or work may have, since."""
        idle = frozenset(box.life for boxes in free.values() for box in boxes)
        serves = frozenset(group.group for group in serving)
        mark = SearchMark(self.now, idle, serves)
        last = self.memory.searched
        if last is not None and self.now - last.at < SEARCH_SECONDS:
            if (last.idle, last.serving) == (idle, serves):
                return False
        self.memory.searched = mark
        return True

    def _make_search(
        self,
        serving: list[FleetGroup],
        closing: list[FleetGroup],
    ) -> RegroupSearch:
        """Return a search by what the plan has begun so far."""
        abandoned = self.memory.abandoned
        rest = [one for one in serving if one.group not in abandoned]
        need = self._limit_models()
        names = {model.name for model in need.engine.models}
        return RegroupSearch(
            need,
            self.memory,
            tuple(
                one for one in rest if parse_group_model(one.group) in names
            ),
            tuple(
                one for one in closing if parse_group_model(one.group) in names
            ),
            may_close=self._knows_demand(),
        )

    def _may_form(self, change: Regrouping) -> bool:
        """Return whether each new group's model may be loaded now."""
        failures = self.memory.load_failures
        return all(
            failures.may_load(formed.model.name) for formed in change.formed
        )

    def _limit_models(self) -> ModelNeed:
        """Return the need of the models that may be loaded now.

        Groups of the others are left alone: they may serve, and can't be
        formed again.
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
        """Form the groups for which others were closed, as far as they can."""
        known = {box.life: box for boxes in free.values() for box in boxes}
        waiting: list[IntendedGroup] = []
        for intended in self.memory.intended:
            if not self._is_possible(intended):
                continue
            boxes = [known[one] for one in intended.members if one in known]
            for kept in boxes:
                free[kept.domain].remove(kept)
            if len(boxes) == len(intended.members):
                self.changes.join(intended.model, boxes)
            else:
                waiting.append(intended)
                self.need.groups[intended.model.name] += 1
        self.memory.intended = waiting

    def _is_possible(self, intended: IntendedGroup) -> bool:
        """Answer whether an intended group can still be formed soon."""
        if self.now - intended.since > INTENDED_SECONDS:
            return False
        if not self.memory.load_failures.may_load(intended.model.name):
            return False
        boxes = [self.fleet.find_life(life) for life in intended.members]
        return all(box is not None and not box.leaving for box in boxes)

    def _begin(self, change: Regrouping, free: BoxesByDomain) -> None:
        """Close the groups of a change, and form those that can be."""
        for closed in change.closed:
            self.changes.close(closed, OrderReason.OTHER_IS_SHORT)
            self.need.groups[parse_group_model(closed.group)] -= 1
            self.need.serving[parse_group_model(closed.group)] -= 1
        for formed in change.formed:
            self._begin_group(formed, free)

    def _begin_group(self, formed: NewGroup, free: BoxesByDomain) -> None:
        """Form a group at once, or keep its idle boxes for it."""
        idle = [box for box in formed.boxes if box in free[box.domain]]
        for kept in idle:
            free[kept.domain].remove(kept)
        if len(idle) == len(formed.boxes):
            self.changes.join(formed.model, idle)
            return
        members = tuple(box.life for box in formed.boxes)
        intended = IntendedGroup(formed.model, members, self.now)
        self.memory.intended.append(intended)
        self.need.groups[formed.model.name] += 1

    def _knows_demand(self) -> bool:
        """Answer whether callers were looked at for long enough."""
        since = self.memory.planned_since
        return since is not None and self.now - since >= LOOK_SECONDS
