"""Requests in flight at replicas, as reported by other entry boxes."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from typing import TYPE_CHECKING

import attrs

from waywell.connection.peer import BoxLoad
from waywell.version.fleet import BoxLife

if TYPE_CHECKING:
    from collections.abc import Iterable

    from waywell.ids import NodeId
    from waywell.request.replica_table import ReplicaTable

REPORT_LIFETIME_SECONDS = 1.2
"""Seconds for which a node's report is used, about the length of a stream."""


@attrs.frozen
class _Report:
    loads: Mapping[BoxLife, int]
    at: float


class SharedLoads:
    """Sums the requests in flight that other nodes report, by box."""

    def __init__(self) -> None:
        """Create a table without reports."""
        self._reports: dict[NodeId, _Report] = {}
        self._total: Counter[BoxLife] = Counter()

    def update(
        self,
        node: NodeId,
        loads: Mapping[BoxLife, int],
        now: float,
    ) -> None:
        """Replace a node's report and remove the reports that have expired."""
        self._remove_report(node)
        for other, report in tuple(self._reports.items()):
            if now - report.at > REPORT_LIFETIME_SECONDS:
                self._remove_report(other)
        self._reports[node] = _Report(loads, now)
        self._total.update(loads)

    def sum_loads(self, excluded: Iterable[NodeId] = ()) -> Counter[BoxLife]:
        """Return other nodes' requests by box, without the excluded nodes."""
        total = self._total.copy()
        for node in excluded:
            report = self._reports.get(node)
            if report is not None:
                total.subtract(report.loads)
        return total

    def list_nodes(self) -> set[NodeId]:
        """Return the nodes whose reports are kept."""
        return set(self._reports)

    def get(self, life: BoxLife) -> int:
        """Return the number of other nodes' requests in flight at a box."""
        return self._total[life]

    def _remove_report(self, node: NodeId) -> None:
        """Remove a node's report and subtract it from the total."""
        report = self._reports.pop(node, None)
        if report is None:
            return
        for life, requests in report.loads.items():
            self._total[life] -= requests
            if not self._total[life]:
                self._total.pop(life)


class LoadExchange:
    """Encodes and decodes the requests in flight that nodes report.

    Parameters
    ----------
    replica_table
        This node's requests in flight.
    loads
        Requests in flight that other nodes report.
    """

    def __init__(
        self, replica_table: ReplicaTable, loads: SharedLoads
    ) -> None:
        """Create an exchange without followers."""
        self._replica_table = replica_table
        self._loads = loads
        self._followers: set[NodeId] = set()

    def record(
        self, node: NodeId, reported: tuple[BoxLoad, ...], now: float
    ) -> None:
        """Record the requests in flight that a node reports."""
        self._loads.update(node, _decode_loads(reported), now)

    def add_follower(self, node: NodeId) -> None:
        """Include a node's requests in the report of this node's hall."""
        self._followers.add(node)

    def make_report(self, *, of_hall: bool) -> tuple[BoxLoad, ...]:
        """Return the requests of this node, or also of its followers."""
        loads = Counter(self._replica_table.list_loads())
        if of_hall:
            others = self._loads.list_nodes() - self._followers
            loads.update(self._loads.sum_loads(others))
        return _encode_loads(loads)

    def make_report_for(self, node: NodeId) -> tuple[BoxLoad, ...]:
        """Return all known requests except those that a node reported."""
        loads = Counter(self._replica_table.list_loads())
        loads.update(self._loads.sum_loads((node,)))
        return _encode_loads(loads)


def _encode_loads(loads: Mapping[BoxLife, int]) -> tuple[BoxLoad, ...]:
    return tuple(
        BoxLoad(life.box, requests, life.incarnation)
        for life, requests in loads.items()
        if requests
    )


def _decode_loads(loads: tuple[BoxLoad, ...]) -> dict[BoxLife, int]:
    return {
        BoxLife(load.box, load.incarnation): load.requests for load in loads
    }
