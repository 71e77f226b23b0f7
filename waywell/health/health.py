"""Health of groups: what speaks against sending requests to one.

The roster says which groups should serve.  Evidence that a box of a
group is dead reaches the nodes faster: from the probes of a few nodes
for each group, and from a node's own failed requests.
"""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING

import msgspec

from waywell.ids import Epoch, GroupId, NodeId
from waywell.request.routing import GroupLoad

if TYPE_CHECKING:
    from collections.abc import Iterable

INITIAL_BACKOFF = 0.5
"""Seconds for which a group rests after a first failed request."""

MAX_BACKOFF = 8.0
"""Longest such rest, in seconds."""

RECOVERY_STEPS = 5
"""Answers in which a group that failed comes back to its full weight."""

LATENCY_SHARE = 0.2
"""Weight of the newest time to the first byte in the running mean."""

SLOW_FACTOR = 2.0
"""Times the median from which a group counts as slow."""

SLOWNESS_DECAY = 0.5
"""What is left of a group's slowness after the time below."""

SLOWNESS_DECAY_SECONDS = 3.0
"""Seconds without an answer in which slowness is forgiven by that share."""

MIN_ANSWERS = 3
"""Answers before a group's mean is compared to others."""


class Verdict(enum.Enum):
    """What a probe found."""

    UP = 'up'
    """All boxes answer and have the group's order."""

    DOWN = 'down'
    """A box doesn't answer or is not ready."""

    DISORDERED = 'disordered'
    """A box answers without the group's order: it was restarted."""


class Evidence(msgspec.Struct, frozen=True, array_like=True):
    """A prober's word about a group."""

    group: GroupId
    """Group that was probed."""

    epoch: Epoch
    """Epoch that the word is about."""

    reporter: NodeId
    """Node that probed."""

    sequence: int
    """Counts the reporter's words; a later one replaces an earlier."""

    verdict: Verdict
    """What it found."""

    detail: str = ''
    """The box that didn't answer, or why."""


class _ReceivedEvidence(msgspec.Struct, frozen=True):
    evidence: Evidence
    at: float


class _GroupRecord(msgspec.Struct):
    rests_until: float = 0.0
    backoff: float = 0.0
    steps: int = RECOVERY_STEPS
    in_flight: int = 0
    latency: float = 0.0
    answers: int = 0
    answered_at: float = 0.0


