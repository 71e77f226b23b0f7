"""Box lists that a reader keeps, to tell others only what has changed."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import msgspec

from waywell.ids import BoxId
from waywell.version.fleet import Fleet, FleetBox

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_KEPT_LISTS = 64
"""Versions of the box list that changes can be told from."""


class BoxListDelta(msgspec.Struct, frozen=True):
    """What differs between two box lists."""

    boxes: tuple[FleetBox, ...]
    """Boxes that are new or have changed."""

    gone: tuple[BoxId, ...]
    """Boxes that are not on the list any more."""


class BoxListHistory:
    """Keeps the last versions of a node's box list."""

    def __init__(self) -> None:
        """Keep none."""
        self._fleets: OrderedDict[int, Fleet] = OrderedDict()
        self._newest = Fleet({})
        self._deltas: dict[int | None, BoxListDelta] = {}

    def add(self, fleet: Fleet, serial: int) -> None:
        """Keep a version as the newest."""
        if serial in self._fleets:
            return
        self._newest = fleet
        self._deltas.clear()
        self._fleets[serial] = fleet
        while len(self._fleets) > MAX_KEPT_LISTS:
            self._fleets.popitem(last=False)

    def __contains__(self, serial: int) -> bool:
        """Answer whether a version is kept."""
        return serial in self._fleets

    def find_delta(self, base: int | None) -> BoxListDelta:
        """Return what differs between a version and the newest.

        Most followers hold the same version, so it is worked out once for
        all of them.

        Parameters
        ----------
        base
            Number of the version; ``None`` for an empty list.
        """
        delta = self._deltas.get(base)
        if delta is None:
            known = {} if base is None else self._fleets[base].boxes
            delta = _find_delta(known, self._newest.boxes)
            self._deltas[base] = delta
        return delta


def _find_delta(
    known: Mapping[BoxId, FleetBox],
    boxes: Mapping[BoxId, FleetBox],
) -> BoxListDelta:
    return BoxListDelta(
        tuple(box for name, box in boxes.items() if known.get(name) != box),
        tuple(known.keys() - boxes.keys()),
    )
