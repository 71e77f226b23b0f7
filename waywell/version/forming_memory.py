"""What the holder of the forming duty remembers between plans."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

import attrs

from waywell.ids import DomainName, GroupId, ModelName
from waywell.version.box_report import TimedReport
from waywell.version.domain_changes import CandidateChange
from waywell.version.fleet import BoxLife, FleetBox, MemberState
from waywell.version.group_openings import GroupOpenings
from waywell.version.life_tracker import LifeTracker
from waywell.version.load_failures import LoadFailures, LoadKind
from waywell.version.orders import (
    Assignment,
    BoxOrder,
    Close,
    Join,
    Leave,
    Open,
    OrderResult,
    Stage,
)
from waywell.version.routes import EngineModel

if TYPE_CHECKING:
    from collections.abc import Container, Iterable

    from waywell.version.fleet import Fleet
    from waywell.version.routes import Engine

ORDER_TIMEOUT_SECONDS = 2.5
"""For which an order that was sent is waited for in the box list: two
heartbeats."""

JOIN_TIMEOUT_SECONDS = 4.0
"""For which boxes that were ordered into a group may not show it yet."""

ABANDONED_SECONDS = 15.0
"""For which an abandoned group is remembered while it is not listed."""

UNFIT_RETRY_SECONDS = 0.5
"""For which a box that told something else than its entry is left alone: the
list, or its report, has caught up by then."""

LOAD_TIMEOUT_FACTOR = 3.0
"""Times a load's usual length after which a box that still loads is given
up."""

REJOIN_SECONDS = 0.2
"""To join with the model that the box served last."""

LOAD_RETRY_SECONDS = 2.0
"""For which a box that did not take an order to load is not asked again; a
load takes some 12 seconds or more."""

PACE_WINDOW_SECONDS = 5.0
"""Over which the weight store's pace is judged: a load counts that long."""

STORE_PACE_SHARE = 0.9
"""Part of the weight store's pace that is used; the rest covers loads that a
former holder began."""


_WITHOUT_EFFECT = frozenset(
    (OrderResult.CONFLICT, OrderResult.OUTDATED, OrderResult.ENDED),
)
"""Results of orders that have no effect, now or later."""


@attrs.frozen
class FormingGroup:
    """A group whose joins were ordered by this holder."""

    members: tuple[BoxLife, ...]
    """Its members, in the lives that were asked to join."""

    begun_at: float
    """When, in seconds."""

    def is_fresh(self, now: float) -> bool:
        """Answer whether its boxes may only not show it yet."""
        return now - self.begun_at <= JOIN_TIMEOUT_SECONDS


@attrs.frozen
class IntendedGroup:
    """A group whose members are still to leave others."""

    model: EngineModel
    """Its model."""

    members: tuple[BoxLife, ...]
    """Its members, the head first."""

    since: float
    """When it was decided on, in seconds."""


@attrs.frozen
class SearchSnapshot:
    """When the domains were searched for changes, and for which boxes."""

    at: float
    """When, in seconds."""

    idle: frozenset[BoxLife]
    """Boxes that might join a group."""

    serving: frozenset[GroupId]
    """Groups that served."""


@attrs.frozen
class CachedChanges:
    """The changes of groups that one fabric domain allows."""

    key: object
    """What they depend on."""

    changes: tuple[CandidateChange, ...]
    """The changes."""


@attrs.frozen
class Staging:
    """A model that a box loads beside all else."""

    model: ModelName
    """The model."""

    begun_at: float
    """When it was ordered, in seconds."""


