"""One node's part in dealing the turns of replicas that have a limit.

A turn is the right to send one request.  What a node may send without hearing
from others is nothing: all that may be sent is in the buckets of the few
dealers of a replica, so bursts do not add up over the nodes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from waywell.limits.permit_bucket import (
    MIN_RETRY_SECONDS,
    PermitBucket,
    PermitGrant,
)
from waywell.telemetry.events import log_event

if TYPE_CHECKING:
    from waywell.limits.issuer_assignment import IssuerAssignment
    from waywell.limits.reported_limits import LimitReport, ReportedLimits
    from waywell.version.fleet import BoxLife

MIN_RATE = 0.2
"""Requests a second that a replica gets at least, from all nodes: one that
names 0 is only heard to have taken it back in an answer."""

BURST_PERMITS = 2.0
"""Turns that a bucket holds at most beside those of a moment."""

BURST_SECONDS = 0.1
"""Moment of the rate that a bucket holds as well, so that high limits are
dealt in few messages."""

NEW_LIMIT_SECONDS = 1.5
"""After a replica's first word of a limit, in which its dealers begin with a
full bucket: no other node has dealt before."""

HANDOVER_SECONDS = 2.0
"""For which a new dealer deals nothing: the former one may not yet know that
it is none any more."""


class PermitIssuer:
    """Deals the turns of the replicas that one node is a dealer of.

    Parameters
    ----------
    limits
        What replicas have named.
    """

    def __init__(self, limits: ReportedLimits) -> None:
        """Deal nothing yet."""
        self._limits = limits
        self._buckets: dict[BoxLife, PermitBucket] = {}
        self.granted = 0
        self.refused = 0

    def update(self, choice: IssuerAssignment, now: float) -> None:
        """Begin or end to deal, and keep to the limits of now."""
        limited = self._limits.list_limited() if choice.view.is_placed else {}
        mine = {
            life: word
            for life, word in limited.items()
            if choice.view.own in choice.choose(life.box, word.hall)
        }
        for gone in self._buckets.keys() - mine.keys():
            self._buckets.pop(gone)
            log_event('dealing_ended', box=gone.box)
        for life, word in mine.items():
            dealers = len(choice.choose(life.box, word.hall))
            rate = (
                max(word.limit, MIN_RATE) * choice.view.live_fraction / dealers
            )
            self._set_rate(life, word, rate, now)

    def grant(self, life: BoxLife, rank: int, now: float) -> PermitGrant:
        """Deal turns of a replica, or refuse.

        Parameters
        ----------
        life
            The box that takes its requests.
        rank
            Urgency of the request, 0 first.
        now
            The present time, in seconds.
        """
        if not self._limits.is_limited(life):
            return PermitGrant(1)
        bucket = self._buckets.get(life)
        if bucket is None:
            return PermitGrant(retry_after=MIN_RETRY_SECONDS)
        wanted = max(1, int(bucket.rate * BURST_SECONDS / 2))
        deal = bucket.grant(rank, wanted, now)
        self.granted += deal.permits
        self.refused += not deal.permits
        return deal

    def dump(self) -> dict[str, dict[str, float]]:
        """Return what is dealt, as plain values."""
        return {
            life.box: {
                'turns_a_second': round(bucket.rate, 3),
                'turns': round(bucket.level, 2),
                'refused': bucket.refused,
            }
            for life, bucket in self._buckets.items()
        }

    def count(self) -> dict[str, float]:
        """Return how much is dealt."""
        return {
            'dealing': len(self._buckets),
            'dealt': self.granted,
            'refused': self.refused,
        }

    def _set_rate(
        self,
        life: BoxLife,
        word: LimitReport,
        rate: float,
        now: float,
    ) -> None:
        most = compute_capacity(rate)
        bucket = self._buckets.get(life)
        if bucket is None:
            is_new = now - word.limited_since < NEW_LIMIT_SECONDS
            begins_at = now if is_new else now + HANDOVER_SECONDS
            level = most if is_new else 0.0
            self._buckets[life] = PermitBucket(rate, most, begins_at, level)
            log_event(
                'dealing_begun',
                box=life.box,
                limit=word.limit,
                rate=round(rate, 3),
                limit_age=round(now - word.limited_since, 2),
            )
        elif bucket.rate != rate:
            bucket.change_rate(rate, most, now)


def compute_capacity(rate: float) -> float:
    """Return the turns that a bucket of a rate holds at most.

    With the two dealers of a replica, and turns that are used within half a
    second, the most that is sent within 4 s stays below one and a half times
    what the limit allows and five requests: at a limit of 1 it is 7.6 of 11.
    """
    return min(BURST_PERMITS, 1 + rate) + BURST_SECONDS * rate
