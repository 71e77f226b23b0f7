"""A holder of the forming duty before simulated replicas.

The duty is the product's; its orders go through the adapter's words.  An order
may be left unanswered and carried out at any later time.
"""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import attrs

from tests.lone_gossip import LoneGossip
from waywell.connection.box_orders import BoxOrders
from waywell.connection.store_era import EraTracker
from waywell.duties.forming import FormingDuty, FormingSources
from waywell.ids import BoxId, GroupId, ModelName
from waywell.platform.orders import (
    decode_report,
    decode_result,
    encode_order,
)
from waywell.platform.servers import decode_server
from waywell.process.actor import get_handler_name
from waywell.version.fleet import (
    BoxLife,
    Fleet,
    FleetBox,
    compare_fleets,
    update_last_models,
)
from waywell.version.lives import LifeBook
from waywell.version.orders import Assignment, OrderResult

if TYPE_CHECKING:
    from tests.replicas import SimHouse, SimReplica
    from waywell.version.box_report import BoxReport
    from waywell.version.routes import Engine

TURNS = 12
"""Turns of the event loop after which all tasks wait for something."""


@attrs.define(eq=False)
class FlyingOrder:
    """An order that was sent."""

    box: BoxId
    replica: SimReplica
    body: dict[str, Any]
    answer: asyncio.Future[OrderResult]

    def time_out(self) -> None:
        """Let the holder wait for its answer no longer."""
        if not self.answer.done():
            self.answer.set_result(OrderResult.UNKNOWN)

    def carry_out(self) -> None:
        """Let its replica take it, if it lives, and answer if asked still."""
        result = OrderResult.UNKNOWN
        if self.replica.is_alive:
            result = decode_result(self.replica.take(self.body))
        if not self.answer.done():
            self.answer.set_result(result)


class SimOrders(BoxOrders):
    """Sends orders to replicas and keeps them until they are carried out."""

    def __init__(self, house: SimHouse) -> None:
        self.house = house
        self.flying: list[FlyingOrder] = []
        self.changes_behind = 0

    async def give(self, assignment: Assignment, fence: int) -> OrderResult:
        name = assignment.box.box
        replica = self.house.replicas[name]
        answer = asyncio.get_running_loop().create_future()
        body = encode_order(assignment, fence)
        self.flying.append(FlyingOrder(name, replica, body, answer))
        return await answer

    async def read_report(self, box: FleetBox) -> BoxReport | None:
        replica = self.house.replicas[box.box]
        if not replica.is_alive or not replica.is_reachable:
            return None
        return decode_report(box, replica.report(self.changes_behind))


class _HeldDuty(FormingDuty):
    """Holds a term without a lease."""

    held_term = 0

    def is_held(self) -> bool:
        return self.held_term > 0

    @property
    def epoch(self) -> int:
        return self.held_term

    def handle_waiting(self) -> bool:
        """Handle the messages that wait; answer whether there were any."""
        count = self._inbox.qsize()
        for _message in range(count):
            message = self._inbox.get_nowait()
            getattr(self, get_handler_name(message))(message)
        return count > 0


