"""The target boxes of the model: they carry out orders and run groups."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import attrs

from waywell.experiment.group_engine import GroupEngine
from waywell.experiment.model_box import ModelBox, Place
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
    """A group that was opened."""

    join: Join
    """The order that formed it."""

    head: ModelBox
    """Box that takes its requests."""

    engine: GroupEngine
    """Runs them."""


class SimulatedBoxes:
    """All target boxes.

    Parameters
    ----------
    load
        Published figures and delays.
    boxes
        The boxes.
    timeline
        Events of the model.
    """

    def __init__(
        self,
        load: Load,
        boxes: Iterable[ModelBox],
        timeline: Timeline,
    ) -> None:
        """Start without groups."""
        self.boxes = {box.name: box for box in boxes}
        self.groups: dict[GroupId, RunningGroup] = {}
        self.broken_promises: list[str] = []
        self._load = load
        self._timeline = timeline
        self._models = {model.name: model for model in load.model}
        self._store = WeightStore(load, timeline)

    def list_entries(self) -> Fleet:
        """Return the box list as the platform shows it now."""
        earliest = self._timeline.now - self._load.platform.lapse_seconds
        return Fleet(
            {
                name: box.make_entry()
                for name, box in self.boxes.items()
                if box.is_alive or box.lost_at > earliest
            },
        )

    def find_running(self, key: ReplicaKey) -> RunningGroup | None:
        """Return the group that takes requests at a replica, if one does."""
        box = self.boxes[key.box]
        if box.place is None or box.incarnation != key.incarnation:
            return None
        if box.place.join.epoch != key.epoch:
            return None
        return self.groups.get(box.place.join.group)

    def take(self, name: BoxId, order: BoxOrder) -> OrderResult:
        """Let a box carry out an order."""
        box = self.boxes[name]
        if not box.is_alive:
            return OrderResult.UNKNOWN
        if isinstance(order, Stage):
            return self._take_stage(box, order)
        if isinstance(order, Join):
            return self._take_join(box, order)
        return self._take_group_order(box, order)

    def lose(self, box: ModelBox) -> None:
        """Let a box fall silent for good."""
        if not box.is_alive:
            return
        box.is_alive = False
        box.lost_at = self._timeline.now
        running = self._find_group(box)
        if running is not None:
            self._stall(running)

    def restart(self, box: ModelBox) -> None:
        """Start a lost box again under its id."""
        if box.is_alive:
            return
        running = self._find_group(box)
        box.restart()
        if running is not None and running.head is box:
            self._end(running)

    def change_pace(self, box: ModelBox, pace: float) -> None:
        """Change the factor on all times of a box."""
        box.pace = pace
        running = self._find_group(box)
        if running is not None:
            running.engine.change_pace(self._measure_pace(running.join))

    def _take_group_order(
        self,
        box: ModelBox,
        order: Open | Close | Leave,
    ) -> OrderResult:
        place = box.place
        if place is None or place.join.epoch != order.epoch:
            return OrderResult.CONFLICT
        box.orders_begun += 1
        if isinstance(order, Open):
            self._timeline.schedule_in(
                self._load.engine.form_seconds,
                lambda: self._open(box, place.join),
            )
        elif isinstance(order, Close):
            self._close(box)
        else:
            self._part(box)
            box.leave()
        return OrderResult.ACCEPTED

    def _take_stage(self, box: ModelBox, order: Stage) -> OrderResult:
        if box.is_staging:
            return OrderResult.CONFLICT
        box.orders_begun += 1
        box.is_staging = True
        finish = partial(self._finish_staging, box, box.incarnation, order)
        self._store.begin(self._models[order.model], finish)
        return OrderResult.ACCEPTED

    def _finish_staging(
        self,
        box: ModelBox,
        life: Incarnation,
        order: Stage,
    ) -> None:
        if box.is_alive and box.incarnation == life:
            box.is_staging = False
            box.staged = (order.model,)
            box.mark_changed()

    def _take_join(self, box: ModelBox, order: Join) -> OrderResult:
        if order.orders_begun not in {None, box.orders_begun}:
            return OrderResult.CONFLICT
        if order.epoch < box.highest_epoch:
            return OrderResult.OUTDATED
        if box.place is not None and box.place.join.group == order.group:
            return OrderResult.ACCEPTED
        self._part(box)
        box.highest_epoch = order.epoch
        box.orders_begun += 1
        box.place = Place(order, order.members.index(box.name))
        box.mark_changed()
        self._load_member(box, order)
        return OrderResult.ACCEPTED

    def _load_member(self, box: ModelBox, order: Join) -> None:
        model = self._models[order.model]
        finish = partial(self._finish_member, box, order)
        if box.loaded == order.model:
            self._timeline.schedule_in(REJOIN_SECONDS, finish)
        elif order.model in box.staged:
            self._timeline.schedule_in(model.warm_seconds, finish)
        else:
            box.staged = (order.model,)
            self._store.begin(model, finish)

    def _finish_member(self, box: ModelBox, order: Join) -> None:
        place = box.place
        if box.is_alive and place is not None and place.join is order:
            box.loaded = order.model
            box.set_state(MemberState.READY)

    def _open(self, head: ModelBox, join: Join) -> None:
        if not head.is_alive or not self._is_whole(join):
            return
        pace = self._measure_pace(join)
        engine = GroupEngine(self._load.engine, self._timeline, pace)
        self.groups[join.group] = RunningGroup(join, head, engine)
        head.set_state(MemberState.OPEN)

    def _is_whole(self, join: Join) -> bool:
        """Answer whether all members are ready in the group."""
        places = [self.boxes[name].place for name in join.members]
        return all(
            place is not None
            and place.join.group == join.group
            and place.state is MemberState.READY
            for place in places
        )

    def _close(self, head: ModelBox) -> None:
        running = self._find_group(head)
        if running is None or running.head is not head:
            return
        running.engine.is_closing = True
        head.set_state(MemberState.CLOSING)
        self._await_empty(running)

    def _await_empty(self, running: RunningGroup) -> None:
        """End a closing group when its last request is done."""
        if self.groups.get(running.join.group) is not running:
            return
        if running.engine.is_empty:
            self.groups.pop(running.join.group)
            running.head.set_state(MemberState.READY)
            return
        seconds = self._load.platform.order_seconds
        self._timeline.schedule_in(seconds, lambda: self._await_empty(running))

    def _part(self, box: ModelBox) -> None:
        """Take a box out of the group that it stands in."""
        running = self._find_group(box)
        if running is None:
            return
        if running.head is box:
            self._end(running)
        elif not running.engine.is_stalled:
            self.broken_promises.append(
                f'{box.name} leaves {running.join.group}, which serves'
            )
            self._stall(running)

    def _stall(self, running: RunningGroup) -> None:
        """Stop a group that lacks a box; its head gives up later."""
        if running.engine.is_stalled:
            return
        running.engine.stall()
        self._timeline.schedule_in(
            self._load.platform.stall_seconds, lambda: self._break(running)
        )

    def _break(self, running: RunningGroup) -> None:
        if self.groups.get(running.join.group) is not running:
            return
        if running.head.is_alive:
            running.head.set_state(MemberState.BROKEN)
        self._end(running)

    def _end(self, running: RunningGroup) -> None:
        self.groups.pop(running.join.group, None)
        running.engine.break_off()

    def _find_group(self, box: ModelBox) -> RunningGroup | None:
        if box.place is None:
            return None
        return self.groups.get(box.place.join.group)

    def _measure_pace(self, join: Join) -> float:
        slowest = max(self.boxes[name].pace for name in join.members)
        return slowest * self._models[join.model].pace
