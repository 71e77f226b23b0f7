"""The simulated target boxes, which execute orders and run groups."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import attrs

from waywell.experiment.group_engine import GroupEngine
from waywell.experiment.simulated_box import Membership, SimulatedBox
from waywell.experiment.weight_store import WeightStore
from waywell.version.fleet import Fleet, MemberState
from waywell.version.forming_memory import REJOIN_SECONDS
from waywell.version.orders import (
    BoxOrder,
    Close,
    Join,
    Leave,
    Open,
    OrderResult,
    Stage,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from waywell.experiment.load_file import Load
    from waywell.experiment.timeline import Timeline
    from waywell.ids import BoxId, GroupId, Incarnation
    from waywell.version.fleet import ReplicaKey


@attrs.frozen(eq=False)
class RunningGroup:
    """A group that has been opened."""

    join: Join
    """Join order with the group's members and model."""

    head: SimulatedBox
    """Box that accepts the group's requests."""

    engine: GroupEngine
    """Engine that runs the group's requests."""


class SimulatedFleet:
    """All target boxes and the groups that they run.

    Parameters
    ----------
    load
        Engine figures, models and delays.
    boxes
        Boxes of the fleet.
    timeline
        Events of the simulation.
    """

    def __init__(
        self,
        load: Load,
        boxes: Iterable[SimulatedBox],
        timeline: Timeline,
    ) -> None:
        """Create the fleet without groups."""
        self.boxes = {box.name: box for box in boxes}
        self.groups: dict[GroupId, RunningGroup] = {}
        self.invariant_violations: list[str] = []
        self._load = load
        self._timeline = timeline
        self._models = {model.name: model for model in load.model}
        self._store = WeightStore(load, timeline)

    def list_entries(self) -> Fleet:
        """Return the box list, with lost boxes until their entries lapse."""
        earliest = self._timeline.now - self._load.platform.lapse_seconds
        return Fleet(
            {
                name: box.make_entry()
                for name, box in self.boxes.items()
                if box.is_alive or box.lost_at > earliest
            },
        )

    def find_running_group(self, key: ReplicaKey) -> RunningGroup | None:
        """Return the running group of a replica, if it still exists."""
        box = self.boxes[key.box]
        if box.membership is None or box.incarnation != key.incarnation:
            return None
        if box.membership.join.epoch != key.epoch:
            return None
        return self.groups.get(box.membership.join.group)

    def execute_order(self, name: BoxId, order: BoxOrder) -> OrderResult:
        """Execute an order at a box and return its result."""
        box = self.boxes[name]
        if not box.is_alive:
            return OrderResult.UNKNOWN
        if isinstance(order, Stage):
            return self._execute_stage(box, order)
        if isinstance(order, Join):
            return self._execute_join(box, order)
        return self._execute_group_order(box, order)

    def lose_box(self, box: SimulatedBox) -> None:
        """Make a box unresponsive until it is restarted."""
        if not box.is_alive:
            return
        box.is_alive = False
        box.lost_at = self._timeline.now
        running = self._find_running_group(box)
        if running is not None:
            self._stall_group(running)

    def restart_box(self, box: SimulatedBox) -> None:
        """Restart a lost box under the same id."""
        if box.is_alive:
            return
        running = self._find_running_group(box)
        box.restart()
        if running is not None and running.head is box:
            self._end_group(running)

    def change_pace(self, box: SimulatedBox, pace: float) -> None:
        """Set the factor by which all work of a box takes longer."""
        box.pace = pace
        running = self._find_running_group(box)
        if running is not None:
            running.engine.change_pace(self._compute_pace(running.join))

    def _execute_group_order(
        self,
        box: SimulatedBox,
        order: Open | Close | Leave,
    ) -> OrderResult:
        membership = box.membership
        if membership is None or membership.join.epoch != order.epoch:
            return OrderResult.CONFLICT
        box.orders_begun += 1
        if isinstance(order, Open):
            self._timeline.schedule_in(
                self._load.engine.form_seconds,
                lambda: self._open_group(box, membership.join),
            )
        elif isinstance(order, Close):
            self._close_group(box)
        else:
            self._detach_from_group(box)
            box.leave_group()
        return OrderResult.ACCEPTED

    def _execute_stage(self, box: SimulatedBox, order: Stage) -> OrderResult:
        if box.is_staging:
            return OrderResult.CONFLICT
        box.orders_begun += 1
        box.is_staging = True
        finish = partial(self._finish_staging, box, box.incarnation, order)
        self._store.start_load(self._models[order.model], finish)
        return OrderResult.ACCEPTED

    def _finish_staging(
        self,
        box: SimulatedBox,
        life: Incarnation,
        order: Stage,
    ) -> None:
        if box.is_alive and box.incarnation == life:
            box.is_staging = False
            box.staged = (order.model,)
            box.invalidate_entry()

    def _execute_join(self, box: SimulatedBox, order: Join) -> OrderResult:
        if order.orders_begun not in {None, box.orders_begun}:
            return OrderResult.CONFLICT
        if order.epoch < box.highest_epoch:
            return OrderResult.OUTDATED
        if (
            box.membership is not None
            and box.membership.join.group == order.group
        ):
            return OrderResult.ACCEPTED
        self._detach_from_group(box)
        box.highest_epoch = order.epoch
        box.orders_begun += 1
        box.membership = Membership(order, order.members.index(box.name))
        box.invalidate_entry()
        self._load_member(box, order)
        return OrderResult.ACCEPTED

    def _load_member(self, box: SimulatedBox, order: Join) -> None:
        model = self._models[order.model]
        finish = partial(self._finish_member, box, order)
        if box.loaded == order.model:
            self._timeline.schedule_in(REJOIN_SECONDS, finish)
        elif order.model in box.staged:
            self._timeline.schedule_in(model.warm_seconds, finish)
        else:
            box.staged = (order.model,)
            self._store.start_load(model, finish)

    def _finish_member(self, box: SimulatedBox, order: Join) -> None:
        membership = box.membership
        if (
            box.is_alive
            and membership is not None
            and membership.join is order
        ):
            box.loaded = order.model
            box.set_member_state(MemberState.READY)

    def _open_group(self, head: SimulatedBox, join: Join) -> None:
        if not head.is_alive or not self._is_whole(join):
            return
        pace = self._compute_pace(join)
        engine = GroupEngine(self._load.engine, self._timeline, pace)
        self.groups[join.group] = RunningGroup(join, head, engine)
        head.set_member_state(MemberState.OPEN)

    def _is_whole(self, join: Join) -> bool:
        """Return whether all members are ready in the group."""
        memberships = [self.boxes[name].membership for name in join.members]
        return all(
            membership is not None
            and membership.join.group == join.group
            and membership.state is MemberState.READY
            for membership in memberships
        )

    def _close_group(self, head: SimulatedBox) -> None:
        running = self._find_running_group(head)
        if running is None or running.head is not head:
            return
        running.engine.is_closing = True
        head.set_member_state(MemberState.CLOSING)
        self._close_when_empty(running)

    def _close_when_empty(self, running: RunningGroup) -> None:
        """End a closing group once it has no requests left."""
        if self.groups.get(running.join.group) is not running:
            return
        if running.engine.is_empty:
            self.groups.pop(running.join.group)
            running.head.set_member_state(MemberState.READY)
            return
        seconds = self._load.platform.order_seconds
        self._timeline.schedule_in(
            seconds, lambda: self._close_when_empty(running)
        )

    def _detach_from_group(self, box: SimulatedBox) -> None:
        """Remove a box from its running group, which cannot go on without."""
        running = self._find_running_group(box)
        if running is None:
            return
        if running.head is box:
            self._end_group(running)
        elif not running.engine.is_stalled:
            self.invariant_violations.append(
                f'{box.name} left {running.join.group} while it was serving'
            )
            self._stall_group(running)

    def _stall_group(self, running: RunningGroup) -> None:
        """Stall a group that lost a box; its head gives up later."""
        if running.engine.is_stalled:
            return
        running.engine.stall()
        self._timeline.schedule_in(
            self._load.platform.stall_seconds,
            lambda: self._break_group(running),
        )

    def _break_group(self, running: RunningGroup) -> None:
        if self.groups.get(running.join.group) is not running:
            return
        if running.head.is_alive:
            running.head.set_member_state(MemberState.BROKEN)
        self._end_group(running)

    def _end_group(self, running: RunningGroup) -> None:
        self.groups.pop(running.join.group, None)
        running.engine.break_connections()

    def _find_running_group(self, box: SimulatedBox) -> RunningGroup | None:
        if box.membership is None:
            return None
        return self.groups.get(box.membership.join.group)

    def _compute_pace(self, join: Join) -> float:
        slowest = max(self.boxes[name].pace for name in join.members)
        return slowest * self._models[join.model].pace
