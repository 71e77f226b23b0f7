"""Planning of the orders that form, open and dissolve groups.

The current groups are read from the box list; only the epoch is stored
elsewhere. A new holder of the duty, also after a restart of all nodes,
therefore adopts the groups that exist. Each order keeps three rules:

- A box joins a group only when its former group is known to serve nowhere:
  the head has left it, is gone, has restarted, is broken or was never ordered
  to open the group. The same holds for the group of the box's former life.
- A group is opened only when each of its boxes has reported that it is ready
  under the group's name and epoch.
- Loads from the weight store keep within its pace.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping
from types import MappingProxyType
from typing import TYPE_CHECKING

import attrs

from waywell.ids import BoxId, DomainName, GroupId, ModelName, ServiceName
from waywell.version.fleet import (
    UNKNOWN_INCARNATION,
    BoxesByDomain,
    Fleet,
    FleetBox,
    FleetGroup,
    parse_group_model,
)
from waywell.version.group_changes import GroupChanges
from waywell.version.group_picker import GroupPicker
from waywell.version.group_status import GroupAssessor, GroupStatus
from waywell.version.model_need import ModelNeed
from waywell.version.orders import (
    Assignment,
    BoxOrder,
    Close,
    Leave,
    Open,
    OrderReason,
)
from waywell.version.regroup_planner import RegroupPlanner
from waywell.version.routes import Engine
from waywell.version.slow_groups import choose_slow_groups
from waywell.version.staging import StagingPlanner

if TYPE_CHECKING:
    from waywell.version.forming_memory import FormingMemory


@attrs.frozen
class FormingView:
    """Input of one plan."""

    service: ServiceName
    """Service whose groups are planned."""

    engine: Engine
    """Engine of the service, with its models."""

    fleet: Fleet
    """Boxes of the service that are not known to be lost."""

    demand: Mapping[ModelName, float]
    """Measured demand for each model, in places."""

    kept: frozenset[BoxId] = frozenset()
    """Boxes whose entries have disappeared; they keep serving and join no
    group."""


@attrs.frozen
class FormingSummary:
    """State of the groups of one service, for logs."""

    groups: Mapping[str, int] = MappingProxyType({})
    """Number of groups by model and status, keyed ``model.status``."""

    idle: Mapping[DomainName, int] = MappingProxyType({})
    """Number of idle boxes by fabric domain; domains without any are
    absent."""


class FormingPlanner:
    """Plans the orders for one service.

    Parameters
    ----------
    view
        Boxes, engine and demand to plan for.
    memory
        State of the duty's holder; updated by the plan.
    now
        Current time, in seconds.
    """

    def __init__(
        self,
        view: FormingView,
        memory: FormingMemory,
        now: float,
    ) -> None:
        """Prepare a plan without any orders."""
        self.summary = FormingSummary()
        self._memory = memory
        self._now = now
        self._engine = view.engine
        self._boxes = list(view.fleet.boxes.values())
        self._groups = list(view.fleet.groups.values())
        self._need = ModelNeed(view.engine, view.demand, len(self._boxes))
        self._fleet = view.fleet
        self._kept = view.kept
        self._assignments: list[Assignment] = []
        self._changes = GroupChanges(
            self._need, self._memory, self._assign, now
        )

    def plan(self) -> list[Assignment]:
        """Return the orders to send now."""
        self._memory.update(self._fleet, self._engine, self._now)
        if (
            self._memory.planned_since is None
            and self._need.has_measured_demand()
        ):
            self._memory.planned_since = self._now
        statuses = self._assess_groups()
        for assessed in self._groups:
            self._order_by_status(assessed, statuses[assessed.group])
        self._count_groups(statuses)
        free = self._list_free(statuses)
        self.summary = _summarise(statuses, free)
        self._detect_first_start()
        staging = StagingPlanner(
            self._need, self._memory, self._boxes, self._assign, self._now
        )
        if (
            self._memory.is_first_start
            and not self._need.has_measured_demand()
        ):
            self._form(free)
            staging.load_second_models()
        else:
            serving = [
                group
                for group in self._groups
                if statuses[group.group] is GroupStatus.SERVING
            ]
            self._close_slow(free, serving)
            closing = self._list_closing(statuses)
            RegroupPlanner(
                self._need, self._memory, self._changes, self._fleet, self._now
            ).plan(free, serving, closing)
            staging.load_within_pace(free)
        return self._assignments

    def _close_slow(
        self, free: BoxesByDomain, serving: list[FleetGroup]
    ) -> None:
        """Close slow groups whose fast boxes can form a whole group."""
        for slow in choose_slow_groups(
            self._need, self._memory, free, self._groups, serving
        ):
            self._changes.close(slow, OrderReason.SLOW_BOX)

    def _list_closing(
        self,
        statuses: Mapping[GroupId, GroupStatus],
    ) -> list[FleetGroup]:
        """Return the groups that were ordered to close and still may serve."""
        return [
            group
            for group in self._groups
            if group.group in self._memory.abandoned
            and statuses[group.group] is not GroupStatus.FREE
        ]

    def _assess_groups(self) -> dict[GroupId, GroupStatus]:
        assessor = GroupAssessor(
            self._fleet, self._engine, self._memory, self._now
        )
        return {group.group: assessor.assess(group) for group in self._groups}

    def _detect_first_start(self) -> None:
        """Record whether no box has ever loaded weights.

        On such a first start no request can have arrived yet.
        """
        if not any(box.staged or box.standing for box in self._boxes):
            self._memory.is_first_start = True

    def _order_by_status(self, group: FleetGroup, status: GroupStatus) -> None:
        """Send the orders that the status of a group requires."""
        if status is GroupStatus.HEADLESS:
            self._dissolve(group)
        head = group.head
        if head is None:
            return
        if status is GroupStatus.READY:
            order = Open(group.group, group.epoch)
            self._assign(head, order, OrderReason.READY)
            self._memory.openings.record_opening(group.group)
        elif status is GroupStatus.MUST_CLOSE:
            close = Close(group.group, group.epoch)
            self._assign(head, close, OrderReason.UNWANTED)
        elif self._has_ignored_close(group, status):
            close = Close(group.group, group.epoch)
            self._assign(head, close, OrderReason.NO_EFFECT)
        elif status is GroupStatus.MUST_LEAVE:
            leave = Leave(group.group, group.epoch)
            self._assign(head, leave, OrderReason.MEMBER_LOST)

    def _has_ignored_close(
        self, group: FleetGroup, status: GroupStatus
    ) -> bool:
        """Return whether a group still serves after an order to close it."""
        is_abandoned = group.group in self._memory.abandoned
        return status is GroupStatus.SERVING and is_abandoned

    def _dissolve(self, group: FleetGroup) -> None:
        """Order the members of a group to leave when its head is lost.

        The head gets the order as well: it may be alive and serving, and only
        cut off from the platform.
        """
        leave = Leave(group.group, group.epoch)
        head = self._memory.heads.get(group.group)
        if head is not None:
            self._assign(head, leave, OrderReason.MEMBER_LOST)
        for member in group.members:
            self._assign(member, leave, OrderReason.MEMBER_LOST)

    def _count_groups(self, statuses: Mapping[GroupId, GroupStatus]) -> None:
        """Count the groups that serve or are going to.

        Groups that were ordered and are not on the box list yet count as well.
        """
        upcoming = {GroupStatus.READY, GroupStatus.PENDING}
        for group_id, status in statuses.items():
            is_kept = group_id not in self._memory.abandoned
            if is_kept and status is GroupStatus.SERVING:
                self._need.serving[parse_group_model(group_id)] += 1
            if is_kept and status in upcoming:
                self._need.groups[parse_group_model(group_id)] += 1
        self._need.groups.update(self._need.serving)
        present = {group.group for group in self._groups}
        for name in self._memory.forming:
            if name not in present:
                self._need.groups[parse_group_model(name)] += 1

    def _assign(
        self,
        box: FleetBox,
        order: BoxOrder,
        reason: OrderReason,
    ) -> bool:
        """Add an order unless the box has a pending one.

        Returns
        -------
        bool
            Whether the order was added.
        """
        if not self._memory.record_order(box, order, self._now):
            return False
        self._assignments.append(Assignment(box, order, reason))
        return True

    def _list_free(
        self, statuses: Mapping[GroupId, GroupStatus]
    ) -> BoxesByDomain:
        """Return the boxes that may join a group, by fabric domain."""
        joining = self._memory.list_joining(self._now)
        free: BoxesByDomain = defaultdict(list)
        for box in self._boxes:
            if box.standing is None:
                is_free = box.life not in joining
                is_free = is_free and not self._may_former_group_serve(
                    box, statuses
                )
            else:
                status = statuses.get(box.standing.group)
                is_free = status is GroupStatus.FREE
            has_no_order = box.life not in self._memory.pending
            is_fit = not self._memory.is_unfit(box, self._now)
            is_fit = is_fit and box.box not in self._kept
            if is_free and has_no_order and is_fit and not box.leaving:
                free[box.domain].append(box)
        return free

    def _may_former_group_serve(
        self,
        box: FleetBox,
        statuses: Mapping[GroupId, GroupStatus],
    ) -> bool:
        """Return whether the group of a box's former life may still serve."""
        lives = self._memory.lives
        former = lives.find_former_standing(box)
        if former is None:
            return self._may_have_missed_former_life(box, statuses)
        if former.rank == 0 or lives.has_group_ended(former.group):
            return False
        if former.group in self._memory.openings.unopened:
            return False
        return statuses.get(former.group) is not GroupStatus.FREE

    def _may_have_missed_former_life(
        self,
        box: FleetBox,
        statuses: Mapping[GroupId, GroupStatus],
    ) -> bool:
        """Return whether a group of the domain may lack a box's former life.

        A node whose first box list is recent can't rule out that it missed a
        restart.
        """
        if (
            box.incarnation == UNKNOWN_INCARNATION
            or not self._memory.lives.may_have_missed_restart(self._now)
        ):
            return False
        return any(
            group.domain == box.domain
            and statuses[group.group]
            in {GroupStatus.MUST_LEAVE, GroupStatus.HEADLESS}
            for group in self._groups
        )

    def _form(self, free: BoxesByDomain) -> None:
        """Form groups before any demand is measured, greatest need first."""
        picker = GroupPicker(self._need, self._memory)
        best = picker.find_best(free)
        while best is not None:
            model, boxes = best
            self._changes.join(model, boxes)
            for box in boxes:
                free[box.domain].remove(box)
            best = picker.find_best(free)


def _summarise(
    statuses: Mapping[GroupId, GroupStatus],
    free: BoxesByDomain,
) -> FormingSummary:
    return FormingSummary(
        Counter(
            f'{parse_group_model(group)}.{status.value}'
            for group, status in statuses.items()
        ),
        {domain: len(boxes) for domain, boxes in free.items() if boxes},
    )
