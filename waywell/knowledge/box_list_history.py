"""Recent versions of a node's box list, from which changes are computed."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import msgspec

from waywell.ids import BoxId
from waywell.version.fleet import Fleet, FleetBox

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_KEPT_LISTS = 64
"""Versions of the box list that are kept as bases for changes."""


class BoxListDelta(msgspec.Struct, frozen=True):
    """Difference between two box lists."""

    boxes: tuple[FleetBox, ...]
    """Boxes that were added or changed."""

    gone: tuple[BoxId, ...]
    """Boxes that were removed."""


class BoxListHistory:
    """Keeps the most recent versions of a node's box list."""

    def __init__(self) -> None:
        """Create an empty history."""
        self._fleets: OrderedDict[int, Fleet] = OrderedDict()
        self._newest = Fleet({})
        self._deltas: dict[int | None, BoxListDelta] = {}

    def add(self, fleet: Fleet, serial: int) -> None:
        """Store a version as the newest unless its number is known.

        The oldest versions beyond ``MAX_KEPT_LISTS`` are dropped.
        """
        if serial in self._fleets:
            return
        self._newest = fleet
        self._deltas.clear()
        self._fleets[serial] = fleet
        while len(self._fleets) > MAX_KEPT_LISTS:
            self._fleets.popitem(last=False)

    def __contains__(self, serial: int) -> bool:
        """Return whether a version is kept."""
        return serial in self._fleets

    def find_delta(self, base: int | None) -> BoxListDelta:
        """Return the changes from a version to the newest.

        The result is cached, since most followers hold the same version.

        Parameters
        ----------
        base
            Number of the version; ``None`` for an empty list.
        """
        delta = self._deltas.get(base)
        if delta is None:
            known = {} if base is None else self._fleets[base].boxes
            delta = _compute_delta(known, self._newest.boxes)
            self._deltas[base] = delta
        return delta


def _compute_delta(
    known: Mapping[BoxId, FleetBox],
    boxes: Mapping[BoxId, FleetBox],
) -> BoxListDelta:
    return BoxListDelta(
        tuple(box for name, box in boxes.items() if known.get(name) != box),
        tuple(known.keys() - boxes.keys()),
    )
