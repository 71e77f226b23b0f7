"""Estimates of how long complete answers take, by route and answer size."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from waywell.request.request_context import RequestContext

WINDOW_SECONDS = 60.0
"""Length of an observation window, in seconds.  An answer counts for one to
two windows, which gives some dozens of answers of each size for a route with
two requests per second."""

MARGIN = 1.25
"""Factor by which an answer may exceed the slowest recent one."""

MAX_SIZE_CLASSES = 2000
"""Maximum number of pairs of route and size that are kept: five sizes for each
of 400 routes.  The least recently answered pairs are evicted, because routes
are added and removed while the node runs."""

SizeKey = tuple[str, int]
"""Name of a route and the bit length of the answer's maximum token count."""


@attrs.frozen
class _SlowestAnswers:
    """The slowest answer of the current and of the previous window."""

    since: float
    """Start of the current window, in seconds."""

    current: float = 0.0
    """Seconds per token of the slowest answer in the current window."""

    previous: float = 0.0
    """Seconds per token of the slowest answer in the previous window."""

    def advance_to(self, now: float) -> _SlowestAnswers:
        """Return the windows as of ``now``, with expired answers dropped."""
        elapsed = now - self.since
        if elapsed < WINDOW_SECONDS:
            return self
        is_next = elapsed < 2 * WINDOW_SECONDS
        return _SlowestAnswers(now, previous=self.current if is_next else 0.0)


class AnswerTimes:
    """Tracks the slowest recent answer of each route and answer size.

    Size matters: with estimates by route alone, a node that shut down still
    cut one stream in four test days; with estimates by route and size, it cut
    none in seven.
    """

    def __init__(self) -> None:
        """Create estimates without any answer observed."""
        # Ordered by the time of the last answer, most recent last.
        self._slowest: dict[SizeKey, _SlowestAnswers] = {}

    def __len__(self) -> int:
        """Return the number of pairs of route and size that are kept."""
        return len(self._slowest)

    def record(self, context: RequestContext, now: float) -> None:
        """Record that a request was answered completely at ``now``."""
        per_token = (now - context.arrived_at) / _count_tokens(context)
        found = self._get_slowest(context, now)
        key = _make_key(context)
        self._slowest.pop(key, None)
        self._slowest[key] = attrs.evolve(
            found, current=max(found.current, per_token)
        )
        if len(self._slowest) > MAX_SIZE_CLASSES:
            self._slowest.pop(next(iter(self._slowest)))

    def estimate_end(self, context: RequestContext, now: float) -> float:
        """Return the latest time at which a request should end, in seconds.

        A request without a recent answer of its route and size is assumed to
        need all the time until its deadline.
        """
        found = self._get_slowest(context, now)
        per_token = max(found.current, found.previous)
        if not per_token:
            return context.deadline_at
        seconds = per_token * _count_tokens(context) * MARGIN
        return min(context.deadline_at, now + seconds)

    def _get_slowest(
        self, context: RequestContext, now: float
    ) -> _SlowestAnswers:
        found = self._slowest.get(_make_key(context), _SlowestAnswers(now))
        return found.advance_to(now)


def _make_key(context: RequestContext) -> SizeKey:
    return context.route.name, _count_tokens(context).bit_length()


def _count_tokens(context: RequestContext) -> int:
    """Return the maximum tokens of the answer; 1 for a plain request."""
    return max(1, context.request.answer_tokens)
