"""State that the holder of the forming duty keeps between plans."""

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
"""Seconds to wait until the box list shows the effect of a sent order: two
heartbeats."""

JOIN_TIMEOUT_SECONDS = 4.0
"""Seconds after which boxes that were ordered into a group must appear as its
members in the box list."""

ABANDONED_SECONDS = 15.0
"""Seconds for which an abandoned group that is off the box list is kept."""

UNFIT_RETRY_SECONDS = 0.5
"""Seconds for which a box joins no group after its report contradicted its
entry; by then the list or the report is up to date."""

LOAD_TIMEOUT_FACTOR = 3.0
"""Multiple of a load's usual duration after which a load is given up."""

REJOIN_SECONDS = 0.2
"""Time to join a group of the model that the box served last."""

LOAD_RETRY_SECONDS = 2.0
"""Seconds until a box that did not accept a load may get another order to
load; a load takes some 12 seconds or more."""

PACE_WINDOW_SECONDS = 5.0
"""Maximum age in seconds at which a load of unknown state still counts against
the weight store's pace."""

STORE_PACE_SHARE = 0.9
"""Share of the weight store's pace that is used; the rest covers loads that a
former holder began."""


_WITHOUT_EFFECT = frozenset(
    (OrderResult.CONFLICT, OrderResult.OUTDATED, OrderResult.ENDED),
)
"""Results of orders that have no effect, now or later."""


@attrs.frozen
class FormingGroup:
    """A group whose joins were ordered by this holder."""

    members: tuple[BoxLife, ...]
    """Members, in the lives that were ordered to join."""

    begun_at: float
    """When the joins were ordered, in seconds."""

    def is_fresh(self, now: float) -> bool:
        """Return whether the members may still be absent from the box list."""
        return now - self.begun_at <= JOIN_TIMEOUT_SECONDS


@attrs.frozen
class IntendedGroup:
    """A planned group some of whose members have yet to leave other groups."""

    model: EngineModel
    """Model that the group is to serve."""

    members: tuple[BoxLife, ...]
    """Members, the head first."""

    since: float
    """When the group was decided on, in seconds."""


@attrs.frozen
class SearchSnapshot:
    """The inputs of a search for group changes, and its time."""

    at: float
    """When the search ran, in seconds."""

    idle: frozenset[BoxLife]
    """Boxes that were free to join a group."""

    serving: frozenset[GroupId]
    """Groups that served."""


@attrs.frozen
class CachedChanges:
    """The group changes that one fabric domain allows."""

    key: object
    """Equal as long as the domain allows the same changes."""

    changes: tuple[CandidateChange, ...]
    """Changes that the domain allows."""


@attrs.frozen
class Staging:
    """A model that a box loads into its host's memory, outside any group."""

    model: ModelName
    """Model whose weights are loaded."""

    begun_at: float
    """When the load was ordered, in seconds."""


