"""The latest change of the store's era, for the status report and the log.

The era changes when the store is restored from an older copy.
"""

from __future__ import annotations

from datetime import UTC, datetime
from typing import TYPE_CHECKING

from waywell.telemetry.events import log_warning

if TYPE_CHECKING:
    from collections.abc import Callable

    from waywell.connection.store_era import EraChange
    from waywell.knowledge.cluster_view import ClusterView
    from waywell.process.clock import Clock


class EraHistory:
    """Records and logs the latest change of the store's era.

    Parameters
    ----------
    cluster
        Routes and boxes in force, and the era.
    clock
        Source of the wall-clock time.
    is_holder
        Returns whether this node holds the duty of forming groups.
    count_held
        Returns the number of requests held back.
    """

    def __init__(
        self,
        cluster: ClusterView,
        clock: Clock,
        is_holder: Callable[[], bool],
        count_held: Callable[[], int],
    ) -> None:
        """Subscribe to changes of the era."""
        self._cluster = cluster
        self._clock = clock
        self._is_holder = is_holder
        self._count_held = count_held
        self._changed_at: float | None = None
        cluster.eras.listen(self._record)

    def show(self) -> dict[str, int | str | None]:
        """Return the era and the time of its change as plain values.

        The time is ``None`` if this node has not seen the era change.
        """
        eras = self._cluster.eras
        return {
            'store_era': eras.current,
            'store_era_changes': eras.changes,
            'store_era_since': _format_time(self._changed_at),
        }

    def _record(self, change: EraChange) -> None:
        """Record a change and log which state is dropped and kept."""
        self._changed_at = self._clock.read_wall()
        dropped = ['revisions']
        if self._is_holder():
            dropped.append('lease_term')
        fleet = self._cluster.fleet
        log_warning(
            'store_era_changed',
            former=change.former,
            era=change.era,
            dropped=','.join(dropped),
            boxes_kept=len(fleet.boxes),
            groups_kept=len(fleet.groups),
            routes_kept=self._cluster.index.table.version,
            holds_kept=self._count_held(),
        )


def _format_time(at: float | None) -> str | None:
    if at is None:
        return None
    return datetime.fromtimestamp(at, UTC).isoformat(timespec='milliseconds')
