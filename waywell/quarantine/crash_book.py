"""Which request crashes replicas, told from who was there when they ended.

A replica runs requests side by side, so all that run there are cut when one of
them crashes it, and their retries may meet the same request again.  So a
request is held only if the others that are held were not there at one of its
ends.  One that was served a moment ago does not crash whatever runs it.

Answers a request that comes back at any entry box, alone or many times at
once, among innocent ones that are retried beside it.
"""

from __future__ import annotations

import math
from collections import Counter, OrderedDict
from typing import TYPE_CHECKING, NamedTuple

import attrs

from waywell.ids import Fingerprint
from waywell.version.fleet import ReplicaKey

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

CRASHES_HELD = 3
"""Replicas that end under a request until it is held back.  Two ends can be
chance: where few groups are left, retries pile up there; of 32 requests that
were cut at one end, three had been cut at the end before."""

HOLD_SECONDS = 600.0
"""For which a request is held back after the third end: the replicas may have
got another version meanwhile.  Each further end doubles it."""

LONGEST_HOLD = 3600.0
"""Longest hold, in seconds."""

MOST_DOUBLED = 8
"""Doublings that are worked out; the hold is at its longest before."""

MEMORY_SECONDS = 2 * LONGEST_HOLD
"""For which an end is remembered, so that one more end after a hold is enough
for the next one."""

MERGE_SECONDS = 1.0
"""Between two words about one end at the most: nodes notice the end of their
connections at once, and words go round in some 10 ms."""

SERVED_SECONDS = 60.0
"""For which a request that was served is not suspected; a later version of the
replicas may crash under what an earlier one served."""

MOST_CRASHES = 256
"""Ends that are remembered, some 40 KB at ten requests each."""

MOST_SUSPECTS = 64
"""Requests of one end that are remembered: beyond the places of a replica and
what waits there."""

MOST_SERVED = 1024
"""Requests served of late that are remembered, some 200 KB."""

MOST_TOLD = 128
"""Holds of others that are remembered without the ends behind them."""


class Hold(NamedTuple):
    """A request that must not be sent on."""

    crashes: int
    """Replicas that ended under it."""

    ended_at: float
    """When the last of them did, in seconds."""

    @property
    def until(self) -> float:
        """Return when it may be sent on again, in seconds."""
        doubled = min(MOST_DOUBLED, self.crashes - CRASHES_HELD)
        longer = math.ldexp(HOLD_SECONDS, doubled)
        return self.ended_at + min(LONGEST_HOLD, longer)


@attrs.frozen
class Crash:
    """A replica that ended while requests ran there."""

    replica: ReplicaKey
    """The replica."""

    ended_at: float
    """When it was first noticed, in seconds."""

    runs: dict[Fingerprint, bool] = attrs.Factory(dict)
    """The requests, each with whether it had brought a piece of an answer."""


