"""Probing groups: a few nodes for each group, the rest hear from them."""

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

PROBERS = 2
"""Nodes that probe one group."""

REFRESH_SHARE = 0.4
"""Part of the evidence's lifetime after which a word is said again."""

GROUPS_AT_ONCE = 4
"""Groups that are probed side by side."""

RING_POINTS = 8
"""Places of one node on the ring, for an even spread."""


class ProbeRing:
    """Tells which nodes probe a group: its next ones on a ring of hashes.

    Parameters
    ----------
    nodes
        Nodes on the ring.
    """

    def __init__(self, nodes: list[NodeId]) -> None:
        """Place the nodes."""
        places = [
            (_place(f'{node}/{point}'), node)
            for node in nodes
            for point in range(RING_POINTS)
        ]
        places.sort()
        self._places = places
        self._count = len(nodes)

    def list_probers(self, group: GroupId) -> list[NodeId]:
        """Return the nodes that probe a group."""
        start = bisect.bisect(self._places, (_place(group), ''))
        wanted = min(PROBERS, self._count)
        found: list[NodeId] = []
        position = start
        while len(found) < wanted:
            node = self._places[position % len(self._places)][1]
            if node not in found:
                found.append(node)
            position += 1
        return found


def _place(name: str) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=8)
    return int.from_bytes(digest.digest())


def pick_probed(
    groups: list[Group],
    records: list[NodeRecord],
    own: NodeRecord,
) -> list[Group]:
    """Return the groups that a node probes.

    The nodes of a group's own data hall probe it; those of all halls
    where its own has none.
    """
    live = [record for record in records if record.state is NodeState.LIVE]
    rings: dict[str, ProbeRing] = {}
    picked = []
    for group in groups:
        ring = rings.get(group.hall)
        if ring is None:
            here = [node.node for node in live if node.hall == group.hall]
            ring = ProbeRing(here or [node.node for node in live])
            rings[group.hall] = ring
        if own.node in ring.list_probers(group.group):
            picked.append(group)
    return picked


@attrs.frozen
class ProberParts:
    """What a prober works with."""

    in_force: InForce
    """Versions in force."""

    health: HealthTable
    """Where words are kept."""

    loads: LoadTable
    """Where reported loads are kept."""

    gossip: Gossip
    """Membership, to know which groups to probe."""

    links: PeerLinks
    """Streams to other nodes."""

    target: Target
    """Calls to boxes."""

    clock: Clock
    """Where the time is read."""

    timing: TimingSettings
    """Periods and bounds."""

    paths: ReplicaPaths
    """Knows whether this node's links to targets work."""


