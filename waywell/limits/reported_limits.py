"""Rate limits that replicas have reported, as known to one node.

An overloaded replica reports in its answers how many requests a second it
accepts from all nodes together, and the limit holds until an answer reports
none.  Answers may overtake each other, so reports are ordered by the interval
in which they were made: between the sending of the request and the arrival of
the answer.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from waywell.connection.limit_header import NO_LIMIT
from waywell.ids import HallName
from waywell.telemetry.events import log_event

if TYPE_CHECKING:
    from collections.abc import Iterable

    from waywell.version.fleet import BoxLife
    from waywell.version.life_tracker import EndedLife

REPORT_LIFETIME_SECONDS = 600.0
"""Seconds after which a limit that no answer has confirmed is forgotten.  A
replica that gets no request in that time is treated as unlimited again."""

ORDER_MARGIN_SECONDS = 0.05
"""Seconds by which one answer must have arrived before the request of another
was sent for its report to count as the earlier one.  A report that other nodes
have relayed appears later than it is by its time in transit."""

LIMIT_TOLERANCE = 0.1
"""Relative difference up to which two limits count as equal.  Without it, a
replica that computes its limit anew for each answer would cause a broadcast to
all nodes with each of them."""

MAX_REPORTS = 4096
"""Largest number of boxes whose report is kept, at some 300 bytes each.  It is
more than a fleet has."""


@attrs.frozen
class LimitReport:
    """Limit that one answer of a replica reported."""

    limit: float
    """Requests a second from all nodes; ``NO_LIMIT`` if none was reported."""

    sent_at: float
    """Time at which the request was sent, in seconds of this node's clock."""

    received_at: float
    """Time at which the answer arrived, in seconds."""

    limited_since: float = 0.0
    """Time at which the replica first reported a limit, in seconds."""

    hall: HallName = HallName('')
    """Data hall of the replica."""

    def precedes(self, other: LimitReport) -> bool:
        """Return whether this report is certainly earlier than another."""
        return self.received_at + ORDER_MARGIN_SECONDS <= other.sent_at

    def is_equivalent(self, other: LimitReport) -> bool:
        """Return whether another report has about the same limit."""
        if NO_LIMIT in {self.limit, other.limit}:
            return self.limit == other.limit
        return abs(self.limit - other.limit) <= LIMIT_TOLERANCE * other.limit


class ReportedLimits:
    """Holds the newest report of each replica, by the life of its box."""

    def __init__(self) -> None:
        """Start without a report."""
        self._reports: dict[BoxLife, LimitReport] = {}

    def get(self, life: BoxLife) -> float:
        """Return the limit of a box, in requests a second from all nodes."""
        if not self._reports:
            return NO_LIMIT
        report = self._reports.get(life)
        return NO_LIMIT if report is None else report.limit

    def is_limited(self, life: BoxLife) -> bool:
        """Return whether a box has a limit in force."""
        return self.get(life) < NO_LIMIT

    def get_hall(self, life: BoxLife) -> HallName:
        """Return the data hall of a box that has reported a limit."""
        report = self._reports.get(life)
        return HallName('') if report is None else report.hall

    def find(self, life: BoxLife) -> LimitReport | None:
        """Return the newest report of a box, or ``None`` without any."""
        return self._reports.get(life)

    def list_limited(self) -> dict[BoxLife, LimitReport]:
        """Return the reports whose limits are in force."""
        return {
            life: report
            for life, report in self._reports.items()
            if report.limit < NO_LIMIT
        }

    def list_reports(self) -> dict[BoxLife, LimitReport]:
        """Return all reports, including those that lifted a limit."""
        return dict(self._reports)

    def record(self, life: BoxLife, report: LimitReport, by: str) -> bool:
        """Record a report; return whether it changes the limit.

        Parameters
        ----------
        life
            Life of the box that reported.
        report
            Report of its limit.
        by
            Name of the node that received the report, for the log.
        """
        known = self._reports.get(life)
        if known is None:
            if report.limit < NO_LIMIT:
                self._store(life, report, NO_LIMIT, by)
            return report.limit < NO_LIMIT
        if report.is_equivalent(known):
            self._confirm(life, known, report)
            return False
        if not _replaces(report, known):
            return False
        if known.limit < NO_LIMIT:
            limited_since = min(known.limited_since, report.limited_since)
            report = attrs.evolve(report, limited_since=limited_since)
        self._store(life, report, known.limit, by)
        return True

    def forget_ended(self, ended: Iterable[EndedLife]) -> None:
        """Forget the reports of boxes whose life has ended."""
        for ended_life in ended:
            self._reports.pop(ended_life.life, None)

    def forget_old(self, now: float) -> None:
        """Forget the reports that have not been confirmed for too long."""
        for life, report in tuple(self._reports.items()):
            if now - report.received_at > REPORT_LIFETIME_SECONDS:
                self._reports.pop(life)

    def dump(self, now: float) -> dict[str, dict[str, float]]:
        """Return the limits in force as plain values."""
        return {
            life.box: {
                'limit': report.limit,
                'age_seconds': round(now - report.received_at, 2),
                'in_force_seconds': round(now - report.limited_since, 2),
            }
            for life, report in self.list_limited().items()
        }

    def _confirm(
        self,
        life: BoxLife,
        known: LimitReport,
        report: LimitReport,
    ) -> None:
        newest = max(
            known, report, key=lambda candidate: candidate.received_at
        )
        limited_since = min(known.limited_since, report.limited_since)
        self._reports[life] = attrs.evolve(
            newest, limit=known.limit, limited_since=limited_since
        )

    def _store(
        self,
        life: BoxLife,
        report: LimitReport,
        before: float,
        by: str,
    ) -> None:
        self._reports[life] = report
        if len(self._reports) > MAX_REPORTS:
            oldest = min(
                self._reports,
                key=lambda other: self._reports[other].received_at,
            )
            self._reports.pop(oldest)
        log_event(
            'limit_named',
            box=life.box,
            limit=report.limit,
            before=before,
            by=by,
            open_seconds=round(report.received_at - report.sent_at, 3),
        )


def _replaces(report: LimitReport, known: LimitReport) -> bool:
    """Return whether a report supersedes the known one.

    The order of two answers whose requests overlapped is unknown.  The lower
    limit then holds until an answer to a later request.
    """
    if report.limit < known.limit:
        return not report.precedes(known)
    return known.precedes(report)
