"""Gauges of a front daemon, evaluated at each scrape."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from waywell.process.front import FrontNode


class FrontGauges:
    """Registers gauges of the state of a node.

    Parameters
    ----------
    node
        Node whose state the gauges show.
    """

    def __init__(self, node: FrontNode) -> None:
        """Use a node, whose components are read at each scrape."""
        self._node = node

    def register(self) -> None:
        """Add the gauges to the node's metrics."""
        add_gauge = self._node.metrics.add_gauge
        add_gauge(
            'waywell_serving_replicas',
            'Replicas that may get requests, by service and model.',
            'model',
            self._count_serving,
        )
        add_gauge(
            'waywell_knowledge_age_seconds',
            'For how long what is known was not confirmed.',
            'part',
            self._get_knowledge_ages,
        )
        add_gauge(
            'waywell_nodes',
            'Entry boxes that this one knows, by state.',
            'state',
            self._count_nodes,
        )
        add_gauge(
            'waywell_duties',
            'Whether this node holds a duty now: 1 or 0.',
            'duty',
            self._get_duties,
        )
        add_gauge(
            'waywell_requests_in_flight',
            'Requests of callers that are not answered yet.',
            'node',
            self._count_in_flight,
        )
        add_gauge(
            'waywell_foreign_objects',
            'Objects of the platform that another writer has written.',
            'part',
            self._count_foreign,
        )
        add_gauge(
            'waywell_quarantine',
            'Replicas that ended under requests, and requests held back.',
            'part',
            self._count_quarantine,
        )
        add_gauge(
            'waywell_backpressure',
            'Replicas that have asked this node for no more requests.',
            'part',
            self._count_backpressure,
        )
        add_gauge(
            'waywell_limits',
            'Replicas that have a limit, and what this node dealt of it.',
            'part',
            self._count_limits,
        )
        add_gauge(
            'waywell_unreachable_boxes',
            'Boxes that recently refused this node a connection, by service.',
            'service',
            self._count_unreachable,
        )
        add_gauge(
            'waywell_store_era',
            'Era of the store, and the changes of it that this node saw.',
            'part',
            self._get_store_era,
        )

        add_gauge(
            'waywell_crashing_loads',
            'Loads in a row that ended their boxes, by service and model.',
            'model',
            self._count_crashing_loads,
        )

    def _count_crashing_loads(self) -> Mapping[str, float]:
        forming = self._node.forming
        return forming.loads.count_crashes() if forming.is_held() else {}

    def _count_unreachable(self) -> Mapping[str, float]:
        node = self._node
        return node.paths.watch.table.count_unreachable(node.clock.read())

    def _get_store_era(self) -> Mapping[str, float]:
        eras = self._node.cluster.eras
        return {'era': eras.current, 'changes': eras.changes}

    def _count_limits(self) -> Mapping[str, float]:
        return self._node.turns.count()

    def _count_backpressure(self) -> Mapping[str, float]:
        node = self._node
        return node.backpressure.count(node.clock.read())

    def _count_quarantine(self) -> Mapping[str, float]:
        return self._node.quarantine.quarantine.count()

    def _count_foreign(self) -> Mapping[str, float]:
        node = self._node
        return {
            'routes': len(node.routes.foreign),
            'boxes': len(node.fleet.foreign),
        }

    def _count_serving(self) -> Mapping[str, float]:
        return self._node.cluster.count_serving()

    def _get_knowledge_ages(self) -> Mapping[str, float]:
        cluster = self._node.cluster
        now = self._node.clock.read()
        return {
            'routes': cluster.get_routes_age(now),
            'boxes': cluster.get_boxes_age(now),
        }

    def _count_nodes(self) -> Mapping[str, float]:
        return self._node.members.count_states()

    def _get_duties(self) -> Mapping[str, float]:
        return {
            'forming': float(self._node.forming.is_held()),
            'reader': float(self._node.feed.is_reader()),
        }

    def _count_in_flight(self) -> Mapping[str, float]:
        return {self._node.settings.node.name: self._node.in_flight}