class Holder:
    """One node at a time holds the duty; its list may be old."""

    def __init__(self, house: SimHouse, engine: Engine) -> None:
        self.house = house
        self.clock = house.clock
        self.orders = SimOrders(house)
        self.demand: dict[ModelName, float] = {}
        self.count_requests: dict[str, int] = {}
        self.loop = asyncio.new_event_loop()
        self._entries: dict[str, FleetBox] = {}
        self.last_models: dict[BoxLife, ModelName] = {}
        engines = [('llm', engine)]
        self._outlook = SimpleNamespace(
            index=SimpleNamespace(list_engines=lambda: engines),
            eras=EraTracker(),
            fleet=Fleet({}),
            last_models=self.last_models,
            lives=LifeBook(),
            kept=frozenset(),
            get_boxes_age=lambda _now: 0.0,
        )
        self._term = 0
        self.duty = self._make_duty()

    def close(self) -> None:
        """End what still runs."""
        self.loop.run_until_complete(self.duty.stop())
        self.loop.close()

    def take_over(self) -> None:
        """Let another node hold the duty; it knows the list only."""
        self.duty.held_term = 0
        self.duty = self._make_duty()

    def restart_node(self) -> None:
        """Let a node hold the duty that saw no list before."""
        self._outlook.lives = LifeBook()
        self._outlook.fleet = Fleet({})
        self.last_models.clear()
        self.take_over()

    def refresh(self) -> None:
        """Let the list that the holder sees be true."""
        self._entries = {}
        for name in self.house.replicas:
            self._read_entry(name)
        self._show_entries()

    def refresh_one(self, name: str) -> None:
        """Let the entry of one replica be true; others may be old."""
        self._read_entry(name)
        self._show_entries()

    def _read_entry(self, name: str) -> None:
        replica = self.house.replicas[name]
        if replica.is_listed:
            entry = replica.make_entry()
            self._entries[name] = decode_server(name, entry)
        else:
            self._entries.pop(name, None)

    def hide(self, *names: str) -> list[FleetBox]:
        """Take entries off the list; return them as they were."""
        hidden = [self._entries.pop(name) for name in names]
        self._show_entries()
        return hidden

    def show_again(self, *entries: FleetBox) -> None:
        """Put entries back on the list as they were."""
        self._entries.update({entry.box: entry for entry in entries})
        self._show_entries()

    def find_entry(self, name: str) -> FleetBox | None:
        """Return a box as the holder's list shows it."""
        return self._entries.get(name)

    def plan(self) -> None:
        """Let the holder plan and send its orders."""
        self.duty.post(FormingDuty.PlanTick())
        self.run_tasks()

    def hear(self, group: str) -> None:
        """Tell the holder that a doubted group goes on."""
        self.duty.post(FormingDuty.Heard(GroupId(group)))
        self.run_tasks()

    def ask(self, name: str) -> None:
        """Let the holder ask a box how it is."""
        self.loop.call_soon(self.duty._survey.ask, self._entries[name])
        self.run_tasks()

    def find_head(self, group: str) -> str:
        """Return the box that takes a group's requests, as listed."""
        return next(
            name
            for name, box in self._entries.items()
            if box.standing
            and box.standing.group == group
            and not box.standing.rank
        )

    def doubt(self, group: str) -> None:
        """Tell the holder that a node hears nothing of a group."""
        self.duty.post(FormingDuty.Doubted(GroupId(group)))
        self.run_tasks()

    def carry_out(self, flying: FlyingOrder) -> None:
        """Let an order reach its replica now."""
        self.orders.flying.remove(flying)
        flying.carry_out()
        self.run_tasks()

    def carry_out_all(self) -> None:
        """Let all orders reach their replicas, in the order of sending."""
        while self.orders.flying:
            self.carry_out(self.orders.flying[0])

    def time_out(self, flying: FlyingOrder) -> None:
        """Let an order wait on; the holder gets no answer."""
        flying.time_out()
        self.run_tasks()

    def find_flying(self, box: str, operation: str) -> list[FlyingOrder]:
        """Return the orders of a kind that are on their way to a box."""
        return [
            one
            for one in self.orders.flying
            if one.box == box and one.body['operation'] == operation
        ]

    def run_tasks(self) -> None:
        """Run what can run until all waits for boxes."""
        self.loop.run_until_complete(self._run_turns())

    async def _run_turns(self) -> None:
        is_busy = True
        while is_busy:
            for _turn in range(TURNS):
                await asyncio.sleep(0)
            is_busy = self.duty.handle_waiting()

    def _show_entries(self) -> None:
        before, after = self._outlook.fleet, Fleet(dict(self._entries))
        change = compare_fleets(before, after)
        update_last_models(self.last_models, before, change)
        self._outlook.lives.note(after, change, self.clock.now)
        self._outlook.fleet = after

    def _make_duty(self) -> _HeldDuty:
        self._term += 1
        duty = _HeldDuty(
            None,
            LoneGossip(),
            self.clock,
            self._outlook,
            self.orders,
            2.0,
            FormingSources(
                lambda _now: self.demand,
                lambda life: self.count_requests.get(life.box, 0),
            ),
        )
        duty.held_term = self._term
        return duty