class Prober(Actor):
    """Probes this node's part of the groups and spreads what is news.

    Parameters
    ----------
    parts
        What it works with.
    """

    class ProbeTick(Message, frozen=True):
        """Probes are due."""

    def __init__(self, parts: ProberParts) -> None:
        """Start without words."""
        super().__init__('prober')
        self._parts = parts
        self._said: dict[GroupId, Evidence] = {}
        self._said_at: dict[GroupId, float] = {}
        self._round: asyncio.Task[None] | None = None
        self._picked: list[Group] = []
        self._picked_for: tuple[int, int] = (-1, -1)
        parts.links.subscribe(self, HealthUpdate, LoadUpdate)

    def on_probe_tick(self, _tick: ProbeTick) -> None:
        """Begin a round of probes, unless one is still under way.

        It is a task of its own: words of others are not to wait for a
        box that does not answer.
        """
        if self._round is None or self._round.done():
            self._round = self.spawn(self._probe_all())

    def on_received(self, received: PeerLinks.Received) -> None:
        """Take in words and loads; pass on what is news."""
        message = received.message
        if isinstance(message, LoadUpdate):
            self._parts.loads.hear(message.loads)
            return
        now = self._parts.clock.read()
        news = tuple(
            word
            for word in message.evidence
            if self._parts.health.hear(word, now)
        )
        if news:
            self._parts.links.spread(HealthUpdate(news), skip=received.node)

    def dump(self) -> dict[str, object]:
        """Return the words against groups as plain values."""
        down = self._parts.health.list_down(self._parts.clock.read())
        return {
            'probed': len(self._picked),
            'down': {
                group: {
                    'verdict': word.verdict.value,
                    'reporter': word.reporter,
                    'detail': word.detail,
                }
                for group, word in down.items()
            },
        }

    async def _probe_all(self) -> None:
        """Probe each group of this node's part."""
        groups = self._pick_groups()
        # A probe in flight costs memory, so a few groups go at a time.
        for start in range(0, len(groups), GROUPS_AT_ONCE):
            await self._probe_some(groups[start : start + GROUPS_AT_ONCE])
        news = self._parts.loads.take_news()
        if news:
            self._parts.links.spread(LoadUpdate(news))

    def _pick_groups(self) -> list[Group]:
        table = self._parts.gossip.table
        versions = (self._parts.in_force.roster.number, table.digest)
        if versions != self._picked_for:
            self._picked_for = versions
            serving = [
                group
                for group in self._parts.in_force.roster
                if group.state is GroupState.SERVING
            ]
            records = list(table.records)
            self._picked = pick_probed(serving, records, table.own)
            self._forget_words({group.group for group in self._picked})
            self._parts.health.keep_only(
                set(self._parts.in_force.roster.groups)
            )
        return self._picked

    def _forget_words(self, kept: set[GroupId]) -> None:
        """Forget what was said of groups that others probe now."""
        for group in tuple(self._said):
            if group not in kept:
                self._said.pop(group)
                self._said_at.pop(group)

    async def _probe_some(self, groups: list[Group]) -> None:
        """Probe some groups side by side; spread what is news."""
        verdicts = await asyncio.gather(
            *(self._probe_group(group) for group in groups),
        )
        words = tuple(word for word in verdicts if word is not None)
        if words:
            self._parts.links.spread(HealthUpdate(words))

    async def _probe_group(self, group: Group) -> Evidence | None:
        answers = await asyncio.gather(
            *(
                self._parts.target.probe(member, self._parts.timing.probe)
                for member in group.members
            ),
        )
        head = answers[0]
        if head is not None:
            self._parts.loads.note(group.group, head.load)
        fenced = self._is_fenced(group)
        verdict, detail = judge_probes(group, answers, fenced=fenced)
        is_news = self._is_news(group, verdict)
        if None in answers and not await self._verify_links(group, is_news):
            return self._withdraw(group)
        return self._say(group, verdict, detail) if is_news else None

    async def _verify_links(self, group: Group, is_news: bool) -> bool:
        """Answer whether boxes without an answer are evidence of a group."""
        service = ServiceName(group.service)
        if is_news:
            return await self._parts.paths.verify(service)
        return not self._parts.paths.is_partitioned(service)

    def _withdraw(self, group: Group) -> Evidence | None:
        """Take back what this node said while its links were being lost."""
        said = self._said.get(group.group)
        if said is None or said.verdict is Verdict.UP:
            return None
        log_event('evidence_withdrawn', group=group.group)
        return self._say(group, Verdict.UP, '')

    def _is_fenced(self, group: Group) -> bool:
        index = self._parts.in_force.index
        service = index.find_service(group.service)
        return service is not None and service.fenced

    def _is_news(self, group: Group, verdict: Verdict) -> bool:
        """Answer whether a verdict is to be told to the other nodes."""
        said = self._said.get(group.group)
        if said is None:
            return verdict is not Verdict.UP
        if (said.verdict, said.epoch) != (verdict, group.epoch):
            return True
        age = self._parts.clock.read() - self._said_at[group.group]
        is_stale = age >= self._parts.timing.evidence * REFRESH_SHARE
        return is_stale and verdict is not Verdict.UP

    def _say(self, group: Group, verdict: Verdict, detail: str) -> Evidence:
        """Keep a word about a group, and return it to be spread."""
        now = self._parts.clock.read()
        own = self._parts.gossip.table.own
        word = Evidence(
            group.group,
            group.epoch,
            own.node,
            int(self._parts.clock.read_wall() * 1000),
            verdict,
            detail,
        )
        said = self._said.get(group.group)
        if said is None or (said.verdict, said.epoch) != (
            verdict,
            group.epoch,
        ):
            log_event(
                'group_probed',
                group=group.group,
                verdict=verdict.value,
                detail=detail,
            )
        self._said[group.group] = word
        self._said_at[group.group] = now
        self._parts.health.hear(word, now)
        return word


def judge_probes(
    group: Group,
    answers: list[ProbeAnswer | None],
    *,
    fenced: bool,
) -> tuple[Verdict, str]:
    """Return what the answers of a group's boxes mean, and whose."""
    for member, answer in zip(group.members, answers, strict=True):
        if answer is None or not answer.ready:
            return Verdict.DOWN, member.box
        ordered = answer.group == group.group and answer.epoch == group.epoch
        if fenced and not ordered:
            return Verdict.DISORDERED, member.box
    return Verdict.UP, ''
