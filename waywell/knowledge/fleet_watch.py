"""The task that keeps this node's box list the newest."""

from __future__ import annotations

from typing import TYPE_CHECKING

from waywell.connection.platform import Kind, PlatformFault
from waywell.ids import BoxId
from waywell.knowledge.platform_watch import PlatformWatch, WatchScope
from waywell.telemetry.events import log_event
from waywell.version.fleet import Fleet, FleetBox, MemberState

if TYPE_CHECKING:
    from collections.abc import Callable, Set

    from waywell.connection.platform import Changes
    from waywell.knowledge.platform_watch import WatchContext
    from waywell.knowledge.poll_intervals import PollIntervals

FORMING_INTERVAL = 0.15
"""Seconds between two looks of the node that forms groups, as between its
plans; a look that finds no change waits as long as others."""

RETURN_RETENTION_SECONDS = 2.2
"""After its return, for which boxes that vanished around an outage of the
platform are kept: they are back within two seconds if they live."""


MEMBER_RETENTION_SECONDS = 6.0
"""For which a member of a serving group is kept whose entry has gone.
Requests go to the head alone, and a member that is lost is noticed by the
silence of its group; one that is cut off from the platform serves on.  Of 222
boxes 26 were cut off for 5 s: without this four of five groups of sixteen were
broken up, though each of their boxes lived (one day's log)."""


class FleetWatch(PlatformWatch):
    """Watches the box list.

    Parameters
    ----------
    parts
        What it works with.
    intervals
        How often to look: boxes change all the time, and each call has a
        price.
    is_quick
        Answers whether this node forms groups: each step of a group is seen
        on the list before the next one.
    """

    def __init__(
        self,
        context: WatchContext,
        intervals: PollIntervals,
        is_forming: Callable[[], bool],
    ) -> None:
        """Know nothing yet."""
        self._is_forming = is_forming
        self._head_retention = intervals.vanished_retention
        interval = intervals.box_interval
        # The list must be confirmed as often as it is asked for.
        scope = WatchScope(
            'boxes', Kind.BOX, watch_seconds=interval, interval=interval
        )
        super().__init__('fleet', scope, context)
        self._cluster = context.cluster
        self._listed: dict[BoxId, FleetBox] = {}
        self._retained: dict[BoxId, float] = {}
        self._has_outage = False
        self._returned_at = float('-inf')

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
        """Return the seconds between two looks, less while groups form."""
        interval = super().get_interval()
        return (
            min(interval, FORMING_INTERVAL) if self._is_forming() else interval
        )

    def apply_changes(
        self, changes: Changes, asked_at: float, now: float
    ) -> None:
        """Put what changed in force, if it matters."""
        if self._has_outage:
            self._has_outage = False
            self._returned_at = now
        listed = {} if changes.complete else dict(self._listed)
        for stored in changes.objects:
            name = BoxId(stored.name)
            if stored.body is None:
                listed.pop(name, None)
            else:
                listed[name] = stored.body
        for foreign in changes.unreadable:
            # What another writer wrote names no box to use.
            listed.pop(BoxId(foreign), None)
            self._retained.pop(BoxId(foreign), None)
        self.advance(changes)
        if changes.nameless and not changes.complete:
            # It may have been any box.
            self.forget_revision()
        self._retain_vanished(listed, set(changes.unreadable), now)
        self._drop_retained(listed, now)
        self._listed = listed
        known = self._cluster.fleet.boxes
        kept = {name: known[name] for name in self._retained if name in known}
        boxes = {**kept, **listed}
        # A reader's later list may have come first: what this answer has
        # beyond that list is taken with the next look.
        is_new = self._cluster.update_fleet(Fleet(boxes), asked_at, now)
        in_force = self._cluster.fleet.boxes
        self._cluster.retained_boxes = frozenset(
            in_force.keys() - listed.keys()
        )
        if is_new:
            self._log_changes(in_force, known)

    def handle_fault(self, fault: PlatformFault, now: float) -> None:
        """Note when boxes may have vanished; read anew unless refused."""
        if fault is not PlatformFault.HISTORY_GONE:
            self._has_outage = True
        if fault is not PlatformFault.REFUSED:
            self.forget_revision()

    def _retain_vanished(
        self,
        listed: dict[BoxId, FleetBox],
        foreign: Set[str],
        now: float,
    ) -> None:
        """Keep boxes for a while that vanished, but may well serve.

        They do around an outage, and in groups that serve.
        """
        until_back = self._returned_at + RETURN_RETENTION_SECONDS
        known = self._cluster.fleet.boxes
        for name in self._listed.keys() - listed.keys() - foreign:
            box = known.get(name)
            if box is None or box.leaving:
                continue
            until = max(until_back, now + self._choose_retention(box))
            if until > now:
                self._retained[name] = until

    def _choose_retention(self, box: FleetBox) -> float:
        """Return for how long a box is kept that vanished, in seconds."""
        standing = box.standing
        if standing is None:
            return 0.0
        group = self._cluster.fleet.groups[standing.group]
        head = group.head
        if head is None or head.standing is None:
            return 0.0
        if head.standing.state is not MemberState.OPEN:
            return 0.0
        return (
            MEMBER_RETENTION_SECONDS if standing.rank else self._head_retention
        )

    def _drop_retained(
        self, listed: dict[BoxId, FleetBox], now: float
    ) -> None:
        """Give up kept boxes that are back, or that stay away."""
        for name, until in tuple(self._retained.items()):
            if name in listed or now > until:
                self._retained.pop(name)

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
