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
    from waywell.knowledge.platform_watch import WatchParts
    from waywell.knowledge.poll_intervals import PollIntervals

QUICK_PACE = 0.15
"""Seconds between two looks of the node that forms groups, as between its
plans; a look that finds no change waits as long as others."""

KEEP_SECONDS = 2.2
"""After its return, for which boxes that vanished around an outage of the
platform are kept: they are back within two seconds if they live."""


MEMBER_KEEP_SECONDS = 6.0
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
        parts: WatchParts,
        intervals: PollIntervals,
        is_quick: Callable[[], bool],
    ) -> None:
        """Know nothing yet."""
        self._is_quick = is_quick
        self._head_keep = intervals.vanished_retention
        pace = intervals.box_interval
        # The list must be confirmed as often as it is asked for.
        scope = WatchScope('boxes', Kind.BOX, wait=pace, pace=pace)
        super().__init__('fleet', scope, parts)
        self._cluster = parts.cluster
        self._listed: dict[BoxId, FleetBox] = {}
        self._kept: dict[BoxId, float] = {}
        self._is_away = False
        self._returned_at = float('-inf')

    def dump(self) -> dict[str, object]:
        """Return the state as plain values."""
        now = self._parts.clock.read()
        return {
            **super().dump(),
            'boxes': len(self._listed),
            'kept': sorted(self._kept),
            'age_seconds': self._cluster.get_boxes_age(now),
        }

    def get_pace(self) -> float:
        """Return the seconds between two looks, less while groups form."""
        pace = super().get_pace()
        return min(pace, QUICK_PACE) if self._is_quick() else pace

    def take(self, changes: Changes, asked_at: float, now: float) -> None:
        """Put what changed in force, if it matters."""
        if self._is_away:
            self._is_away = False
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
            self._kept.pop(BoxId(foreign), None)
        self.advance(changes)
        if changes.nameless and not changes.complete:
            # It may have been any box.
            self.forget_revision()
        self._keep_vanished(listed, set(changes.unreadable), now)
        self._drop_kept(listed, now)
        self._listed = listed
        known = self._cluster.fleet.boxes
        kept = {name: known[name] for name in self._kept if name in known}
        boxes = {**kept, **listed}
        # A reader's later list may have come first: what this answer has
        # beyond that list is taken with the next look.
        is_new = self._cluster.update_fleet(Fleet(boxes), asked_at, now)
        in_force = self._cluster.fleet.boxes
        self._cluster.kept = frozenset(in_force.keys() - listed.keys())
        if is_new:
            self._log_changes(in_force, known)

    def take_fault(self, fault: PlatformFault, now: float) -> None:
        """Note when boxes may have vanished; read anew unless refused."""
        if fault is not PlatformFault.HISTORY_GONE:
            self._is_away = True
        if fault is not PlatformFault.REFUSED:
            self.forget_revision()

    def _keep_vanished(
        self,
        listed: dict[BoxId, FleetBox],
        foreign: Set[str],
        now: float,
    ) -> None:
        """Keep boxes for a while that vanished, but may well serve.

        They do around an outage, and in groups that serve.
        """
        until_back = self._returned_at + KEEP_SECONDS
        known = self._cluster.fleet.boxes
        for name in self._listed.keys() - listed.keys() - foreign:
            box = known.get(name)
            if box is None or box.leaving:
                continue
            until = max(until_back, now + self._choose_keep(box))
            if until > now:
                self._kept[name] = until

    def _choose_keep(self, box: FleetBox) -> float:
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
        return MEMBER_KEEP_SECONDS if standing.rank else self._head_keep

    def _drop_kept(self, listed: dict[BoxId, FleetBox], now: float) -> None:
        """Give up kept boxes that are back, or that stay away."""
        for name, until in tuple(self._kept.items()):
            if name in listed or now > until:
                self._kept.pop(name)

    def _log_changes(
        self,
        boxes: dict[BoxId, FleetBox],
        known: dict[BoxId, FleetBox],
    ) -> None:
        log_event(
            'boxes_changed',
            revision=self._cursor.number,
            boxes=len(boxes),
            kept=len(self._kept),
            gone=','.join(sorted(known.keys() - boxes.keys())),
            new=len(boxes.keys() - known.keys()),
        )
