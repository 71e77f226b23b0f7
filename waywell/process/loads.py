"""Loads of groups, as reported by the entry boxes that probe them.

To keep messages few, a load is reported only when its coarse level changes.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from waywell.ids import GroupId

LOAD_LEVEL_RATIO = 1.5
"""Ratio between the loads of two adjacent levels."""

Report = tuple['GroupId', int, int]
"""Group, sequence number of the report, requests in flight."""


def get_load_level(load: int) -> int:
    """Return the coarse level of a load."""
    return round(math.log(load + 1, LOAD_LEVEL_RATIO))


class LoadTable:
    """The reported loads of groups, and the reports still to be sent."""

    def __init__(self) -> None:
        """Start without reports."""
        self._known: dict[GroupId, tuple[int, int]] = {}
        self._loads: dict[GroupId, float] = {}
        self._updates: dict[GroupId, Report] = {}

    def record_probe(self, group: GroupId, load: int) -> None:
        """Record the load that a probe of this node has found."""
        sequence, known = self._known.get(group, (0, 0))
        if get_load_level(load) == get_load_level(known):
            return
        self._known[group] = (sequence + 1, load)
        self._loads[group] = load
        self._updates[group] = (group, sequence + 1, load)

    def pop_updates(self) -> tuple[Report, ...]:
        """Return and clear the reports to send to neighbours.

        Reports of other nodes are collected together with those of this
        node, so that a neighbour gets one message for all changes.
        """
        updates = tuple(self._updates.values())
        self._updates.clear()
        return updates

    def merge_reports(self, reports: tuple[Report, ...]) -> None:
        """Merge reports of a peer and queue those that are new."""
        for group, sequence, load in reports:
            if sequence > self._known.get(group, (0, 0))[0]:
                self._known[group] = (sequence, load)
                self._loads[group] = load
                self._updates[group] = (group, sequence, load)

    def list_loads(self) -> Mapping[GroupId, float]:
        """Return the requests in flight by group."""
        return self._loads
