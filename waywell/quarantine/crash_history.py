"""Which trait of requests crashes replicas, judged by who ran at each crash.

A trait is the request itself or a part of its prompt.  A replica runs requests
side by side, so all that run there are cut when one of them crashes it, and
their retries may meet the same trait again.  So a trait is held only if the
others that are held were not there at one of its crashes.  One that was served
a moment ago does not crash whatever runs it.

Covers a request that comes back at any entry box, and requests that share
nothing but a part, among innocent ones that are retried beside them.
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
"""Replicas that end under a request until it is held back.  Two ends can be
chance: where few groups are left, retries pile up there; of 32 requests that
were cut at one end, three had been cut at the end before."""

HOLD_SECONDS = 600.0
"""For which a request is held back after the third end: the replicas may have
got another version meanwhile.  Each further end doubles it."""

MAX_HOLD_SECONDS = 3600.0
"""Longest hold, in seconds."""

MAX_DOUBLINGS = 8
"""Doublings that are worked out; the hold is at its longest before."""

MEMORY_SECONDS = 2 * MAX_HOLD_SECONDS
"""For which an end is remembered, so that one more end after a hold is enough
for the next one."""

SAME_CRASH_SECONDS = 1.0
"""Between two words about one end at the most: nodes notice the end of their
connections at once, and words go round in some 10 ms."""

SERVED_SECONDS = 60.0
"""For which a request that was served is not suspected; a later version of the
replicas may crash under what an earlier one served."""

MAX_CRASHES = 256
"""Maximum number of crashes that are remembered."""

MAX_SUSPECTS = 128
"""Maximum number of traits recorded for one crash."""

NO_DOMAIN = DomainName('')
"""Fabric domain of a replica that stands in none."""

SAME_CAUSE_SECONDS = 0.25
"""Seconds within which crashes in one fabric domain may have one cause."""

MAX_SERVED = 2048
"""Maximum number of traits served of late that are remembered."""

MAX_REPORTED_HOLDS = 128
"""Holds of others that are remembered without the ends behind them."""


class Hold(NamedTuple):
    """A request that must not be sent on."""

    crashes: int
    """Replicas that ended under it."""

    ended_at: float
    """When the last of them did, in seconds."""

    @property
    def expires_at(self) -> float:
        """Return when it may be sent on again, in seconds."""
        doubled = min(MAX_DOUBLINGS, self.crashes - CRASHES_TO_HOLD)
        longer = math.ldexp(HOLD_SECONDS, doubled)
        return self.ended_at + min(MAX_HOLD_SECONDS, longer)


@attrs.frozen
class Crash:
    """A replica that ended while requests ran there."""

    replica: ReplicaKey
    """The replica."""

    ended_at: float
    """When it was first noticed, in seconds."""

    domain: DomainName = NO_DOMAIN
    """Fabric domain of its head; empty for a plain service."""

    runs: dict[Trait, bool] = attrs.Factory(dict)
    """Traits of the requests, each with whether a piece of an answer came."""


class CrashHistory:
    """Remembers ends of replicas, and which requests explain them."""

    def __init__(self) -> None:
        """Know of no end."""
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
        """Take in that a replica ended; answer whether that is news.

        Parameters
        ----------
        replica
            The replica.
        runs
            Requests that were cut there, each with whether it had brought a
            piece of an answer.
        ended_at
            When it was noticed, in seconds.
        domain
            Fabric domain of its head; empty for a plain service.
        """
        suspects = {
            trait: has_begun
            for trait, has_begun in runs.items()
            if not self.was_recently_served(trait, ended_at)
        }
        if not suspects:
            return False
        crash = self._find_or_add(Crash(replica, ended_at, domain))
        news = suspects.keys() - crash.runs.keys()
        room = MAX_SUSPECTS - len(crash.runs)
        # Those that brought nothing are the likelier ones.
        ranked = sorted(
            (one for one in suspects if one in news), key=suspects.__getitem__
        )
        added = {one: suspects[one] for one in ranked[:room]}
        crash.runs.update(added)
        self._extend_reported_holds(added, ended_at)
        if added:
            self._judge()
        return bool(added)

    def add_reported_hold(self, trait: Trait, hold: Hold) -> bool:
        """Take in that others hold a request; answer whether that is news."""
        if self.was_recently_served(trait, hold.ended_at):
            return False
        known = self.holds.get(trait) or self.reported_holds.get(trait)
        if known is not None and known.crashes >= hold.crashes:
            return False
        self.reported_holds[trait] = hold
        while len(self.reported_holds) > MAX_REPORTED_HOLDS:
            self.reported_holds.popitem(last=False)
        self._judge()
        return True

    def record_served(self, trait: Trait, now: float) -> int:
        """Take in that a request was served whole; it explains no end.

        Returns
        -------
        int
            The ends that spoke against it.
        """
        self._served[trait] = now
        self._served.move_to_end(trait)
        while len(self._served) > MAX_SERVED:
            self._served.popitem(last=False)
        told = self.reported_holds.pop(trait, None)
        total = self._totals.get(trait, 0)
        if total:
            for crash in self.crashes:
                crash.runs.pop(trait, None)
        if total or told:
            self._judge()
        return max(total, told.crashes if told else 0)

    def count_crashes(self, trait: Trait) -> int:
        """Return the ends that no other request explains."""
        hold = self.holds.get(trait)
        return hold.crashes if hold else self._unexplained.get(trait, 0)

    def find_hold(self, trait: Trait, now: float) -> Hold | None:
        """Return why a request must not be sent on now, if it must not."""
        hold = self.holds.get(trait)
        return hold if hold and now < hold.expires_at else None

    def list_crashed_boxes(self, trait: Trait) -> list[str]:
        """Return the boxes of the replicas that crashed under a trait."""
        return [
            crash.replica.box for crash in self.crashes if trait in crash.runs
        ]

    def was_recently_served(self, trait: Trait, now: float) -> bool:
        """Answer whether a request was served of late.

        One key can get much of the traffic: it runs at every replica that
        ends, and its attempts break wherever answers are lost.
        """
        served_at = self._served.get(trait)
        return served_at is not None and now < served_at + SERVED_SECONDS

    def drop_expired(self, now: float) -> None:
        """Drop what happened long ago."""
        kept = [
            crash
            for crash in self.crashes
            if crash.runs and now - crash.ended_at <= MEMORY_SECONDS
        ]
        lapsed = [
            trait
            for trait, hold in self.reported_holds.items()
            if now - hold.ended_at > MEMORY_SECONDS
        ]
        if len(kept) == len(self.crashes) and not lapsed:
            return
        self.crashes = kept
        for trait in lapsed:
            self.reported_holds.pop(trait)
        self._judge()

    def _extend_reported_holds(
        self,
        traits: Iterable[Trait],
        ended_at: float,
    ) -> None:
        """Count an end that came after a hold which others told of."""
        for trait in traits:
            hold = self.reported_holds.get(trait)
            if hold and ended_at > hold.ended_at + SAME_CRASH_SECONDS:
                raised = Hold(hold.crashes + 1, ended_at)
                self.reported_holds[trait] = raised

    def _find_or_add(self, crash: Crash) -> Crash:
        for known in reversed(self.crashes):
            apart = abs(known.ended_at - crash.ended_at)
            if known.replica == crash.replica and apart < SAME_CRASH_SECONDS:
                return known
        self.crashes.append(crash)
        if len(self.crashes) > MAX_CRASHES:
            self.crashes.remove(self._find_least_needed())
        return crash

    def _find_least_needed(self) -> Crash:
        """Return the oldest end that holds no request back."""
        free = (
            crash
            for crash in self.crashes
            if not crash.runs.keys() & self.holds.keys()
        )
        return next(free, self.crashes[0])

    def _judge(self) -> None:
        """Find the requests that explain the ends."""
        totals = _count_runs(self.crashes)
        # Who knows as many ends as those who told judges by itself.
        held = {
            trait: hold
            for trait, hold in self.reported_holds.items()
            if totals[trait] < hold.crashes
        }
        guilty = _find_guilty(self.crashes, totals)
        for trait in guilty:
            last = max(
                crash.ended_at for crash in self.crashes if trait in crash.runs
            )
            hold = Hold(totals[trait], last)
            held[trait] = max(hold, held.get(trait, hold))
        self.holds = held
        self._totals = totals
        self._unexplained = _count_runs(
            _list_unexplained(self.crashes, guilty)
        )


def _count_runs(crashes: Iterable[Crash]) -> Counter[Trait]:
    """Return at how many crashes each trait was there.

    Many requests share a part, so a part is at all crashes of a domain that
    is lost by chance, and they count once.
    """
    by_trait: defaultdict[Trait, list[Crash]] = defaultdict(list)
    for crash in crashes:
        for there in crash.runs:
            by_trait[there].append(crash)
    counts: Counter[Trait] = Counter()
    for trait, known in by_trait.items():
        is_shared = is_prompt_part(trait)
        counts[trait] = _count_causes(known) if is_shared else len(known)
    return counts


def _count_causes(crashes: list[Crash]) -> int:
    """Return how many crashes are left when those of a lost domain are one."""
    count = 0
    lost_at: dict[DomainName, float] = {}
    for crash in sorted(crashes, key=lambda one: one.ended_at):
        last = lost_at.get(crash.domain, -math.inf)
        if not crash.domain or crash.ended_at >= last + SAME_CAUSE_SECONDS:
            count += 1
            lost_at[crash.domain] = crash.ended_at
    return count


def _list_unexplained(
    crashes: Iterable[Crash],
    guilty: Iterable[Trait],
) -> list[Crash]:
    """Return the ends at which none of some requests was there."""
    names = set(guilty)
    return [crash for crash in crashes if names.isdisjoint(crash.runs)]


def _find_guilty(
    crashes: list[Crash],
    counts: Counter[Trait],
) -> list[Trait]:
    """Return requests that were at enough ends and are needed to explain them.

    Those of which each end is explained by the others are taken out,
    unlikeliest first.
    """
    candidates = {one for one in counts if counts[one] >= CRASHES_TO_HOLD}
    if not candidates:
        return []
    guilty = _rank_candidates(candidates, crashes, counts)
    for doubtful in reversed(guilty):
        others = [one for one in guilty if one != doubtful]
        there = [crash for crash in crashes if doubtful in crash.runs]
        if not _list_unexplained(there, others):
            guilty = others
    return guilty


def _rank_candidates(
    candidates: set[Trait],
    crashes: list[Crash],
    counts: Counter[Trait],
) -> list[Trait]:
    """Return the traits that were at enough crashes, likeliest first.

    Of two that were there as often, a request goes before a part of its
    prompt, then the one that brought less, then the one that was alone more
    often.  Parts that came together only: the later one in the prompt, as
    sound requests share the first ones.
    """
    silent: Counter[Trait] = Counter()
    alone: Counter[Trait] = Counter()
    places: Counter[Trait] = Counter()
    for crash in crashes:
        requests = count_requests(crash.runs)
        for place, trait in enumerate(crash.runs):
            if trait in candidates:
                silent[trait] += not crash.runs[trait]
                alone[trait] += requests == 1
                places[trait] += place if is_prompt_part(trait) else 0
    return sorted(
        candidates,
        key=lambda one: (
            -counts[one],
            is_prompt_part(one),
            -silent[one],
            -alone[one],
            -places[one],
            one,
        ),
    )