@attrs.define
class FormingMemory:
    """What the holder of the duty remembers between plans."""

    next_epoch: int = 1
    """Epoch of the next group."""

    pending: dict[BoxLife, tuple[BoxOrder, float]] = attrs.Factory(dict)
    """Orders whose effect is not seen yet, with when they were sent."""

    forming: dict[GroupId, FormingGroup] = attrs.Factory(dict)
    """Groups that were ordered."""

    stalled_since: dict[GroupId, float] = attrs.Factory(dict)
    """When a group was first seen in its present trouble."""

    heads: dict[GroupId, FleetBox] = attrs.Factory(dict)
    """Heads of groups that served, as they were last listed."""

    openings: GroupOpenings = attrs.Factory(GroupOpenings)
    """What may be done with groups that this holder formed."""

    abandoned: dict[GroupId, float] = attrs.Factory(dict)
    """Groups that were ordered to close, or whose members were ordered
    elsewhere, with when that was."""

    unfit: dict[BoxLife, float] = attrs.Factory(dict)
    """Boxes whose entry contradicts what they told themselves, or that told
    nothing, with when they were asked."""

    groups_left_by_head: set[GroupId] = attrs.Factory(set)
    """Groups whose head is known to be gone or to have left."""

    is_first_start: bool = False
    """Whether this holder saw the very first start: then loads keep no pace
    until callers come."""

    intended: list[IntendedGroup] = attrs.Factory(list)
    """Groups for which others were closed."""

    last_search: SearchSnapshot | None = None
    """For what the domains were last searched."""

    candidate_changes: dict[DomainName, CachedChanges] = attrs.Factory(dict)
    """Changes that each domain allowed when it was last searched."""

    planned_since: float | None = None
    """When this holder first planned with callers there, in seconds."""

    loads: dict[BoxLife, float] = attrs.Factory(dict)
    """Boxes that load weights, with when that was ordered, in seconds."""

    load_refused_at: dict[BoxLife, float] = attrs.Factory(dict)
    """When a box last did not take an order to load: it loads for an earlier
    holder, or gave no answer."""

    lost: dict[BoxLife, float] = attrs.Factory(dict)
    """Boxes that gave no sign of life although they are listed, with when
    they were last asked."""

    reports: dict[BoxLife, TimedReport] = attrs.Factory(dict)
    """What boxes told when they were last asked."""

    last_models: Mapping[BoxLife, ModelName] = attrs.Factory(dict)
    """Model that each box served last, kept by the node."""

    lives: LifeTracker = attrs.Factory(LifeTracker)
    """Boxes that started again, kept by the node."""

    staging: dict[BoxLife, Staging] = attrs.Factory(dict)
    """Models that boxes load beside all else."""

    load_failures: LoadFailures = attrs.Factory(LoadFailures)
    """Loads that ended boxes, kept by the node."""

    def update(self, fleet: Fleet, engine: Engine, now: float) -> None:
        """Take in a box list: drop what is seen, or was waited for in vain."""
        present = set(fleet.groups)
        self._forget_orders(fleet, now)
        self._forget_groups(present, now)
        self._forget_staging(fleet, engine, now)
        self._forget_loads(fleet, engine, now)
        longest = max(model.load_seconds for model in engine.models)
        self.load_failures.update(
            fleet, self.lost, LOAD_TIMEOUT_FACTOR * longest, now
        )

    def record_order(self, box: FleetBox, order: BoxOrder, now: float) -> bool:
        """Remember an order, unless one is open; answer whether so."""
        if isinstance(order, Leave | Close):
            self.openings.record_ending(order.group)
        if box.life in self.pending:
            return False
        self.pending[box.life] = (order, now)
        self._note_load(box, order, now)
        return True

    def record_not_formed(
        self,
        group: GroupId,
        unfit: Iterable[BoxLife],
        now: float,
    ) -> None:
        """Forget a group none of whose joins was sent."""
        forming = self.forming.pop(group, None)
        for life in forming.members if forming else ():
            self.pending.pop(life, None)
            self.load_failures.forget(life)
        self.unfit.update(dict.fromkeys(unfit, now))

    def record_result(
        self,
        assignment: Assignment,
        result: OrderResult,
        now: float,
    ) -> None:
        """Take in what came of an order."""
        box, order = assignment.box, assignment.order
        if result in _WITHOUT_EFFECT:
            self.pending.pop(box.life, None)
            self.load_failures.forget(box.life)
            if isinstance(order, Join):
                self.forming.pop(order.group, None)
        if isinstance(order, Leave):
            self._note_left(box, order, result)
        if isinstance(order, Stage) and result is not OrderResult.ACCEPTED:
            self._give_back_load(box, result, now)

    def list_joining(self, now: float) -> set[BoxLife]:
        """Return the boxes that were ordered into groups just now."""
        return {
            life
            for forming in self.forming.values()
            for life in forming.members
            if forming.is_fresh(now)
        }

    def is_unfit(self, box: FleetBox, now: float) -> bool:
        """Answer whether a box was asked just now and did not fit a join."""
        return now - self.unfit.get(box.life, -math.inf) < UNFIT_RETRY_SECONDS

    def has_last_served(self, box: FleetBox, model: EngineModel) -> bool:
        """Answer whether a model is the one that a box served last."""
        return self.last_models.get(box.life) == model.name

    def has_room(self, box: FleetBox) -> bool:
        """Answer whether a load pushes out nothing that a box may need.

        Its host keeps the last model that was loaded; what it served last is
        held besides.
        """
        return set(box.staged) <= {self.last_models.get(box.life)}

    def is_slow(self, life: BoxLife) -> bool:
        """Answer whether a box told that its work takes long."""
        reading = self.reports.get(life)
        return reading is not None and reading.report.is_slow()

    def has_weights(self, box: FleetBox, model: EngineModel) -> bool:
        """Answer whether a box can join a group of a model without a load."""
        return self.has_last_served(box, model) or model.name in box.staged

    def estimate_join_seconds(
        self, box: FleetBox, model: EngineModel
    ) -> float:
        """Return the seconds until a box is ready in a group of a model."""
        if self.has_last_served(box, model):
            return REJOIN_SECONDS
        if model.name in box.staged:
            return model.warm_seconds
        return model.load_seconds

    def may_load(self, engine: Engine, now: float) -> bool:
        """Answer whether the weight store's pace allows one more load."""
        if len(self.loads) >= engine.loads_at_once:
            return False
        recent = sum(now - begun < 1 for begun in self.loads.values())
        return recent < max(1, engine.loads_per_second * STORE_PACE_SHARE)

    def may_order_load(self, box: FleetBox, now: float) -> bool:
        """Answer whether a box neither loads nor refused a moment ago."""
        load_refused_at = self.load_refused_at.get(box.life, -math.inf)
        is_asked = box.life in self.staging or box.life in self.pending
        return not is_asked and now - load_refused_at > LOAD_RETRY_SECONDS

    def _note_load(
        self,
        box: FleetBox,
        order: BoxOrder,
        now: float,
    ) -> None:
        """Remember that a box is ordered to load a model, or to stop."""
        failures = self.load_failures
        if isinstance(order, Stage):
            failures.record_start(box, order.model, LoadKind.STAGE, now)
        elif isinstance(order, Join):
            if self.last_models.get(box.life) != order.model:
                failures.record_start(box, order.model, LoadKind.JOIN, now)
        elif isinstance(order, Leave):
            failures.forget(box.life)

    def _give_back_load(
        self,
        box: FleetBox,
        result: OrderResult,
        now: float,
    ) -> None:
        """Forget a load that a box refused, or may not have begun.

        Asking again is safe: a box that loads the model refuses.  A load that
        may have begun counts for the weight store's pace all the same.
        """
        self.pending.pop(box.life, None)
        self.staging.pop(box.life, None)
        self.load_refused_at[box.life] = now
        if result is not OrderResult.UNKNOWN:
            self.loads.pop(box.life, None)

    def _note_left(
        self,
        box: FleetBox,
        order: Leave,
        result: OrderResult,
    ) -> None:
        """Note that a head has left its group, or is gone."""
        known = self.heads.get(order.group)
        was_head = box.standing is not None and box.standing.rank == 0
        was_head = was_head or (known is not None and known.life == box.life)
        if was_head and result in {OrderResult.ACCEPTED, OrderResult.GONE}:
            self.groups_left_by_head.add(order.group)

    def _forget_orders(self, fleet: Fleet, now: float) -> None:
        for life, (order, sent_at) in tuple(self.pending.items()):
            box = fleet.find_life(life)
            is_seen = box is not None and _shows(box, order)
            if is_seen or now - sent_at > ORDER_TIMEOUT_SECONDS:
                self.pending.pop(life)

    def _forget_groups(self, present: set[GroupId], now: float) -> None:
        for group, forming in tuple(self.forming.items()):
            if group not in present and not forming.is_fresh(now):
                self.forming.pop(group)
        for group, at in tuple(self.abandoned.items()):
            if group not in present and now - at > ABANDONED_SECONDS:
                self.abandoned.pop(group)
        _keep_only(self.stalled_since, present)
        _keep_only(self.heads, present)
        self.groups_left_by_head &= present
        self.openings.keep_only(present | self.forming.keys())

    def _forget_loads(
        self,
        fleet: Fleet,
        engine: Engine,
        now: float,
    ) -> None:
        """Forget the loads that are over, by then or at the latest."""
        longest = max(model.load_seconds for model in engine.models)
        for life, begun_at in tuple(self.loads.items()):
            is_known = life in self.staging or life in self.pending
            counted = longest if is_known else PACE_WINDOW_SECONDS
            if now - begun_at > counted:
                self.loads.pop(life)
        for refusals in (self.load_refused_at, self.unfit):
            for life in tuple(refusals):
                if fleet.find_life(life) is None:
                    refusals.pop(life)

    def _forget_staging(
        self,
        fleet: Fleet,
        engine: Engine,
        now: float,
    ) -> None:
        for life, staging in tuple(self.staging.items()):
            box = fleet.find_life(life)
            known = engine.find_model(staging.model)
            longest = (
                LOAD_TIMEOUT_FACTOR * known.load_seconds if known else 0.0
            )
            is_late = now - staging.begun_at > longest
            if box is None or is_late or staging.model in box.staged:
                self.staging.pop(life)


def _keep_only(known: dict[Any, Any], present: Container[Any]) -> None:
    for key in tuple(known):
        if key not in present:
            known.pop(key)


def _shows(box: FleetBox, order: BoxOrder) -> bool:
    """Answer whether a box's entry shows the effect of an order."""
    standing = box.standing
    if isinstance(order, Join):
        return standing is not None and standing.epoch >= order.epoch
    if isinstance(order, Stage):
        return order.model in box.staged
    if isinstance(order, Open):
        return standing is None or standing.state is not MemberState.READY
    if isinstance(order, Close):
        return standing is None or standing.state is not MemberState.OPEN
    return standing is None or standing.epoch != order.epoch