class CrashBook:
    """Remembers ends of replicas, and which requests explain them."""

    def __init__(self) -> None:
        """Know of no end."""
        self.crashes: list[Crash] = []
        self.told: OrderedDict[Fingerprint, Hold] = OrderedDict()
        self.held: dict[Fingerprint, Hold] = {}
        self._unexplained: Counter[Fingerprint] = Counter()
        self._totals: Counter[Fingerprint] = Counter()
        self._served: OrderedDict[Fingerprint, float] = OrderedDict()

    def note_crash(
        self,
        replica: ReplicaKey,
        runs: Mapping[Fingerprint, bool],
        ended_at: float,
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
        """
        suspects = {
            fingerprint: has_begun
            for fingerprint, has_begun in runs.items()
            if not self.was_served(fingerprint, ended_at)
        }
        if not suspects:
            return False
        crash = self._find_or_add(replica, ended_at)
        news = suspects.keys() - crash.runs.keys()
        room = MOST_SUSPECTS - len(crash.runs)
        # Those that brought nothing are the likelier ones.
        ranked = sorted(news, key=lambda one: (suspects[one], one))
        added = {one: suspects[one] for one in ranked[:room]}
        crash.runs.update(added)
        self._raise_told(added, ended_at)
        if added:
            self._judge()
        return bool(added)

    def note_told(self, fingerprint: Fingerprint, hold: Hold) -> bool:
        """Take in that others hold a request; answer whether that is news."""
        if self.was_served(fingerprint, hold.ended_at):
            return False
        known = self.held.get(fingerprint) or self.told.get(fingerprint)
        if known is not None and known.crashes >= hold.crashes:
            return False
        self.told[fingerprint] = hold
        while len(self.told) > MOST_TOLD:
            self.told.popitem(last=False)
        self._judge()
        return True

    def note_served(self, fingerprint: Fingerprint, now: float) -> int:
        """Take in that a request was served whole; it explains no end.

        Returns
        -------
        int
            The ends that spoke against it.
        """
        self._served[fingerprint] = now
        self._served.move_to_end(fingerprint)
        while len(self._served) > MOST_SERVED:
            self._served.popitem(last=False)
        told = self.told.pop(fingerprint, None)
        total = self._totals.get(fingerprint, 0)
        if total:
            for crash in self.crashes:
                crash.runs.pop(fingerprint, None)
        if total or told:
            self._judge()
        return max(total, told.crashes if told else 0)

    def count_crashes(self, fingerprint: Fingerprint) -> int:
        """Return the ends that no other request explains."""
        hold = self.held.get(fingerprint)
        return hold.crashes if hold else self._unexplained.get(fingerprint, 0)

    def find_hold(self, fingerprint: Fingerprint, now: float) -> Hold | None:
        """Return why a request must not be sent on now, if it must not."""
        hold = self.held.get(fingerprint)
        return hold if hold and now < hold.until else None

    def was_served(self, fingerprint: Fingerprint, now: float) -> bool:
        """Answer whether a request was served of late.

        One key can get much of the traffic: it runs at every replica that
        ends, and its attempts break wherever answers are lost.
        """
        served_at = self._served.get(fingerprint)
        return served_at is not None and now < served_at + SERVED_SECONDS

    def forget_old(self, now: float) -> None:
        """Drop what happened long ago."""
        kept = [
            crash
            for crash in self.crashes
            if crash.runs and now - crash.ended_at <= MEMORY_SECONDS
        ]
        lapsed = [
            fingerprint
            for fingerprint, hold in self.told.items()
            if now - hold.ended_at > MEMORY_SECONDS
        ]
        if len(kept) == len(self.crashes) and not lapsed:
            return
        self.crashes = kept
        for fingerprint in lapsed:
            self.told.pop(fingerprint)
        self._judge()

    def _raise_told(
        self,
        fingerprints: Iterable[Fingerprint],
        ended_at: float,
    ) -> None:
        """Count an end that came after a hold which others told of."""
        for fingerprint in fingerprints:
            hold = self.told.get(fingerprint)
            if hold and ended_at > hold.ended_at + MERGE_SECONDS:
                raised = Hold(hold.crashes + 1, ended_at)
                self.told[fingerprint] = raised

    def _find_or_add(self, replica: ReplicaKey, ended_at: float) -> Crash:
        for known in reversed(self.crashes):
            apart = abs(known.ended_at - ended_at)
            if known.replica == replica and apart < MERGE_SECONDS:
                return known
        crash = Crash(replica, ended_at)
        self.crashes.append(crash)
        if len(self.crashes) > MOST_CRASHES:
            self.crashes.remove(self._find_least_needed())
        return crash

    def _find_least_needed(self) -> Crash:
        """Return the oldest end that holds no request back."""
        free = (
            crash
            for crash in self.crashes
            if not crash.runs.keys() & self.held.keys()
        )
        return next(free, self.crashes[0])

    def _judge(self) -> None:
        """Find the requests that explain the ends."""
        totals = _count_runs(self.crashes)
        # Who knows as many ends as those who told judges by itself.
        held = {
            fingerprint: hold
            for fingerprint, hold in self.told.items()
            if totals[fingerprint] < hold.crashes
        }
        guilty = _find_guilty(self.crashes)
        for fingerprint in guilty:
            last = max(
                crash.ended_at
                for crash in self.crashes
                if fingerprint in crash.runs
            )
            hold = Hold(totals[fingerprint], last)
            held[fingerprint] = max(hold, held.get(fingerprint, hold))
        self.held = held
        self._totals = totals
        self._unexplained = _count_runs(
            _list_unexplained(self.crashes, guilty)
        )


def _count_runs(crashes: Iterable[Crash]) -> Counter[Fingerprint]:
    """Return at how many ends each request was there."""
    return Counter(
        fingerprint for crash in crashes for fingerprint in crash.runs
    )


def _list_unexplained(
    crashes: Iterable[Crash],
    guilty: Iterable[Fingerprint],
) -> list[Crash]:
    """Return the ends at which none of some requests was there."""
    names = set(guilty)
    return [crash for crash in crashes if names.isdisjoint(crash.runs)]


def _find_guilty(crashes: list[Crash]) -> list[Fingerprint]:
    """Return requests that were at enough ends and are needed to explain them.

    Those of which each end is explained by the others are taken out,
    unlikeliest first.
    """
    guilty = _rank_candidates(crashes)
    for doubtful in reversed(guilty):
        others = [one for one in guilty if one != doubtful]
        there = [crash for crash in crashes if doubtful in crash.runs]
        if not _list_unexplained(there, others):
            guilty = others
    return guilty


def _rank_candidates(crashes: list[Crash]) -> list[Fingerprint]:
    """Return the requests that were at enough ends, likeliest first.

    Of two that were there as often, the one that brought less goes first, then
    the one that was alone more often; every node has the same order.
    """
    counts = _count_runs(crashes)
    silent = Counter(
        fingerprint
        for crash in crashes
        for fingerprint, has_begun in crash.runs.items()
        if not has_begun
    )
    alone = _count_runs(crash for crash in crashes if len(crash.runs) == 1)
    return sorted(
        (one for one, count in counts.items() if count >= CRASHES_HELD),
        key=lambda one: (-counts[one], -silent[one], -alone[one], one),
    )
