"""The task that keeps the routes of this node the newest."""

from __future__ import annotations

from typing import TYPE_CHECKING

from waywell.connection.platform import Kind
from waywell.knowledge.platform_watch import PlatformWatch, WatchScope
from waywell.telemetry.events import log_event

if TYPE_CHECKING:
    from waywell.connection.platform import Changes, PlatformFault, Stored
    from waywell.knowledge.platform_watch import WatchParts

ROUTES_NAME = 'main'
"""Name of the one object that holds the routes."""


class RouteWatch(PlatformWatch):
    """Reads the routes and confirms them again and again.

    A watch that waits tells nothing; one that was answered tells that nothing
    had changed when it was asked.

    Parameters
    ----------
    parts
        What it works with.
    wait
        Seconds for which a watch waits when nothing changes.
    """

    def __init__(self, parts: WatchParts, wait: float) -> None:
        """Know nothing yet."""
        scope = WatchScope('routes', Kind.CONFIGURATION, wait)
        super().__init__('routes', scope, parts)
        self._outlook = parts.outlook
        self._is_behind = False

    def dump(self) -> dict[str, object]:
        """Return the state as plain values."""
        now = self._parts.clock.read()
        return {
            **super().dump(),
            'version': self._outlook.index.table.version,
            'unconfirmed_seconds': self._outlook.get_routes_age(now),
        }

    def take(self, changes: Changes, asked_at: float, now: float) -> None:
        """Put a newer version in force; confirm the one in force."""
        for stored in changes.objects:
            self._take_stored(stored)
        self._revision = max(self._revision, changes.revision)
        if ROUTES_NAME in changes.unreadable:
            # The newest version is not in force until a readable one comes.
            self._is_behind = True
        if not self._is_behind:
            self._outlook.confirm_routes(asked_at)

    def take_fault(self, fault: PlatformFault, now: float) -> None:
        """Read anew after any fault."""
        self.forget_revision()

    def _take_stored(self, stored: Stored) -> None:
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
