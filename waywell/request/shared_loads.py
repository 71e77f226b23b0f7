"""Requests in flight at replicas, as reported by other entry boxes."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from typing import TYPE_CHECKING

import attrs

from waywell.version.fleet import BoxLife

if TYPE_CHECKING:
    from collections.abc import Iterable

    from waywell.ids import NodeId

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