@attrs.define
class FormingMemory:
    """State that the holder of the forming duty keeps between plans."""

    next_epoch: int = 1
    """Epoch of the next group."""

    pending: dict[BoxLife, tuple[BoxOrder, float]] = attrs.Factory(dict)
    """Orders whose effect is not visible yet, with the time of sending in
    seconds."""

    forming: dict[GroupId, FormingGroup] = attrs.Factory(dict)
    """Groups whose joins were ordered and that may not be on the box
    list yet."""

    stalled_since: dict[GroupId, float] = attrs.Factory(dict)
    """When a group was first seen incomplete or still joining, in seconds."""

    heads: dict[GroupId, FleetBox] = attrs.Factory(dict)
    """Heads of groups that served, as last listed."""

    openings: GroupOpenings = attrs.Factory(GroupOpenings)
    """Which groups may be opened and which were never ordered to open."""

    abandoned: dict[GroupId, float] = attrs.Factory(dict)
    """Groups that were ordered to close, or whose members were ordered into
    other groups, with the time in seconds."""

    unfit: dict[BoxLife, float] = attrs.Factory(dict)
    """Boxes that did not answer before a join, or whose report contradicted
    their entry, with the time of asking in seconds."""

    groups_left_by_head: set[GroupId] = attrs.Factory(set)
    """Groups whose head is known to be gone or to have left."""

    is_first_start: bool = False
    """Whether this holder saw a fleet that had never loaded weights; loads
    then ignore the weight store's pace until demand is measured."""

    intended: list[IntendedGroup] = attrs.Factory(list)
    """Groups for which others were closed."""

    last_search: SearchSnapshot | None = None
    """Inputs of the last search for group changes."""

    candidate_changes: dict[DomainName, CachedChanges] = attrs.Factory(dict)
    """Changes that each domain allowed when it was last searched."""

    planned_since: float | None = None
    """When this holder first planned with measured demand, in seconds."""

    loads: dict[BoxLife, float] = attrs.Factory(dict)
    """Boxes whose loads count against the weight store's pace, with the time
    of the order in seconds."""

    load_refused_at: dict[BoxLife, float] = attrs.Factory(dict)
    """When a box last did not accept a load, in seconds: it is loading for an
    earlier holder, or did not answer."""

    lost: dict[BoxLife, float] = attrs.Factory(dict)
    """Boxes that are listed but did not answer, with the time of the last
    question in seconds."""

    reports: dict[BoxLife, TimedReport] = attrs.Factory(dict)
    """Last report of each box."""

    last_models: Mapping[BoxLife, ModelName] = attrs.Factory(dict)
    """Model that each box served last; owned by the node."""

    lives: LifeTracker = attrs.Factory(LifeTracker)
    """Boxes that restarted, with their former lives; owned by the node."""

    staging: dict[BoxLife, Staging] = attrs.Factory(dict)
    """Models that boxes are loading into their hosts' memory."""

    load_failures: LoadFailures = attrs.Factory(LoadFailures)
    """Loads during which boxes ended; owned by the node."""

    def update(self, fleet: Fleet, engine: Engine, now: float) -> None:
        """Apply a box list: drop what has taken effect or timed out."""
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
        """Record an order unless the box has a pending one.

        Returns
        -------
        bool
            Whether the order was recorded.
        """
        if isinstance(order, Leave | Close):
            self.openings.record_ending(order.group)
        if box.life in self.pending:
            return False
        self.pending[box.life] = (order, now)
        self._record_load(box, order, now)
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
        """Apply the result of an order."""
        box, order = assignment.box, assignment.order
        if result in _WITHOUT_EFFECT:
            self.pending.pop(box.life, None)
            self.load_failures.forget(box.life)
            if isinstance(order, Join):
                self.forming.pop(order.group, None)
        if isinstance(order, Leave):
            self._record_leave(box, order, result)
        if isinstance(order, Stage) and result is not OrderResult.ACCEPTED:
            self._release_load(box, result, now)

    def list_joining(self, now: float) -> set[BoxLife]:
        """Return the boxes that were recently ordered into groups."""
        return {
            life
            for forming in self.forming.values()
            for life in forming.members
            if forming.is_fresh(now)
        }

    def is_unfit(self, box: FleetBox, now: float) -> bool:
        """Return whether a box recently failed the check before a join."""
        return now - self.unfit.get(box.life, -math.inf) < UNFIT_RETRY_SECONDS

    def has_last_served(self, box: FleetBox, model: EngineModel) -> bool:
        """Return whether a model is the one that a box served last."""
        return self.last_models.get(box.life) == model.name

    def has_room(self, box: FleetBox) -> bool:
        """Return whether a load evicts nothing that a box may need.

        A host keeps the last model that was loaded; the model that the box
        served last is held in addition.
        """
        return set(box.staged) <= {self.last_models.get(box.life)}

    def is_slow(self, life: BoxLife) -> bool:
        """Return whether a box has reported a slow pace."""
        timed_report = self.reports.get(life)
        return timed_report is not None and timed_report.report.is_slow()

    def has_weights(self, box: FleetBox, model: EngineModel) -> bool:
        """Return whether a box can join a group of a model without a load."""
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
        """Return whether the weight store's pace allows one more load."""
        if len(self.loads) >= engine.loads_at_once:
            return False
        recent = sum(now - begun < 1 for begun in self.loads.values())
        return recent < max(1, engine.loads_per_second * STORE_PACE_SHARE)

    def may_order_load(self, box: FleetBox, now: float) -> bool:
        """Return whether a box is free to load and refused none recently."""
        refused_at = self.load_refused_at.get(box.life, -math.inf)
        is_asked = box.life in self.staging or box.life in self.pending
        return not is_asked and now - refused_at > LOAD_RETRY_SECONDS

    def _record_load(
        self,
        box: FleetBox,
        order: BoxOrder,
        now: float,
    ) -> None:
        """Record that a box is ordered to load a model, or to stop."""
        failures = self.load_failures
        if isinstance(order, Stage):
            failures.record_start(box, order.model, LoadKind.STAGE, now)
        elif isinstance(order, Join):
            if self.last_models.get(box.life) != order.model:
                failures.record_start(box, order.model, LoadKind.JOIN, now)
        elif isinstance(order, Leave):
            failures.forget(box.life)

    def _release_load(
        self,
        box: FleetBox,
        result: OrderResult,
        now: float,
    ) -> None:
        """Forget a load that a box refused, or may not have begun.

        A repeated order is safe: a box that is loading the model refuses it. A
        load that may have begun still counts against the weight store's pace.
        """
        self.pending.pop(box.life, None)
        self.staging.pop(box.life, None)
        self.load_refused_at[box.life] = now
        if result is not OrderResult.UNKNOWN:
            self.loads.pop(box.life, None)

    def _record_leave(
        self,
        box: FleetBox,
        order: Leave,
        result: OrderResult,
    ) -> None:
        """Record that the head of a group has left it, or is gone."""
        known = self.heads.get(order.group)
        was_head = box.standing is not None and box.standing.rank == 0
        was_head = was_head or (known is not None and known.life == box.life)
        if was_head and result in {OrderResult.ACCEPTED, OrderResult.GONE}:
            self.groups_left_by_head.add(order.group)

    def _forget_orders(self, fleet: Fleet, now: float) -> None:
        for life, (order, sent_at) in tuple(self.pending.items()):
            box = fleet.find_life(life)
            is_visible = box is not None and _is_visible(box, order)
            if is_visible or now - sent_at > ORDER_TIMEOUT_SECONDS:
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
        """Forget loads that no longer count against the store's pace."""
        longest = max(model.load_seconds for model in engine.models)
        for life, begun_at in tuple(self.loads.items()):
            is_known = life in self.staging or life in self.pending
            max_age = longest if is_known else PACE_WINDOW_SECONDS
            if now - begun_at > max_age:
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


def _is_visible(box: FleetBox, order: BoxOrder) -> bool:
    """Return whether a box's entry shows the effect of an order."""
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
