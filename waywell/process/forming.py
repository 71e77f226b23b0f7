"""The duty of forming groups: one node plans and gives the orders."""

from __future__ import annotations

from typing import TYPE_CHECKING

from waywell.process.actor import Message
from waywell.process.duty import Duty
from waywell.process.events import log_event, log_warning
from waywell.version.forming import (
    FormingMemory,
    FormingPlanner,
    FormingSummary,
    FormingView,
)
from waywell.version.orders import (
    Assignment,
    Join,
    Leave,
    OrderResult,
    Stage,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from waywell.connection.box_orders import BoxOrders
    from waywell.connection.platform import Platform
    from waywell.ids import ModelName, ServiceName
    from waywell.process.clock import Clock
    from waywell.process.front_settings import FrontSettings
    from waywell.process.gossip import Gossip
    from waywell.process.outlook import Outlook

PLAN_SECONDS = 0.15
"""Between two plans: a tenth of the time in which a group is patched."""

OLDEST_LIST = 2.0
"""Seconds after which a box list is too old to give orders by."""

EPOCHS_A_TERM = 1_000_000
"""Epochs that one holder has; the next one's are higher."""

SETTLE_SECONDS = 1.5
"""For which the list of a service must have been the same before the first
groups are formed, so that whole domains are there."""


class FormingDuty(Duty):
    """Plans groups and gives the orders while it holds the lease.

    Parameters
    ----------
    platform
        The platform, for the lease.
    gossip
        Membership.
    clock
        Where the time is read.
    outlook
        Routes and boxes in force.
    orders
        Calls to boxes.
    settings
        Periods and bounds.
    read_demand
        Returns the places that callers take, by model.
    """

    class PlanTick(Message, frozen=True):
        """A plan is due."""

    class Ordered(Message, frozen=True):
        """A box has answered an order, or has not."""

        assignment: Assignment
        """The order."""

        result: OrderResult
        """What came of it."""

    def __init__(
        self,
        platform: Platform,
        gossip: Gossip,
        clock: Clock,
        outlook: Outlook,
        orders: BoxOrders,
        settings: FrontSettings,
        read_demand: Callable[[float], Mapping[ModelName, float]],
    ) -> None:
        """Start without the lease."""
        super().__init__(
            'forming', platform, gossip, clock, settings.timing.lease
        )
        self._outlook = outlook
        self._orders = orders
        self._stall = settings.promises.group_stalls_for
        self._read_demand = read_demand
        self._memories: dict[ServiceName, FormingMemory] = {}
        self._summaries: dict[ServiceName, FormingSummary] = {}
        self._box_count = 0
        self._counted_at = 0.0

    def start(self) -> None:
        """Begin to look at the lease, and to plan when it is held."""
        super().start()
        self.repeat(PLAN_SECONDS, self.PlanTick())

    async def take_up(self) -> None:
        """Forget what an earlier term knew."""
        self._memories.clear()

    def on_plan_tick(self, _tick: PlanTick) -> None:
        """Plan for each service, and give the orders."""
        now = self.clock.read()
        if not self.is_held() or not self._may_plan(now):
            return
        for name, engine in self._outlook.index.list_engines():
            memory = self._get_memory(name)
            view = FormingView(
                name,
                engine,
                self._outlook.fleet,
                self._read_demand(now),
                self._stall,
            )
            planner = FormingPlanner(view, memory, now)
            for assignment in planner.plan():
                self.spawn(self._give(assignment))
            self._note_summary(name, planner.summary, view)

    def on_ordered(self, ordered: Ordered) -> None:
        """Note what came of an order."""
        assignment = ordered.assignment
        memory = self._get_memory(assignment.box.service)
        order = assignment.order
        if ordered.result in {OrderResult.MISFIT, OrderResult.OUTDATED}:
            memory.pending.pop(assignment.box.box, None)
            if isinstance(order, Join):
                memory.forming.pop(order.group, None)
        if isinstance(order, Leave) and ordered.result in {
            OrderResult.TAKEN,
            OrderResult.GONE,
        }:
            memory.settled.add(order.group)

    def dump(self) -> dict[str, object]:
        """Return the duty as plain values."""
        return {
            **super().dump(),
            'services': {
                name: {
                    'next_epoch': memory.next_epoch,
                    'pending': sorted(memory.pending),
                    'forming': sorted(memory.forming),
                }
                for name, memory in self._memories.items()
            },
        }

    def _may_plan(self, now: float) -> bool:
        """Answer whether the box list is new enough and has settled."""
        count = len(self._outlook.fleet.boxes)
        if count != self._box_count:
            self._box_count = count
            self._counted_at = now
        if self._outlook.get_boxes_age(now) > OLDEST_LIST:
            return False
        if any(box.standing for box in self._outlook.fleet.boxes.values()):
            return True
        return now - self._counted_at >= SETTLE_SECONDS

    def _get_memory(self, service: ServiceName) -> FormingMemory:
        memory = self._memories.get(service)
        if memory is None:
            first = self.lease.state.epoch * EPOCHS_A_TERM + 1
            memory = FormingMemory(next_epoch=first, first_epoch=first)
            self._memories[service] = memory
        return memory

    def _note_summary(
        self,
        service: ServiceName,
        summary: FormingSummary,
        view: FormingView,
    ) -> None:
        """Log how the groups stand when that has changed."""
        if self._summaries.get(service) == summary:
            return
        self._summaries[service] = summary
        log_event(
            'groups',
            service=service,
            boxes=len(view.fleet.boxes),
            **summary.groups,
            idle=','.join(
                f'{domain}:{count}'
                for domain, count in sorted(summary.idle.items())
            ),
            demand=','.join(
                f'{model}:{places:.0f}'
                for model, places in sorted(view.demand.items())
            ),
        )

    async def _give(self, assignment: Assignment) -> None:
        if not self.is_held():
            return
        result = await self._orders.give(assignment)
        order = assignment.order
        log = log_event if result is OrderResult.TAKEN else log_warning
        log(
            'order',
            order=type(order).__name__.lower(),
            box=assignment.box.box,
            group=order.model if isinstance(order, Stage) else order.group,
            result=result.value,
        )
        self.post(self.Ordered(assignment, result))
