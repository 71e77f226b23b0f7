"""How long whole answers take, by route and size, as observed of late."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from waywell.request.request_context import RequestContext

WINDOW_SECONDS = 60.0
"""For which an answer counts at the least, and twice that at the most: some
dozens of answers of each size of a route that is asked twice a second."""

MARGIN = 1.25
"""Times the slowest answer seen of late that the next one may take."""

MAX_SIZE_CLASSES = 2000
"""Sizes of routes that are kept: five of each of 400 routes.  Those that were
answered longest ago are forgotten, as routes come and go."""

SizeKey = tuple[str, int]
"""A route, and the power of two below the most tokens of an answer."""


@attrs.frozen
class _Slowest:
    """The slowest answers in this window and the last one."""

    since: float
    """When this window began, in seconds."""

    present: float = 0.0
    """Seconds a token of the slowest in this window."""

    last: float = 0.0
    """Seconds a token of the slowest in the window before."""

    def move_to(self, now: float) -> _Slowest:
        """Return the windows of a moment."""
        passed = now - self.since
        if passed < WINDOW_SECONDS:
            return self
        is_next = passed < 2 * WINDOW_SECONDS
        return _Slowest(now, last=self.present if is_next else 0.0)


class AnswerTimes:
    """Keeps the slowest answers of each route and size.

    By route alone a node that ended still cut one stream in four played days;
    by size as well, none in seven.
    """

    def __init__(self) -> None:
        """Start without an answer seen."""
        # The one that was answered last comes last.
        self._slowest: dict[SizeKey, _Slowest] = {}

    def __len__(self) -> int:
        """Return how many sizes are kept."""
        return len(self._slowest)

    def record(self, context: RequestContext, now: float) -> None:
        """Take in that a request was answered whole."""
        pace = (now - context.arrived_at) / _count_tokens(context)
        found = self._find(context, now)
        key = _make_key(context)
        self._slowest.pop(key, None)
        self._slowest[key] = attrs.evolve(
            found, present=max(found.present, pace)
        )
        if len(self._slowest) > MAX_SIZE_CLASSES:
            self._slowest.pop(next(iter(self._slowest)))

    def estimate_end(self, context: RequestContext, now: float) -> float:
        """Return by when a request is answered or given up, in seconds.

        One without an answer like it of late takes all the time that it has.
        """
        found = self._find(context, now)
        pace = max(found.present, found.last)
        if not pace:
            return context.ends_at
        seconds = pace * _count_tokens(context) * MARGIN
        return min(context.ends_at, now + seconds)

    def _find(self, context: RequestContext, now: float) -> _Slowest:
        found = self._slowest.get(_make_key(context), _Slowest(now))
        return found.move_to(now)


def _make_key(context: RequestContext) -> SizeKey:
    return context.route.name, _count_tokens(context).bit_length()


def _count_tokens(context: RequestContext) -> int:
    """Return the most tokens of an answer; plain ones count as one."""
    return max(1, context.ask.answer_tokens)
