"""The task that keeps this node's box list the newest."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from returns.result import Failure, Result

from waywell.connection.platform import Kind, PlatformFault
from waywell.ids import BoxId
from waywell.process.actor import Actor
from waywell.process.events import log_event, log_warning
from waywell.version.fleet import Fleet, FleetBox

if TYPE_CHECKING:
    from collections.abc import Callable

    from waywell.connection.platform import Changes, Platform
    from waywell.process.clock import Clock
    from waywell.process.outlook import Outlook

PACE_SECONDS = 0.4
"""Between two looks: boxes change all the time, and each call has a price;
a box that leaves must get nothing new within two seconds."""

WATCH_SECONDS = 0.4
"""For which a look waits when nothing changes: the list must be confirmed as
often as it is asked for."""

IDLE_SECONDS = 0.1
"""Between two looks at whether this node has to read by itself."""

FAILED_WAIT = 0.25
"""Seconds until a failed call is made again."""

KEEP_SECONDS = 2.2
"""For which boxes that vanished around an outage of the platform are kept:
they are back within two seconds if they live."""


class FleetWatch(Actor):
    """Watches the box list.

    Parameters
    ----------
    platform
        The platform.
    outlook
        Where the list is put in force.
    clock
        Where the time is read.
    is_needed
        Answers whether no other node reads for this one.
    """

    def __init__(
        self,
        platform: Platform,
        outlook: Outlook,
        clock: Clock,
        is_needed: Callable[[float], bool],
    ) -> None:
        """Know nothing yet."""
        super().__init__('fleet')
        self._is_needed = is_needed
        self._platform = platform
        self._outlook = outlook
        self._clock = clock
        self._revision = 0
        self._listed: dict[BoxId, FleetBox] = {}
        self._kept: dict[BoxId, float] = {}
        self._failed_at = float('-inf')
        self._is_lost = False

    def start(self) -> None:
        """Begin to watch."""
        super().start()
        self.spawn(self._watch())

    def dump(self) -> dict[str, object]:
        """Return the state as plain values."""
        return {
            **super().dump(),
            'revision': self._revision,
            'boxes': len(self._listed),
            'kept': sorted(self._kept),
            'age_seconds': self._outlook.get_boxes_age(self._clock.read()),
        }

    async def _watch(self) -> None:
        while True:
            asked_at = self._clock.read()
            if not self._is_needed(asked_at):
                self._revision = 0
                await asyncio.sleep(IDLE_SECONDS)
                continue
            answer = await self._look()
            now = self._clock.read()
            if isinstance(answer, Failure):
                self._note_fault(answer.failure(), now)
                await asyncio.sleep(FAILED_WAIT)
                continue
            self._note_reached()
            self._take(answer.unwrap(), asked_at, now)
            await asyncio.sleep(max(0.0, asked_at + PACE_SECONDS - now))

    async def _look(self) -> Result[Changes, PlatformFault]:
        if not self._revision:
            return await self._platform.fetch_all(Kind.BOX)
        return await self._platform.watch(
            (Kind.BOX,), self._revision, WATCH_SECONDS
        )

    def _take(self, changes: Changes, asked_at: float, now: float) -> None:
        """Put what changed in force, if it matters."""
        listed = {} if changes.complete else dict(self._listed)
        for stored in changes.objects:
            name = BoxId(stored.name)
            if stored.body is None:
                listed.pop(name, None)
            else:
                listed[name] = stored.body
        self._revision = changes.revision
        self._keep_vanished(listed, now)
        self._drop_kept(listed, now)
        self._listed = listed
        known = self._outlook.fleet.boxes
        kept = {name: known[name] for name in self._kept if name in known}
        boxes = {**kept, **listed}
        if boxes == known:
            self._outlook.confirm_fleet(asked_at)
            return
        self._log_changes(boxes, known)
        self._outlook.take_fleet(Fleet(boxes), asked_at)

    def _keep_vanished(
        self,
        listed: dict[BoxId, FleetBox],
        now: float,
    ) -> None:
        """Keep boxes for a while that vanished around an outage."""
        if now - self._failed_at > KEEP_SECONDS:
            return
        known = self._outlook.fleet.boxes
        for name in self._listed.keys() - listed.keys():
            if name in known and not known[name].leaving:
                self._kept[name] = now + KEEP_SECONDS

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
            revision=self._revision,
            boxes=len(boxes),
            kept=len(self._kept),
            gone=','.join(sorted(known.keys() - boxes.keys())),
            new=len(boxes.keys() - known.keys()),
        )

    def _note_fault(self, fault: PlatformFault, now: float) -> None:
        self._failed_at = now
        if fault is not PlatformFault.REFUSED:
            # What was missed in the meantime is found by reading anew.
            self._revision = 0
        if not self._is_lost:
            self._is_lost = True
            log_warning('platform_lost', part='boxes', fault=fault.value)

    def _note_reached(self) -> None:
        if self._is_lost:
            self._is_lost = False
            log_event('platform_regained', part='boxes')
