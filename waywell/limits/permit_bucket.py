"""Token bucket from which an issuer grants the permits of one replica."""

from __future__ import annotations

import attrs

MAX_RETRY_SECONDS = 1.0
"""Longest time until a refused node may ask again, in seconds, however many
requests were refused before it."""

MIN_RETRY_SECONDS = 0.05
"""Shortest time until a refused node asks again, in seconds."""

URGENT_HOLD_SECONDS = 1.0
"""Seconds for which a refused request keeps permits from less urgent ones."""

MAX_URGENT_PERMITS = 3
"""Grants to urgent requests after which a less urgent one gets a grant, so
that none is starved."""


@attrs.frozen
class PermitGrant:
    """An issuer's answer to a permit request."""

    permits: int = 0
    """Number of requests that may be sent; 0 if the issuer refuses."""

    retry_after: float = 0.0
    """Seconds after which it is worth asking again."""


@attrs.define
class PermitBucket:
    """Token bucket that refills at a constant rate."""

    rate: float
    """Refill rate, in permits a second."""

    capacity: float
    """Largest number of permits that the bucket holds."""

    filled_at: float
    """Time of the last refill, in seconds.  A time in the future delays the
    first refill until then."""

    level: float = 0.0
    """Number of permits available."""

    refused: int = 0
    """Requests refused since the last grant."""

    _urgent_rank: int = 0
    _urgent_until: float = 0.0
    _urgent_grants: int = 0

    def change_rate(self, rate: float, capacity: float, now: float) -> None:
        """Refill at another rate, up to another capacity, from now on."""
        self._refill(now)
        self.rate = rate
        self.capacity = capacity
        self.level = min(self.level, capacity)

    def grant(self, rank: int, wanted: int, now: float) -> PermitGrant:
        """Grant permits to a request, or refuse it.

        Parameters
        ----------
        rank
            Priority of the request; 0 is the most urgent.
        wanted
            Largest number of permits to grant.
        now
            Current time, in seconds.
        """
        self._refill(now)
        permits = min(wanted, int(self.level))
        if not permits or self._must_yield(rank, now):
            return self._refuse(rank, now)
        self.level -= permits
        self.refused = 0
        is_less_urgent = rank > self._urgent_rank
        self._urgent_grants = 0 if is_less_urgent else self._urgent_grants + 1
        return PermitGrant(permits)

    def _refill(self, now: float) -> None:
        if now > self.filled_at:
            gained = (now - self.filled_at) * self.rate
            self.level = min(self.capacity, self.level + gained)
            self.filled_at = now

    def _must_yield(self, rank: int, now: float) -> bool:
        """Return whether a more urgent request is waiting for a permit."""
        if now >= self._urgent_until or rank <= self._urgent_rank:
            return False
        return self._urgent_grants < MAX_URGENT_PERMITS

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
