"""Probing groups: a few nodes for each group, the rest hear from them."""

from __future__ import annotations

import asyncio
import bisect
import hashlib
from typing import TYPE_CHECKING

from waywell.connection.entry_peer import HealthNews, LoadNews
from waywell.health.health import Evidence, HealthTable, Verdict
from waywell.membership.membership import NodeState
from waywell.process.actor import Actor, Message
from waywell.telemetry.events import log_event
from waywell.version.roster import Group, GroupState

if TYPE_CHECKING:
    from waywell.connection.target import ProbeAnswer, Target
    from waywell.ids import GroupId, NodeId
    from waywell.membership.gossip import Gossip
    from waywell.membership.links import PeerLinks
    from waywell.membership.membership import NodeRecord
    from waywell.process.clock import Clock
    from waywell.process.documents import InForce
    from waywell.process.loads import LoadTable
    from waywell.telemetry.timing import TimingSettings

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


class Prober(Actor):
    """Probes this node's part of the groups and spreads what is news.

    Parameters
    ----------
    in_force
        Versions in force.
    health
        Where words are kept.
    loads
        Where reported loads are kept.
    gossip
        Membership, to know which groups to probe.
    links
        Streams to other nodes.
    target
        Calls to boxes.
    clock
        Where the time is read.
    timing
        Periods and bounds.
    """

    class ProbeTick(Message, frozen=True):
        """Probes are due."""

    def __init__(
        self,
        in_force: InForce,
        health: HealthTable,
        loads: LoadTable,
        gossip: Gossip,
        links: PeerLinks,
        target: Target,
        clock: Clock,
        timing: TimingSettings,
    ) -> None:
        """Start without words."""
        super().__init__('prober')
        self._in_force = in_force
        self._health = health
        self._loads = loads
        self._gossip = gossip
        self._links = links
        self._target = target
        self._clock = clock
        self._timing = timing
        self._said: dict[GroupId, Evidence] = {}
        self._said_at: dict[GroupId, float] = {}
        self._round: asyncio.Task[None] | None = None
        self._picked: list[Group] = []
        self._picked_for: tuple[int, int] = (-1, -1)
        links.subscribe(self, HealthNews, LoadNews)

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
        if isinstance(message, LoadNews):
            self._loads.hear(message.loads)
            return
        now = self._clock.read()
        news = tuple(
            word for word in message.words if self._health.hear(word, now)
        )
        if news:
            self._links.spread(HealthNews(news), skip=received.node)

    def dump(self) -> dict[str, object]:
        """Return the words against groups as plain values."""
        down = self._health.list_down(self._clock.read())
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
        news = self._loads.take_news()
        if news:
            self._links.spread(LoadNews(news))

    def _pick_groups(self) -> list[Group]:
        table = self._gossip.table
        versions = (self._in_force.roster.number, table.digest)
        if versions != self._picked_for:
            self._picked_for = versions
            serving = [
                group
                for group in self._in_force.roster
                if group.state is GroupState.SERVING
            ]
            records = list(table.records)
            self._picked = pick_probed(serving, records, table.own)
            self._forget_words({group.group for group in self._picked})
            self._health.keep_only(set(self._in_force.roster.groups))
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
            self._links.spread(HealthNews(words))

    async def _probe_group(self, group: Group) -> Evidence | None:
        answers = await asyncio.gather(
            *(
                self._target.probe(member, self._timing.probe)
                for member in group.members
            ),
        )
        head = answers[0]
        if head is not None:
            self._loads.note(group.group, head.load)
        fenced = self._is_fenced(group)
        verdict, detail = judge_probes(group, answers, fenced=fenced)
        return self._say(group, verdict, detail)

    def _is_fenced(self, group: Group) -> bool:
        service = self._in_force.index.find_service(group.service)
        return service is not None and service.fenced

    def _say(
        self,
        group: Group,
        verdict: Verdict,
        detail: str,
    ) -> Evidence | None:
        """Return the word to spread, or ``None`` when it is not news."""
        now = self._clock.read()
        said = self._said.get(group.group)
        changed = said is None or (said.verdict, said.epoch) != (
            verdict,
            group.epoch,
        )
        if said is None and verdict is Verdict.UP:
            changed = False
        age = now - self._said_at.get(group.group, 0)
        stale = age >= self._timing.evidence * REFRESH_SHARE
        if not changed and (verdict is Verdict.UP or not stale):
            return None
        word = Evidence(
            group.group,
            group.epoch,
            self._gossip.table.own.node,
            int(self._clock.read_wall() * 1000),
            verdict,
            detail,
        )
        if changed:
            log_event(
                'group_probed',
                group=group.group,
                verdict=verdict.value,
                detail=detail,
            )
        self._said[group.group] = word
        self._said_at[group.group] = now
        self._health.hear(word, now)
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
