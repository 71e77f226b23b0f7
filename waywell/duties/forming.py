"""The duty of forming groups: one node plans and gives the orders."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

import attrs

from waywell.duties.box_questions import ask_box
from waywell.duties.box_survey import BoxSurvey
from waywell.duties.duty import Duty
from waywell.duties.forming_log import log_backoffs, log_groups, log_order
from waywell.ids import GroupId, ModelName, ServiceName
from waywell.process.actor import Message
from waywell.request.paths import DirectPaths, ReplicaPaths
from waywell.telemetry.events import log_warning
from waywell.version.box_report import BoxReport
from waywell.version.fleet import (
    BoxLife,
    Fleet,
    FleetBox,
)
from waywell.version.forming import (
    FormingPlanner,
    FormingSummary,
    FormingView,
)
from waywell.version.forming_memory import FormingMemory
from waywell.version.join_check import check_joins
from waywell.version.load_failures import LoadHistory
from waywell.version.orders import (
    Assignment,
    Join,
    OrderResult,
)

if TYPE_CHECKING:
    from waywell.connection.box_orders import BoxOrders
    from waywell.connection.platform import Platform
    from waywell.knowledge.cluster_view import ClusterView
    from waywell.membership.gossip import Gossip
    from waywell.membership.membership import NodeRecord
    from waywell.process.clock import Clock

PLAN_SECONDS = 0.15
"""Between two plans: a tenth of the time in which a group is patched."""

OLDEST_LIST = 2.0
"""Seconds after which a box list is too old to give orders by."""

EPOCHS_A_TERM = 1_000_000
"""Epochs that one holder has; the next one's are higher."""

OUTDATED_SECONDS = 10.0
"""Between two terms that are given up because a box has seen a later one: each
new term forgets what the holder has learned."""

SETTLE_SECONDS = 1.5
"""For which the list of a service must have been the same before the first
groups are formed, so that whole domains are there."""


