"""A state machine of boxes, late orders, lost boxes and changing holders."""

from __future__ import annotations

from typing import Any

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from waywell.ids import (
    BoxId,
    DomainName,
    GroupId,
    HallName,
    ModelName,
    ServiceName,
)
from waywell.version.box_report import BoxReport, ReportReading
from waywell.version.fleet import (
    Fleet,
    FleetBox,
    MemberState,
    Standing,
    note_models,
)
from waywell.version.forming import FormingPlanner, FormingView
from waywell.version.forming_memory import FormingMemory
from waywell.version.orders import (
    Assignment,
    Close,
    Join,
    Leave,
    Open,
    OrderResult,
    Stage,
)
from waywell.version.routes import Engine, EngineModel

LLM = ServiceName('llm')
BIG, SMALL = ModelName('big'), ModelName('small')
ENGINE = Engine(
    9,
    (
        EngineModel(BIG, 3, load_seconds=16.0, warm_seconds=1.6),
        EngineModel(SMALL, 2, load_seconds=12.0, warm_seconds=1.1),
    ),
    loads_per_second=5.0,
    loads_at_once=7,
)
BOXES = 8
EPOCHS_A_TERM = 1000


@attrs.define
class SimBox:
    """A box as it truly is."""

    name: BoxId
    is_alive: bool = True
    is_listed: bool = True
    highest: int = 0
    standing: Standing | None = None
    members: tuple[BoxId, ...] = ()
    staged: tuple[ModelName, ...] = ()

    def show(self) -> FleetBox:
        return FleetBox(
            self.name,
            LLM,
            '10.0.0.1',
            8000,
            HallName('port'),
            DomainName('d0'),
            staged=self.staged,
            standing=self.standing,
        )


