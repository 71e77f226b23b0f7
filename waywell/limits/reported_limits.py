"""The limits that replicas have named, as one node knows them.

A replica in need names in its answers how many requests a second it takes from
all nodes together, for as long as it says so.  Answers overtake each other, so
a word is ordered by the time between the send of its request and the arrival
of its answer: it was said at some moment between the two.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from waywell.connection.named_limit import NO_LIMIT
from waywell.ids import HallName
from waywell.telemetry.events import log_event

if TYPE_CHECKING:
    from collections.abc import Iterable

    from waywell.version.fleet import BoxLife
    from waywell.version.lives import EndedLife

REPORT_TTL_SECONDS = 600.0
"""After which a limit that nothing was heard of is forgotten; a replica of
which no request asks in that time takes one again as any other does."""

ORDER_MARGIN_SECONDS = 0.05
"""By which an answer must have come before the request of another left, to
have surely been said before: a word that went round the nodes looks later than
it is by its way."""

LIMIT_TOLERANCE = 0.1
"""Part of a limit by which another one differs that counts as the same: a
replica that works its limit out for each answer would send a word round all
nodes with each."""

MAX_REPORTS = 4096
"""Boxes whose limit is kept, some 300 bytes each: more than a fleet has."""


@attrs.frozen
class LimitReport:
    """What one answer said of its replica's limit."""

    limit: float
    """Requests a second from all nodes; ``NO_LIMIT`` where it named none."""

    sent_at: float
    """When the request left, in seconds by this node's clock."""

    received_at: float
    """When the answer came."""

    limited_since: float = 0.0
    """When the replica was first heard to have a limit."""

    hall: HallName = HallName('')
    """Data hall of the replica."""

    def precedes(self, other: LimitReport) -> bool:
        """Answer whether it was surely said before another word."""
        return self.received_at + ORDER_MARGIN_SECONDS <= other.sent_at

    def is_equivalent(self, other: LimitReport) -> bool:
        """Answer whether another word names about the same limit."""
        if NO_LIMIT in {self.limit, other.limit}:
            return self.limit == other.limit
        return abs(self.limit - other.limit) <= LIMIT_TOLERANCE * other.limit


class ReportedLimits:
    """Keeps the newest word of each replica, by the life of its box."""

    def __init__(self) -> None:
        """Know of no limit."""
        self._words: dict[BoxLife, LimitReport] = {}

    def get(self, life: BoxLife) -> float:
        """Return the requests a second that a box takes from all nodes."""
        if not self._words:
            return NO_LIMIT
        word = self._words.get(life)
        return NO_LIMIT if word is None else word.limit

    def is_limited(self, life: BoxLife) -> bool:
        """Answer whether a box has named a limit that is in force."""
        return self.get(life) < NO_LIMIT

    def get_hall(self, life: BoxLife) -> HallName:
        """Return the data hall of a box that has named a limit."""
        word = self._words.get(life)
        return HallName('') if word is None else word.hall

    def find(self, life: BoxLife) -> LimitReport | None:
        """Return the newest word of a box that has ever named a limit."""
        return self._words.get(life)

    def list_limited(self) -> dict[BoxLife, LimitReport]:
        """Return the limits in force."""
        return {
            life: word
            for life, word in self._words.items()
            if word.limit < NO_LIMIT
        }

    def list_reports(self) -> dict[BoxLife, LimitReport]:
        """Return all words, also those that ended a limit."""
        return dict(self._words)

    def record(self, life: BoxLife, word: LimitReport, by: str) -> bool:
        """Take in a word; answer whether it changes the limit.

        Parameters
        ----------
        life
            The box that said it.
        word
            What it said.
        by
            The node that heard it, for the log.
        """
        known = self._words.get(life)
        if known is None:
            if word.limit < NO_LIMIT:
                self._put(life, word, NO_LIMIT, by)
            return word.limit < NO_LIMIT
        if word.is_equivalent(known):
            self._refresh(life, known, word)
            return False
        if not _replaces(word, known):
            return False
        if known.limit < NO_LIMIT:
            limited_since = min(known.limited_since, word.limited_since)
            word = attrs.evolve(word, limited_since=limited_since)
        self._put(life, word, known.limit, by)
        return True

    def forget_ended(self, ended: Iterable[EndedLife]) -> None:
        """Forget what boxes named in lives that are over."""
        for one in ended:
            self._words.pop(one.life, None)

    def forget_old(self, now: float) -> None:
        """Forget the words that nothing has confirmed for long."""
        for life, word in tuple(self._words.items()):
            if now - word.received_at > REPORT_TTL_SECONDS:
                self._words.pop(life)

    def dump(self, now: float) -> dict[str, dict[str, float]]:
        """Return the limits in force as plain values."""
        return {
            life.box: {
                'limit': word.limit,
                'age_seconds': round(now - word.received_at, 2),
                'in_force_seconds': round(now - word.limited_since, 2),
            }
            for life, word in self.list_limited().items()
        }

    def _refresh(
        self,
        life: BoxLife,
        known: LimitReport,
        word: LimitReport,
    ) -> None:
        newest = max(known, word, key=lambda one: one.received_at)
        limited_since = min(known.limited_since, word.limited_since)
        self._words[life] = attrs.evolve(
            newest, limit=known.limit, limited_since=limited_since
        )

    def _put(
        self,
        life: BoxLife,
        word: LimitReport,
        before: float,
        by: str,
    ) -> None:
        self._words[life] = word
        if len(self._words) > MAX_REPORTS:
            oldest = min(
                self._words, key=lambda one: self._words[one].received_at
            )
            self._words.pop(oldest)
        log_event(
            'limit_named',
            box=life.box,
            limit=word.limit,
            before=before,
            by=by,
            open_seconds=round(word.received_at - word.sent_at, 3),
        )


def _replaces(word: LimitReport, known: LimitReport) -> bool:
    """Answer whether a word is to be followed in place of another.

    Which of two answers that were open at one time was said last is not
    known: the lower limit holds until an answer to a later request.
    """
    if word.limit < known.limit:
        return not word.precedes(known)
    return known.precedes(word)
