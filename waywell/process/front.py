"""The front daemon: assembly of its components, start and stop.

A front daemon is an entry box that uses the platform's own protocols.
"""

from __future__ import annotations

import asyncio
from functools import partial
from random import Random
from typing import TYPE_CHECKING, Any

from waywell.codes import Code, Ran
from waywell.connection.frames import FrameTransport
from waywell.connection.front import FrontBackend, FrontRequest
from waywell.connection.peer import FrontMessage
from waywell.duties.forming import FormingDuty, FormingSources
from waywell.health.doubts import DoubtListeners, Doubts
from waywell.health.node_paths import ListedBoxes, make_node_paths
from waywell.ids import GroupId, HallName, Incarnation, NodeId
from waywell.knowledge.cluster_view import ClusterView, make_gated_cluster_view
from waywell.knowledge.feed import Feed
from waywell.knowledge.fleet_watch import FleetWatch
from waywell.knowledge.platform_watch import WatchContext
from waywell.knowledge.poll_intervals import make_poll_intervals
from waywell.knowledge.route_watch import RouteWatch
from waywell.limits.rate_limiter import RateLimiter
from waywell.membership.gossip import Gossip, VersionNumbers
from waywell.membership.links import PeerLinks
from waywell.membership.membership import (
    MembershipTable,
    NodeRecord,
    NodeState,
    select_linked,
)
from waywell.membership.presence import FIRST_DIALS, JOIN_DIALS, Presence
from waywell.process.clock import SystemClock
from waywell.process.front_operations import FrontOperations
from waywell.process.front_ports import FrontHandlers, FrontPorts
from waywell.quarantine.tasks import make_quarantine
from waywell.request.backpressure import Backpressure
from waywell.request.demand import (
    DemandEstimator,
    count_by_model,
    count_in_flight_at,
)
from waywell.request.forwarder import Forwarder
from waywell.request.placement import ReplicaChooser
from waywell.request.replica_table import ReplicaTable
from waywell.request.request_context import AnswerWriter, ForwarderDependencies
from waywell.request.resend_budget import ResendBudget
from waywell.request.shared_loads import LoadExchange, SharedLoads
from waywell.telemetry.events import log_event
from waywell.telemetry.front_gauges import FrontGauges
from waywell.telemetry.metrics import Metrics
from waywell.telemetry.request_metrics import RequestMetrics

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from waywell.connection.peer_stream import StreamListener
    from waywell.process.front_adapter import FrontAdapter
    from waywell.process.front_settings import FrontSettings
    from waywell.request.decoded_request import DecodedRequest

MAINTENANCE_SECONDS = 0.25
"""Period of checks whether this node is ready and has to read the platform
itself, in seconds: a small part of the 2 s within which new routes must be in
force and leaving boxes must get no new requests."""

START_MAINTENANCE_SECONDS = 0.05
"""Period of the same checks before this node is ready, in seconds.  It is
shorter because callers learn of a node only after its peers know that it is
ready, and after a restart of all nodes there is no other node to use."""

FIRST_READ_DELAY_SECONDS = 2.0
"""Seconds that a node waits at the first start for the seeds to read the
platform for it: the time of two attempts to reach a seed."""

DRAIN_POLL_SECONDS = 0.05
"""Seconds between checks of the work in flight while the node stops."""


