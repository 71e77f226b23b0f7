"""Duty of forming groups: one node plans and sends the orders to boxes."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

import attrs

from waywell.duties.box_monitor import BoxMonitor
from waywell.duties.box_probe import probe_box
from waywell.duties.duty import Duty
from waywell.duties.forming_log import (
    log_group_counts,
    log_load_backoffs,
    log_order,
)
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
"""Interval between plans: a tenth of the time that it takes to patch a
group."""

MAX_BOX_LIST_AGE_SECONDS = 2.0
"""Age beyond which the box list is too old to base orders on it."""

EPOCHS_PER_TERM = 1_000_000
"""Group epochs reserved for each term of the lease, so that groups of a later
term have higher epochs."""

MIN_NEW_TERM_INTERVAL_SECONDS = 10.0
"""Minimum interval between terms that are abandoned because a box has seen a
later one: each new term discards what the holder has learned."""

SETTLE_SECONDS = 1.5
"""Seconds for which the number of boxes must be unchanged before the first
groups are formed, so that whole domains are listed."""


@attrs.frozen
class FormingSources:
    """Sources of demand, request counts and link state at this node."""

    read_demand: Callable[[float], Mapping[ModelName, float]]
    """Returns the number of places that callers occupy, by model."""

    count_requests: Callable[[BoxLife], int]
    """Returns the number of requests in flight at a box, from all nodes."""

    links: ReplicaPaths = attrs.Factory(DirectPaths)
    """Reachability of the boxes from this node."""


class FormingDuty(Duty):
    """Plans groups and sends orders to boxes while it holds the lease.

    Parameters
    ----------
    platform
        Client of the platform's store, which keeps the lease.
    gossip
        Membership.
    clock
        Time source.
    cluster
        Routes and box list in force.
    orders
        Client of the boxes, for orders and reports.
    term
        Term of the lease, in seconds.
    sources
        Request counts, demand and link state at this node.
    """

    class PlanTick(Message, frozen=True):
        """A planning pass is due."""

    class GroupDoubted(Message, frozen=True):
        """A node no longer receives anything from a group."""

        group: GroupId
        """Group that is doubted."""

    class DoubtCleared(Message, frozen=True):
        """A doubted group has resumed."""

        group: GroupId
        """Group whose doubt is withdrawn."""

    class BoxProbed(Message, frozen=True):
        """A probe of a box has ended."""

        box: FleetBox
        """Box as it was listed when the probe was sent."""

        report: BoxReport | None
        """Report of the box; ``None`` if it did not answer."""

        is_conclusive: bool = True
        """Whether a missing report is evidence against the box."""

    class OrderCompleted(Message, frozen=True):
        """An order has been answered or has failed."""

        assignment: Assignment
        """Order and the box that it was sent to."""

        result: OrderResult
        """Answer of the box, or the kind of failure."""

        epoch: int
        """Epoch of the lease under which the order was planned."""

    class GroupNotFormed(Message, frozen=True):
        """A new group was given up before any join, as boxes are unfit."""

        service: ServiceName
        """Service of the group's boxes."""

        group: GroupId
        """Group that was planned."""

        unfit: tuple[BoxLife, ...]
        """Boxes that can't join the group."""

        epoch: int
        """Epoch of the lease under which the group was planned."""

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
        self._monitor = BoxMonitor(
            cluster, self._start_probe, sources.count_requests
        )
        self._box_count = 0
        self._box_count_since = 0.0
        self._term_abandoned_at = float('-inf')
        self._planning: asyncio.Task[object] | None = None

    def list_eligible(self) -> list[NodeRecord]:
        """Return the nodes with links to all services, or all if none has."""
        live = super().list_eligible()
        return [record for record in live if not record.lost_services] or live

    def can_hold(self) -> bool:
        """Return whether this node has links to all services with engines."""
        return not any(
            self._links.is_partitioned(name)
            for name, _engine in self._cluster.index.list_engines()
        )

    def find_highest_used_epoch(self) -> int:
        """Return the lease epoch of the latest listed group.

        If the lease record was overwritten, this is the only source of it.
        """
        return self._cluster.fleet.find_latest_epoch() // EPOCHS_PER_TERM

    async def start_work(self) -> None:
        """Discard the state of earlier terms and start planning."""
        self._memories.clear()
        self.loads.forget_attempts()
        self._planning = self.repeat(PLAN_SECONDS, self.PlanTick())

    def stop_work(self) -> None:
        """Stop planning."""
        if self._planning is not None:
            self._planning.cancel()

    def on_plan_tick(self, _tick: PlanTick) -> None:
        """Plan the groups of each service and send the orders."""
        now = self.clock.read()
        if not self.is_held() or not self._may_plan(now):
            return
        if not self.can_hold():
            return
        for name, engine in self._cluster.index.list_engines():
            memory = self._get_memory(name)
            self._monitor.probe_failing(memory, now)
            self._monitor.probe_unlisted(memory, now)
            view = FormingView(
                name,
                engine,
                self._list_live(name, memory),
                self._read_demand(now),
                self._cluster.retained_boxes,
            )
            planner = FormingPlanner(view, memory, now)
            self._send_orders(planner.plan())
            self._log_summary(name, planner.summary, view)
            log_load_backoffs(name, memory.load_failures.pop_backoffs())

    def on_order_completed(self, ordered: OrderCompleted) -> None:
        """Record the result of an order of the current term."""
        if not self._is_current_term(ordered.epoch):
            return
        now = self.clock.read()
        memory = self._get_memory(ordered.assignment.box.service)
        memory.record_result(ordered.assignment, ordered.result, now)
        if ordered.result is OrderResult.OUTDATED:
            self._start_later_term(now)

    def on_group_not_formed(self, not_formed: GroupNotFormed) -> None:
        """Give up a planned group of the current term with unfit boxes."""
        if not self._is_current_term(not_formed.epoch):
            return
        log_warning(
            'group_not_formed',
            group=not_formed.group,
            unfit=','.join(life.box for life in not_formed.unfit),
        )
        self._get_memory(not_formed.service).record_not_formed(
            not_formed.group, not_formed.unfit, self.clock.read()
        )

    def on_group_doubted(self, doubted: GroupDoubted) -> None:
        """Probe the members of a doubted group."""
        group = self._cluster.fleet.groups.get(doubted.group)
        if not self.is_held() or group is None:
            return
        self._monitor.record_doubt(group, self.clock.read())

    def on_doubt_cleared(self, cleared: DoubtCleared) -> None:
        """Withdraw the doubt about a group."""
        self._monitor.clear_doubt(cleared.group)

    def on_box_probed(self, probed: BoxProbed) -> None:
        """Record the result of a probe."""
        if not probed.is_conclusive:
            self._monitor.discard_probe(probed.box)
            return
        memory = self._get_memory(probed.box.service)
        now = self.clock.read()
        self._monitor.record_result(memory, probed.box, probed.report, now)

    def dump(self) -> dict[str, object]:
        """Return the state of the duty as plain values."""
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

    def _list_live(
        self,
        service: ServiceName,
        memory: FormingMemory,
    ) -> Fleet:
        """Return the listed boxes of a service that are not lost."""
        return Fleet(
            {
                name: box
                for name, box in self._cluster.fleet.boxes.items()
                if box.service == service and box.life not in memory.lost
            },
        )

    def _start_probe(self, box: FleetBox) -> None:
        self.spawn(self._probe(box))

    async def _probe(self, box: FleetBox) -> BoxReport | None:
        """Probe a box; post the result to this actor and return the report."""
        report = await probe_box(self._orders, box)
        is_conclusive = report is not None
        if not is_conclusive:
            is_conclusive = await self._links.verify(box.service)
        self.post(self.BoxProbed(box, report, is_conclusive))
        return report

    def _may_plan(self, now: float) -> bool:
        """Return whether the box list is recent and its size is stable."""
        count = len(self._cluster.fleet.boxes)
        if count != self._box_count:
            self._box_count = count
            self._box_count_since = now
        if self._cluster.get_boxes_age(now) > MAX_BOX_LIST_AGE_SECONDS:
            return False
        if any(box.standing for box in self._cluster.fleet.boxes.values()):
            return True
        return now - self._box_count_since >= SETTLE_SECONDS

    def _get_memory(self, service: ServiceName) -> FormingMemory:
        memory = self._memories.get(service)
        if memory is None:
            memory = FormingMemory(
                next_epoch=self.epoch * EPOCHS_PER_TERM + 1,
                last_models=self._cluster.last_models,
                lives=self._cluster.lives,
                load_failures=self.loads.get(service),
            )
            self._memories[service] = memory
        return memory

    def _log_summary(
        self,
        service: ServiceName,
        summary: FormingSummary,
        view: FormingView,
    ) -> None:
        """Log the group counts of a service if they have changed."""
        if self._summaries.get(service) == summary:
            return
        self._summaries[service] = summary
        log_group_counts(summary, view)

    def _is_current_term(self, epoch: int) -> bool:
        """Return whether a plan was made in the current term."""
        return self.is_held() and epoch == self.epoch

    def _start_later_term(self, now: float) -> None:
        """Abandon the term, as a box has received orders of a later one.

        The lease is then acquired again with a higher epoch, so that boxes
        accept this node's orders again.
        """
        if now - self._term_abandoned_at > MIN_NEW_TERM_INTERVAL_SECONDS:
            self._term_abandoned_at = now
            log_warning('term_outdated', duty=self.name, epoch=self.epoch)
            self.lease.state.abandon_term()

    def _send_orders(self, assignments: list[Assignment]) -> None:
        """Send the orders of a plan; probe the boxes of a new group first."""
        joins: dict[GroupId, list[Assignment]] = defaultdict(list)
        for assignment in assignments:
            if isinstance(assignment.order, Join):
                joins[assignment.order.group].append(assignment)
            else:
                self.spawn(self._send_order(assignment, self.epoch))
        for group, members in joins.items():
            self.spawn(self._form_group(group, tuple(members), self.epoch))

    async def _form_group(
        self,
        group: GroupId,
        joins: tuple[Assignment, ...],
        epoch: int,
    ) -> None:
        """Probe the boxes of a new group; send the joins if all are fit."""
        probed = await asyncio.gather(
            *(self._probe(join.box) for join in joins)
        )
        reports = {
            join.box.life: report
            for join, report in zip(joins, probed, strict=True)
            if report is not None
        }
        check = check_joins(joins, reports)
        if check.unfit:
            service = joins[0].box.service
            self.post(self.GroupNotFormed(service, group, check.unfit, epoch))
            return
        await asyncio.gather(
            *(self._send_order(join, epoch) for join in check.joins)
        )

    async def _send_order(self, assignment: Assignment, epoch: int) -> None:
        if not self._is_current_term(epoch):
            return
        if self._cluster.fleet.has_restarted(assignment.box):
            log_order(assignment, OrderResult.ENDED)
            self.post(
                self.OrderCompleted(assignment, OrderResult.ENDED, epoch)
            )
            return
        result = await self._orders.send(assignment, epoch)
        log_order(assignment, result)
        self.post(self.OrderCompleted(assignment, result, epoch))
