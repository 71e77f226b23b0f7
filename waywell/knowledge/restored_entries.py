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
    from waywell.version.life_tracker import LifeTracker

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
        lives: LifeTracker,
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
        resolved = _resolve_listed(listed, known, lives)
        if now < self.restored_at + REWRITE_SECONDS:
            resolved.update(_find_missing(listed, known))
        outdated = _find_differing(listed, resolved)
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


def _resolve_listed(
    listed: Mapping[BoxId, FleetBox],
    known: Mapping[BoxId, FleetBox],
    lives: LifeTracker,
) -> dict[BoxId, FleetBox]:
    current = {
        name: _resolve_entry(box, known.get(name), lives)
        for name, box in listed.items()
    }
    return {name: box for name, box in current.items() if box is not None}


def _find_missing(
    listed: Mapping[BoxId, FleetBox],
    known: Mapping[BoxId, FleetBox],
) -> dict[BoxId, FleetBox]:
    """Return the boxes that the copy may lack though they live."""
    return {
        name: box
        for name, box in known.items()
        if name not in listed and not box.leaving
    }


def _find_differing(
    listed: Mapping[BoxId, FleetBox],
    resolved: Mapping[BoxId, FleetBox],
) -> frozenset[BoxId]:
    return frozenset(
        name
        for name in listed.keys() | resolved.keys()
        if listed.get(name) != resolved.get(name)
    )


def _resolve_entry(
    box: FleetBox,
    known: FleetBox | None,
    lives: LifeTracker,
) -> FleetBox | None:
    """Return what is true of a box, or ``None`` where it is gone."""
    if lives.has_ended_life(box.life):
        return known
    if known is None or known.life != box.life:
        return box
    if box.entry_number < known.entry_number:
        return known
    if known.leaving and not box.leaving:
        # A box that leaves does not come back in this incarnation.
        return msgspec.structs.replace(box, leaving=True)
    return box
