"""Choice of the boxes to probe, and evaluation of the results.

The network path that carries a node's orders to the boxes can fail while
callers' requests still run.  A box that does not answer the holder of the duty
is therefore counted as lost only if no running request shows that its group
is alive.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from waywell.telemetry.events import log_event, log_warning
from waywell.version.box_report import BoxReport, TimedReport
from waywell.version.fleet import BoxLife, FleetBox, may_be_same_life

if TYPE_CHECKING:
    from collections.abc import Callable

    from waywell.ids import GroupId
    from waywell.knowledge.cluster_view import ClusterView
    from waywell.version.fleet import FleetGroup
    from waywell.version.forming_memory import FormingMemory

REPROBE_SECONDS = 1.0
"""Interval between probes of a listed box that is lost or slow."""

DOUBT_LIFETIME_SECONDS = 2.0
"""Seconds after a doubt during which requests in flight do not count as a sign
of life of the group: those sent before the failure are still counted."""

DOUBT_DELAY_SECONDS = 0.35
"""Seconds before a doubt takes effect: a healthy group pauses while it
processes long prompts, and a node that sees it resume withdraws the doubt."""


class BoxMonitor:
    """Schedules probes of boxes and records their results.

    Parameters
    ----------
    cluster
        Source of the box list.
    start_probe
        Starts an asynchronous probe of a box; the caller passes the result to
        ``record_result`` or ``discard_probe``.
    count_requests
        Returns the number of requests in flight at a box, from all nodes.
    """

    def __init__(
        self,
        cluster: ClusterView,
        start_probe: Callable[[FleetBox], None],
        count_requests: Callable[[BoxLife], int],
    ) -> None:
        """Start without probes in flight."""
        self._cluster = cluster
        self._start_probe = start_probe
        self._count_requests = count_requests
        self._probing: set[BoxLife] = set()
        self._doubted_at: dict[GroupId, float] = {}
        self._unreached: dict[BoxLife, float] = {}

    def record_doubt(self, group: FleetGroup, now: float) -> None:
        """Record a doubt about a group and probe the boxes of the group."""
        self._doubted_at[group.group] = now
        for member in group.members:
            self.probe(member)

    def clear_doubt(self, group: GroupId) -> None:
        """Withdraw the doubt about a group that has resumed."""
        self._doubted_at.pop(group, None)

    def probe(self, box: FleetBox) -> None:
        """Probe a box unless a probe of it is in flight."""
        if box.life not in self._probing:
            self._probing.add(box.life)
            self._start_probe(box)

    def discard_probe(self, box: FleetBox) -> None:
        """End a probe whose failure is no evidence against the box."""
        self._probing.discard(box.life)

    def record_result(
        self,
        memory: FormingMemory,
        box: FleetBox,
        report: BoxReport | None,
        now: float,
    ) -> None:
        """Record the result of a probe.

        Parameters
        ----------
        memory
            State of the duty's holder; updated in place.
        box
            The box as it was listed when the probe was sent.
        report
            Report of the box; ``None`` if it did not answer.
        now
            Current time, in seconds.
        """
        self._probing.discard(box.life)
        if report is None and self._has_live_requests(box, now):
            self._record_unreached(memory, box, now)
            return
        self._unreached.pop(box.life, None)
        if report is None or not _is_same_life(box, report):
            self._record_lost(memory, box, report, now)
            return
        if box.life in memory.lost:
            memory.lost.pop(box.life)
            log_event('box_back', box=box.box)
        self._record_report(memory, box, report, now)

    def probe_failing(self, memory: FormingMemory, now: float) -> None:
        """Probe lost, unreached and slow boxes again while they are listed."""
        self._expire_doubts(now)
        for failing in (memory.lost, self._unreached):
            for due in self._list_due(failing, now):
                self.probe(due)
        fleet = self._cluster.fleet
        for life in tuple(memory.reports):
            box = fleet.find_life(life)
            if box is None:
                memory.reports.pop(life)
            elif memory.is_slow(life):
                self._probe_if_stale(memory, box, now)

    def probe_unlisted(self, memory: FormingMemory, now: float) -> None:
        """Probe retained boxes whose entries have left the store's list."""
        for name in self._cluster.retained_boxes:
            box = self._cluster.fleet.boxes.get(name)
            if box is not None and box.life not in memory.lost:
                self._probe_if_stale(memory, box, now)

    def _has_live_requests(self, box: FleetBox, now: float) -> bool:
        """Return whether requests make progress at a box's group.

        A group that has lost a member stalls; the nodes with streams to it
        detect that within a fraction of a second and raise a doubt.
        """
        standing = box.standing
        if standing is None:
            return False
        doubted_at = self._doubted_at.get(standing.group, -math.inf)
        group = self._cluster.fleet.groups.get(standing.group)
        head = group.head if group else None
        if head is None:
            return False
        if DOUBT_DELAY_SECONDS < now - doubted_at < DOUBT_LIFETIME_SECONDS:
            return False
        return self._count_requests(head.life) > 0

    def _record_unreached(
        self,
        memory: FormingMemory,
        box: FleetBox,
        now: float,
    ) -> None:
        """Record that a box of a serving group does not answer."""
        if box.life not in self._unreached:
            log_warning('box_unreached', box=box.box)
            self._probe_domain(memory, box, now)
        self._unreached[box.life] = now

    def _list_due(
        self,
        failing: dict[BoxLife, float],
        now: float,
    ) -> list[FleetBox]:
        """Return the boxes due for a probe; drop those no longer listed."""
        due = []
        for life, probed_at in tuple(failing.items()):
            box = self._cluster.fleet.find_life(life)
            if box is None:
                failing.pop(life)
            elif now - probed_at > REPROBE_SECONDS or self._is_doubted(box):
                due.append(box)
        return due

    def _is_doubted(self, box: FleetBox) -> bool:
        """Return whether a doubt about the box's group is in force."""
        standing = box.standing
        return standing is not None and standing.group in self._doubted_at

    def _expire_doubts(self, now: float) -> None:
        for group, doubted_at in tuple(self._doubted_at.items()):
            if now - doubted_at > DOUBT_LIFETIME_SECONDS:
                self._doubted_at.pop(group)

    def _record_lost(
        self,
        memory: FormingMemory,
        box: FleetBox,
        report: BoxReport | None,
        now: float,
    ) -> None:
        """Record a life of a box as lost; probe its domain on the first loss.

        A box that reports another life than the listed one has restarted, so
        the listed life has ended.
        """
        is_first_loss = box.life not in memory.lost
        memory.lost[box.life] = now
        if is_first_loss:
            event = 'box_silent' if report is None else 'box_restarting'
            log_warning(event, box=box.box, ended=box.incarnation)
            self._probe_domain(memory, box, now)

    def _record_report(
        self,
        memory: FormingMemory,
        box: FleetBox,
        report: BoxReport,
        now: float,
    ) -> None:
        """Store a box's report; probe its domain if the box is slow."""
        was_slow = memory.is_slow(box.life)
        memory.reports[box.life] = TimedReport(report, now)
        if report.is_slow() != was_slow:
            event = 'box_slow' if report.is_slow() else 'box_fast'
            log_event(event, box=box.box, pace=report.pace)
        if report.is_slow():
            self._probe_domain(memory, box, now)

    def _probe_domain(
        self,
        memory: FormingMemory,
        box: FleetBox,
        now: float,
    ) -> None:
        """Probe the other boxes of a domain in which one is silent or slow.

        Faults of boxes in a domain are correlated.  The failure of a box that
        serves no request stays undetected until its entry expires, and new
        groups formed from such boxes fail: when 20 of 171 boxes went silent
        at once, the holder had detected at most 9 of them after 2 s.
        """
        silent = memory.lost.keys() | self._unreached.keys()
        for other in self._cluster.fleet.boxes.values():
            is_peer = other.domain == box.domain
            is_peer = is_peer and other.service == box.service
            if is_peer and other.life not in silent:
                self._probe_if_stale(memory, other, now)

    def _probe_if_stale(
        self,
        memory: FormingMemory,
        box: FleetBox,
        now: float,
    ) -> None:
        """Probe a box unless its last report is recent."""
        reading = memory.reports.get(box.life)
        if reading is None or now - reading.read_at > REPROBE_SECONDS:
            self.probe(box)


def _is_same_life(box: FleetBox, report: BoxReport) -> bool:
    """Return whether a report belongs to the listed life of a box."""
    return may_be_same_life(box.incarnation, report.incarnation)
