"""Turns at a node that knows of no other, and whose words are only noted."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from tests.lone_gossip import LoneGossip
from tests.lone_quarantine import RecordingLinks
from waywell.limits.turns import START_SECONDS, Turns

if TYPE_CHECKING:
    from tests.held_clock import HeldClock


class LoneTurns(Turns):
    """Deals all turns itself, as a node does that has run for a while."""

    def __init__(self, clock: HeldClock) -> None:
        """Know of no limit."""
        self.noted = RecordingLinks()
        started = clock.now
        clock.now = started - START_SECONDS
        super().__init__(
            LoneGossip('own'), self.noted, clock, Random(1), lambda: True
        )
        clock.now = started

    def post(self, message: object) -> None:
        """Handle a message at once."""
        assert isinstance(message, self.Changed)
        self.on_changed(message)
