"""Health of groups: the evidence against sending requests to a group.

The roster states which groups should serve.  Evidence that a box of a group
is dead reaches the nodes faster: from the few nodes that probe the group, and
from a node's own failed requests.
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
"""Duration in seconds of a group's rest after its first failed request."""

MAX_BACKOFF = 8.0
"""Maximum duration of a rest, in seconds."""

RECOVERY_STEPS = 5
"""Number of answers until a failed group has its full weight again."""

LATENCY_SHARE = 0.2
"""Weight of the latest time to first byte in the running mean."""

SLOW_FACTOR = 2.0
"""Ratio to the median latency from which a group counts as slow."""

SLOWNESS_DECAY = 0.5
"""Factor by which slowness decays in each ``SLOWNESS_DECAY_SECONDS``."""

SLOWNESS_DECAY_SECONDS = 3.0
"""Time in seconds without an answer in which slowness decays once."""

MIN_ANSWERS = 3
"""Minimum number of answers before a group's latency is compared."""


class Verdict(enum.Enum):
    """Result of probing a group."""

    UP = 'up'
    """All boxes answer and confirm the group's order."""

    DOWN = 'down'
    """A box doesn't answer or is not ready."""

    DISORDERED = 'disordered'
    """A box answers without the group's order, so it was restarted."""


class Evidence(msgspec.Struct, frozen=True, array_like=True):
    """Result of one probe of a group, as sent to other nodes."""

    group: GroupId
    """Group that was probed."""

    epoch: Epoch
    """Epoch of the group at the time of the probe."""

    reporter: NodeId
    """Node that probed."""

    sequence: int
    """Sequence number of the reporter; a higher one replaces a lower."""

    verdict: Verdict
    """Whether the group can serve."""

    detail: str = ''
    """Box that caused the verdict; empty if the group is up."""


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
    """Health and load of the groups as known to one node.

    Parameters
    ----------
    lifetime
        Time in seconds after which evidence against a group expires.
    """

    def __init__(self, lifetime: float) -> None:
        """Start without evidence."""
        self._lifetime = lifetime
        self._evidence: dict[GroupId, dict[NodeId, _ReceivedEvidence]] = {}
        self._records: dict[GroupId, _GroupRecord] = {}
        self._updates = 0

    def add_evidence(self, evidence: Evidence, now: float) -> bool:
        """Add evidence; return whether it is new and should be forwarded."""
        by_reporter = self._evidence.setdefault(evidence.group, {})
        known = by_reporter.get(evidence.reporter)
        if known is not None:
            order = (evidence.epoch, evidence.sequence)
            if order <= (known.evidence.epoch, known.evidence.sequence):
                return False
        by_reporter[evidence.reporter] = _ReceivedEvidence(evidence, now)
        self._updates += 1
        return True

    def count_updates(self) -> int:
        """Return how many pieces of new evidence were added."""
        return self._updates

    def find_down(self, group: GroupId, now: float) -> Evidence | None:
        """Return unexpired evidence against a group, of its latest epoch."""
        adverse = [
            received.evidence
            for received in self._evidence.get(group, {}).values()
            if received.evidence.verdict is not Verdict.UP
            and now - received.at < self._lifetime
        ]
        return max(adverse, key=_get_epoch, default=None)

    def list_down(self, now: float) -> dict[GroupId, Evidence]:
        """Return the groups with unexpired evidence against them."""
        found = (
            (group, self.find_down(group, now)) for group in self._evidence
        )
        return {group: down for group, down in found if down is not None}

    def is_usable(self, group: GroupId, epoch: Epoch, now: float) -> bool:
        """Return whether no evidence stands against a group at ``now``."""
        down = self.find_down(group, now)
        return down is None or down.epoch < epoch

    def record_start(self, group: GroupId) -> None:
        """Count a request that was sent to a group as in flight."""
        self._get_record(group).in_flight += 1

    def record_end(self, group: GroupId) -> None:
        """Count a request of a group as no longer in flight."""
        self._get_record(group).in_flight -= 1

    def record_answer(
        self,
        group: GroupId,
        seconds: float,
        now: float,
    ) -> None:
        """Record the time to first byte of an answer, in seconds."""
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
        """Record that a request got no answer for some seconds.

        The caller's deadline may have been too short, so this only raises
        the group's latency and does not start a rest.
        """
        record = self._get_record(group)
        record.answers += 1
        record.answered_at = now
        lower_bound = max(record.latency, seconds)
        record.latency += LATENCY_SHARE * (lower_bound - record.latency)

    def record_failure(self, group: GroupId, now: float) -> None:
        """Start a rest of a group that has just failed a request."""
        record = self._get_record(group)
        doubled = record.backoff * 2
        record.backoff = min(MAX_BACKOFF, max(INITIAL_BACKOFF, doubled))
        record.rests_until = now + record.backoff
        record.steps = 1

    def end_rests(self) -> None:
        """End all rests, as lost links of this node caused the failures."""
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
            Name of the group.
        reported
            Requests in flight that other nodes have reported.
        typical
            Typical time to first byte, in seconds; 0 if unknown.
        now
            Current time, in seconds.
        """
        record = self._records.get(group)
        if record is None:
            return GroupLoad(in_flight=reported)
        is_resting = now < record.rests_until
        return GroupLoad(
            in_flight=record.in_flight + reported,
            slowness=_compute_slowness(record, typical, now),
            weight=0 if is_resting else record.steps / RECOVERY_STEPS,
        )

    def find_typical_latency(self, groups: Iterable[GroupId]) -> float:
        """Return the median of the groups' times to first byte, in seconds."""
        known = (self._records.get(group) for group in groups)
        return _compute_median(
            [
                record.latency
                for record in known
                if record is not None and record.answers >= MIN_ANSWERS
            ],
        )

    def retain(self, groups: set[GroupId]) -> None:
        """Drop groups that are no longer in the roster."""
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


def _compute_median(latencies: list[float]) -> float:
    if not latencies:
        return 0
    return sorted(latencies)[len(latencies) // 2]


def _compute_slowness(
    record: _GroupRecord,
    typical: float,
    now: float,
) -> float:
    """Return a group's slowness, which decays since its last answer.

    A slow group gets few requests and so gives few answers.  Without the
    decay it could not show that it has recovered.
    """
    if record.answers < MIN_ANSWERS or typical <= 0:
        return 1
    slowness = record.latency / typical
    if slowness < SLOW_FACTOR:
        return 1
    age = max(0, now - record.answered_at)
    decay = math.pow(SLOWNESS_DECAY, age / SLOWNESS_DECAY_SECONDS)
    return 1 + (slowness - 1) * decay
