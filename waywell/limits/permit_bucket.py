"""The turns of one replica at one of its dealers."""

from __future__ import annotations

import attrs

MAX_RETRY_SECONDS = 1.0
"""Seconds after which a node may ask again, however many were refused."""

MIN_RETRY_SECONDS = 0.05
"""Seconds for which a node that was refused does not ask again."""

URGENT_HOLD_SECONDS = 1.0
"""For which a refused request keeps less urgent ones behind it."""

MAX_URGENT_PERMITS = 3
"""Turns of urgent requests after which a less urgent one gets one, so that
none is starved."""


@attrs.frozen
class PermitGrant:
    """What a dealer answers."""

    permits: int = 0
    """Requests that may be sent; 0 for a refusal."""

    retry_after: float = 0.0
    """Seconds after which it is worth asking again."""


@attrs.define
class PermitBucket:
    """Fills with turns at a steady rate, up to a bound."""

    rate: float
    """Turns a second."""

    capacity: float
    """Turns that it holds at most."""

    filled_at: float
    """Until when it was filled, in seconds; later than now while it waits."""

    level: float = 0.0
    """Turns in it."""

    refused: int = 0
    """Asks refused since a turn was last dealt."""

    _urgent_rank: int = 0
    _urgent_until: float = 0.0
    _urgent_turns: int = 0

    def change_rate(self, rate: float, capacity: float, now: float) -> None:
        """Fill at another rate from now on."""
        self._fill(now)
        self.rate = rate
        self.capacity = capacity
        self.level = min(self.level, capacity)

    def grant(self, rank: int, wanted: int, now: float) -> PermitGrant:
        """Deal turns to a request, or refuse it.

        Parameters
        ----------
        rank
            Urgency of the request, 0 first.
        wanted
            Turns to deal at most.
        now
            The present time, in seconds.
        """
        self._fill(now)
        turns = min(wanted, int(self.level))
        if not turns or self._keeps_behind(rank, now):
            return self._refuse(rank, now)
        self.level -= turns
        self.refused = 0
        is_lesser = rank > self._urgent_rank
        self._urgent_turns = 0 if is_lesser else self._urgent_turns + 1
        return PermitGrant(turns)

    def _fill(self, now: float) -> None:
        if now > self.filled_at:
            gained = (now - self.filled_at) * self.rate
            self.level = min(self.capacity, self.level + gained)
            self.filled_at = now

    def _keeps_behind(self, rank: int, now: float) -> bool:
        """Answer whether a more urgent request waits for its turn."""
        if now >= self._urgent_until or rank <= self._urgent_rank:
            return False
        return self._urgent_turns < MAX_URGENT_PERMITS

    def _refuse(self, rank: int, now: float) -> PermitGrant:
        if now >= self._urgent_until or rank <= self._urgent_rank:
            self._urgent_rank = rank
            self._urgent_until = now + URGENT_HOLD_SECONDS
        lacking = max(0.0, 1 - self.level) + self.refused
        self.refused += 1
        wait = max(0.0, self.filled_at - now) + lacking / self.rate
        return PermitGrant(
            retry_after=min(MAX_RETRY_SECONDS, max(MIN_RETRY_SECONDS, wait))
        )
