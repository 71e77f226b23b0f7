"""Loads as the choice of a group sees them, summed up now and then."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from waywell.request.routing import GroupLoad, LoadSource

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from waywell.health.health import HealthTable
    from waywell.ids import GroupId
    from waywell.process.loads import LoadTable
    from waywell.version.roster import Group

SUMMARY_SECONDS = 0.5
"""Seconds for which a summary over all groups of a service holds."""


@attrs.frozen
class Summary:
    """What one pass over the groups of a service gave."""

    at: float
    """When it was made, in seconds."""

    typical: float
    """Typical time to the first byte, in seconds."""

    mean_cost: float
    """Mean cost of a further request."""


class ServiceLoads(LoadSource):
    """The loads of the groups of one service at one moment.

    Parameters
    ----------
    health
        What this node saw itself.
    reported
        What others reported.
    summary
        Summary over all groups.
    now
        Present time, in seconds.
    """

    def __init__(
        self,
        health: HealthTable,
        reported: Mapping[GroupId, float],
        summary: Summary,
        now: float,
    ) -> None:
        """Keep what loads are made of."""
        self._health = health
        self._reported = reported
        self._summary = summary
        self._now = now

    def get_load(self, group: GroupId) -> GroupLoad:
        """Return the load of a group."""
        return self._health.get_load(
            group,
            self._reported.get(group, 0),
            self._summary.typical,
            self._now,
        )

    def get_mean_cost(self) -> float:
        """Return the mean cost over the groups of the service."""
        return self._summary.mean_cost


class Balance:
    """Makes the loads of a service, with a summary that is reused.

    Parameters
    ----------
    health
        What this node saw itself.
    loads
        What others reported.
    """

    def __init__(self, health: HealthTable, loads: LoadTable) -> None:
        """Start without summaries."""
        self._health = health
        self._loads = loads
        self._summaries: dict[str, Summary] = {}

    def weigh(
        self,
        service: str,
        groups: Sequence[Group],
        now: float,
    ) -> LoadSource:
        """Return the loads of a service's groups at ``now``."""
        reported = self._loads.list_loads()
        summary = self._summaries.get(service)
        if summary is None or now - summary.at >= SUMMARY_SECONDS:
            summary = self._sum_up(groups, reported, now)
            self._summaries[service] = summary
        return ServiceLoads(self._health, reported, summary, now)

    def _sum_up(
        self,
        groups: Sequence[Group],
        reported: Mapping[GroupId, float],
        now: float,
    ) -> Summary:
        names = [group.group for group in groups]
        typical = self._health.find_typical_latency(names)
        costs = [
            self._health.get_load(
                name,
                reported.get(name, 0),
                typical,
                now,
            ).cost
            for name in names
        ]
        # The median: one slow or resting group must not lift the bound.
        mean = sorted(costs)[len(costs) // 2] if costs else 0
        return Summary(now, typical, mean)
