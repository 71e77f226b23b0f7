"""Eras of the platform's store, within which its revisions are comparable.

A store that is restored from an older copy begins a new era.  Writes that it
acknowledged since the copy are lost, and it assigns their revisions again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NewType

import msgspec

from waywell.telemetry.events import log_warning

if TYPE_CHECKING:
    from collections.abc import Callable

StoreEra = NewType('StoreEra', int)
"""Number of an era, which rises each time the store is restored."""

UNREPORTED_ERA = StoreEra(-1)
"""Era of answers without one; neither older nor newer than any other."""

UNSEEN_ERA = StoreEra(-2)
"""Era before the first answer."""


def is_reported(era: int) -> bool:
    """Return whether an era was reported by the store."""
    return era > UNREPORTED_ERA


class Revision(msgspec.Struct, frozen=True):
    """A revision of the store, comparable only within its era."""

    era: StoreEra = UNSEEN_ERA
    """Era in which the store assigned the revision."""

    number: int = 0
    """Number of the revision; 0 before the first read."""

    def is_in(self, era: StoreEra) -> bool:
        """Return whether the revision was read in an era."""
        return self.number > 0 and self.era == era


class EraChange(msgspec.Struct, frozen=True):
    """Change of the era, since the store was restored from an older copy."""

    former: StoreEra
    """Era before the change."""

    era: StoreEra
    """Era after the change."""


class EraTracker:
    """Tracks the era of the store from its answers and from peers.

    Parameters
    ----------
    is_first_start
        Whether the whole system starts for the first time, so that no earlier
        run has written anything that a restored copy could lack.
    """

    def __init__(self, is_first_start: bool = False) -> None:
        """Start without an observed era."""
        self.current = UNSEEN_ERA
        self.changes = 0
        self._is_first_run = is_first_start
        self._listeners: list[Callable[[EraChange], None]] = []

    @property
    def is_first_start(self) -> bool:
        """Return whether no earlier write can be missing from the store."""
        return self._is_first_run and not self.changes

    def listen(self, listener: Callable[[EraChange], None]) -> None:
        """Call a listener on each change of the era."""
        self._listeners.append(listener)

    def observe(self, era: StoreEra) -> bool:
        """Record the era of an answer.

        Returns
        -------
        bool
            Whether the answer is valid.  An answer of a former era says
            nothing about the present state of the store.
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
        """Record the era that a peer knows, if it is a later one."""
        if is_reported(era) and era > self.current:
            self.observe(era)

    def _notify(self, change: EraChange) -> None:
        self.changes += 1
        for listener in self._listeners:
            listener(change)
