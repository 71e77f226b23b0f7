"""The task that keeps the routes of this node the newest."""

from __future__ import annotations

from typing import TYPE_CHECKING

from waywell.connection.platform import Kind
from waywell.knowledge.platform_watch import PlatformWatch, WatchScope
from waywell.telemetry.events import log_event, log_warning

if TYPE_CHECKING:
    from waywell.connection.platform import Changes, PlatformFault, Stored
    from waywell.knowledge.platform_watch import WatchContext

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

    def __init__(self, context: WatchContext, watch_seconds: float) -> None:
        """Know nothing yet."""
        scope = WatchScope('routes', Kind.CONFIGURATION, watch_seconds)
        super().__init__('routes', scope, context)
        self._cluster = context.cluster
        self._stored_version = 0

    def dump(self) -> dict[str, object]:
        """Return the state as plain values."""
        now = self._context.clock.read()
        return {
            **super().dump(),
            'version': self._cluster.index.table.version,
            'unconfirmed_seconds': self._cluster.get_routes_age(now),
        }

    def apply_changes(
        self, changes: Changes, asked_at: float, now: float
    ) -> None:
        """Put a newer version in force; confirm the one that is stored."""
        if changes.complete:
            self._stored_version = 0
        for stored in changes.objects:
            self._apply_stored(stored)
        self.advance(changes)
        if ROUTES_NAME in changes.unreadable:
            # The newest version is not in force until a readable one comes.
            self._stored_version = 0
        if self._stored_version == self._cluster.index.table.version:
            self._cluster.confirm_routes(asked_at)

    def handle_fault(self, fault: PlatformFault, now: float) -> None:
        """Read anew after any fault."""
        self.forget_revision()

    def _apply_stored(self, stored: Stored) -> None:
        if stored.name != ROUTES_NAME or stored.body is None:
            return
        in_force = self._cluster.index.table.version
        self._stored_version = stored.body.version
        if self._stored_version < in_force:
            # A store that came back from a copy lacks the later versions.
            log_warning(
                'routes_outdated',
                stored=self._stored_version,
                in_force=in_force,
                revision=stored.version,
            )
        if self._cluster.apply_routes(stored.body):
            log_event(
                'routes_in_force',
                version=stored.body.version,
                revision=stored.version,
                routes=len(stored.body.routes),
            )
