"""A holder of the forming duty with simulated replicas.

The duty is the real one, and its orders pass through the platform's encoding.
An order may remain unanswered and be carried out at any later time.
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
from waywell.version.life_tracker import LifeTracker
from waywell.version.orders import Assignment, OrderResult

if TYPE_CHECKING:
    from tests.replicas import SimFleet, SimReplica
    from waywell.version.box_report import BoxReport
    from waywell.version.routes import Engine

TURNS = 12
"""Turns of the event loop after which every task is waiting."""


@attrs.define(eq=False)
class InFlightOrder:
    """An order that was sent and is not carried out yet."""

    box: BoxId
    replica: SimReplica
    body: dict[str, Any]
    answer: asyncio.Future[OrderResult]

    def time_out(self) -> None:
        """Let the holder give up waiting for the answer."""
        if not self.answer.done():
            self.answer.set_result(OrderResult.UNKNOWN)

    def carry_out(self) -> None:
        """Apply the order to its replica if alive; answer if still awaited."""
        result = OrderResult.UNKNOWN
        if self.replica.is_alive:
            result = decode_result(self.replica.apply_order(self.body))
        if not self.answer.done():
            self.answer.set_result(result)


class SimOrders(BoxOrders):
    """Sends orders to replicas and holds them until they are carried out."""

    def __init__(self, sim_fleet: SimFleet) -> None:
        self.sim_fleet = sim_fleet
        self.in_flight: list[InFlightOrder] = []
        self.changes_behind = 0

    async def send(self, assignment: Assignment, fence: int) -> OrderResult:
        name = assignment.box.box
        replica = self.sim_fleet.replicas[name]
        answer = asyncio.get_running_loop().create_future()
        body = encode_order(assignment, fence)
        self.in_flight.append(InFlightOrder(name, replica, body, answer))
        return await answer

    async def read_report(self, box: FleetBox) -> BoxReport | None:
        replica = self.sim_fleet.replicas[box.box]
        if not replica.is_alive or not replica.is_reachable:
            return None
        return decode_report(box, replica.encode_report(self.changes_behind))


class _HeldDuty(FormingDuty):
    """Forming duty that is held without a lease."""

    held_term = 0

    def is_held(self) -> bool:
        return self.held_term > 0

    @property
    def epoch(self) -> int:
        return self.held_term

    def handle_waiting(self) -> bool:
        """Handle the queued messages; return whether there were any."""
        count = self._inbox.qsize()
        for _message in range(count):
            message = self._inbox.get_nowait()
            getattr(self, get_handler_name(message))(message)
        return count > 0


class Holder:
    """Holder of the duty, one node at a time; its box list may be outdated."""

    def __init__(self, sim_fleet: SimFleet, engine: Engine) -> None:
        self.sim_fleet = sim_fleet
        self.clock = sim_fleet.clock
        self.orders = SimOrders(sim_fleet)
        self.demand: dict[ModelName, float] = {}
        self.request_counts: dict[str, int] = {}
        self.loop = asyncio.new_event_loop()
        self._entries: dict[str, FleetBox] = {}
        self.last_models: dict[BoxLife, ModelName] = {}
        engines = [('llm', engine)]
        self._cluster = SimpleNamespace(
            index=SimpleNamespace(list_engines=lambda: engines),
            eras=EraTracker(),
            fleet=Fleet({}),
            last_models=self.last_models,
            lives=LifeTracker(),
            retained_boxes=frozenset(),
            get_boxes_age=lambda _now: 0.0,
        )
        self._term = 0
        self.duty = self._make_duty()

    def close(self) -> None:
        """Stop the duty and close the event loop."""
        self.loop.run_until_complete(self.duty.stop())
        self.loop.close()

    def take_over(self) -> None:
        """Move the duty to another node, which knows the list only."""
        self.duty.held_term = 0
        self.duty = self._make_duty()

    def restart_node(self) -> None:
        """Move the duty to a node that has seen no list before."""
        self._cluster.lives = LifeTracker()
        self._cluster.fleet = Fleet({})
        self.last_models.clear()
        self.take_over()

    def refresh(self) -> None:
        """Bring the holder's whole box list up to date."""
        self._entries = {}
        for name in self.sim_fleet.replicas:
            self._read_entry(name)
        self._show_entries()

    def refresh_one(self, name: str) -> None:
        """Bring one entry of the holder's box list up to date."""
        self._read_entry(name)
        self._show_entries()

    def _read_entry(self, name: str) -> None:
        replica = self.sim_fleet.replicas[name]
        if replica.is_listed:
            entry = replica.make_entry()
            self._entries[name] = decode_server(name, entry)
        else:
            self._entries.pop(name, None)

    def hide(self, *names: str) -> list[FleetBox]:
        """Remove entries from the list; return them as they were."""
        hidden = [self._entries.pop(name) for name in names]
        self._show_entries()
        return hidden

    def relist(self, *entries: FleetBox) -> None:
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

    def report_group_heard(self, group: str) -> None:
        """Report to the holder that a doubted group is heard again."""
        self.duty.post(FormingDuty.DoubtCleared(GroupId(group)))
        self.run_tasks()

    def ask(self, name: str) -> None:
        """Let the holder ask a box for its report."""
        self.loop.call_soon(self.duty._monitor.probe, self._entries[name])
        self.run_tasks()

    def find_head(self, group: str) -> str:
        """Return the listed head of a group, which takes its requests."""
        return next(
            name
            for name, box in self._entries.items()
            if box.standing
            and box.standing.group == group
            and not box.standing.rank
        )

    def report_doubt(self, group: str) -> None:
        """Report to the holder that a node hears nothing from a group."""
        self.duty.post(FormingDuty.GroupDoubted(GroupId(group)))
        self.run_tasks()

    def carry_out(self, order: InFlightOrder) -> None:
        """Carry out an order now."""
        self.orders.in_flight.remove(order)
        order.carry_out()
        self.run_tasks()

    def carry_out_all(self) -> None:
        """Carry out all orders, in the order of sending."""
        while self.orders.in_flight:
            self.carry_out(self.orders.in_flight[0])

    def time_out(self, order: InFlightOrder) -> None:
        """Let the holder give up waiting for an order that stays in flight."""
        order.time_out()
        self.run_tasks()

    def find_in_flight(self, box: str, operation: str) -> list[InFlightOrder]:
        """Return the orders of a kind that are in flight to a box."""
        return [
            order
            for order in self.orders.in_flight
            if order.box == box and order.body['operation'] == operation
        ]

    def run_tasks(self) -> None:
        """Run until all tasks wait for boxes."""
        self.loop.run_until_complete(self._run_turns())

    async def _run_turns(self) -> None:
        is_busy = True
        while is_busy:
            for _turn in range(TURNS):
                await asyncio.sleep(0)
            is_busy = self.duty.handle_waiting()

    def _show_entries(self) -> None:
        before, after = self._cluster.fleet, Fleet(dict(self._entries))
        change = compare_fleets(before, after)
        update_last_models(self.last_models, before, change)
        self._cluster.lives.update(after, change, self.clock.now)
        self._cluster.fleet = after

    def _make_duty(self) -> _HeldDuty:
        self._term += 1
        duty = _HeldDuty(
            None,
            LoneGossip(),
            self.clock,
            self._cluster,
            self.orders,
            2.0,
            FormingSources(
                lambda _now: self.demand,
                lambda life: self.request_counts.get(life.box, 0),
            ),
        )
        duty.held_term = self._term
        return duty