@attrs.frozen
class FormingSources:
    """What a holder of the duty knows of requests and of its own links."""

    read_demand: Callable[[float], Mapping[ModelName, float]]
    """Returns the places that callers take, by model."""

    count_requests: Callable[[BoxLife], int]
    """Returns the requests in flight at a box, of all nodes."""

    links: ReplicaPaths = attrs.Factory(DirectPaths)
    """This node's links to boxes."""


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
    cluster
        Routes and boxes in force.
    orders
        Calls to boxes.
    term
        Term of the lease, in seconds.
    sources
        What this node knows of requests and of its own links.
    """

    class PlanTick(Message, frozen=True):
        """A plan is due."""

    class Doubted(Message, frozen=True):
        """A node hears nothing of a group any more."""

        group: GroupId
        """The group."""

    class Heard(Message, frozen=True):
        """A doubted group goes on."""

        group: GroupId
        """The group."""

    class Probed(Message, frozen=True):
        """A box was asked for a sign of life."""

        box: FleetBox
        """The box."""

        report: BoxReport | None
        """What it told; ``None`` where nothing came."""

        is_conclusive: bool = True
        """Whether the lack of a report speaks against the box."""

    class Ordered(Message, frozen=True):
        """A box has answered an order, or has not."""

        assignment: Assignment
        """The order."""

        result: OrderResult
        """What came of it."""

        epoch: int
        """Epoch of the lease under which it was planned."""

    class NotFormed(Message, frozen=True):
        """No join of a new group was sent, as a box does not fit."""

        service: ServiceName
        """Service of its boxes."""

        group: GroupId
        """The group."""

        unfit: tuple[BoxLife, ...]
        """The boxes that do not fit."""

        epoch: int
        """Epoch of the lease under which it was planned."""

    def __init__(
        self,
        platform: Platform,
        gossip: Gossip,
        clock: Clock,
        cluster: ClusterView,
        orders: BoxOrders,
        term: float,
        sources: FormingSources,
    ) -> None:
        """Start without the lease."""
        super().__init__(
            'forming', platform, gossip, clock, term, cluster.eras
        )
        self._cluster = cluster
        self._links = sources.links
        self._orders = orders
        self._read_demand = sources.read_demand
        self._memories: dict[ServiceName, FormingMemory] = {}
        self._summaries: dict[ServiceName, FormingSummary] = {}
        self.loads = LoadHistory()
        self._survey = BoxSurvey(
            cluster, self._begin_probe, sources.count_requests
        )
        self._box_count = 0
        self._counted_at = 0.0
        self._outdated_at = float('-inf')
        self._planning: asyncio.Task[object] | None = None

    def list_eligible(self) -> list[NodeRecord]:
        """Return the nodes that reach boxes, where any does."""
        live = super().list_eligible()
        return [one for one in live if not one.lost_services] or live

    def may_hold(self) -> bool:
        """Answer whether this node reaches the boxes that form groups."""
        return not any(
            self._links.is_partitioned(name)
            for name, _engine in self._cluster.index.list_engines()
        )

    def find_least_epoch(self) -> int:
        """Return the term of the latest group that is listed.

        Where the lease was written over, nothing else tells it.
        """
        return self._cluster.fleet.find_latest_epoch() // EPOCHS_A_TERM

    async def take_up(self) -> None:
        """Forget what an earlier term knew; begin to plan."""
        self._memories.clear()
        self.loads.forget_attempts()
        self._planning = self.repeat(PLAN_SECONDS, self.PlanTick())

    def lay_down(self) -> None:
        """Plan no more."""
        if self._planning is not None:
            self._planning.cancel()

    def on_plan_tick(self, _tick: PlanTick) -> None:
        """Plan for each service, and give the orders."""
        now = self.clock.read()
        if not self.is_held() or not self._may_plan(now):
            return
        if not self.may_hold():
            return
        for name, engine in self._cluster.index.list_engines():
            memory = self._get_memory(name)
            self._survey.ask_troubled(memory, now)
            self._survey.ask_kept(memory, now)
            view = FormingView(
                name,
                engine,
                self._list_present(name, memory),
                self._read_demand(now),
                self._cluster.retained_boxes,
            )
            planner = FormingPlanner(view, memory, now)
            self._send(planner.plan())
            self._note_summary(name, planner.summary, view)
            log_backoffs(name, memory.load_failures.pop_backoffs())

    def on_ordered(self, ordered: Ordered) -> None:
        """Note what came of an order of this term of work."""
        if not self._is_of_this_term(ordered.epoch):
            return
        now = self.clock.read()
        memory = self._get_memory(ordered.assignment.box.service)
        memory.record_result(ordered.assignment, ordered.result, now)
        if ordered.result is OrderResult.OUTDATED:
            self._begin_later_term(now)

    def on_not_formed(self, not_formed: NotFormed) -> None:
        """Give up a group of this term of work whose boxes do not fit."""
        if not self._is_of_this_term(not_formed.epoch):
            return
        log_warning(
            'group_not_formed',
            group=not_formed.group,
            unfit=','.join(life.box for life in not_formed.unfit),
        )
        self._get_memory(not_formed.service).record_not_formed(
            not_formed.group, not_formed.unfit, self.clock.read()
        )

    def on_doubted(self, doubted: Doubted) -> None:
        """Ask the members of a doubted group for a sign of life."""
        group = self._cluster.fleet.groups.get(doubted.group)
        if not self.is_held() or group is None:
            return
        self._survey.note_doubt(group, self.clock.read())

    def on_heard(self, heard: Heard) -> None:
        """Take in that a doubted group goes on."""
        self._survey.note_heard(heard.group)

    def on_probed(self, probed: Probed) -> None:
        """Count a life of a box as lost, or as back."""
        if not probed.is_conclusive:
            self._survey.give_up(probed.box)
            return
        memory = self._get_memory(probed.box.service)
        now = self.clock.read()
        self._survey.take(memory, probed.box, probed.report, now)

    def dump(self) -> dict[str, object]:
        """Return the duty as plain values."""
        return {
            **super().dump(),
            'services': {
                name: {
                    'next_epoch': memory.next_epoch,
                    'pending': sorted(life.box for life in memory.pending),
                    'forming': sorted(memory.forming),
                    'crashing_loads': memory.load_failures.list_limited(),
                }
                for name, memory in self._memories.items()
            },
        }

    def _list_present(
        self,
        service: ServiceName,
        memory: FormingMemory,
    ) -> Fleet:
        """Return the boxes of a service that give signs of life."""
        return Fleet(
            {
                name: box
                for name, box in self._cluster.fleet.boxes.items()
                if box.service == service and box.life not in memory.lost
            },
        )

    def _begin_probe(self, box: FleetBox) -> None:
        self.spawn(self._probe(box))

    async def _probe(self, box: FleetBox) -> BoxReport | None:
        """Ask a box for a sign of life; note and return what it told."""
        report = await ask_box(self._orders, box)
        is_conclusive = report is not None
        if not is_conclusive:
            is_conclusive = await self._links.verify(box.service)
        self.post(self.Probed(box, report, is_conclusive))
        return report

    def _may_plan(self, now: float) -> bool:
        """Answer whether the box list is new enough and has settled."""
        count = len(self._cluster.fleet.boxes)
        if count != self._box_count:
            self._box_count = count
            self._counted_at = now
        if self._cluster.get_boxes_age(now) > OLDEST_LIST:
            return False
        if any(box.standing for box in self._cluster.fleet.boxes.values()):
            return True
        return now - self._counted_at >= SETTLE_SECONDS

    def _get_memory(self, service: ServiceName) -> FormingMemory:
        memory = self._memories.get(service)
        if memory is None:
            memory = FormingMemory(
                next_epoch=self.epoch * EPOCHS_A_TERM + 1,
                last_models=self._cluster.last_models,
                lives=self._cluster.lives,
                load_failures=self.loads.get(service),
            )
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
        log_groups(summary, view)

    def _is_of_this_term(self, epoch: int) -> bool:
        """Answer whether a plan was made in the present term of work."""
        return self.is_held() and epoch == self.epoch

    def _begin_later_term(self, now: float) -> None:
        """Take the lease anew: a box has had orders of a later term.

        Epochs of the next term are higher, so its orders count again.
        """
        if now - self._outdated_at > OUTDATED_SECONDS:
            self._outdated_at = now
            log_warning('term_outdated', duty=self.name, epoch=self.epoch)
            self.lease.state.distrust()

    def _send(self, assignments: list[Assignment]) -> None:
        """Give the orders of a plan; boxes are asked before they join."""
        joins: dict[GroupId, list[Assignment]] = defaultdict(list)
        for assignment in assignments:
            if isinstance(assignment.order, Join):
                joins[assignment.order.group].append(assignment)
            else:
                self.spawn(self._give(assignment, self.epoch))
        for group, members in joins.items():
            self.spawn(self._form(group, tuple(members), self.epoch))

    async def _form(
        self,
        group: GroupId,
        joins: tuple[Assignment, ...],
        epoch: int,
    ) -> None:
        """Ask the boxes of a new group; give the joins if all of them fit."""
        told = await asyncio.gather(*(self._probe(join.box) for join in joins))
        reports = {
            join.box.life: report
            for join, report in zip(joins, told, strict=True)
            if report is not None
        }
        check = check_joins(joins, reports)
        if check.unfit:
            service = joins[0].box.service
            self.post(self.NotFormed(service, group, check.unfit, epoch))
            return
        await asyncio.gather(
            *(self._give(join, epoch) for join in check.joins)
        )

    async def _give(self, assignment: Assignment, epoch: int) -> None:
        if not self._is_of_this_term(epoch):
            return
        if self._cluster.fleet.has_restarted(assignment.box):
            log_order(assignment, OrderResult.ENDED)
            self.post(self.Ordered(assignment, OrderResult.ENDED, epoch))
            return
        result = await self._orders.send(assignment, epoch)
        log_order(assignment, result)
        self.post(self.Ordered(assignment, result, epoch))
