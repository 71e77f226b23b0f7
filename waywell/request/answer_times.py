"""How long whole answers take, by route, as observed of late."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from waywell.request.errand import Errand

WINDOW_SECONDS = 60.0
"""For which an answer counts at the least, and twice that at the most: some
hundreds of answers of a route that is asked a few times a second."""

MARGIN = 1.25
"""Times the longest answer seen of late that the next one may take."""


@attrs.frozen
class _Longest:
    """The longest answers of a route in this window and the last one."""

    since: float
    """When this window began, in seconds."""

    present: float = 0.0
    """Longest answer in this window, in seconds."""

    last: float = 0.0
    """Longest answer in the window before, in seconds."""

    def move_to(self, now: float) -> _Longest:
        """Return the windows of a moment."""
        passed = now - self.since
        if passed < WINDOW_SECONDS:
            return self
        is_next = passed < 2 * WINDOW_SECONDS
        return _Longest(now, last=self.present if is_next else 0.0)


class AnswerTimes:
    """Keeps the longest answer of each route."""

    def __init__(self) -> None:
        """Start without an answer seen."""
        self._routes: dict[str, _Longest] = {}

    def note(self, errand: Errand, now: float) -> None:
        """Take in that a request was answered whole."""
        found = self._routes.get(errand.route.name, _Longest(now)).move_to(now)
        seconds = now - errand.arrived_at
        self._routes[errand.route.name] = attrs.evolve(
            found, present=max(found.present, seconds)
        )

    def estimate_end(self, errand: Errand, now: float) -> float:
        """Return by when a request is answered or given up, in seconds.

        A route without an answer of late takes all the time that it has.
        """
        found = self._routes.get(errand.route.name, _Longest(now)).move_to(now)
        longest = max(found.present, found.last)
        if not longest:
            return errand.ends_at
        return min(errand.ends_at, now + longest * MARGIN)
