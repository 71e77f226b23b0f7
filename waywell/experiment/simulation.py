"""Simulation of a load: draws the fleet, requests and faults and runs them."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import attrs

from waywell.experiment.arrivals import (
    draw_arrivals,
    draw_integer,
    make_random,
)
from waywell.experiment.faults import draw_faults, schedule_fault
from waywell.experiment.forming_holder import FormingHolder
from waywell.experiment.node import Node, share_loads
from waywell.experiment.simulated_box import SERVICE, SimulatedBox
from waywell.experiment.simulated_fleet import SimulatedFleet
from waywell.experiment.simulated_request import (
    SimulatedRequest,
    SimulationContext,
)
from waywell.experiment.tally import Tally
from waywell.experiment.timeline import Timeline
from waywell.ids import BoxId, DomainName, HallName, ModelName, NodeId
from waywell.knowledge.cluster_view import ClusterView
from waywell.process.front_settings import MS, PromiseSettings
from waywell.request.placement import ReplicaChooser
from waywell.request.resend_budget import ResendBudget, ResendLimits
from waywell.request.shared_loads import SharedLoads
from waywell.version.routes import (
    Engine,
    EngineModel,
    Route,
    RoutedService,
    RouteKind,
    RouteTable,
    ServiceShare,
)

if TYPE_CHECKING:
    from waywell.experiment.load_file import FleetSettings, KindSettings, Load
    from waywell.experiment.policy import Policy
    from waywell.experiment.tally import Summary

FORGET_INTERVAL_SECONDS = 5.0
"""Interval at which nodes forget replicas that no longer exist."""

NODE_AGE_SECONDS = 10.0
"""Age of the nodes at the start of the simulation, so that their full resend
budgets are available."""


COMPLETION_CHECK_SECONDS = 1.0
"""Interval of the checks, after the last arrival, whether all requests have
ended."""


class Simulation:
    """One run of a load under a policy.

    Parameters
    ----------
    load
        Fleet, requests and faults to draw.
    policy
        Policy under test.
    seed
        Seed of all random draws.
    """

    def __init__(self, load: Load, policy: Policy, seed: int) -> None:
        """Draw the fleet, the requests and the faults."""
        self.timeline = Timeline()
        self.simulated_fleet = SimulatedFleet(
            load, _draw_boxes(load, seed), self.timeline
        )
        self.simulated_requests: list[SimulatedRequest] = []
        self._load = load
        stall = load.platform.stall_seconds / MS
        self._cluster = ClusterView(PromiseSettings(stalled_within_ms=stall))
        engine = make_engine(load)
        self._cluster.apply_routes(_make_routes(load, engine))
        nodes = self._make_nodes(policy, seed)
        holder = FormingHolder(
            engine,
            self._cluster,
            self.simulated_fleet,
            nodes[0],
            self.timeline,
            load.platform,
        )
        holder.measures_demand = policy.measures_demand
        self.context = SimulationContext(
            self.timeline,
            self._cluster,
            self.simulated_fleet,
            holder,
            engine,
            {kind.name: make_route(kind) for kind in load.kind},
            nodes,
            policy,
            Tally(load.kind),
        )
        self._draw_events(seed)

    def run(self) -> Summary:
        """Run until all requests have ended; return the results."""
        longest = max(kind.timeout for kind in self._load.kind)
        load, delays = self._load, self._load.platform
        self.timeline.repeat(delays.list_seconds, self._update_box_list)
        self.timeline.repeat(delays.load_report_seconds, self._share_loads)
        self.timeline.repeat(FORGET_INTERVAL_SECONDS, self._forget_replicas)
        self.context.holder.start()
        end = load.warm_up + load.seconds
        self.timeline.run_until(end)
        while not self._have_all_ended() and self.timeline.now < end + longest:
            self.timeline.run_until(
                self.timeline.now + COMPLETION_CHECK_SECONDS
            )
        return self.context.tally.summarise()

    def _have_all_ended(self) -> bool:
        return self.context.tally.requests == len(self.simulated_requests)

    def _make_nodes(self, policy: Policy, seed: int) -> tuple[Node, ...]:
        halls = _list_node_halls(self._load.fleet)
        choosing_nodes = policy.choosing_nodes or len(halls)
        return tuple(
            _make_node(policy, seed, number, hall, choosing_nodes)
            for number, hall in enumerate(halls)
        )

    def _draw_events(self, seed: int) -> None:
        load_start = self._load.warm_up
        nodes = len(self.context.nodes)
        for arrival in draw_arrivals(self._load, seed, nodes):
            simulated_request = SimulatedRequest(self.context, arrival)
            self.simulated_requests.append(simulated_request)
            self.timeline.schedule(
                load_start + arrival.at, simulated_request.start
            )
        boxes = tuple(self.simulated_fleet.boxes.values())
        for fault in draw_faults(self._load, seed, boxes):
            schedule_fault(
                fault, self.simulated_fleet, self.timeline, load_start
            )

    def _update_box_list(self) -> None:
        now = self.timeline.now
        self._cluster.update_fleet(
            self.simulated_fleet.list_entries(), now, now
        )

    def _share_loads(self) -> None:
        share_loads(self.context.nodes, self.timeline.now)

    def _forget_replicas(self) -> None:
        keys = self._cluster.list_replica_keys()
        for node in self.context.nodes:
            node.replica_table.forget_others(keys)


def simulate(load: Load, policy: Policy, seed: int) -> Summary:
    """Run a load under a policy with a seed; return the results."""
    return Simulation(load, policy, seed).run()


def make_engine(load: Load) -> Engine:
    """Return the engine description that the daemons' decisions use.

    It leaves out the settings that only the simulation knows.
    """
    simulation_only = ('queue', 'first_crowd')
    settings = {
        name: setting
        for name, setting in attrs.asdict(load.engine).items()
        if name not in simulation_only
    }
    models = tuple(
        EngineModel(
            ModelName(model.name),
            model.boxes_per_group,
            model.share,
            model.pace,
            model.load_seconds,
            model.warm_seconds,
        )
        for model in load.model
    )
    return Engine(models=models, **settings)


def make_route(kind: KindSettings) -> Route:
    """Return the route of a kind, with streams that are resumable."""
    return Route(
        kind.name,
        '',
        f'/{kind.name}/',
        RouteKind.STREAM,
        kind.timeout,
        kind.goal,
        (ServiceShare(SERVICE, 1),),
        gap_goal=kind.gap_goal,
        most_targets=kind.most_targets,
        resumable=True,
    )


def _make_routes(load: Load, engine: Engine) -> RouteTable:
    routes = tuple(make_route(kind) for kind in load.kind)
    return RouteTable(1, routes, (RoutedService(SERVICE, engine=engine),))


def _name_hall(number: int) -> HallName:
    return HallName(f'hall-{number}')


def _list_node_halls(fleet: FleetSettings) -> list[HallName]:
    """Return the data hall of each node, in the order of the nodes."""
    halls = range(fleet.halls * fleet.nodes_per_hall)
    return [_name_hall(number // fleet.nodes_per_hall) for number in halls]


def _make_node(
    policy: Policy,
    seed: int,
    number: int,
    hall: HallName,
    choosing_nodes: int,
) -> Node:
    loads = SharedLoads()
    draws = make_random(seed, f'choices.{number}')
    limits = ResendLimits(policy.resend_ratio, policy.resend_slack)
    return Node(
        NodeId(f'node-{number}'),
        ReplicaChooser(hall, loads, draws, lambda: choosing_nodes),
        loads,
        ResendBudget(limits, -NODE_AGE_SECONDS),
        make_random(seed, f'returns.{number}'),
    )


def _draw_boxes(load: Load, seed: int) -> list[SimulatedBox]:
    fleet = load.fleet
    count = draw_integer(make_random(seed, 'fleet'), fleet.boxes_per_domain)
    domains = itertools.product(
        range(fleet.halls), range(fleet.domains_per_hall)
    )
    return [
        SimulatedBox(
            BoxId(f'box-{hall}-{domain}-{number}'),
            _name_hall(hall),
            DomainName(f'domain-{hall}-{domain}'),
            load.engine.places,
        )
        for hall, domain in domains
        for number in range(count)
    ]
