"""The task that detects whether this node has lost its links to replicas.

A node can lose its links to replicas while callers, the store and its peers
still reach it.  Consecutive failed connections may be caused by the boxes or
by the node's own links.  Which boxes the peers reach distinguishes the two.
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
"""Number of boxes of a service that a node must fail to connect to, with no
success in between, before it diagnoses its links."""

PROBED_BOXES = 6
"""Number of boxes of a service that get test connections in a diagnosis."""

PROBE_STAGGER = 0.03
"""Delay in seconds before the boxes beyond the first ones are probed.  If the
links work, the first boxes have accepted a connection by then."""

MIN_REACHED = 2
"""Number of probed boxes that must accept a connection for the links to count
as working."""

PROBE_INTERVAL = 0.3
"""Time in seconds between two probes of lost links."""

RECOVERY_PROBES = 2
"""Number of boxes probed for recovery; all must accept a connection."""

DIAGNOSIS_INTERVAL = 0.5
"""Minimum time in seconds between two diagnoses started by failed
connections."""

RECOVERY_DELAY_SECONDS = 1.0
"""Time in seconds that links must work again before callers are sent to this
node.  It keeps a series of short interruptions from moving callers to and
fro."""


@attrs.frozen
class PartitionParts:
    """Dependencies of a partition watch."""

    gossip: Gossip
    """Task that keeps the membership."""

    links: PeerLinks
    """Streams to peers."""

    clock: Clock
    """Source of the current time."""

    boxes: ProbedBoxes
    """Boxes that the links are tested with."""

    random: Random
    """Selects boxes and peers."""

    chooser: PeerChooser
    """Chooses peers that forward requests."""

    connect: Callable[[FleetBox], Awaitable[bool]]
    """Returns whether a box accepts a connection."""

    on_restored: Callable[[], None]
    """Called when lost links work again."""


class PartitionWatch(Actor, ReplicaPaths):
    """Tracks the services whose replicas this node can't reach.

    Parameters
    ----------
    parts
        Dependencies of the watch.
    """

    def __init__(self, parts: PartitionParts) -> None:
        """Start with working links."""
        super().__init__('partition')
        self.table = ReachabilityTable()
        self._parts = parts
        self._queries = ReachabilityQueries(
            parts.gossip, parts.links, parts.random
        )
        self._lost_since: dict[ServiceName, float] = {}
        self._diagnoses: dict[ServiceName, asyncio.Task[bool]] = {}
        self._diagnosed_at: dict[ServiceName, float] = {}
        self._announcement: asyncio.Task[None] | None = None
        parts.links.subscribe(self, ReachabilityQuery, ReachabilityReport)

    def record(self, box: FleetBox, now: float, *, is_connected: bool) -> None:
        """Record the outcome of an attempt to connect to a box."""
        self.table.record(box, now, is_connected=is_connected)
        if not is_connected and self._is_suspect(box.service, now):
            self._start_diagnosis(box.service)

    def is_partitioned(self, service: ServiceName) -> bool:
        """Return whether this node has lost its links to a service."""
        return service in self._lost_since

    def list_partitioned(self) -> list[ServiceName]:
        """Return the services whose replicas this node can't reach."""
        return sorted(self._lost_since)

    async def await_diagnosis(self, service: ServiceName) -> None:
        """Wait for the current diagnosis, starting one if it is allowed."""
        now = self._parts.clock.read()
        if service in self._diagnoses or self._may_diagnose(service, now):
            await asyncio.wait({self._start_diagnosis(service)})

    def list_peers(self, service: ServiceName) -> list[NodeRecord]:
        """Return the peers that can reach the replicas of a service."""
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
        """Return whether this node's links to a service work.

        Callers check this before they report a failure of a box to others.
        """
        if self.is_partitioned(service):
            return False
        return await asyncio.shield(self._start_diagnosis(service))

    def on_received(self, received: PeerLinks.Received) -> None:
        """Answer a query or process a report of a peer."""
        message = received.message
        if isinstance(message, ReachabilityQuery):
            self.spawn(self._answer(message, received.node))
        else:
            self._queries.handle_report(message, received.node)

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
        """Return whether a failed connection may start a diagnosis."""
        if self.is_partitioned(service):
            return False
        diagnosed_at = self._diagnosed_at.get(service, -math.inf)
        return now - diagnosed_at >= DIAGNOSIS_INTERVAL

    def _start_diagnosis(self, service: ServiceName) -> asyncio.Task[bool]:
        task = self._diagnoses.get(service)
        if task is None:
            task = self.spawn(self._diagnose(service))
            self._diagnoses[service] = task
            task.add_done_callback(
                lambda _task: self._diagnoses.pop(service, None)
            )
        return task

    async def _diagnose(self, service: ServiceName) -> bool:
        """Determine whether the links to a service work."""
        boxes = self._sample_boxes(service, PROBED_BOXES)
        needed = min(MIN_REACHED, len(boxes))
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
        self._start_partition(service, witness, now)
        return False

    async def _probe(
        self,
        boxes: list[FleetBox],
        needed: int,
    ) -> list[FleetBox]:
        """Connect to some boxes and return the unreached ones.

        Stops when the needed number of boxes have accepted a connection; the
        remaining ones then count as unreached.
        """
        unreached = list(boxes)
        attempts = [
            asyncio.ensure_future(
                self._connect(box, 0.0 if position < needed else PROBE_STAGGER)
            )
            for position, box in enumerate(boxes)
        ]
        try:
            for attempt in asyncio.as_completed(attempts):
                box, is_connected = await attempt
                if is_connected:
                    unreached.remove(box)
                if len(boxes) - len(unreached) >= needed:
                    break
        finally:
            for attempt in attempts:
                attempt.cancel()
        return unreached

    async def _connect(
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

    def _start_partition(
        self,
        service: ServiceName,
        witness: NodeId,
        now: float,
    ) -> None:
        if self.is_partitioned(service):
            return
        self._lost_since[service] = now
        log_warning('partition_detected', service=service, witness=witness)
        if self._announcement is not None:
            self._announcement.cancel()
        self._announce()
        self.spawn(self._await_recovery(service))

    async def _await_recovery(self, service: ServiceName) -> None:
        """Probe the links to a service until they work again."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL)
            boxes = self._sample_boxes(service, RECOVERY_PROBES)
            if not await self._probe(boxes, len(boxes)):
                break
        now = self._parts.clock.read()
        seconds = round(now - self._lost_since.pop(service), 3)
        self._diagnosed_at[service] = now
        log_event('partition_ended', service=service, seconds=seconds)
        self._parts.on_restored()
        if self._announcement is not None:
            self._announcement.cancel()
        self._announcement = self.spawn(self._announce_recovery())

    async def _announce_recovery(self) -> None:
        await asyncio.sleep(RECOVERY_DELAY_SECONDS)
        self._announce()

    def _announce(self) -> None:
        """Notify the other nodes of services that this one can't reach."""
        lost = tuple(self.list_partitioned())
        gossip = self._parts.gossip
        if gossip.table.own.lost_services != lost:
            gossip.post(Gossip.OwnRecordChange(lost_services=lost))

    async def _answer(self, query: ReachabilityQuery, sender: NodeId) -> None:
        """Report which boxes of a query this node can reach."""
        candidates = map(self._parts.boxes.find_box, query.boxes)
        known = [box for box in candidates if box is not None]
        # Earlier connections prove nothing: this node may have lost its links
        # at the same time as the sender.
        unreached = await self._probe(known, len(known))
        reached = tuple(box.box for box in known if box not in unreached)
        report = ReachabilityReport(query.query, reached)
        self._parts.links.send(sender, report)

    def _sample_boxes(
        self, service: ServiceName, count: int
    ) -> list[FleetBox]:
        boxes = self._parts.boxes.list_boxes(service)
        return self._parts.random.sample(boxes, min(count, len(boxes)))
