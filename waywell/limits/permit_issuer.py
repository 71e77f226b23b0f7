"""Permits that one node issues for rate-limited replicas.

A permit is the right to send one request.  A node may send nothing without a
permit, and all permits come from the buckets of the replica's few issuers, so
bursts do not add up over the nodes.
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
"""Lowest rate at which a replica gets requests from all nodes, in requests a
second.  A replica with a limit of 0 can only lift it in an answer to a
request."""

BURST_PERMITS = 2.0
"""Largest number of permits that a bucket holds besides those of
``BURST_SECONDS``."""

BURST_SECONDS = 0.1
"""Seconds of refill that a bucket holds in addition, so that the permits of
high limits are granted in few messages."""

NEW_LIMIT_SECONDS = 1.5
"""Age of a limit below which its issuers start with a full bucket, in seconds:
no other node has issued permits for it before."""

HANDOVER_SECONDS = 2.0
"""Seconds for which a new issuer grants nothing: the former one may not know
yet that it has been replaced."""


class PermitIssuer:
    """Issues permits for the replicas that are assigned to one node.

    Parameters
    ----------
    limits
        Limits that replicas have reported.
    """

    def __init__(self, limits: ReportedLimits) -> None:
        """Start without a bucket."""
        self._limits = limits
        self._buckets: dict[BoxLife, PermitBucket] = {}
        self.granted = 0
        self.refused = 0

    def update(self, assignment: IssuerAssignment, now: float) -> None:
        """Match the buckets to the current assignment and limits."""
        limited = (
            self._limits.list_limited() if assignment.view.has_joined else {}
        )
        assigned = {
            life: report
            for life, report in limited.items()
            if assignment.view.own in assignment.choose(life.box, report.hall)
        }
        for ended in self._buckets.keys() - assigned.keys():
            self._buckets.pop(ended)
            log_event('dealing_ended', box=ended.box)
        for life, report in assigned.items():
            issuers = len(assignment.choose(life.box, report.hall))
            rate = (
                max(report.limit, MIN_RATE)
                * assignment.view.live_fraction
                / issuers
            )
            self._update_bucket(life, report, rate, now)

    def grant(self, life: BoxLife, rank: int, now: float) -> PermitGrant:
        """Grant permits for a replica, or refuse.

        Parameters
        ----------
        life
            Life of the box that receives the replica's requests.
        rank
            Priority of the request; 0 is the most urgent.
        now
            Current time, in seconds.
        """
        if not self._limits.is_limited(life):
            return PermitGrant(1)
        bucket = self._buckets.get(life)
        if bucket is None:
            return PermitGrant(retry_after=MIN_RETRY_SECONDS)
        wanted = max(1, int(bucket.rate * BURST_SECONDS / 2))
        grant = bucket.grant(rank, wanted, now)
        self.granted += grant.permits
        self.refused += not grant.permits
        return grant

    def dump(self) -> dict[str, dict[str, float]]:
        """Return the state of each bucket as plain values."""
        return {
            life.box: {
                'turns_a_second': round(bucket.rate, 3),
                'turns': round(bucket.level, 2),
                'refused': bucket.refused,
            }
            for life, bucket in self._buckets.items()
        }

    def count(self) -> dict[str, float]:
        """Return the number of buckets, permits granted and refusals."""
        return {
            'dealing': len(self._buckets),
            'dealt': self.granted,
            'refused': self.refused,
        }

    def _update_bucket(
        self,
        life: BoxLife,
        report: LimitReport,
        rate: float,
        now: float,
    ) -> None:
        capacity = compute_capacity(rate)
        bucket = self._buckets.get(life)
        if bucket is None:
            is_new = now - report.limited_since < NEW_LIMIT_SECONDS
            starts_at = now if is_new else now + HANDOVER_SECONDS
            level = capacity if is_new else 0.0
            self._buckets[life] = PermitBucket(
                rate, capacity, starts_at, level
            )
            log_event(
                'dealing_begun',
                box=life.box,
                limit=report.limit,
                rate=round(rate, 3),
                limit_age=round(now - report.limited_since, 2),
            )
        elif bucket.rate != rate:
            bucket.change_rate(rate, capacity, now)


def compute_capacity(rate: float) -> float:
    """Return the capacity of a bucket with a refill rate, in permits.

    With two issuers for each replica and permits that are used within half a
    second, the requests sent within 4 s stay below one and a half times the
    limit plus five requests: with a limit of 1 they are at most 7.6 of 11.
    """
    return min(BURST_PERMITS, 1 + rate) + BURST_SECONDS * rate
