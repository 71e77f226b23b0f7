"""The actor that reads the box list from the platform."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from waywell.connection.platform import Kind, PlatformFault
from waywell.ids import BoxId
from waywell.knowledge.platform_watch import PlatformWatch, WatchScope
from waywell.telemetry.events import log_event
from waywell.version.fleet import Fleet, FleetBox, MemberState

if TYPE_CHECKING:
    from collections.abc import Callable, Set

    from returns.result import Result

    from waywell.connection.platform import Changes
    from waywell.knowledge.cluster_view import BoxExpiries
    from waywell.knowledge.platform_watch import WatchContext
    from waywell.knowledge.poll_intervals import PollIntervals

FORMING_INTERVAL = 0.15
"""Seconds between two polls of the node that forms groups, equal to its
planning interval; a poll without changes waits as long as on other nodes."""

RETURN_RETENTION_SECONDS = 2.2
"""Seconds after an outage of the platform for which missing boxes are
retained; boxes that live are listed again within two seconds.  Not after a
time in which only this node was cut off: their entries went for good then."""

OVERDUE_SECONDS = 0.3
"""Seconds by which an answer is late when other nodes are asked whether they
reach the platform."""

PROBE_INTERVAL = 0.3
"""Seconds between such questions until the platform answers; a fraction of the
shortest outage, so that a single report may be lost."""

MAX_CHECK_SECONDS = 0.5
"""Longest time between two checks whether to read, in seconds, of a process
that was not suspended."""

MEMBER_RETENTION_SECONDS = 6.0
"""Seconds for which a member of a serving group is retained without an entry.

