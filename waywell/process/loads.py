"""Loads of groups as their probers report them: coarse, and only news."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from waywell.ids import GroupId

LEVEL_RATIO = 1.5
"""Two loads are told apart when they differ by this ratio."""

Report = tuple['GroupId', int, int]
"""Group, sequence of the report, requests in flight."""


def get_load_level(load: int) -> int:
    """Return the coarse level of a load."""
    return round(math.log(load + 1, LEVEL_RATIO))


class LoadTable:
    """What a node knows of the loads, and what it has to report."""

    def __init__(self) -> None:
        """Start without reports."""
        self._known: dict[GroupId, tuple[int, int]] = {}
        self._loads: dict[GroupId, float] = {}
        self._news: dict[GroupId, Report] = {}

    def record_probe(self, group: GroupId, load: int) -> None:
        """Take in what a probe of this node saw."""
        sequence, known = self._known.get(group, (0, 0))
        if get_load_level(load) == get_load_level(known):
            return
        self._known[group] = (sequence + 1, load)
        self._loads[group] = load
        self._news[group] = (group, sequence + 1, load)

    def pop_updates(self) -> tuple[Report, ...]:
        """Return the reports to spread, once.

        Those heard from others wait here with the own ones, so that a
        neighbour gets one message for all that changed since the last.
        """
        news = tuple(self._news.values())
        self._news.clear()
        return news

    def merge_reports(self, reports: tuple[Report, ...]) -> None:
        """Take in reports; those that are news are to be passed on."""
        for group, sequence, load in reports:
            if sequence > self._known.get(group, (0, 0))[0]:
                self._known[group] = (sequence, load)
                self._loads[group] = load
                self._news[group] = (group, sequence, load)

    def list_loads(self) -> Mapping[GroupId, float]:
        """Return the loads by group."""
        return self._loads
