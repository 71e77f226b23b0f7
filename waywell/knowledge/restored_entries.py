"""Correction of box entries after the store was restored from an older copy.

Until the boxes have written their entries again, the copy lists them in ended
incarnations, as not yet leaving, or not at all.  During this time what a node
knows of a box takes precedence over its outdated entry.
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
"""Seconds after a restore within which boxes that are alive and reach the
store have written their entries again."""

CORRECTION_SECONDS = 10.0
"""Seconds after a restore in which the store may still list entries of the
copy; entries that no box renews expire within this time."""


class RestoredEntries:
    """Overrides outdated entries of a restored store with known boxes."""

    def __init__(self) -> None:
        """Start with a store that has not been restored."""
        self.restored_at = -math.inf
        self._outdated: frozenset[BoxId] = frozenset()

    def begin(self, now: float) -> None:
        """Correct outdated entries from now on."""
        self.restored_at = now

    def resolve(
        self,
        listed: dict[BoxId, FleetBox],
        known: Mapping[BoxId, FleetBox],
        lives: LifeTracker,
        now: float,
    ) -> dict[BoxId, FleetBox]:
        """Return a box list with its outdated entries corrected.

        Parameters
        ----------
        listed
            Boxes as the store or another node lists them.
        known
            Boxes as this node knows them.
        lives
            Incarnations that have ended.
        now
            The current time, in seconds.

        Returns
        -------
        dict
            The corrected list; ``listed`` itself if no entry is outdated.
        """
        if now >= self.restored_at + CORRECTION_SECONDS:
            return listed
        resolved = _resolve_listed(listed, known, lives)
        if now < self.restored_at + REWRITE_SECONDS:
            resolved.update(_find_unlisted(listed, known))
        outdated = _find_outdated(listed, resolved)
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


def _find_unlisted(
    listed: Mapping[BoxId, FleetBox],
    known: Mapping[BoxId, FleetBox],
) -> dict[BoxId, FleetBox]:
    """Return known boxes that may be alive though the copy lacks them."""
    return {
        name: box
        for name, box in known.items()
        if name not in listed and not box.leaving
    }


def _find_outdated(
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
    """Return the current entry of a box, or ``None`` if it is gone."""
    if lives.has_ended_life(box.life):
        return known
    if known is None or known.life != box.life:
        return box
    if box.entry_number < known.entry_number:
        return known
    if known.leaving and not box.leaving:
        # Leaving is final for an incarnation.
        return msgspec.structs.replace(box, leaving=True)
    return box
