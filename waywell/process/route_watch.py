"""The task that keeps the routes of this node the newest."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from returns.result import Failure

from waywell.connection.platform import Kind, PlatformFault
from waywell.process.actor import Actor
from waywell.process.events import log_event, log_warning

if TYPE_CHECKING:
    from collections.abc import Callable

    from waywell.connection.platform import Changes, Platform, Stored
    from waywell.process.clock import Clock
    from waywell.process.outlook import Outlook

ROUTES_NAME = 'main'
"""Name of the one object that holds the routes."""

WATCH_SECONDS = 1.2
"""For which a watch waits: its answer confirms the version in force, which
must happen several times within the promised bound; each call has a price."""

IDLE_SECONDS = 0.1
"""Between two looks at whether this node has to read by itself."""

FAILED_WAIT = 0.25
"""Seconds until a failed call is made again."""


class RouteWatch(Actor):
    """Reads the routes and confirms them again and again.

    A watch that waits tells nothing; one that was answered tells that nothing
    had changed when it was asked.

    Parameters
    ----------
    platform
        The platform.
    outlook
        Where the routes are put in force.
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
        super().__init__('routes')
        self._is_needed = is_needed
        self._platform = platform
        self._outlook = outlook
        self._clock = clock
        self._revision = 0
        self._is_lost = False
        self._is_behind = False

    def start(self) -> None:
        """Begin to read."""
        super().start()
        self.spawn(self._watch())

    def dump(self) -> dict[str, object]:
        """Return the state as plain values."""
        now = self._clock.read()
        return {
            **super().dump(),
            'version': self._outlook.index.table.version,
            'revision': self._revision,
            'unconfirmed_seconds': self._outlook.get_routes_age(now),
        }

    async def _watch(self) -> None:
        while True:
            asked_at = self._clock.read()
            if not self._is_needed(asked_at):
                # What is missed from now on is found by reading anew.
                self._revision = 0
                await asyncio.sleep(IDLE_SECONDS)
                continue
            fault = await self._look(asked_at)
            if fault is None:
                self._note_reached()
            else:
                self._note_fault(fault)
                await asyncio.sleep(FAILED_WAIT)

    async def _look(self, asked_at: float) -> PlatformFault | None:
        """Read or watch once; return why that failed."""
        if not self._revision:
            return await self._read(asked_at)
        answer = await self._platform.watch(
            (Kind.CONFIGURATION,), self._revision, WATCH_SECONDS
        )
        if isinstance(answer, Failure):
            # What was missed in the meantime is found by reading anew.
            self._revision = 0
            fault: PlatformFault = answer.failure()
            return fault
        self._take_changes(answer.unwrap(), asked_at)
        return None

    async def _read(self, asked_at: float) -> PlatformFault | None:
        answer = await self._platform.fetch_all(Kind.CONFIGURATION)
        if isinstance(answer, Failure):
            fault: PlatformFault = answer.failure()
            return fault
        self._take_changes(answer.unwrap(), asked_at)
        return None

    def _take_changes(self, changes: Changes, asked_at: float) -> None:
        for stored in changes.objects:
            self._take(stored)
        self._revision = max(self._revision, changes.revision)
        if ROUTES_NAME in changes.unreadable:
            # The newest version is not in force until a readable one comes.
            self._is_behind = True
        if not self._is_behind:
            self._outlook.confirm_routes(asked_at)

    def _take(self, stored: Stored) -> None:
        if stored.name != ROUTES_NAME or stored.body is None:
            return
        self._is_behind = False
        if self._outlook.take_routes(stored.body):
            log_event(
                'routes_in_force',
                version=stored.body.version,
                revision=stored.version,
                routes=len(stored.body.routes),
            )

    def _note_fault(self, fault: PlatformFault) -> None:
        if not self._is_lost:
            self._is_lost = True
            log_warning('platform_lost', part='routes', fault=fault.value)

    def _note_reached(self) -> None:
        if self._is_lost:
            self._is_lost = False
            log_event('platform_regained', part='routes')
