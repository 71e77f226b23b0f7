"""The two operational measures: group downtime and stranded accelerators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from waywell.version.roster import Box, BoxState, Group, GroupState, Roster

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from waywell.version.objects import Configuration


def count_serving(
    roster: Roster,
    is_usable: Callable[[Group], bool],
) -> dict[str, int]:
    """Return the number of groups that serve now, by group set."""
    counts: dict[str, int] = {}
    for group in roster:
        serves = group.state is GroupState.SERVING and is_usable(group)
        if serves:
            counts[group.group_set] = counts.get(group.group_set, 0) + 1
    return counts


def count_stranded(boxes: Iterable[Box], roster: Roster) -> int:
    """Return the number of accelerators in boxes outside serving groups.

    Lost boxes are not counted.
    """
    stranded = 0
    for box in boxes:
        holder = roster.find_holder(box.box)
        group = roster.groups.get(holder) if holder else None
        serves = group is not None and group.state is GroupState.SERVING
        if box.state is not BoxState.LOST and not serves:
            stranded += box.accelerators
    return stranded


class DowntimeMeter:
    """Accumulates the time for which configured groups did not serve."""

    def __init__(self) -> None:
        """Start at zero; the first update only sets the time."""
        self._seconds: dict[str, float] = {}
        self._updated_at: float | None = None

    def update(
        self,
        configuration: Configuration,
        serving: Mapping[str, int],
        now: float,
    ) -> None:
        """Add the downtime since the last update.

        Parameters
        ----------
        configuration
            Configuration in force.
        serving
            Number of groups that serve now, by group set.
        now
            Current time, in seconds.
        """
        since = now if self._updated_at is None else self._updated_at
        self._updated_at = now
        for group_set in configuration.group_set:
            name = group_set.name
            missing_groups = max(0, group_set.groups - serving.get(name, 0))
            downtime = missing_groups * (now - since)
            self._seconds[name] = self._seconds.get(name, 0.0) + downtime

    def list_seconds(self) -> dict[str, float]:
        """Return group-seconds of downtime by group set."""
        return {
            name: round(downtime, 3)
            for name, downtime in self._seconds.items()
        }