class FrontNode:
    """The components of one front daemon.

    Parameters
    ----------
    settings
        Settings of the entry box.
    adapter
        Implementation of the platform's protocols.
    """

    def __init__(self, settings: FrontSettings, adapter: FrontAdapter) -> None:
        """Create the components that need no port; nothing listens yet."""
        self.settings = settings
        self.clock = SystemClock()
        self.metrics = Metrics()
        self.cluster = make_gated_cluster_view(settings.promises, adapter.eras)
        self.replica_table = ReplicaTable()
        self.backpressure = Backpressure()
        self.cluster.add_end_listener(self.backpressure.forget_ended)
        adapter.eras.listen(
            lambda _change: self.cluster.begin_recovery(self.clock.read())
        )
        self.loads = SharedLoads()
        self.demand = DemandEstimator()
        self.incarnation = Incarnation(int(self.clock.read_wall() * 1000))
        self.in_flight = 0
        self._adapter = adapter
        self._is_leaving = False
        self._is_started = False
        self._was_ready = False
        self._cleaned_serial = 0
        self._random = Random(self.incarnation)
        self._background_tasks: set[asyncio.Task[None]] = set()
        self._transport = FrameTransport(FrontMessage)
        self._ports = FrontPorts(
            settings.node, self._make_handlers(), self._transport
        )
        self.budget = ResendBudget(settings.resends, self.clock.read())

    async def start(self) -> None:
        """Open the ports, join the other entry boxes and begin to serve."""
        await self._ports.open()
        self._make_actors()
        self._forwarder = self._make_forwarder()
        FrontGauges(self).register()
        self._is_started = True
        for actor in self.actors:
            actor.start()
        self.gossip.repeat(self.settings.timing.beat, Gossip.Tick())
        for work in (self.presence.run(), self._run_maintenance()):
            self._background_tasks.add(
                asyncio.get_running_loop().create_task(work)
            )
        log_event(
            'listening',
            node=self.settings.node.name,
            caller_port=self._ports.callers.port,
            peer_port=self._ports.peers.port,
            ready_port=self._ports.readiness.port,
            directory_port=self._ports.directory.port,
            metrics_port=self._ports.metrics.port,
        )

    async def stop(self) -> None:
        """Leave the entry list, finish the work in flight, then stop.

        New requests are served for as long as callers may use an earlier
        entry list, unless the end of the process may cut their answers.
        """
        times = self.settings.promises.make_drain_times(self.clock.read())
        self._forwarder.start_draining(times.window)
        await self._leave(times.accepts_until)
        cut = await self._drain(times.window.ends_at)
        for task in self._background_tasks:
            task.cancel()
        await self.presence.withdraw(times.withdrawn_by - self.clock.read())
        self._ports.close()
        for actor in self.actors:
            await actor.stop()
        log_event('stopped', node=self.settings.node.name, cut=cut)

    def is_ready(self) -> bool:
        """Return whether callers should send requests to this node."""
        now = self.clock.read()
        return (
            self._is_started
            and self.cluster.has_routes
            and self.cluster.are_keys_fresh(now)
            and not self._is_leaving
        )

    def list_addresses(self, hall: str) -> list[str]:
        """Return the addresses of ready entry boxes, those of a hall first."""
        if not self._is_started:
            return []
        ready = [
            record
            for record in self.members.list_live()
            if record.state is NodeState.LIVE and record.configuration
        ]
        live = select_linked(ready)
        own = self.members.own.node
        # Callers may use only the first addresses, so each node starts with
        # the nodes after itself to spread the callers.
        live.sort(
            key=lambda record: (
                record.hall != hall,
                record.node <= own,
                record.node,
            ),
        )
        return [f'{record.host}:{record.caller_port}' for record in live]

    def dump(self) -> dict[str, Any]:
        """Return the node's state as plain values for the state dump."""
        return {
            'node': self.settings.node.name,
            'ready': self.is_ready(),
            'in_flight': self.in_flight,
            'memory': self._ports.describe_memory(),
            'serving': self.cluster.count_serving(),
            **{actor.name: actor.dump() for actor in self.actors},
        }

    def _make_handlers(self) -> FrontHandlers:
        return FrontHandlers(
            backend=FrontBackend(
                wire=self._adapter.wire,
                serve=self._serve,
                get_limits=lambda: self.cluster.index.table.limits,
                is_leaving=lambda: self._is_leaving,
                report=self._report,
            ),
            readiness=self._adapter.make_ready(self.is_ready),
            directory=self._adapter.make_directory(
                self.list_addresses,
                self.settings.promises.entry_list_term,
            ),
            metrics=FrontOperations(self).list_handlers(),
            accept_peer=self._accept_peer,
        )

    def _make_record(self) -> NodeRecord:
        node = self.settings.node
        return NodeRecord(
            node=NodeId(node.name),
            incarnation=self.incarnation,
            hall=HallName(node.hall),
            region=node.region,
            host=node.host,
            caller_port=self._ports.callers.port,
            peer_port=self._ports.peers.port,
            admin_port=self._ports.metrics.port,
            link_mbps=int(node.link_mbps),
            cores=round(node.cores, 2),
            lost_services=(),
        )

    def _make_actors(self) -> None:
        timing = self.settings.timing
        platform = self._adapter.platform
        intervals = make_poll_intervals(self.settings.promises)
        self.members = MembershipTable(self._make_record(), timing.suspicion)
        self.links = PeerLinks(lambda: self.members.own, self._transport)
        self.gossip = Gossip(self.members, self.links, self.clock, timing)
        self.presence = Presence(
            platform,
            self.members,
            self.links,
            self.settings.seeds,
            self._random,
            _choose_first_dials(self.cluster),
        )
        self.cluster.eras.listen(self.presence.schedule_rewrite)
        self.paths = make_node_paths(
            self.gossip,
            self.links,
            self.clock,
            ListedBoxes(self.cluster),
            self._random,
            self.replica_table.clear_backoffs,
        )
        self.feed = Feed(
            self.links,
            self.gossip,
            self.cluster,
            self.clock,
            LoadExchange(self.replica_table, self.loads),
            intervals,
            platform,
            self._get_first_read_time(),
        )
        self.routes = RouteWatch(
            self._make_watch_context(self.feed.needs_routes),
            intervals.route_watch_seconds,
        )
        self.fleet = FleetWatch(
            self._make_watch_context(self._needs_boxes),
            intervals,
            lambda: self.forming.is_held(),
            self.feed.request_probes,
        )
        self.forming = FormingDuty(
            platform,
            self.gossip,
            self.clock,
            self.cluster,
            self._adapter.orders,
            timing.lease,
            FormingSources(
                self._read_demand,
                partial(count_in_flight_at, self.replica_table, self.loads),
                self.paths.watch,
            ),
        )
        self.doubts = Doubts(
            self.links,
            self.replica_table,
            self.clock,
            DoubtListeners(
                partial(self._notify_forming, FormingDuty.GroupDoubted),
                partial(self._notify_forming, FormingDuty.DoubtCleared),
            ),
            verify=self.paths.watch.verify,
        )
        self.quarantine = make_quarantine(
            self.links,
            self._make_watch_context(self.feed.needs_routes),
            self.forming.is_held,
            self.paths.watch.verify,
        )
        self.turns = RateLimiter(
            self.gossip,
            self.links,
            self.clock,
            self._random,
            lambda: self.presence.count_nodes() > 0,
        )
        self.cluster.add_end_listener(self.turns.forget_ended)
        self.actors = (
            self.links,
            self.paths.watch,
            self.doubts,
            self.turns,
            self.quarantine.quarantine,
            self.quarantine.records,
            self.feed,
            self.gossip,
            self.routes,
            self.fleet,
            self.forming,
        )

    def _make_watch_context(
        self,
        is_needed: Callable[[float], bool],
    ) -> WatchContext:
        return WatchContext(
            self._adapter.platform,
            self.cluster,
            self.clock,
            is_needed,
            self._reads_for_others,
            self.presence.count_reachable_nodes,
            self._random.random,
        )

    def _make_forwarder(self) -> Forwarder:
        node = self.settings.node
        return Forwarder(
            ForwarderDependencies(
                cluster=self.cluster,
                wire=self._adapter.wire,
                chooser=ReplicaChooser(
                    HallName(node.hall),
                    self.loads,
                    self._random,
                    self.presence.count_nodes,
                    self.turns.get_limit,
                ),
                replica_table=self.replica_table,
                paths=self.paths.watch,
                peer_table=self.paths.peer_table,
                node=node.name,
                budget=self.budget,
                clock=self.clock,
                draw=self._random.random,
                count_nodes=self.presence.count_nodes,
                raise_doubt=self.doubts.report_silence,
                metrics=RequestMetrics(self.metrics),
                guard=self.quarantine.quarantine,
                running=self.quarantine.running,
                backpressure=self.backpressure,
                permits=self.turns,
            ),
        )

    def _get_first_read_time(self) -> float:
        """Return when this node may first read the platform itself.

        At the first start of the whole system, all nodes would read
        everything at the same moment, long before callers connect.  Instead,
        the seeds read and the other nodes wait for them.
        """
        now = self.clock.read()
        node = self.settings.node
        if node.first_start and node.peers not in self.settings.seeds:
            return now + FIRST_READ_DELAY_SECONDS
        return now

    def _needs_boxes(self, now: float) -> bool:
        """Return whether this node has to read the box list itself."""
        return self.forming.is_held() or self.feed.needs_boxes(now)

    def _reads_for_others(self) -> bool:
        return self.feed.is_reader() or self.forming.is_held()

    def _notify_forming(
        self,
        message_type: type[
            FormingDuty.GroupDoubted | FormingDuty.DoubtCleared
        ],
        group: GroupId,
    ) -> None:
        """Post a message about a group to the forming duty.

        Replicas of plain services have no group and need no message.
        """
        if group:
            self.forming.post(message_type(group))

    def _read_demand(self, now: float) -> Mapping[Any, float]:
        loads = self.loads.sum_loads()
        loads.update(self.replica_table.list_loads())
        in_flight = count_by_model(loads, self.cluster.fleet)
        return self.demand.observe(in_flight, now)

    async def _leave(self, dropped_at: float) -> None:
        """Leave the entry list and wait until callers have dropped it.

        Parameters
        ----------
        dropped_at
            Time at which no caller uses an earlier entry list any more, in
            seconds of the clock.
        """
        log_event('leaving', node=self.settings.node.name)
        self._is_leaving = True
        self.gossip.post(Gossip.OwnRecordChange(state=NodeState.LEAVING))
        await self.forming.release()
        await asyncio.sleep(dropped_at - self.clock.read())

    async def _drain(self, ends_at: float) -> int:
        """Finish the work in flight.

        Parameters
        ----------
        ends_at
            Time at which requests are cut, in seconds of the clock.

        Returns
        -------
        int
            Number of requests that were still in flight at that time.
        """
        self._ports.stop_accepting()
        while self._ports.count_callers() and self.clock.read() < ends_at:
            if not self.in_flight:
                self._ports.hang_up_idle()
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        if self.in_flight:
            self._forwarder.end_requests(self.clock.read())
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        cut = self.in_flight
        self._ports.hang_up()
        return cut

    async def _serve(
        self, request: DecodedRequest, answer: AnswerWriter
    ) -> None:
        self.in_flight += 1
        try:
            await self._forwarder.serve(request, answer)
        finally:
            self.in_flight -= 1

    def _report(self, request: FrontRequest, code: Code, ran: Ran) -> None:
        self.metrics.count_request(code, ran)
        if code is not Code.OK:
            log_event(
                'refused',
                request=request.attempt_id,
                path=(request.path or b'').decode('latin-1'),
                code=int(code),
                name=code.name,
                ran=ran.value,
                routes_age=self.cluster.get_routes_age(self.clock.read()),
            )

    def _accept_peer(self) -> StreamListener | None:
        return self.links.make_listener() if self._is_started else None

    async def _run_maintenance(self) -> None:
        """Run all periodic maintenance from a single timer.

        A timer of 0.1 s for each watch accounted for 20 of some 38 timer
        events in a second on an idle node, counted by their periods.
        """
        while True:
            now = self.clock.read()
            self.cluster.update_gate(self.presence.get_contacts(), now)
            self._announce_readiness()
            self._drop_missing_replicas()
            self.backpressure.forget_expired(now)
            self.turns.refresh(now)
            for watch in (self.routes, self.fleet, self.quarantine.records):
                watch.resume_reading(now)
            await asyncio.sleep(
                MAINTENANCE_SECONDS
                if self._was_ready
                else START_MAINTENANCE_SECONDS
            )

    def _announce_readiness(self) -> None:
        """Announce to other nodes whether this node is ready.

        The version of the routes isn't announced: each new one would send
        this node's record along every stream.
        """
        is_ready = self.is_ready()
        if is_ready == self._was_ready:
            return
        self._was_ready = is_ready
        self.gossip.post(
            Gossip.OwnRecordChange(numbers=VersionNumbers(int(is_ready), 0))
        )
        version = self.cluster.index.table.version
        log_event('readiness', ready=is_ready, routes=version)

    def _drop_missing_replicas(self) -> None:
        """Drop the records of replicas that a newer box list doesn't have."""
        if self.cluster.fleet_serial != self._cleaned_serial:
            self._cleaned_serial = self.cluster.fleet_serial
            self.replica_table.forget_others(self.cluster.list_replica_keys())
            self.paths.watch.table.retain(
                box.life for box in self.cluster.fleet.boxes.values()
            )


def _choose_first_dials(cluster: ClusterView) -> int:
    """Return how many nodes a starting node dials in its first attempt."""
    if cluster.gate.is_open or cluster.eras.is_first_start:
        return JOIN_DIALS
    return FIRST_DIALS
