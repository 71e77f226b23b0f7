"""Which orders bring the groups closer to what should stand.

The groups are read off the boxes; nothing but the epoch is kept elsewhere, so
a new holder of the duty, or one after all nodes were restarted, adopts what
stands.  Three rules hold for each order:

- A box joins a group only when its former group is known to serve nowhere: its
  head has left it, is gone, has started again, has broken, or was never
  ordered to open.  That holds for the group of its former life as well.
- A group is opened only when each of its boxes has told that it is ready
  under the group's name and epoch.
- Loads from the weight store keep its pace.
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
from waywell.version.group_verdicts import GroupJudge, Verdict
from waywell.version.model_need import ModelNeed
from waywell.version.new_groups import GroupPicker
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
    """What a plan is made of."""

    service: ServiceName
    """Service whose groups are planned."""

    engine: Engine
    """Its engines."""

    fleet: Fleet
    """The boxes of the service that give signs of life."""

    demand: Mapping[ModelName, float]
    """Work that callers ask of each model, in places."""

    kept: frozenset[BoxId] = frozenset()
    """Boxes whose entries have gone; they serve on, and join nothing."""


@attrs.frozen
class FormingSummary:
    """How the groups of a service stand, for logs."""

    groups: Mapping[str, int] = MappingProxyType({})
    """Groups by model and verdict."""

    idle: Mapping[DomainName, int] = MappingProxyType({})
    """Boxes that are in no group, by fabric domain."""


class FormingPlanner:
    """Plans for one service.

    Parameters
    ----------
    view
        What is known.
    memory
        What the holder remembers; changed by the plan.
    now
        The present time, in seconds.
    """

    def __init__(
        self,
        view: FormingView,
        memory: FormingMemory,
        now: float,
    ) -> None:
        """Plan nothing yet."""
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
        """Return the orders to give now."""
        self._memory.update(self._fleet, self._engine, self._now)
        if self._memory.planned_since is None and self._need.has_callers():
            self._memory.planned_since = self._now
        verdicts = self._judge_groups()
        for judged in self._groups:
            self._act(judged, verdicts[judged.group])
        self._count_groups(verdicts)
        free = self._list_free(verdicts)
        self.summary = _summarise(verdicts, free)
        self._note_first_start()
        staging = StagingPlanner(
            self._need, self._memory, self._boxes, self._assign, self._now
        )
        if self._memory.began_empty and not self._need.has_callers():
            self._form(free)
            staging.load_second_models()
        else:
            serving = [
                group
                for group in self._groups
                if verdicts[group.group] is Verdict.SERVING
            ]
            self._close_slow(free, serving)
            closing = self._list_closing(verdicts)
            RegroupPlanner(
                self._need, self._memory, self._changes, self._fleet, self._now
            ).plan(free, serving, closing)
            staging.load_within_pace(free)
        return self._assignments

    def _close_slow(
        self, free: BoxesByDomain, serving: list[FleetGroup]
    ) -> None:
        """Close groups with slow boxes whose fast ones make up whole ones."""
        for slow in choose_slow_groups(
            self._need, self._memory, free, self._groups, serving
        ):
            self._changes.close(slow, OrderReason.SLOW_BOX)

    def _list_closing(
        self,
        verdicts: Mapping[GroupId, Verdict],
    ) -> list[FleetGroup]:
        """Return the groups that were ordered to close, until they have."""
        return [
            group
            for group in self._groups
            if group.group in self._memory.abandoned
            and verdicts[group.group] is not Verdict.FREE
        ]

    def _judge_groups(self) -> dict[GroupId, Verdict]:
        judge = GroupJudge(self._fleet, self._engine, self._memory, self._now)
        return {group.group: judge.judge(group) for group in self._groups}

    def _note_first_start(self) -> None:
        """Note when nothing was ever loaded: no request has come yet."""
        if not any(box.staged or box.standing for box in self._boxes):
            self._memory.began_empty = True

    def _act(self, group: FleetGroup, verdict: Verdict) -> None:
        """Give the orders that a verdict asks for."""
        if verdict is Verdict.HEADLESS:
            self._dissolve(group)
        head = group.head
        if head is None:
            return
        if verdict is Verdict.READY:
            order = Open(group.group, group.epoch)
            self._assign(head, order, OrderReason.READY)
            self._memory.rights.note_opening(group.group)
        elif verdict is Verdict.CLOSE:
            close = Close(group.group, group.epoch)
            self._assign(head, close, OrderReason.UNWANTED)
        elif self._has_ignored_close(group, verdict):
            close = Close(group.group, group.epoch)
            self._assign(head, close, OrderReason.NOT_HEARD)
        elif verdict is Verdict.BREAK:
            leave = Leave(group.group, group.epoch)
            self._assign(head, leave, OrderReason.MEMBER_LOST)

    def _has_ignored_close(self, group: FleetGroup, verdict: Verdict) -> bool:
        """Answer whether a group serves although it was ordered to close."""
        is_abandoned = group.group in self._memory.abandoned
        return verdict is Verdict.SERVING and is_abandoned

    def _dissolve(self, group: FleetGroup) -> None:
        """Let the members leave a group whose head is lost.

        The head is told as well: it may live and serve, cut off from the
        platform only.
        """
        leave = Leave(group.group, group.epoch)
        head = self._memory.heads.get(group.group)
        if head is not None:
            self._assign(head, leave, OrderReason.MEMBER_LOST)
        for member in group.members:
            self._assign(member, leave, OrderReason.MEMBER_LOST)

    def _count_groups(self, verdicts: Mapping[GroupId, Verdict]) -> None:
        """Count the groups that serve or will, also those not shown yet."""
        coming = {Verdict.READY, Verdict.UNDER_WAY}
        for judged, verdict in verdicts.items():
            is_kept = judged not in self._memory.abandoned
            if is_kept and verdict is Verdict.SERVING:
                self._need.serving[parse_group_model(judged)] += 1
            if is_kept and verdict in coming:
                self._need.groups[parse_group_model(judged)] += 1
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
        """Give an order, unless one is open; answer whether it is given."""
        if not self._memory.note_order(box, order, self._now):
            return False
        self._assignments.append(Assignment(box, order, reason))
        return True

    def _list_free(self, verdicts: Mapping[GroupId, Verdict]) -> BoxesByDomain:
        """Return the boxes that may join a group, by fabric domain."""
        held = self._memory.list_held(self._now)
        free: BoxesByDomain = defaultdict(list)
        for box in self._boxes:
            if box.standing is None:
                is_free = box.life not in held
                is_free = is_free and not self._is_counted_on(box, verdicts)
            else:
                verdict = verdicts.get(box.standing.group)
                is_free = verdict is Verdict.FREE
            is_open = box.life not in self._memory.pending
            is_fit = not self._memory.is_unfit(box, self._now)
            is_fit = is_fit and box.box not in self._kept
            if is_free and is_open and is_fit and not box.leaving:
                free[box.domain].append(box)
        return free

    def _is_counted_on(
        self,
        box: FleetBox,
        verdicts: Mapping[GroupId, Verdict],
    ) -> bool:
        """Answer whether the group of a box's former life may still serve."""
        lives = self._memory.lives
        former = lives.find_former(box)
        if former is None:
            return self._may_be_missed(box, verdicts)
        if former.rank == 0 or lives.has_ended(former.group):
            return False
        if former.group in self._memory.rights.unopened:
            return False
        return verdicts.get(former.group) is not Verdict.FREE

    def _may_be_missed(
        self,
        box: FleetBox,
        verdicts: Mapping[GroupId, Verdict],
    ) -> bool:
        """Answer whether a group near by may lack a box's former life.

        A node that has known the list for a short time only can't tell.
        """
        if (
            box.incarnation == UNKNOWN_INCARNATION
            or not self._memory.lives.is_new(self._now)
        ):
            return False
        return any(
            group.domain == box.domain
            and verdicts[group.group] in {Verdict.BREAK, Verdict.HEADLESS}
            for group in self._groups
        )

    def _form(self, free: BoxesByDomain) -> None:
        """Form groups before callers come, that of the greatest need first."""
        picker = GroupPicker(self._need, self._memory)
        best = picker.find_best(free)
        while best is not None:
            model, boxes = best
            self._changes.join(model, boxes)
            for box in boxes:
                free[box.domain].remove(box)
            best = picker.find_best(free)


def _summarise(
    verdicts: Mapping[GroupId, Verdict],
    free: BoxesByDomain,
) -> FormingSummary:
    return FormingSummary(
        Counter(
            f'{parse_group_model(group)}.{verdict.value}'
            for group, verdict in verdicts.items()
        ),
        {domain: len(boxes) for domain, boxes in free.items() if boxes},
    )
