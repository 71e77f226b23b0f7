"""History of replica crashes, and the request traits that cause them.

A trait is a request itself or a part of its prompt.  A replica runs requests
concurrently, so a crash also interrupts requests that did not cause it, and
their retries may run beside the same trait again.  A trait is therefore held
back only if at least one of its crashes happened without any other held trait.
A trait that was served recently is not suspected.

This finds a crashing request whichever entry box it is resent through, and
distinct requests that only share a prompt part, among innocent requests that
are retried beside them.
"""

from __future__ import annotations

import math
from collections import Counter, OrderedDict, defaultdict
from typing import TYPE_CHECKING, NamedTuple

import attrs

from waywell.ids import DomainName, Trait
from waywell.request.prompt_parts import count_requests, is_prompt_part
from waywell.version.fleet import ReplicaKey

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

CRASHES_TO_HOLD = 3
"""Number of crashes after which a trait is held back.  Two can be chance:
where few groups are left, retries concentrate on them; of 32 requests that
one crash interrupted, three had been interrupted by the previous crash."""

HOLD_SECONDS = 600.0
"""Duration of the hold after the third crash, in seconds.  It is limited
because the replicas may have been upgraded meanwhile.  Each further crash
doubles it."""

MAX_HOLD_SECONDS = 3600.0
"""Maximum duration of a hold, in seconds."""

MAX_DOUBLINGS = 8
"""Maximum number of doublings that are computed; the hold reaches its maximum
duration earlier."""

MEMORY_SECONDS = 2 * MAX_HOLD_SECONDS
"""Age in seconds beyond which a crash is dropped.  It exceeds the longest
hold, so a single further crash after a hold starts the next one."""

SAME_CRASH_SECONDS = 1.0
"""Interval in seconds within which two reports about one replica describe the
same crash.  Nodes notice broken connections immediately, and reports reach
all nodes in some 10 ms."""

SERVED_SECONDS = 60.0
"""Duration in seconds for which a served trait is not suspected.  It is
limited because a later version of the replicas may crash under a request that
an earlier version served."""

MAX_CRASHES = 256
"""Maximum number of crashes in the history."""

MAX_SUSPECTS = 128
"""Maximum number of traits recorded for one crash."""

NO_DOMAIN = DomainName('')
"""Fabric domain of a replica that belongs to none."""

SAME_CAUSE_SECONDS = 0.25
"""Interval in seconds within which crashes in one fabric domain may have one
cause."""

MAX_SERVED = 2048
"""Maximum number of recently served traits in the history."""

MAX_REPORTED_HOLDS = 128
"""Maximum number of holds that were reported without their crashes."""


class Hold(NamedTuple):
    """A decision not to send requests with a trait to replicas."""

    crashes: int
    """Number of replica crashes attributed to the trait."""

    ended_at: float
    """Time of the last of these crashes, in seconds."""

    @property
    def expires_at(self) -> float:
        """Return the time at which the hold expires, in seconds."""
        doublings = min(MAX_DOUBLINGS, self.crashes - CRASHES_TO_HOLD)
        duration = math.ldexp(HOLD_SECONDS, doublings)
        return self.ended_at + min(MAX_HOLD_SECONDS, duration)


@attrs.frozen
class Crash:
    """A replica that ended while requests were running on it."""

    replica: ReplicaKey
    """Key of the incarnation that ended."""

    ended_at: float
    """Time at which the crash was first noticed, in seconds."""

    domain: DomainName = NO_DOMAIN
    """Fabric domain of the replica's head box; empty for a plain service."""

    runs: dict[Trait, bool] = attrs.Factory(dict)
    """Traits of the interrupted requests, each with whether a part of the
    answer had arrived."""


