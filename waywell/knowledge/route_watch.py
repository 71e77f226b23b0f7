"""The actor that reads the routes from the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

from waywell.connection.platform import Kind
from waywell.knowledge.platform_watch import PlatformWatch, WatchScope
from waywell.telemetry.events import log_event, log_warning

if TYPE_CHECKING:
    from waywell.connection.platform import Changes, PlatformFault, Stored
    from waywell.knowledge.platform_watch import WatchContext

ROUTES_NAME = 'main'
"""Name of the only object that contains the routes."""


class RouteWatch(PlatformWatch):
    """Reads the routes, puts them in force and confirms them.

    A pending watch confirms nothing. Once it is answered, the version in force
    is confirmed as of the time at which the watch was sent, if it is the one
    stored.

    Parameters
    ----------
    context
        Platform, cluster view and other collaborators.
    watch_seconds
        Seconds after which a watch without changes is answered.
    """

    def __init__(self, context: WatchContext, watch_seconds: float) -> None:
        """Create a watch that has read no routes."""
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
        """Put a newer version in force, or confirm the stored version."""
        if changes.complete:
            self._stored_version = 0
        for stored in changes.objects:
            self._apply_stored(stored)
        self.advance(changes)
        if ROUTES_NAME in changes.unreadable:
            # The version in force is not confirmed until the object is
            # readable.
            self._stored_version = 0
        if self._stored_version == self._cluster.index.table.version:
            self._cluster.confirm_routes(asked_at)

    def handle_fault(self, fault: PlatformFault, now: float) -> None:
        """Read all objects again after any fault."""
        self.forget_revision()

    def _apply_stored(self, stored: Stored) -> None:
        if stored.name != ROUTES_NAME or stored.body is None:
            return
        in_force = self._cluster.index.table.version
        self._stored_version = stored.body.version
        if self._stored_version < in_force:
            # A store restored from an older copy lacks the later versions.
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
