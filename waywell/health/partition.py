"""The task that finds out whether this node has lost its links to replicas.

Answers cuts between one node and the replicas while callers, the store and
peers still reach it.  Connections that fail one after the other may speak
against the boxes or against the node; what peers reach tells which.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable
from random import Random
from typing import TYPE_CHECKING

import attrs

from waywell.connection.peer import ReachabilityQuery, ReachabilityReport
from waywell.health.probed_boxes import ProbedBoxes
from waywell.health.reachability import ReachabilityTable
from waywell.health.reachability_queries import ReachabilityQueries
from waywell.membership.gossip import Gossip
from waywell.membership.links import PeerLinks
from waywell.process.actor import Actor
from waywell.process.clock import Clock
from waywell.request.paths import ReplicaPaths
from waywell.request.peer_chooser import PeerChooser
from waywell.telemetry.events import log_event, log_warning
from waywell.version.fleet import FleetBox

if TYPE_CHECKING:
    from waywell.ids import NodeId, ServiceName
    from waywell.membership.membership import NodeRecord
    from waywell.version.fleet import ReplicaKey

SUSPECT_FAILURES = 2
"""Boxes in a row that a node fails to connect to before it looks why."""

PROBED_BOXES = 6
"""Boxes of a service that are probed with test connections."""

PROBE_STAGGER = 0.03
"""Seconds after which boxes beyond the first ones are probed: where the links
are sound the first have taken a connection by then."""

LEAST_REACHED = 2
"""Probed boxes that must take a connection for the links to be sound."""

PROBE_INTERVAL = 0.3
"""Seconds between two probes of links that were lost."""

RETURN_PROBES = 2
"""Boxes of one probe that must all take a connection for links to be back."""

DIAGNOSIS_INTERVAL = 0.5
"""Least seconds between two diagnoses that failed connections begin."""

ANNOUNCE_SECONDS = 1.0
"""Seconds for which links must be back before callers are sent here again, so
that short cuts in series do not move them back and forth."""


@attrs.frozen
class PartitionParts:
    """What a partition watch works with."""

    gossip: Gossip
    """Membership."""

    links: PeerLinks
    """Streams to peers."""

    clock: Clock
    """Where the time is read."""

    boxes: ProbedBoxes
    """Boxes that are connected to."""

    random: Random
    """Draws boxes and peers."""

    chooser: PeerChooser
    """Chooses peers that forward requests."""

    connect: Callable[[FleetBox], Awaitable[bool]]
    """Answers whether a box takes a connection."""

    on_restored: Callable[[], None]
    """Called when lost links are back."""


class PartitionWatch(Actor, ReplicaPaths):
    """Knows the services whose replicas this node does not reach.

    Parameters
    ----------
    parts
        What it works with.
    """

    def __init__(self, parts: PartitionParts) -> None:
        """Start with sound links."""
        super().__init__('partition')
        self.table = ReachabilityTable()
        self._parts = parts
        self._queries = ReachabilityQueries(
            parts.gossip, parts.links, parts.random
        )
        self._lost_at: dict[ServiceName, float] = {}
        self._diagnoses: dict[ServiceName, asyncio.Task[bool]] = {}
        self._diagnosed_at: dict[ServiceName, float] = {}
        self._announcing: asyncio.Task[None] | None = None
        parts.links.subscribe(self, ReachabilityQuery, ReachabilityReport)

    def record(self, box: FleetBox, now: float, *, is_connected: bool) -> None:
        """Record how an attempt to connect to a box ended."""
        self.table.record(box, now, is_connected=is_connected)
        if not is_connected and self._is_suspect(box.service, now):
            self._begin_diagnosis(box.service)

    def is_partitioned(self, service: ServiceName) -> bool:
        """Answer whether this node has lost its links to a service."""
        return service in self._lost_at

    def list_partitioned(self) -> list[ServiceName]:
        """Return the services whose replicas this node does not reach."""
        return sorted(self._lost_at)

    async def await_diagnosis(self, service: ServiceName) -> None:
        """Wait while this node finds out whether its links are lost."""
        now = self._parts.clock.read()
        if service in self._diagnoses or self._may_diagnose(service, now):
            await asyncio.wait({self._begin_diagnosis(service)})

    def list_peers(self, service: ServiceName) -> list[NodeRecord]:
        """Return the peers that reach the replicas of a service."""
        return self._parts.chooser.list_peers(service)

    def choose_peer(
        self,
        service: ServiceName,
        tried: frozenset[ReplicaKey],
        now: float,
    ) -> NodeRecord | None:
        """Return a peer to forward a request through."""
        return self._parts.chooser.choose(service, tried, now)

    async def verify(self, service: ServiceName) -> bool:
        """Answer whether this node's links to a service are sound.

        Asked before a failure that this node sees is told of a box.
        """
        if self.is_partitioned(service):
            return False
        return await asyncio.shield(self._begin_diagnosis(service))

    def on_received(self, received: PeerLinks.Received) -> None:
        """Answer a query, or take in a report."""
        message = received.message
        if isinstance(message, ReachabilityQuery):
            self.spawn(self._answer(message, received.node))
        else:
            self._queries.take_report(message, received.node)

    def dump(self) -> dict[str, object]:
        """Return the state as plain values."""
        return {**super().dump(), 'partitioned': self.list_partitioned()}

    def _is_suspect(self, service: ServiceName, now: float) -> bool:
        if not self._may_diagnose(service, now):
            return False
        boxes = len(self._parts.boxes.list_boxes(service))
        needed = min(SUSPECT_FAILURES, boxes)
        return self.table.count_failed(service) >= needed

    def _may_diagnose(self, service: ServiceName, now: float) -> bool:
        """Answer whether a failed connection may begin a diagnosis."""
        if self.is_partitioned(service):
            return False
        diagnosed_at = self._diagnosed_at.get(service, -math.inf)
        return now - diagnosed_at >= DIAGNOSIS_INTERVAL

    def _begin_diagnosis(self, service: ServiceName) -> asyncio.Task[bool]:
        task = self._diagnoses.get(service)
        if task is None:
            task = self.spawn(self._diagnose(service))
            self._diagnoses[service] = task
            task.add_done_callback(
                lambda _task: self._diagnoses.pop(service, None)
            )
        return task

    async def _diagnose(self, service: ServiceName) -> bool:
        """Find out whether the links to a service are sound."""
        boxes = self._draw_boxes(service, PROBED_BOXES)
        needed = min(LEAST_REACHED, len(boxes))
        unreached = await self._probe(boxes, needed)
        witness = None
        if len(boxes) - len(unreached) < needed:
            witness = await self._queries.find_witness(
                box.box for box in unreached
            )
        now = self._parts.clock.read()
        self._diagnosed_at[service] = now
        log_event(
            'links_diagnosed',
            service=service,
            probed=len(boxes),
            reached=len(boxes) - len(unreached),
            witness=witness or '',
        )
        if witness is None:
            return True
        self._begin_partition(service, witness, now)
        return False

    async def _probe(
        self,
        boxes: list[FleetBox],
        needed: int,
    ) -> list[FleetBox]:
        """Connect to some boxes; return those not reached.

        Ends as soon as enough have taken a connection; the others then count
        as not reached.
        """
        unreached = list(boxes)
        tests = [
            asyncio.ensure_future(
                self._test(box, 0.0 if place < needed else PROBE_STAGGER)
            )
            for place, box in enumerate(boxes)
        ]
        try:
            for test in asyncio.as_completed(tests):
                box, is_connected = await test
                if is_connected:
                    unreached.remove(box)
                if len(boxes) - len(unreached) >= needed:
                    break
        finally:
            for test in tests:
                test.cancel()
        return unreached

    async def _test(
        self,
        box: FleetBox,
        delay: float,
    ) -> tuple[FleetBox, bool]:
        await asyncio.sleep(delay)
        is_connected = await self._parts.connect(box)
        self.table.record(
            box, self._parts.clock.read(), is_connected=is_connected
        )
        return box, is_connected

    def _begin_partition(
        self,
        service: ServiceName,
        witness: NodeId,
        now: float,
    ) -> None:
        if self.is_partitioned(service):
            return
        self._lost_at[service] = now
        log_warning('partition_detected', service=service, witness=witness)
        if self._announcing is not None:
            self._announcing.cancel()
        self._announce()
        self.spawn(self._await_links(service))

    async def _await_links(self, service: ServiceName) -> None:
        """Wait until the links to a service are back."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL)
            boxes = self._draw_boxes(service, RETURN_PROBES)
            if not await self._probe(boxes, len(boxes)):
                break
        now = self._parts.clock.read()
        seconds = round(now - self._lost_at.pop(service), 3)
        self._diagnosed_at[service] = now
        log_event('partition_ended', service=service, seconds=seconds)
        self._parts.on_restored()
        if self._announcing is not None:
            self._announcing.cancel()
        self._announcing = self.spawn(self._announce_return())

    async def _announce_return(self) -> None:
        await asyncio.sleep(ANNOUNCE_SECONDS)
        self._announce()

    def _announce(self) -> None:
        """Tell the other nodes which services this one does not reach."""
        lost = tuple(self.list_partitioned())
        gossip = self._parts.gossip
        if gossip.table.own.lost_services != lost:
            gossip.post(Gossip.OwnRecordChange(lost_services=lost))

    async def _answer(self, query: ReachabilityQuery, sender: NodeId) -> None:
        """Report which boxes of a query this node reaches."""
        found = map(self._parts.boxes.find_box, query.boxes)
        asked = [box for box in found if box is not None]
        # What it reached before may have been lost since, as the sender has.
        unreached = await self._probe(asked, len(asked))
        reached = tuple(box.box for box in asked if box not in unreached)
        report = ReachabilityReport(query.query, reached)
        self._parts.links.send(sender, report)

    def _draw_boxes(self, service: ServiceName, count: int) -> list[FleetBox]:
        boxes = self._parts.boxes.list_boxes(service)
        return self._parts.random.sample(boxes, min(count, len(boxes)))