Only the head receives requests, and the loss of a member shows in the silence
of its group, while a member that is cut off from the platform keeps serving.
When 26 of 222 boxes were cut off for 5 s, four of five groups of sixteen were
broken up without this, although all of their boxes were alive."""


class FleetWatch(PlatformWatch):
    """Polls the box list and puts it in force.

    The list is polled at intervals since boxes change constantly and each call
    to the platform has a cost.

    Parameters
    ----------
    context
        Platform, cluster view and other collaborators.
    intervals
        Poll interval and the time for which missing heads are retained.
    is_forming
        Returns whether this node forms groups. It then polls more often, since
        each step of a group must be listed before the next one is ordered.
    request_probes
        Asks other nodes whether they reach the platform.
    """

    def __init__(
        self,
        context: WatchContext,
        intervals: PollIntervals,
        is_forming: Callable[[], bool],
        request_probes: Callable[[], None],
    ) -> None:
        """Create a watch that has read nothing."""
        self._is_forming = is_forming
        self._request_probes = request_probes
        self._head_retention = intervals.vanished_retention
        interval = intervals.box_interval
        # The list must be confirmed once per poll interval.
        scope = WatchScope(
            'boxes', Kind.BOX, watch_seconds=interval, interval=interval
        )
        super().__init__('fleet', scope, context)
        self._cluster = context.cluster
        self._listed: dict[BoxId, FleetBox] = {}
        self._retained: dict[BoxId, float] = {}
        self._outage = context.cluster.outage
        self._probe_timer: asyncio.TimerHandle | None = None
        self._checked_at = math.inf

    def dump(self) -> dict[str, object]:
        """Return the state as plain values."""
        now = self._context.clock.read()
        return {
            **super().dump(),
            'boxes': len(self._listed),
            'kept': sorted(self._retained),
            'age_seconds': self._cluster.get_boxes_age(now),
        }

    def get_interval(self) -> float:
        """Return the seconds between polls, fewer on the forming node."""
        interval = super().get_interval()
        return (
            min(interval, FORMING_INTERVAL) if self._is_forming() else interval
        )

    def apply_changes(
        self, changes: Changes, asked_at: float, now: float
    ) -> None:
        """Update the box list in force, with missing boxes retained."""
        self._handle_success(now)
        listed = {} if changes.complete else dict(self._listed)
        for stored in changes.objects:
            name = BoxId(stored.name)
            if stored.body is None:
                listed.pop(name, None)
            else:
                listed[name] = stored.body
        for foreign in changes.unreadable:
            # An entry by another writer does not describe a usable box.
            listed.pop(BoxId(foreign), None)
            self._retained.pop(BoxId(foreign), None)
        self.advance(changes)
        if changes.nameless and not changes.complete:
            # The change may concern any box, so read the whole list.
            self.forget_revision()
        self._retain_vanished(listed, set(changes.unreadable), now)
        self._drop_retained(listed, now)
        self._listed = listed
        known = self._cluster.fleet.boxes
        retained = {
            name: known[name] for name in self._retained if name in known
        }
        boxes = {**retained, **listed}
        # A newer list from the reader may already be in force; any entries
        # that only this answer has are applied with the next poll.
        is_new = self._cluster.update_fleet(
            Fleet(boxes), asked_at, now, self._make_expiries()
        )
        in_force = self._cluster.fleet.boxes
        self._cluster.retained_boxes = frozenset(
            in_force.keys() - listed.keys()
        )
        if is_new:
            self._log_changes(in_force, known)

    def handle_fault(self, fault: PlatformFault, now: float) -> None:
        """Record an outage; read the whole list again unless refused."""
        if fault is not PlatformFault.HISTORY_GONE:
            self._outage.begin(now)
            self._outage.record_failure()
            self._request_probes_if_reading()
        if fault is not PlatformFault.REFUSED:
            self.forget_revision()

    def handle_idle(self) -> None:
        """Forget the revision and the failures of this node's calls."""
        super().handle_idle()
        self._stop_probing()
        self._outage.reset()

    def resume_reading(self, now: float) -> None:
        """Resume reading; exclude a time in which the process did not run."""
        stalled = now - self._checked_at - MAX_CHECK_SECONDS
        self._checked_at = now
        if stalled > 0:
            self._outage.exclude(stalled, now)
        super().resume_reading(now)

    async def read(self) -> Result[Changes, PlatformFault]:
        """Read the list; ask other nodes about the platform if it is late."""
        if self._probe_timer is None:
            waits = self._cursor.is_in(self._context.cluster.eras.current)
            seconds = self._scope.watch_seconds if waits else 0
            self._schedule_probe(seconds + OVERDUE_SECONDS)
        return await super().read()

    async def stop(self) -> None:
        """Stop reading."""
        self._stop_probing()
        await super().stop()

    def _schedule_probe(self, delay: float) -> None:
        loop = asyncio.get_running_loop()
        self._probe_timer = loop.call_later(delay, self._probe_repeatedly)

    def _probe_repeatedly(self) -> None:
        """Request probes until the platform answers this node."""
        self._outage.record_overdue()
        self._request_probes_if_reading()
        self._schedule_probe(PROBE_INTERVAL)

    def _request_probes_if_reading(self) -> None:
        if self._context.reads_for_others():
            self._request_probes()

    def _stop_probing(self) -> None:
        if self._probe_timer is not None:
            self._probe_timer.cancel()
        self._probe_timer = None

    def _handle_success(self, now: float) -> None:
        """Record that the platform has answered this node."""
        self._stop_probing()
        was_failing = self._outage.is_failing
        self._outage.record_success(now)
        if was_failing:
            log_event(
                'box_list_regained',
                was_outage=self._outage.outage_end == now,
                boxes_age=self._cluster.get_boxes_age(now),
            )

    def _retain_vanished(
        self,
        listed: dict[BoxId, FleetBox],
        foreign: Set[str],
        now: float,
    ) -> None:
        """Retain boxes that are no longer listed but may still serve.

        This applies after an outage of the platform and to the boxes of
        serving groups.
        """
        known = self._cluster.fleet.boxes
        for name in self._listed.keys() - listed.keys() - foreign:
            box = known.get(name)
            if box is None or box.leaving:
                continue
            until = self._choose_retention_end(box, now)
            after_outage = self._get_return_retention_end()
            if max(until, after_outage) <= now:
                continue
            self._retained[name] = until
            log_event(
                'box_retained',
                box=name,
                seconds=round(max(until, after_outage) - now, 3),
                after_outage=after_outage > now,
                boxes_age=self._cluster.get_boxes_age(now),
            )

    def _choose_retention_end(self, box: FleetBox, now: float) -> float:
        """Return until when a missing box is retained for its group."""
        standing = box.standing
        if standing is None:
            return now
        group = self._cluster.fleet.groups[standing.group]
        head = group.head
        if head is None or head.standing is None:
            return now
        if head.standing.state is not MemberState.OPEN:
            return now
        if standing.rank:
            return now + MEMBER_RETENTION_SECONDS
        # The head's entry may have gone right after the last list that had it,
        # which is older than one interval after failed calls.
        confirmed_at = now - self._cluster.get_boxes_age(now)
        missed_at = min(now, confirmed_at + self._scope.interval)
        return missed_at + self._head_retention

    def _drop_retained(
        self, listed: dict[BoxId, FleetBox], now: float
    ) -> None:
        """Drop retained boxes that are listed again or have expired."""
        after_outage = self._get_return_retention_end()
        for name, until in tuple(self._retained.items()):
            if name in listed or now > max(until, after_outage):
                self._retained.pop(name)

    def _get_return_retention_end(self) -> float:
        """Return until when boxes are retained after the last outage."""
        return self._outage.outage_end + RETURN_RETENTION_SECONDS

    def _make_expiries(self) -> BoxExpiries:
        """Return when retained boxes get no more requests.

        A box remains in the list until the first poll after that time.
        """
        after_outage = self._get_return_retention_end()
        return {
            name: max(until, after_outage)
            for name, until in self._retained.items()
        }

    def _log_changes(
        self,
        boxes: dict[BoxId, FleetBox],
        known: dict[BoxId, FleetBox],
    ) -> None:
        log_event(
            'boxes_changed',
            revision=self._cursor.number,
            boxes=len(boxes),
            kept=len(self._retained),
            gone=','.join(sorted(known.keys() - boxes.keys())),
            new=len(boxes.keys() - known.keys()),
        )
