"""Rate limiter of a node without peers that records its messages."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from tests.lone_gossip import LoneGossip
from tests.lone_quarantine import RecordingLinks
from waywell.limits.rate_limiter import STARTUP_SECONDS, RateLimiter

if TYPE_CHECKING:
    from tests.manual_clock import ManualClock


class LoneRateLimiter(RateLimiter):
    """Issues all permits itself, like a node past its startup delay."""

    def __init__(self, clock: ManualClock) -> None:
        """Start without limits, with the startup delay over."""
        self.noted = RecordingLinks()
        now = clock.now
        clock.now = now - STARTUP_SECONDS
        super().__init__(
            LoneGossip('own'), self.noted, clock, Random(1), lambda: True
        )
        clock.now = now

    def post(self, message: object) -> None:
        """Handle a message immediately."""
        assert isinstance(message, self.Changed)
        self.on_changed(message)
