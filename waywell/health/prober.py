"""Probing of groups: a few nodes probe each group and inform the others."""

from __future__ import annotations

import asyncio
import bisect
import hashlib
from typing import TYPE_CHECKING

import attrs

from waywell.connection.entry_peer import HealthUpdate, LoadUpdate
from waywell.connection.target import Target
from waywell.health.health import Evidence, HealthTable, Verdict
from waywell.ids import ServiceName
from waywell.membership.gossip import Gossip
from waywell.membership.links import PeerLinks
from waywell.membership.membership import NodeState
from waywell.process.actor import Actor, Message
from waywell.process.clock import Clock
from waywell.process.documents import InForce
from waywell.process.loads import LoadTable
from waywell.request.paths import ReplicaPaths
from waywell.telemetry.events import log_event
from waywell.telemetry.timing import TimingSettings
from waywell.version.roster import Group, GroupState

if TYPE_CHECKING:
    from waywell.connection.target import ProbeAnswer
    from waywell.ids import GroupId, NodeId
    from waywell.membership.membership import NodeRecord

PROBERS_PER_GROUP = 2
"""Number of nodes that probe one group."""

REFRESH_FRACTION = 0.4
"""Fraction of the evidence's lifetime after which it is published again."""

MAX_CONCURRENT_GROUPS = 4
"""Maximum number of groups that are probed concurrently."""

POINTS_PER_NODE = 8
"""Number of points of one node on the ring; several make shares more even."""


class ProbeRing:
    """Assigns probers to groups by consistent hashing.

    Parameters
    ----------
    nodes
        Names of the nodes on the ring.
    """

    def __init__(self, nodes: list[NodeId]) -> None:
        """Place the nodes on the ring."""
        points = [
            (_hash_position(f'{node}/{point}'), node)
            for node in nodes
            for point in range(POINTS_PER_NODE)
        ]
        points.sort()
        self._points = points
        self._count = len(nodes)

    def list_probers(self, group: GroupId) -> list[NodeId]:
        """Return the nodes that follow a group on the ring."""
        start = bisect.bisect(self._points, (_hash_position(group), ''))
        count = min(PROBERS_PER_GROUP, self._count)
        probers: list[NodeId] = []
        position = start
        while len(probers) < count:
            node = self._points[position % len(self._points)][1]
            if node not in probers:
                probers.append(node)
            position += 1
        return probers


def _hash_position(name: str) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=8)
    return int.from_bytes(digest.digest())


def select_probed_groups(
    groups: list[Group],
    records: list[NodeRecord],
    own: NodeRecord,
) -> list[Group]:
    """Return the groups that a node probes.

    A group is probed by nodes of its own data hall, or by nodes of all halls
    if its own hall has none.
    """
    live = [record for record in records if record.state is NodeState.LIVE]
    rings: dict[str, ProbeRing] = {}
    selected = []
    for group in groups:
        ring = rings.get(group.hall)
        if ring is None:
            local = [node.node for node in live if node.hall == group.hall]
            ring = ProbeRing(local or [node.node for node in live])
            rings[group.hall] = ring
        if own.node in ring.list_probers(group.group):
            selected.append(group)
    return selected


@attrs.frozen
class ProberParts:
    """Dependencies of a prober."""

    in_force: InForce
    """Versions of roster and configuration in force."""

    health: HealthTable
    """Table that keeps the evidence."""

    loads: LoadTable
    """Table that keeps the loads of groups."""

    gossip: Gossip
    """Membership, which determines the groups to probe."""

    links: PeerLinks
    """Streams to other nodes."""

    target: Target
    """Client for calls to boxes."""

    clock: Clock
    """Source of the current time."""

    timing: TimingSettings
    """Timeout of a probe and lifetime of evidence."""

    paths: ReplicaPaths
    """State of this node's links to targets."""


