"""The entry daemon: its parts put together, its start and its stop."""

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
from waywell.request.admission import Admission
from waywell.request.balance import Balance
from waywell.request.claim import ClaimTable, make_id_prefix
from waywell.request.dispatcher import Dispatcher, NodeFacts, Parts
from waywell.request.facts import REQUEST_ID_HEADER
from waywell.request.request_claims import RequestClaims
from waywell.request.retry import RetryBudget
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
"""Seconds between two looks at the downtime."""

DRAIN_LOOK_SECONDS = 0.05
"""Seconds between two looks at the work in flight while stopping."""


class EntryNode:
    """One entry box.

    Parameters
    ----------
    settings
        Its settings.
    """

    def __init__(self, settings: Settings) -> None:
        """Put the parts together; nothing listens yet."""
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
        self._is_started = False
        self._random = Random(self.incarnation)
        self._ports = self._make_ports()
        self._helpers: set[asyncio.Task[None]] = set()

    @property
    def own(self) -> NodeRecord:
        """Return this node's membership record."""
        return self.members.own

    async def start(self) -> None:
        """Listen, join the others, begin to serve."""
        await self._ports.open()
        self._make_tasks()
        self._make_dispatcher()
        self._show_metrics()
        self._is_started = True
        for actor in self.actors:
            actor.start()
        self.gossip.repeat(self.settings.timing.beat, Gossip.Tick())
        self.prober.repeat(self.settings.timing.probe, Prober.ProbeTick())
        for work in (self._joiner.run(), self._measure()):
            self._helpers.add(asyncio.get_running_loop().create_task(work))
        own = self.own
        log_event(
            'listening',
            node=own.node,
            caller_port=own.caller_port,
            peer_port=own.peer_port,
            admin_port=own.admin_port,
        )

    async def stop(self) -> None:
        """Leave the entry list, finish the work in flight, then end.

        New requests are served for as long as callers may keep the entry
        list; after that they are refused as not run, with where to go.
        """
        timing = self.settings.timing
        log_event('leaving', node=self.own.node)
        self.gossip.post(Gossip.Advance(state=NodeState.LEAVING))
        await asyncio.sleep(timing.entry_list)
        self.refuses_new = True
        ends_at = self.clock.read() + timing.drain
        while self.admission.total and self.clock.read() < ends_at:
            await asyncio.sleep(DRAIN_LOOK_SECONDS)
        # The last answers may still wait for callers that read slowly.
        self._ports.hang_up()
        while self._ports.count_callers() and self.clock.read() < ends_at:
            await asyncio.sleep(DRAIN_LOOK_SECONDS)
        left = self._ports.count_callers()
        await self._close()
        log_event('stopped', node=self.own.node, cut=left)

    def describe(self) -> NodeFacts:
        """Return what the dispatcher has to know of this node."""
        age = self.gossip.get_platform_age(self.clock.read())
        return NodeFacts(
            live_nodes=self.members.count_live(),
            may_route_unfenced=may_route_unfenced(
                self.members.records,
                age,
                self.settings.timing.route_term,
            ),
        )

    def is_usable(self, group: Group) -> bool:
        """Answer whether nothing speaks against a group."""
        now = self.clock.read()
        return self.health.is_usable(group.group, group.epoch, now)

    def list_entries(self) -> dict[str, Any]:
        """Return the entry list: live nodes, those of this hall first.

        Nodes that have lost their links to a service are left out where
        enough others have theirs.

        Raises
        ------
        Refusal
            Before the node has started.
        """
        self._check_started()
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
            write_metrics=self.metrics.render,
        )
        peer = PeerService(self._accept_peer, self._answer_claim)
        return Ports(self.settings.node, caller, admin, peer)

    def _make_record(self) -> NodeRecord:
        """Return the first record of this node, which names its ports."""
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

    def _make_tasks(self) -> None:
        timing = self.settings.timing
        record = self._make_record()
        self.members = MembershipTable(record, timing.suspicion)
        self.links = PeerLinks(lambda: self.members.own, self._transport)
        self.gossip = Gossip(self.members, self.links, self.clock, timing)
        self.documents = Documents(self.in_force, self.links, self.clock)
        self.documents.watch_changes(self._note_document)
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
        self.quarantine.watch_crashes(self._let_rest)
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

    def _let_rest(self, ended: ReplicaKey) -> None:
        """Let a group rest whose head is known to have ended.

        Until the probers have noticed, requests would spend their retries on
        groups that ended under requests of other entry boxes.
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
        parts = Parts(
            in_force=self.in_force,
            health=self.health,
            balance=Balance(self.health, self.loads),
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
            turns=self._turns,
            paths=self._paths,
        )
        self.parts = parts
        self._dispatcher = Dispatcher(parts, self.describe)

    def _show_metrics(self) -> None:
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
        self._check_started()
        if self.refuses_new:
            self._dispatcher.refuse_leaving(submission, self.list_entries())
        await self._dispatcher.serve(submission, caller)

    def _check_started(self) -> None:
        """Refuse callers that come between the ports and the rest."""
        if not self._is_started:
            raise Refusal(
                Code.NODE_STARTING,
                Ran.MAY_HAVE_RUN,
                retry_after=1,
            )

    def _get_configuration(self) -> int:
        return self.in_force.numbers.configuration

    def _is_first_node(self) -> bool:
        """Answer whether no peer's id comes before this node's."""
        return all(peer > self.own.node for peer in self.links.list_peers())

    async def _accept_peer(self, stream: Any) -> None:
        await self._transport.accept(stream, self.links.make_listener())

    def _answer_claim(self, ask: Any) -> Any:
        return self.home_claimer.answer(ask)

    def _note_document(self, _kind: DocumentKind) -> None:
        self.gossip.post(Gossip.Advance(numbers=self.in_force.numbers))

    def _report(self, request: CallerRequest, code: Code, ran: Ran) -> None:
        self.metrics.count_request(code, ran)
        log_event(
            'request',
            request=request.read_text(REQUEST_ID_HEADER),
            # A body over the limit is refused before the path is known.
            path=(request.path or b'').decode('latin-1'),
            code=int(code),
            ran=ran.value,
        )

    async def _measure(self) -> None:
        while True:
            self.meter.update(
                self.in_force.configuration,
                self._count_serving(),
                self.clock.read(),
            )
            now = self.clock.read()
            self.parts.backpressure.forget_old(now)
            self._turns.refresh(now)
            await asyncio.sleep(MEASURE_SECONDS)

    async def _close(self) -> None:
        self._ports.close()
        for helper in self._helpers:
            helper.cancel()
        for actor in self.actors:
            await actor.stop()