class CrashHistory:
    """Records replica crashes and determines the traits that explain them."""

    def __init__(self) -> None:
        """Start with an empty history."""
        self.crashes: list[Crash] = []
        self.reported_holds: OrderedDict[Trait, Hold] = OrderedDict()
        self.holds: dict[Trait, Hold] = {}
        self._unexplained: Counter[Trait] = Counter()
        self._totals: Counter[Trait] = Counter()
        self._served: OrderedDict[Trait, float] = OrderedDict()

    def record_crash(
        self,
        replica: ReplicaKey,
        runs: Mapping[Trait, bool],
        ended_at: float,
        domain: DomainName = NO_DOMAIN,
    ) -> bool:
        """Record a crash; return whether it adds anything to the history.

        Parameters
        ----------
        replica
            The replica that ended.
        runs
            Traits of the interrupted requests, each with whether a part of
            the answer had arrived.
        ended_at
            Time at which the crash was noticed, in seconds.
        domain
            Fabric domain of the replica's head box; empty for a plain
            service.
        """
        suspects = {
            trait: has_begun
            for trait, has_begun in runs.items()
            if not self.was_recently_served(trait, ended_at)
        }
        if not suspects:
            return False
        crash = self._find_or_add(Crash(replica, ended_at, domain))
        new_traits = suspects.keys() - crash.runs.keys()
        capacity = MAX_SUSPECTS - len(crash.runs)
        # Traits whose requests got no part of an answer are likelier causes.
        ranked = sorted(
            (trait for trait in suspects if trait in new_traits),
            key=suspects.__getitem__,
        )
        added = {trait: suspects[trait] for trait in ranked[:capacity]}
        crash.runs.update(added)
        self._extend_reported_holds(added, ended_at)
        if added:
            self._update_holds()
        return bool(added)

    def add_reported_hold(self, trait: Trait, hold: Hold) -> bool:
        """Add a hold reported by another node; return whether it is new."""
        if self.was_recently_served(trait, hold.ended_at):
            return False
        known = self.holds.get(trait) or self.reported_holds.get(trait)
        if known is not None and known.crashes >= hold.crashes:
            return False
        self.reported_holds[trait] = hold
        while len(self.reported_holds) > MAX_REPORTED_HOLDS:
            self.reported_holds.popitem(last=False)
        self._update_holds()
        return True

    def record_served(self, trait: Trait, now: float) -> int:
        """Record that a request was served, and clear its trait.

        Returns
        -------
        int
            Number of crashes that were attributed to the trait.
        """
        self._served[trait] = now
        self._served.move_to_end(trait)
        while len(self._served) > MAX_SERVED:
            self._served.popitem(last=False)
        reported = self.reported_holds.pop(trait, None)
        total = self._totals.get(trait, 0)
        if total:
            for crash in self.crashes:
                crash.runs.pop(trait, None)
        if total or reported:
            self._update_holds()
        return max(total, reported.crashes if reported else 0)

    def count_crashes(self, trait: Trait) -> int:
        """Return how many crashes of a trait no other trait explains."""
        hold = self.holds.get(trait)
        return hold.crashes if hold else self._unexplained.get(trait, 0)

    def find_hold(self, trait: Trait, now: float) -> Hold | None:
        """Return the hold on a trait, or ``None`` without an active one."""
        hold = self.holds.get(trait)
        return hold if hold and now < hold.expires_at else None

    def list_crashed_boxes(self, trait: Trait) -> list[str]:
        """Return the boxes of the replicas that crashed under a trait."""
        return [
            crash.replica.box for crash in self.crashes if trait in crash.runs
        ]

    def was_recently_served(self, trait: Trait, now: float) -> bool:
        """Return whether a trait was served within ``SERVED_SECONDS``.

        A single key can account for much of the traffic: it runs on every
        replica that ends, and its attempts fail wherever answers are lost.
        """
        served_at = self._served.get(trait)
        return served_at is not None and now < served_at + SERVED_SECONDS

    def drop_expired(self, now: float) -> None:
        """Drop crashes and reported holds older than ``MEMORY_SECONDS``."""
        kept = [
            crash
            for crash in self.crashes
            if crash.runs and now - crash.ended_at <= MEMORY_SECONDS
        ]
        expired = [
            trait
            for trait, hold in self.reported_holds.items()
            if now - hold.ended_at > MEMORY_SECONDS
        ]
        if len(kept) == len(self.crashes) and not expired:
            return
        self.crashes = kept
        for trait in expired:
            self.reported_holds.pop(trait)
        self._update_holds()

    def _extend_reported_holds(
        self,
        traits: Iterable[Trait],
        ended_at: float,
    ) -> None:
        """Add a crash to the reported holds that it came after."""
        for trait in traits:
            hold = self.reported_holds.get(trait)
            if hold and ended_at > hold.ended_at + SAME_CRASH_SECONDS:
                extended = Hold(hold.crashes + 1, ended_at)
                self.reported_holds[trait] = extended

    def _find_or_add(self, crash: Crash) -> Crash:
        """Return the recorded crash that a new report describes, or add it."""
        for known in reversed(self.crashes):
            difference = abs(known.ended_at - crash.ended_at)
            if (
                known.replica == crash.replica
                and difference < SAME_CRASH_SECONDS
            ):
                return known
        self.crashes.append(crash)
        if len(self.crashes) > MAX_CRASHES:
            self.crashes.remove(self._find_evictable())
        return crash

    def _find_evictable(self) -> Crash:
        """Return the oldest crash that no hold is based on."""
        unused = (
            crash
            for crash in self.crashes
            if not crash.runs.keys() & self.holds.keys()
        )
        return next(unused, self.crashes[0])

    def _update_holds(self) -> None:
        """Recompute which traits explain the crashes and are held back."""
        totals = _count_by_trait(self.crashes)
        # A reported hold does not apply where this node knows as many crashes
        # as the reporter: the node's own analysis decides.
        holds = {
            trait: hold
            for trait, hold in self.reported_holds.items()
            if totals[trait] < hold.crashes
        }
        culprits = _find_culprits(self.crashes, totals)
        for trait in culprits:
            last = max(
                crash.ended_at for crash in self.crashes if trait in crash.runs
            )
            hold = Hold(totals[trait], last)
            holds[trait] = max(hold, holds.get(trait, hold))
        self.holds = holds
        self._totals = totals
        self._unexplained = _count_by_trait(
            _list_unexplained(self.crashes, culprits)
        )