class Prober(Actor):
    """Probes the groups assigned to this node and publishes new evidence.

    Parameters
    ----------
    parts
        Dependencies of the prober.
    """

    class ProbeTick(Message, frozen=True):
        """A round of probes is due."""

    def __init__(self, parts: ProberParts) -> None:
        """Start without evidence."""
        super().__init__('prober')
        self._parts = parts
        self._published: dict[GroupId, Evidence] = {}
        self._published_at: dict[GroupId, float] = {}
        self._probing: asyncio.Task[None] | None = None
        self._selected: list[Group] = []
        self._selected_for: tuple[int, int] = (-1, -1)
        parts.links.subscribe(self, HealthUpdate, LoadUpdate)

    def on_probe_tick(self, _tick: ProbeTick) -> None:
        """Start a round of probes unless one is still running.

        The round is a task of its own, so that a box that does not answer
        does not delay messages of other nodes.
        """
        if self._probing is None or self._probing.done():
            self._probing = self.spawn(self._probe_all())

    def on_received(self, received: PeerLinks.Received) -> None:
        """Record evidence and loads of other nodes; forward new evidence."""
        message = received.message
        if isinstance(message, LoadUpdate):
            self._parts.loads.merge_reports(message.loads)
            return
        now = self._parts.clock.read()
        news = tuple(
            evidence
            for evidence in message.evidence
            if self._parts.health.add_evidence(evidence, now)
        )
        if news:
            self._parts.links.broadcast(HealthUpdate(news), skip=received.node)

    def dump(self) -> dict[str, object]:
        """Return the evidence against groups as plain values."""
        down = self._parts.health.list_down(self._parts.clock.read())
        return {
            'probed': len(self._selected),
            'down': {
                group: {
                    'verdict': evidence.verdict.value,
                    'reporter': evidence.reporter,
                    'detail': evidence.detail,
                }
                for group, evidence in down.items()
            },
        }

    async def _probe_all(self) -> None:
        """Probe each group that is assigned to this node."""
        groups = self._select_groups()
        # Each probe in flight uses memory, so groups are probed in batches.
        for start in range(0, len(groups), MAX_CONCURRENT_GROUPS):
            await self._probe_batch(
                groups[start : start + MAX_CONCURRENT_GROUPS]
            )
        news = self._parts.loads.pop_updates()
        if news:
            self._parts.links.broadcast(LoadUpdate(news))

    def _select_groups(self) -> list[Group]:
        table = self._parts.gossip.table
        versions = (self._parts.in_force.roster.number, table.digest)
        if versions != self._selected_for:
            self._selected_for = versions
            serving = [
                group
                for group in self._parts.in_force.roster
                if group.state is GroupState.SERVING
            ]
            records = list(table.records)
            self._selected = select_probed_groups(serving, records, table.own)
            self._drop_published({group.group for group in self._selected})
            self._parts.health.retain(set(self._parts.in_force.roster.groups))
        return self._selected

    def _drop_published(self, kept: set[GroupId]) -> None:
        """Drop the evidence about groups that other nodes probe now."""
        for group in tuple(self._published):
            if group not in kept:
                self._published.pop(group)
                self._published_at.pop(group)

    async def _probe_batch(self, groups: list[Group]) -> None:
        """Probe some groups concurrently and publish the new evidence."""
        probed = await asyncio.gather(
            *(self._probe_group(group) for group in groups),
        )
        news = tuple(evidence for evidence in probed if evidence is not None)
        if news:
            self._parts.links.broadcast(HealthUpdate(news))

    async def _probe_group(self, group: Group) -> Evidence | None:
        answers = await asyncio.gather(
            *(
                self._parts.target.probe(member, self._parts.timing.probe)
                for member in group.members
            ),
        )
        head = answers[0]
        if head is not None:
            self._parts.loads.record_probe(group.group, head.load)
        fenced = self._is_fenced(group)
        verdict, detail = judge_probes(group, answers, fenced=fenced)
        must_publish = self._must_publish(group, verdict)
        if None in answers and not await self._verify_links(
            group, must_publish
        ):
            return self._withdraw(group)
        return (
            self._record_evidence(group, verdict, detail)
            if must_publish
            else None
        )

    async def _verify_links(self, group: Group, must_publish: bool) -> bool:
        """Return whether missing answers are evidence against a group."""
        service = ServiceName(group.service)
        if must_publish:
            return await self._parts.paths.verify(service)
        return not self._parts.paths.is_partitioned(service)

    def _withdraw(self, group: Group) -> Evidence | None:
        """Retract evidence published while this node was losing its links."""
        published = self._published.get(group.group)
        if published is None or published.verdict is Verdict.UP:
            return None
        log_event('evidence_withdrawn', group=group.group)
        return self._record_evidence(group, Verdict.UP, '')

    def _is_fenced(self, group: Group) -> bool:
        index = self._parts.in_force.index
        service = index.find_service(group.service)
        return service is not None and service.fenced

    def _must_publish(self, group: Group, verdict: Verdict) -> bool:
        """Return whether a verdict must be sent to the other nodes."""
        published = self._published.get(group.group)
        if published is None:
            return verdict is not Verdict.UP
        if (published.verdict, published.epoch) != (verdict, group.epoch):
            return True
        age = self._parts.clock.read() - self._published_at[group.group]
        is_stale = age >= self._parts.timing.evidence * REFRESH_FRACTION
        return is_stale and verdict is not Verdict.UP

    def _record_evidence(
        self, group: Group, verdict: Verdict, detail: str
    ) -> Evidence:
        """Record evidence about a group and return it for sending."""
        now = self._parts.clock.read()
        own = self._parts.gossip.table.own
        evidence = Evidence(
            group.group,
            group.epoch,
            own.node,
            int(self._parts.clock.read_wall() * 1000),
            verdict,
            detail,
        )
        published = self._published.get(group.group)
        if published is None or (published.verdict, published.epoch) != (
            verdict,
            group.epoch,
        ):
            log_event(
                'group_probed',
                group=group.group,
                verdict=verdict.value,
                detail=detail,
            )
        self._published[group.group] = evidence
        self._published_at[group.group] = now
        self._parts.health.add_evidence(evidence, now)
        return evidence


def judge_probes(
    group: Group,
    answers: list[ProbeAnswer | None],
    *,
    fenced: bool,
) -> tuple[Verdict, str]:
    """Return the verdict on a group and the box that caused it."""
    for member, answer in zip(group.members, answers, strict=True):
        if answer is None or not answer.ready:
            return Verdict.DOWN, member.box
        is_ordered = (
            answer.group == group.group and answer.epoch == group.epoch
        )
        if fenced and not is_ordered:
            return Verdict.DISORDERED, member.box
    return Verdict.UP, ''
