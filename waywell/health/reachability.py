"""Outcomes of this node's latest connection to each box."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

import attrs

from waywell.ids import ServiceName
from waywell.telemetry.events import log_event

if TYPE_CHECKING:
    from collections.abc import Iterable

    from waywell.version.fleet import BoxLife, FleetBox

RECENT_SECONDS = 2.0
"""Age in seconds beyond which an outcome is ignored."""


@attrs.frozen
class ConnectOutcome:
    """Outcome of the latest attempt to connect to a box."""

    service: ServiceName
    """Service that the box belongs to."""

    is_connected: bool
    """Whether the connection was established."""

    at: float
    """Time at which the attempt ended, in seconds."""


class ReachabilityTable:
    """Stores the latest outcome for each incarnation of a box."""

    def __init__(self) -> None:
        """Start without outcomes."""
        self._outcomes: dict[BoxLife, ConnectOutcome] = {}
        self._failed: dict[ServiceName, set[BoxLife]] = defaultdict(set)

    def record(self, box: FleetBox, now: float, *, is_connected: bool) -> None:
        """Record the outcome of an attempt to connect to a box.

        Parameters
        ----------
        box
            Box that the attempt was made to.
        now
            Current time, in seconds.
        is_connected
            Whether the connection was established.
        """
        previous = self._outcomes.get(box.life)
        was_connected = previous is None or previous.is_connected
        self._outcomes[box.life] = ConnectOutcome(
            box.service, is_connected, now
        )
        if is_connected:
            self._failed.pop(box.service, None)
        else:
            self._failed[box.service].add(box.life)
        if is_connected != was_connected:
            event = 'box_reachable' if is_connected else 'box_unreachable'
            log_event(event, box=box.box, service=box.service)

    def count_failed(self, service: ServiceName) -> int:
        """Return how many boxes failed since the last successful attempt."""
        return len(self._failed.get(service, ()))

    def count_unreachable(self, now: float) -> dict[str, float]:
        """Return the number of recently unreachable boxes by service."""
        counts: Counter[str] = Counter(
            outcome.service
            for outcome in self._outcomes.values()
            if not outcome.is_connected and now - outcome.at < RECENT_SECONDS
        )
        return {service: float(count) for service, count in counts.items()}

    def retain(self, lives: Iterable[BoxLife]) -> None:
        """Drop the outcomes of all box incarnations except the given ones."""
        present = set(lives)
        for life in self._outcomes.keys() - present:
            self._outcomes.pop(life)
        for failed in self._failed.values():
            failed &= present