def _count_by_trait(crashes: Iterable[Crash]) -> Counter[Trait]:
    """Return the number of crashes by trait.

    Many requests share a prompt part, so a part is present at all crashes of
    a lost fabric domain by chance.  For parts these crashes count once.
    """
    by_trait: defaultdict[Trait, list[Crash]] = defaultdict(list)
    for crash in crashes:
        for present in crash.runs:
            by_trait[present].append(crash)
    counts: Counter[Trait] = Counter()
    for trait, known in by_trait.items():
        is_shared = is_prompt_part(trait)
        counts[trait] = _count_causes(known) if is_shared else len(known)
    return counts


def _count_causes(crashes: list[Crash]) -> int:
    """Return the number of crashes, counting each lost domain once."""
    count = 0
    lost_at: dict[DomainName, float] = {}
    for crash in sorted(crashes, key=lambda known: known.ended_at):
        last = lost_at.get(crash.domain, -math.inf)
        if not crash.domain or crash.ended_at >= last + SAME_CAUSE_SECONDS:
            count += 1
            lost_at[crash.domain] = crash.ended_at
    return count


def _list_unexplained(
    crashes: Iterable[Crash],
    culprits: Iterable[Trait],
) -> list[Crash]:
    """Return the crashes at which none of the given traits was present."""
    excluded = set(culprits)
    return [crash for crash in crashes if excluded.isdisjoint(crash.runs)]


def _find_culprits(
    crashes: list[Crash],
    counts: Counter[Trait],
) -> list[Trait]:
    """Return the traits that are needed to explain the crashes.

    Candidates are the traits with at least ``CRASHES_TO_HOLD`` crashes.  Those
    whose crashes are all explained by the other candidates are removed, the
    least likely first.
    """
    candidates = {
        trait for trait in counts if counts[trait] >= CRASHES_TO_HOLD
    }
    if not candidates:
        return []
    culprits = _rank_candidates(candidates, crashes, counts)
    for doubtful in reversed(culprits):
        others = [trait for trait in culprits if trait != doubtful]
        present = [crash for crash in crashes if doubtful in crash.runs]
        if not _list_unexplained(present, others):
            culprits = others
    return culprits


def _rank_candidates(
    candidates: set[Trait],
    crashes: list[Crash],
    counts: Counter[Trait],
) -> list[Trait]:
    """Return the candidates, most likely first.

    Among traits with equally many crashes, a request ranks before a prompt
    part, then the trait with fewer begun answers, then the one that more
    often ran alone.  Of parts that always occurred together, the later one in
    the prompt ranks first, because harmless requests share the first ones.
    """
    unanswered: Counter[Trait] = Counter()
    alone: Counter[Trait] = Counter()
    positions: Counter[Trait] = Counter()
    for crash in crashes:
        requests = count_requests(crash.runs)
        for position, trait in enumerate(crash.runs):
            if trait in candidates:
                unanswered[trait] += not crash.runs[trait]
                alone[trait] += requests == 1
                positions[trait] += position if is_prompt_part(trait) else 0
    return sorted(
        candidates,
        key=lambda candidate: (
            -counts[candidate],
            is_prompt_part(candidate),
            -unanswered[candidate],
            -alone[candidate],
            -positions[candidate],
            candidate,
        ),
    )