class FormingMachine(RuleBasedStateMachine):
    """The holder's plan against boxes that carry orders out late."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.term = 0
        self.boxes = {
            BoxId(f'b{number}'): SimBox(BoxId(f'b{number}'))
            for number in range(BOXES)
        }
        self.flying: list[tuple[Assignment, FormingMemory]] = []
        self.was_ready: set[tuple[BoxId, GroupId, int]] = set()
        self.broken: list[str] = []
        self.last_models: dict[BoxId, ModelName] = {}
        self.listed = Fleet({})
        self.take_over()
        for _round in range(3):
            self.settle(callers=False)

    @rule(callers=st.booleans())
    def settle(self, callers: bool) -> None:
        """All goes well for a while: groups are ready, then open."""
        self.refresh()
        self.plan(callers)
        while self.flying:
            self.carry_out(0, is_answered=True)
        for number in range(BOXES):
            self.finish_load(number)
        self.refresh()

    @rule()
    def take_over(self) -> None:
        """Another node holds the duty; orders of the last are on their way."""
        self.term += 1
        first = self.term * EPOCHS_A_TERM
        self.memory = FormingMemory(
            next_epoch=first, first_epoch=first, last_models=self.last_models
        )

    @rule()
    def refresh(self) -> None:
        """The list that the holder sees becomes true."""
        self.listed = Fleet(
            {
                box.name: box.show()
                for box in self.boxes.values()
                if box.is_listed
            },
        )
        note_models(self.last_models, self.listed)

    @rule(callers=st.booleans())
    def plan(self, callers: bool) -> None:
        """The holder plans by the list that it sees."""
        demand = {BIG: 9.0, SMALL: 9.0} if callers else {}
        view = FormingView(LLM, ENGINE, self.listed, demand)
        planner = FormingPlanner(view, self.memory, self.now)
        self.flying.extend(
            (assignment, self.memory) for assignment in planner.plan()
        )

    @rule(choice=st.integers(0, 99), is_answered=st.booleans())
    def carry_out(self, choice: int, is_answered: bool) -> None:
        """A box carries out an order, early or late."""
        if not self.flying:
            return
        assignment, memory = self.flying.pop(choice % len(self.flying))
        box = self.boxes[assignment.box.box]
        result = OrderResult.UNKNOWN
        if box.is_alive:
            result = self._take(box, assignment.order)
        if is_answered:
            memory.note_result(assignment, result, self.now)

    @rule(choice=st.integers(0, 99))
    def finish_load(self, choice: int) -> None:
        """A box that joins is ready."""
        box = self._pick(choice)
        if box.standing and box.standing.state is MemberState.JOINING:
            self._set_state(box, MemberState.READY)

    @rule(choice=st.integers(0, 99))
    def lose(self, choice: int) -> None:
        """A box is lost; the list shows it until it lapses."""
        self._pick(choice).is_alive = False

    @rule(choice=st.integers(0, 99))
    def lapse(self, choice: int) -> None:
        """A box is off the list: lost, or cut off from the platform only."""
        self._pick(choice).is_listed = False

    @rule(choice=st.integers(0, 99))
    def list_again(self, choice: int) -> None:
        """A box that lives is on the list again."""
        box = self._pick(choice)
        box.is_listed = box.is_listed or box.is_alive

    @rule(choice=st.integers(0, 99))
    def restart(self, choice: int) -> None:
        """A lost box starts again: a new life with nothing but its host."""
        box = self._pick(choice)
        if box.is_alive:
            return
        self.boxes[box.name] = SimBox(box.name, staged=box.staged)
        self.was_ready = {key for key in self.was_ready if key[0] != box.name}
        self.flying = [
            (assignment, memory)
            for assignment, memory in self.flying
            if assignment.box.box != box.name
        ]

    @rule(choice=st.integers(0, 99), pace=st.sampled_from([1.0, 5.0]))
    def tell_pace(self, choice: int, pace: float) -> None:
        """The holder hears how fast a box is."""
        reading = ReportReading(BoxReport(pace), self.now)
        self.memory.reports[self._pick(choice).name] = reading

    @rule(seconds=st.sampled_from([0.1, 1.0, 3.0, 10.0, 60.0]))
    def pass_time(self, seconds: float) -> None:
        """Time passes."""
        self.now += seconds

    @invariant()
    def keeps_its_promises(self) -> None:
        """No box joins while its group is open; no group opens too early."""
        assert not self.broken

    def _pick(self, choice: int) -> SimBox:
        return self.boxes[BoxId(f'b{choice % BOXES}')]

    def _set_state(self, box: SimBox, state: MemberState) -> None:
        assert box.standing is not None
        old = box.standing
        box.standing = Standing(old.group, old.epoch, old.rank, state)
        if state is MemberState.READY:
            self.was_ready.add((box.name, old.group, old.epoch))

    def _take(self, box: SimBox, order: Any) -> OrderResult:
        if isinstance(order, Stage):
            box.staged = (order.model,)
            return OrderResult.TAKEN
        if isinstance(order, Join):
            return self._take_join(box, order)
        standing = box.standing
        if standing is None or standing.epoch != order.epoch:
            return OrderResult.MISFIT
        if isinstance(order, Leave):
            box.standing = None
        elif isinstance(order, Open):
            return self._take_open(box, order)
        elif isinstance(order, Close):
            self._set_state(box, MemberState.READY)
        return OrderResult.TAKEN

    def _take_join(self, box: SimBox, order: Join) -> OrderResult:
        if order.epoch <= box.highest:
            return OrderResult.OUTDATED
        if box.standing is not None and self._is_open(box.standing.group):
            self.broken.append(f'{box.name} joins {order.group} too early')
        box.highest = order.epoch
        box.members = order.members
        box.staged = (order.model,)
        rank = order.members.index(box.name)
        box.standing = Standing(
            order.group, order.epoch, rank, MemberState.JOINING
        )
        return OrderResult.TAKEN

    def _take_open(self, box: SimBox, order: Open) -> OrderResult:
        assert box.standing is not None
        if box.standing.state is not MemberState.READY:
            return OrderResult.MISFIT
        for member in box.members:
            if (member, order.group, order.epoch) not in self.was_ready:
                self.broken.append(f'{order.group} opens before {member}')
        self._set_state(box, MemberState.OPEN)
        return OrderResult.TAKEN

    def _is_open(self, group: GroupId) -> bool:
        return any(
            box.is_alive
            and box.standing is not None
            and box.standing.group == group
            and box.standing.rank == 0
            and box.standing.state is MemberState.OPEN
            for box in self.boxes.values()
        )


TestForming = FormingMachine.TestCase
TestForming.settings = settings(
    settings.get_profile('fixed'), stateful_step_count=60
)