class HealthTable:
    """What one node knows about the health and load of the groups.

    Parameters
    ----------
    lifetime
        Seconds after which a word that a group is down lapses.
    """

    def __init__(self, lifetime: float) -> None:
        """Start without a word against any group."""
        self._lifetime = lifetime
        self._evidence: dict[GroupId, dict[NodeId, _ReceivedEvidence]] = {}
        self._records: dict[GroupId, _GroupRecord] = {}
        self._updates = 0

    def add_evidence(self, evidence: Evidence, now: float) -> bool:
        """Take in a word; answer whether it is news to pass on."""
        words = self._evidence.setdefault(evidence.group, {})
        known = words.get(evidence.reporter)
        if known is not None:
            newer = (evidence.epoch, evidence.sequence)
            if newer <= (known.evidence.epoch, known.evidence.sequence):
                return False
        words[evidence.reporter] = _ReceivedEvidence(evidence, now)
        self._updates += 1
        return True

    def count_updates(self) -> int:
        """Return a number that rises with each word that was news."""
        return self._updates

    def find_down(self, group: GroupId, now: float) -> Evidence | None:
        """Return a live word against a group, of its latest epoch."""
        words = [
            heard.evidence
            for heard in self._evidence.get(group, {}).values()
            if heard.evidence.verdict is not Verdict.UP
            and now - heard.at < self._lifetime
        ]
        return max(words, key=_get_epoch, default=None)

    def list_down(self, now: float) -> dict[GroupId, Evidence]:
        """Return the groups that a live word speaks against."""
        found = (
            (group, self.find_down(group, now)) for group in self._evidence
        )
        return {group: word for group, word in found if word is not None}

    def is_usable(self, group: GroupId, epoch: Epoch, now: float) -> bool:
        """Answer whether no prober speaks against a group at ``now``."""
        down = self.find_down(group, now)
        return down is None or down.epoch < epoch

    def record_start(self, group: GroupId) -> None:
        """Count a request in."""
        self._get_record(group).in_flight += 1

    def record_end(self, group: GroupId) -> None:
        """Count a request out."""
        self._get_record(group).in_flight -= 1

    def record_answer(
        self,
        group: GroupId,
        seconds: float,
        now: float,
    ) -> None:
        """Take in the time to the first byte of an answer."""
        record = self._get_record(group)
        record.answered_at = now
        record.backoff = 0
        record.steps = min(RECOVERY_STEPS, record.steps + 1)
        record.answers += 1
        if record.answers == 1:
            record.latency = seconds
        record.latency += LATENCY_SHARE * (seconds - record.latency)

    def record_timeout(
        self,
        group: GroupId,
        seconds: float,
        now: float,
    ) -> None:
        """Take in that there was no answer for so long.

        The caller's deadline may have been too short, so this makes a
        group slow in the comparison, and no more.
        """
        record = self._get_record(group)
        record.answers += 1
        record.answered_at = now
        longer = max(record.latency, seconds)
        record.latency += LATENCY_SHARE * (longer - record.latency)

    def record_failure(self, group: GroupId, now: float) -> None:
        """Let a group rest that just failed a request."""
        record = self._get_record(group)
        doubled = record.backoff * 2
        record.backoff = min(MAX_BACKOFF, max(INITIAL_BACKOFF, doubled))
        record.rests_until = now + record.backoff
        record.steps = 1

    def end_rests(self) -> None:
        """Let no group rest any longer: the failures were this node's."""
        for record in self._records.values():
            record.rests_until = 0.0
            record.backoff = 0.0
            record.steps = RECOVERY_STEPS

    def get_load(
        self,
        group: GroupId,
        reported: float,
        typical: float,
        now: float,
    ) -> GroupLoad:
        """Return the load of a group.

        Parameters
        ----------
        group
            The group.
        reported
            Requests in flight as others reported them.
        typical
            Typical time to the first byte, in seconds; 0 when not known.
        now
            Present time, in seconds.
        """
        record = self._records.get(group)
        if record is None:
            return GroupLoad(in_flight=reported)
        resting = now < record.rests_until
        return GroupLoad(
            in_flight=record.in_flight + reported,
            slowness=_find_slowness(record, typical, now),
            weight=0 if resting else record.steps / RECOVERY_STEPS,
        )

    def find_typical_latency(self, groups: Iterable[GroupId]) -> float:
        """Return the median of the groups' times to the first byte."""
        known = (self._records.get(group) for group in groups)
        return _find_median(
            [
                record.latency
                for record in known
                if record is not None and record.answers >= MIN_ANSWERS
            ],
        )

    def retain(self, groups: set[GroupId]) -> None:
        """Forget groups that the roster has no more."""
        for group in tuple(self._evidence):
            if group not in groups:
                self._evidence.pop(group)
        for group, record in tuple(self._records.items()):
            if group not in groups and not record.in_flight:
                self._records.pop(group)

    def _get_record(self, group: GroupId) -> _GroupRecord:
        return self._records.setdefault(group, _GroupRecord())


def _get_epoch(evidence: Evidence) -> Epoch:
    return evidence.epoch


def _find_median(latencies: list[float]) -> float:
    if not latencies:
        return 0
    return sorted(latencies)[len(latencies) // 2]


def _find_slowness(
    record: _GroupRecord,
    typical: float,
    now: float,
) -> float:
    """Return how slow a group is, less so the longer ago that was seen.

    A slow group gets little work, so little is heard of it; were it not
    forgiven with time, it would never show that it is well again.
    """
    if record.answers < MIN_ANSWERS or typical <= 0:
        return 1
    slowness = record.latency / typical
    if slowness < SLOW_FACTOR:
        return 1
    age = max(0, now - record.answered_at)
    forgiven = math.pow(SLOWNESS_DECAY, age / SLOWNESS_DECAY_SECONDS)
    return 1 + (slowness - 1) * forgiven
