"""How long callers have waited, told from the time that they have left.

A caller that comes back after a refusal or a broken connection says only how
long it will still wait.  Beside the limit that most first attempts on its
route have, that tells for how long it has waited.
"""

from __future__ import annotations

from collections import Counter, OrderedDict, deque

import attrs

MOST_ROUTES = 2_000
"""Routes of which limits are remembered, the latest used ones."""

REMEMBERED = 32
"""Limits of a route that are remembered: some seconds of requests."""

LEAST_ALIKE = 3
"""Equal limits from which on they count as the usual one; those of callers
that come back differ from each other."""

PRECISION = 20
"""Parts of a second to which limits are compared."""


@attrs.define
class _RouteLimits:
    """The latest limits on one route."""

    latest: deque[int] = attrs.Factory(deque)
    counts: Counter[int] = attrs.Factory(Counter)

    def note(self, limit: int) -> None:
        self.latest.append(limit)
        self.counts[limit] += 1
        if len(self.latest) > REMEMBERED:
            self.counts[self.latest.popleft()] -= 1

    def find_usual(self) -> int:
        """Return the most frequent limit, or 0 while none is frequent."""
        (limit, count) = self.counts.most_common(1)[0]
        return limit if count >= LEAST_ALIKE else 0


class TimeLimits:
    """Remembers the time limits of requests, by route."""

    def __init__(self) -> None:
        """Know of no request."""
        self._routes: OrderedDict[str, _RouteLimits] = OrderedDict()

    def note(self, route: str, seconds: float) -> float:
        """Take in a request's limit and return how long its caller waited.

        Parameters
        ----------
        route
            Name of the route.
        seconds
            For which the caller will still wait.

        Returns
        -------
        float
            Seconds since the caller's first attempt, 0 where nothing tells.
        """
        limits = self._routes.setdefault(route, _RouteLimits())
        self._routes.move_to_end(route)
        if len(self._routes) > MOST_ROUTES:
            self._routes.popitem(last=False)
        limits.note(round(seconds * PRECISION))
        return max(0.0, limits.find_usual() / PRECISION - seconds)
