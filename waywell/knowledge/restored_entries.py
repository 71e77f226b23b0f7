"""Box entries of a store that came back from an older copy.

Until the boxes have written their entries again, the copy shows them as they
were: in incarnations that have ended, not yet leaving, or not at all.  What a
node knows is held against it meanwhile.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from waywell.telemetry.events import log_warning

if TYPE_CHECKING:
    from collections.abc import Mapping

    from waywell.ids import BoxId
    from waywell.version.fleet import FleetBox
    from waywell.version.lives import LifeBook

REWRITE_SECONDS = 2.2
"""Seconds after the store's return in which boxes that live and reach it have
written their entries again."""

COPY_SECONDS = 10.0
"""Seconds after the store's return in which it may still show entries of the
copy; those that no box renews lapse before."""


class RestoredEntries:
    """Holds what is known of boxes against entries of the copy."""

    def __init__(self) -> None:
        """Start with a store that has not come back."""
        self.restored_at = -math.inf
        self._outdated: frozenset[BoxId] = frozenset()

    def begin(self, now: float) -> None:
        """Hold what is known from now on."""
        self.restored_at = now

    def resolve(
        self,
        listed: dict[BoxId, FleetBox],
        known: Mapping[BoxId, FleetBox],
        lives: LifeBook,
        now: float,
    ) -> dict[BoxId, FleetBox]:
        """Return a list without what it shows of the time before.

        Parameters
        ----------
        listed
            Boxes as the store or another node lists them.
        known
            Boxes as this node knows them.
        lives
            Incarnations that have ended.
        now
            The present time, in seconds.

        Returns
        -------
        dict
            The same object where nothing has to be held.
        """
        if now >= self.restored_at + COPY_SECONDS:
            return listed
        resolved = {}
        for name, box in listed.items():
            current = _resolve_entry(box, known.get(name), lives)
            if current is not None:
                resolved[name] = current
        outdated = frozenset(
            name for name, box in listed.items() if resolved.get(name) != box
        )
        self._log_outdated(outdated, now)
        return resolved if outdated else listed

    def _log_outdated(self, outdated: frozenset[BoxId], now: float) -> None:
        added = outdated - self._outdated
        self._outdated = outdated
        if added:
            log_warning(
                'box_entries_outdated',
                boxes=','.join(sorted(added)),
                age=round(now - self.restored_at, 3),
            )


def _resolve_entry(
    box: FleetBox,
    known: FleetBox | None,
    lives: LifeBook,
) -> FleetBox | None:
    """Return what is true of a box, or ``None`` where it is gone."""
    if lives.has_ended_life(box.life):
        return known
    if known is None or known.life != box.life:
        return box
    if known.leaving and not box.leaving:
        # A box that leaves does not come back in this incarnation.
        return msgspec.structs.replace(box, leaving=True)
    return box
