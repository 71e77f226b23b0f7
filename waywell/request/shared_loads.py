"""Requests in flight at replicas, as other entry boxes tell them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from typing import TYPE_CHECKING

import attrs

from waywell.version.fleet import BoxLife

if TYPE_CHECKING:
    from collections.abc import Iterable

    from waywell.ids import NodeId

REPORT_TTL_SECONDS = 1.2
"""For which a node's word about its requests counts: about one stream."""


@attrs.frozen
class _Told:
    loads: Mapping[BoxLife, int]
    at: float


class SharedLoads:
    """Adds up what other nodes tell of their requests in flight."""

    def __init__(self) -> None:
        """Know of no other node."""
        self._told: dict[NodeId, _Told] = {}
        self._total: Counter[BoxLife] = Counter()

    def update(
        self,
        node: NodeId,
        loads: Mapping[BoxLife, int],
        now: float,
    ) -> None:
        """Take in what a node tells; it replaces what it told before."""
        self._forget(node)
        for name, told in tuple(self._told.items()):
            if now - told.at > REPORT_TTL_SECONDS:
                self._forget(name)
        self._told[node] = _Told(loads, now)
        self._total.update(loads)

    def sum_loads(self, skipped: Iterable[NodeId] = ()) -> Counter[BoxLife]:
        """Return the requests in flight of all other nodes but some."""
        total = self._total.copy()
        for node in skipped:
            told = self._told.get(node)
            if told is not None:
                total.subtract(told.loads)
        return total

    def list_nodes(self) -> set[NodeId]:
        """Return the nodes that told something not long ago."""
        return set(self._told)

    def get(self, life: BoxLife) -> int:
        """Return the requests of other nodes at a box."""
        return self._total[life]

    def _forget(self, node: NodeId) -> None:
        """Take back what a node told."""
        told = self._told.pop(node, None)
        if told is None:
            return
        for life, requests in told.loads.items():
            self._total[life] -= requests
            if not self._total[life]:
                self._total.pop(life)
