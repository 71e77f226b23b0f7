"""The entry daemon: assembly of its components, start and stop."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING, Any

from waywell.codes import Code, Ran, Refusal
from waywell.connection.admin import AdminBackend
from waywell.connection.caller import CallerBackend, CallerRequest
from waywell.connection.grpc_peer import GrpcTransport, PeerService
from waywell.connection.http_platform import HttpPlatform
from waywell.connection.http_target import HttpTarget
from waywell.health.entry_paths import make_entry_paths
from waywell.health.health import HealthTable
from waywell.health.prober import Prober, ProberParts
from waywell.ids import HallName, Incarnation, NodeId
from waywell.limits.rate_limiter import RateLimiter
from waywell.membership.gossip import Gossip
from waywell.membership.links import PeerLinks
from waywell.membership.membership import (
    MembershipTable,
    NodeRecord,
    NodeState,
    select_linked,
)
from waywell.process.administration import Administration
from waywell.process.assembly import AssemblyDuty
from waywell.process.claims import HomeClaimer, PlatformClaimer
from waywell.process.clock import SystemClock
from waywell.process.documents import Documents, InForce
from waywell.process.joiner import Joiner
from waywell.process.loads import LoadTable
from waywell.process.operations import Operations
from waywell.process.ports import Ports
from waywell.process.release import may_route_unfenced
from waywell.process.watch import HallDuty
from waywell.quarantine.tasks import make_unstored_quarantine
from waywell.request.admission import Admission, Drain
from waywell.request.claim import ClaimTable, make_id_prefix
from waywell.request.dispatcher import Dispatcher, DispatcherParts, NodeFacts
from waywell.request.facts import REQUEST_ID_HEADER
from waywell.request.request_claims import RequestClaims
from waywell.request.retry import RetryBudget
from waywell.request.service_loads import ServiceLoadCache
from waywell.telemetry.events import log_event
from waywell.telemetry.history import open_history
from waywell.telemetry.measures import DowntimeMeter, count_serving
from waywell.telemetry.metrics import Metrics

if TYPE_CHECKING:
    from waywell.process.settings import Settings
    from waywell.version.document import DocumentKind
    from waywell.version.fleet import ReplicaKey
    from waywell.version.roster import Group

MEASURE_SECONDS = 0.5
"""Period of the downtime measurement and of clean-up, in seconds."""

DRAIN_POLL_SECONDS = 0.05
"""Seconds between checks of the work in flight while the node stops."""


class EntryNode:
    """The components of one entry box.

    Parameters
    ----------
    settings
        Settings of the entry box.
    """

    def __init__(self, settings: Settings) -> None:
        """Create the components that need no port; nothing listens yet."""
        self.settings = settings
        self.clock = SystemClock()
        self.metrics = Metrics()
        self.health = HealthTable(settings.timing.evidence)
        self.loads = LoadTable()
        self.meter = DowntimeMeter()
        self.admission = Admission(settings.limits.requests)
        self.in_force = InForce()
        self.platform = HttpPlatform(
            settings.platform.url,
            settings.platform.timeout,
        )
        self.target = HttpTarget(settings.limits.connect_seconds)
        self._transport = GrpcTransport()
        self.incarnation = Incarnation(int(self.clock.read_wall() * 1000))
        self.refuses_new = False
        self._drain: Drain | None = None
        self._is_started = False
        self._random = Random(self.incarnation)
        self._ports = self._make_ports()
        self._background_tasks: set[asyncio.Task[None]] = set()

    @property
    def own(self) -> NodeRecord:
        """Return this node's membership record."""
        return self.members.own

    async def start(self) -> None:
        """Open the ports, join the other entry boxes and begin to serve."""
        await self._ports.open()
        self._make_actors()
        self._make_dispatcher()
        self._register_gauges()
        self._is_started = True
        for actor in self.actors:
            actor.start()
        self.gossip.repeat(self.settings.timing.beat, Gossip.Tick())
        self.prober.repeat(self.settings.timing.probe, Prober.ProbeTick())
        for work in (self._joiner.run(), self._run_periodic_work()):
            self._background_tasks.add(
                asyncio.get_running_loop().create_task(work)
            )
        own = self.own
        log_event(
            'listening',
            node=own.node,
            caller_port=own.caller_port,
            peer_port=own.peer_port,
            admin_port=own.admin_port,
        )

    async def stop(self) -> None:
        """Leave the entry list, finish the work in flight, then stop.

        New requests are served for as long as callers may use an earlier
        entry list, unless their deadline is after the end of the drain.  All
        others are refused, and the refusal lists the other entry boxes.
        """
        timing = self.settings.timing
        ends_at = self.clock.read() + timing.entry_list + timing.drain
        self._drain = Drain(self.own.node, ends_at, self.list_entries)
        log_event('leaving', node=self.own.node)
        self.gossip.post(Gossip.OwnRecordChange(state=NodeState.LEAVING))
        await asyncio.sleep(timing.entry_list)
        self.refuses_new = True
        while self.admission.total and self.clock.read() < ends_at:
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        # Slow callers may still be reading the last answers.
        self._ports.hang_up()
        while self._ports.count_callers() and self.clock.read() < ends_at:
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        left = self._ports.count_callers()
        await self._close()
        log_event('stopped', node=self.own.node, cut=left)

    def get_facts(self) -> NodeFacts:
        """Return the state of this node on which the dispatcher depends."""
        age = self.gossip.get_platform_age(self.clock.read())
        return NodeFacts(
            live_nodes=self.members.count_live(),
            may_route_unfenced=may_route_unfenced(
                self.members.records,
                age,
                self.settings.timing.route_term,
            ),
            drain=self._drain,
        )

    def is_usable(self, group: Group) -> bool:
        """Return whether no health check reports a group as down."""
        now = self.clock.read()
        return self.health.is_usable(group.group, group.epoch, now)

    def list_entries(self) -> dict[str, Any]:
        """Return the entry list: live nodes, those of this data hall first.

        Nodes that have lost their links to a service are omitted where
        enough others still have theirs.

        Raises
        ------
        Refusal
            When the node has not started yet.
        """
        self._require_started()
        live = select_linked(
            [
                record
                for record in self.members.list_live()
                if record.state is NodeState.LIVE
            ]
        )
        live.sort(
            key=lambda record: (record.hall != self.own.hall, record.node),
        )
        prefix = make_id_prefix(
            self.own.node,
            self.own.incarnation,
            self.clock.read(),
        )
        return {
            'entries': [
                {
                    'node': record.node,
                    'hall': record.hall,
                    'host': record.host,
                    'port': record.caller_port,
                }
                for record in live
            ],
            'keep_seconds': self.settings.timing.entry_list,
            'request_id_prefix': prefix,
        }

    def _make_ports(self) -> Ports:
        caller = CallerBackend(
            serve=self._serve,
            list_entries=self.list_entries,
            get_configuration=self._get_configuration,
            report=self._report,
            body_bytes=self.settings.limits.body_bytes,
        )
        operations = Operations(self)
        admin = AdminBackend(
            find_operator=operations.find_operator,
            handlers=operations.list_handlers(),
            render_metrics=self.metrics.render,
        )
        peer = PeerService(self._accept_peer, self._answer_claim)
        return Ports(self.settings.node, caller, admin, peer)

    def _make_record(self) -> NodeRecord:
        """Return the initial membership record of this node."""
        node = self.settings.node
        return NodeRecord(
            node=NodeId(node.name),
            incarnation=self.incarnation,
            hall=HallName(node.hall),
            region=node.region,
            host=node.host,
            caller_port=self._ports.caller_port,
            peer_port=self._ports.peer_port,
            admin_port=self._ports.admin_port,
            lost_services=(),
        )

    def _make_actors(self) -> None:
        timing = self.settings.timing
        record = self._make_record()
        self.members = MembershipTable(record, timing.suspicion)
        self.links = PeerLinks(lambda: self.members.own, self._transport)
        self.gossip = Gossip(self.members, self.links, self.clock, timing)
        self.documents = Documents(self.in_force, self.links, self.clock)
        self.documents.watch_changes(self._announce_versions)
        self.administration = Administration(self.platform, self.documents)
        self.hall_duty = HallDuty(
            self.platform,
            self.gossip,
            self.clock,
            self.documents,
            timing,
        )
        self.assembly = AssemblyDuty(
            self.platform,
            self.gossip,
            self.clock,
            self.documents,
            self.target,
            self.health,
            timing,
        )
        self._paths = make_entry_paths(
            self.gossip,
            self.links,
            self.clock,
            self.in_force,
            self.health,
            self._random,
        )
        self.prober = Prober(
            ProberParts(
                self.in_force,
                self.health,
                self.loads,
                self.gossip,
                self.links,
                self.target,
                self.clock,
                timing,
                self._paths,
            )
        )
        self.quarantine = make_unstored_quarantine(
            self.links, self.clock, self._is_first_node
        )
        self.quarantine.watch_crashes(self._rest_ended_group)
        self._joiner = Joiner(
            self.platform,
            self.gossip,
            self.links,
            self.clock,
            self.settings.seeds,
            self._random,
        )
        self._turns = RateLimiter(
            self.gossip,
            self.links,
            self.clock,
            self._random,
            self._joiner.has_cluster_contact,
        )
        self.actors = (
            self.links,
            self._paths,
            self.quarantine,
            self._turns,
            self.gossip,
            self.documents,
            self.hall_duty,
            self.assembly,
            self.prober,
        )

    def _rest_ended_group(self, ended: ReplicaKey) -> None:
        """Record a failure of a group whose head is known to have ended.

        Until the health checks notice, requests would spend their retries on
        groups that ended while they served requests of other entry boxes.
        """
        roster = self.in_force.roster
        holder = roster.find_holder(ended.box)
        if holder and roster.groups[holder].epoch == ended.epoch:
            self.health.record_failure(holder, self.clock.read())

    def _make_dispatcher(self) -> None:
        own = self.own
        history = open_history(self.settings.history, own.node, self.clock)
        claims = ClaimTable(own.node, self.incarnation)
        self.home_claimer = HomeClaimer(claims, self.members, self.clock)
        self.gossip.watch_changes(self.home_claimer.handle_node_change)
        parts = DispatcherParts(
            in_force=self.in_force,
            health=self.health,
            service_loads=ServiceLoadCache(self.health, self.loads),
            admission=self.admission,
            budget=RetryBudget(),
            claims=RequestClaims(
                self.home_claimer,
                PlatformClaimer(self.platform, self.clock),
                history,
            ),
            target=self.target,
            clock=self.clock,
            history=history,
            random=self._random,
            guard=self.quarantine,
            permits=self._turns,
            paths=self._paths,
            metrics=self.metrics,
        )
        self.parts = parts
        self._dispatcher = Dispatcher(parts, self.get_facts)

    def _register_gauges(self) -> None:
        add_gauge = self.metrics.add_gauge
        add_gauge(
            'waywell_groups_serving',
            'Groups of a set that serve, as this node sees it.',
            'group_set',
            self._count_serving,
        )
        add_gauge(
            'waywell_downtime_seconds',
            'Group-seconds of downtime of a set since this node started.',
            'group_set',
            self.meter.list_seconds,
        )
        add_gauge(
            'waywell_in_flight',
            'Requests in flight by client account.',
            'account',
            self.admission.list_in_flight,
        )
        add_gauge(
            'waywell_entry_boxes',
            'Entry boxes by state, as this node sees them.',
            'state',
            self.members.count_states,
        )

    def _count_serving(self) -> dict[str, int]:
        return count_serving(self.in_force.roster, self.is_usable)

    async def _serve(self, submission: Any, caller: Any) -> None:
        self._require_started()
        if self._drain is not None and self.refuses_new:
            self._dispatcher.refuse_leaving(submission, self._drain)
        await self._dispatcher.serve(submission, caller)

    def _require_started(self) -> None:
        """Refuse callers that connect before the node has started.

        Raises
        ------
        Refusal
            When the ports are open but the other components don't run yet.
        """
        if not self._is_started:
            raise Refusal(
                Code.NODE_STARTING,
                Ran.MAY_HAVE_RUN,
                retry_after=1,
            )

    def _get_configuration(self) -> int:
        return self.in_force.numbers.configuration

    def _is_first_node(self) -> bool:
        """Return whether this node's id precedes those of all its peers."""
        return all(peer > self.own.node for peer in self.links.list_peers())

    async def _accept_peer(self, stream: Any) -> None:
        await self._transport.accept(stream, self.links.make_listener())

    def _answer_claim(self, request: Any) -> Any:
        return self.home_claimer.answer(request)

    def _announce_versions(self, _kind: DocumentKind) -> None:
        self.gossip.post(Gossip.OwnRecordChange(numbers=self.in_force.numbers))

    def _report(self, request: CallerRequest, code: Code, ran: Ran) -> None:
        self.metrics.count_request(code, ran)
        log_event(
            'request',
            request=request.read_text(REQUEST_ID_HEADER),
            # The path is not known yet when an oversized body is refused.
            path=(request.path or b'').decode('latin-1'),
            code=int(code),
            ran=ran.value,
        )

    async def _run_periodic_work(self) -> None:
        while True:
            self.meter.update(
                self.in_force.configuration,
                self._count_serving(),
                self.clock.read(),
            )
            now = self.clock.read()
            self.parts.backpressure.forget_expired(now)
            self._turns.refresh(now)
            await asyncio.sleep(MEASURE_SECONDS)

    async def _close(self) -> None:
        self._ports.close()
        for task in self._background_tasks:
            task.cancel()
        for actor in self.actors:
            await actor.stop()
