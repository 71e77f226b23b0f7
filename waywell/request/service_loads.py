"""Loads of a service's groups, with a summary that is cached briefly."""

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
"""Seconds for which the load summary of a service is reused."""


@attrs.frozen
class LoadSummary:
    """Aggregates over all groups of a service at one moment."""

    at: float
    """Time at which it was computed, in seconds."""

    typical: float
    """Typical time to the first byte, in seconds."""

    median_cost: float
    """Median cost of one more request to a group."""


class ServiceLoads(LoadSource):
    """Loads of the groups of one service at one moment.

    Parameters
    ----------
    health
        This node's own observations of groups.
    reported
        Requests in flight that other nodes reported, by group.
    summary
        Summary over all groups of the service.
    now
        Current time, in seconds.
    """

    def __init__(
        self,
        health: HealthTable,
        reported: Mapping[GroupId, float],
        summary: LoadSummary,
        now: float,
    ) -> None:
        """Store the data that loads are computed from."""
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

    def get_average_cost(self) -> float:
        """Return the median cost over the groups of the service."""
        return self._summary.median_cost


class ServiceLoadCache:
    """Builds the loads of a service and caches its load summary.

    Parameters
    ----------
    health
        This node's own observations of groups.
    loads
        Loads that other nodes reported.
    """

    def __init__(self, health: HealthTable, loads: LoadTable) -> None:
        """Create a cache without summaries."""
        self._health = health
        self._loads = loads
        self._summaries: dict[str, LoadSummary] = {}

    def build_loads(
        self,
        service: str,
        groups: Sequence[Group],
        now: float,
    ) -> LoadSource:
        """Return the loads of a service's groups as of ``now``."""
        reported = self._loads.list_loads()
        summary = self._summaries.get(service)
        if summary is None or now - summary.at >= SUMMARY_SECONDS:
            summary = self._summarize(groups, reported, now)
            self._summaries[service] = summary
        return ServiceLoads(self._health, reported, summary, now)

    def _summarize(
        self,
        groups: Sequence[Group],
        reported: Mapping[GroupId, float],
        now: float,
    ) -> LoadSummary:
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
        # With a mean, one slow group or one in backoff would raise the load
        # bound at which sessions move.
        median = sorted(costs)[len(costs) // 2] if costs else 0
        return LoadSummary(now, typical, median)
