"""Simulation of the forming duty's holder with the daemons' own planner."""

from __future__ import annotations

from collections import defaultdict
from functools import partial
from typing import TYPE_CHECKING

from waywell.duties.box_monitor import BoxMonitor
from waywell.duties.forming import EPOCHS_PER_TERM, PLAN_SECONDS
from waywell.experiment.simulated_box import SERVICE
from waywell.request.demand import (
    DemandEstimator,
    count_by_model,
    count_in_flight_at,
)
from waywell.version.fleet import Fleet
from waywell.version.forming import FormingPlanner, FormingView
from waywell.version.forming_memory import FormingMemory
from waywell.version.join_check import check_joins
from waywell.version.orders import Assignment, Join, OrderResult

if TYPE_CHECKING:
    from collections.abc import Mapping

    from waywell.experiment.load_file import PlatformSettings
    from waywell.experiment.node import Node
    from waywell.experiment.simulated_fleet import SimulatedFleet
    from waywell.experiment.timeline import Timeline
    from waywell.ids import GroupId, ModelName
    from waywell.knowledge.cluster_view import ClusterView
    from waywell.version.box_report import BoxReport
    from waywell.version.fleet import BoxLife, FleetBox, Replica
    from waywell.version.routes import Engine


class FormingHolder:
    """Plans groups and sends the orders to the boxes.

    Parameters
    ----------
    engine
        Models and engine figures of the service.
    cluster
        View of the fleet that the planner reads.
    simulated_fleet
        Boxes that receive orders and probes.
    node
        Node that holds the duty.
    timeline
        Events of the simulation.
    delays
        Delays of orders and answers.
    """

    def __init__(
        self,
        engine: Engine,
        cluster: ClusterView,
        simulated_fleet: SimulatedFleet,
        node: Node,
        timeline: Timeline,
        delays: PlatformSettings,
    ) -> None:
        """Create the holder without starting to plan."""
        self.measures_demand = True
        self._engine = engine
        self._cluster = cluster
        self._simulated_fleet = simulated_fleet
        self._node = node
        self._timeline = timeline
        self._delays = delays
        self._demand_estimator = DemandEstimator()
        self._memory = FormingMemory(
            next_epoch=EPOCHS_PER_TERM + 1,
            last_models=cluster.last_models,
            lives=cluster.lives,
        )
        self._monitor = BoxMonitor(
            cluster, self._begin_probe, self._count_requests
        )

    def start(self) -> None:
        """Plan now and at regular intervals."""
        self._timeline.repeat(PLAN_SECONDS, self._plan)

    def raise_doubt(self, replica: Replica) -> None:
        """Deliver a node's doubt about a silent replica after a delay."""
        self._timeline.schedule_in(
            self._delays.order_seconds, lambda: self._record_doubt(replica)
        )

    def _record_doubt(self, replica: Replica) -> None:
        group = self._cluster.fleet.groups.get(replica.group)
        if group is not None:
            self._monitor.record_doubt(group, self._timeline.now)

    def _plan(self) -> None:
        now = self._timeline.now
        self._monitor.probe_failing(self._memory, now)
        view = FormingView(
            SERVICE,
            self._engine,
            self._list_live_boxes(),
            self._measure_demand(),
        )
        planner = FormingPlanner(view, self._memory, now)
        joins: dict[GroupId, list[Assignment]] = defaultdict(list)
        for assignment in planner.plan():
            if isinstance(assignment.order, Join):
                joins[assignment.order.group].append(assignment)
            else:
                self._send_order(assignment)
        for group, members in joins.items():
            self._check_members(group, tuple(members))

    def _list_live_boxes(self) -> Fleet:
        """Return the listed boxes that are not considered lost."""
        boxes = self._cluster.fleet.boxes
        lost = self._memory.lost
        return Fleet(
            {name: box for name, box in boxes.items() if box.life not in lost},
        )

    def _measure_demand(self) -> Mapping[ModelName, float]:
        loads = self._node.shared_loads.sum_loads()
        loads.update(self._node.replica_table.list_loads())
        in_flight = count_by_model(loads, self._cluster.fleet)
        means = self._demand_estimator.observe(in_flight, self._timeline.now)
        return means if self.measures_demand else {}

    def _count_requests(self, life: BoxLife) -> int:
        return count_in_flight_at(
            self._node.replica_table, self._node.shared_loads, life
        )

    def _begin_probe(self, box: FleetBox) -> None:
        self._probe(box)

    def _probe(self, box: FleetBox) -> BoxReport | None:
        """Probe a box; pass its answer or a timeout to the monitor later."""
        target_box = self._simulated_fleet.boxes[box.box]
        report = target_box.make_report() if target_box.is_alive else None
        delay = 2 * self._delays.order_seconds
        if report is None:
            delay = self._delays.answer_seconds
        self._timeline.schedule_in(
            delay,
            lambda: self._monitor.record_result(
                self._memory, box, report, self._timeline.now
            ),
        )
        return report

    def _check_members(
        self,
        group: GroupId,
        joins: tuple[Assignment, ...],
    ) -> None:
        """Probe the members of a new group, then order the joins that fit."""
        answers = {join.box.life: self._probe(join.box) for join in joins}
        reports = {life: report for life, report in answers.items() if report}
        is_whole = len(reports) == len(joins)
        delay = 2 * self._delays.order_seconds
        if not is_whole:
            delay = self._delays.answer_seconds

        self._timeline.schedule_in(
            delay, partial(self._order_joins, group, joins, reports)
        )

    def _order_joins(
        self,
        group: GroupId,
        joins: tuple[Assignment, ...],
        reports: Mapping[BoxLife, BoxReport],
    ) -> None:
        check = check_joins(joins, reports)
        if check.unfit:
            self._memory.record_not_formed(
                group, check.unfit, self._timeline.now
            )
        for join in check.joins:
            self._send_order(join)

    def _send_order(self, assignment: Assignment) -> None:
        if self._cluster.fleet.has_restarted(assignment.box):
            self._record_result(assignment, OrderResult.ENDED)
            return
        self._timeline.schedule_in(
            self._delays.order_seconds, lambda: self._deliver_order(assignment)
        )

    def _deliver_order(self, assignment: Assignment) -> None:
        name = assignment.box.box
        was_alive = self._simulated_fleet.boxes[name].is_alive
        result = self._simulated_fleet.execute_order(name, assignment.order)
        self._timeline.schedule_in(
            self._delays.order_seconds
            if was_alive
            else self._delays.answer_seconds,
            lambda: self._record_result(assignment, result),
        )

    def _record_result(
        self,
        assignment: Assignment,
        result: OrderResult,
    ) -> None:
        self._memory.record_result(assignment, result, self._timeline.now)
