"""Eras of the platform's store, within which its revisions are comparable.

A store that comes back from an older copy begins a new era: what it
acknowledged since the copy is gone, and it gives the revisions out again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NewType

import msgspec

from waywell.telemetry.events import log_warning

if TYPE_CHECKING:
    from collections.abc import Callable

StoreEra = NewType('StoreEra', int)
"""Number of an era; rises each time the store comes back from a copy."""

UNREPORTED_ERA = StoreEra(-1)
"""Era of answers that tell none; neither older nor newer than any other."""

UNSEEN_ERA = StoreEra(-2)
"""Era before the first answer."""


def is_reported(era: int) -> bool:
    """Return whether an era was told by the store."""
    return era > UNREPORTED_ERA


class Revision(msgspec.Struct, frozen=True):
    """A revision of the store, comparable within its era only."""

    era: StoreEra = UNSEEN_ERA
    """Era that gave it out."""

    number: int = 0
    """Revision within the era; 0 before the first read."""

    def is_in(self, era: StoreEra) -> bool:
        """Return whether this is a revision of an era."""
        return self.number > 0 and self.era == era


class EraChange(msgspec.Struct, frozen=True):
    """A store that came back from an older copy."""

    former: StoreEra
    """Era until then."""

    era: StoreEra
    """Era from then on."""


class EraTracker:
    """Tracks the era of the store by its answers and by what peers tell.

    Parameters
    ----------
    is_first_start
        Whether the whole system starts for the first time, so that no earlier
        run has written anything that a copy could lack.
    """

    def __init__(self, is_first_start: bool = False) -> None:
        """Start before the first answer."""
        self.current = UNSEEN_ERA
        self.changes = 0
        self._starts_first = is_first_start
        self._listeners: list[Callable[[EraChange], None]] = []

    @property
    def is_first_start(self) -> bool:
        """Return whether no earlier write can be missing from the store."""
        return self._starts_first and not self.changes

    def listen(self, listener: Callable[[EraChange], None]) -> None:
        """Call a listener at each change of the era."""
        self._listeners.append(listener)

    def observe(self, era: StoreEra) -> bool:
        """Record the era of an answer.

        Returns
        -------
        bool
            Whether the answer is of the present era; one of a former era
            tells nothing about the store any more.
        """
        if era == self.current:
            return True
        if is_reported(era) and era < self.current:
            log_warning('store_answer_outdated', era=era, current=self.current)
            return False
        change = EraChange(self.current, era)
        self.current = era
        if change.former != UNSEEN_ERA:
            self._notify(change)
        return True

    def observe_peer(self, era: StoreEra) -> None:
        """Record the era that another node knows, where it knows one."""
        if is_reported(era) and era > self.current:
            self.observe(era)

    def _notify(self, change: EraChange) -> None:
        self.changes += 1
        for listener in self._listeners:
            listener(change)
