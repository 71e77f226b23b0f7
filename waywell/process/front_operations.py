"""Operators' calls to a front daemon: metrics, state and routing decisions.

The paths are those of the administration port of an entry daemon, so that the
same command line works for both.  All calls are read-only, because operators
write to the platform.  Keys of client accounts are never shown.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import msgspec

from waywell.connection.query_site import QueryResponse
from waywell.ids import ModelName
from waywell.knowledge.era_history import EraHistory
from waywell.version.fleet import parse_group_model

if TYPE_CHECKING:
    from collections.abc import Mapping

    from waywell.connection.query_site import QueryHandler
    from waywell.process.front import FrontNode
    from waywell.version.fleet import FleetGroup
    from waywell.version.routes import Route, ServiceShare


MAX_FOREIGN_SHOWN = 20
"""Maximum number of names of other writers' objects in each part of a
status."""


class FrontOperations:
    """Answers operators' calls about one node.

    Parameters
    ----------
    node
        Node whose components the calls read.
    """

    def __init__(self, node: FrontNode) -> None:
        """Use a node, whose components are read at each call."""
        self._node = node
        self._era_history = EraHistory(
            node.cluster,
            node.clock,
            lambda: node.forming.is_held(),
            lambda: len(node.quarantine.quarantine.history.holds),
        )

    def list_handlers(self) -> dict[str, QueryHandler]:
        """Return the handlers by path."""
        return {
            '/metrics': self._get_metrics,
            '/dump': self._get_dump,
            '/v1/dump': self._get_dump,
            '/v1/status': self._get_status,
            '/v1/configuration': self._get_configuration,
            '/v1/groups': self._get_groups,
            '/v1/boxes': self._get_boxes,
            '/v1/route': self._get_route,
        }

    def _get_metrics(self, _query: Mapping[str, str]) -> QueryResponse:
        text = self._node.metrics.render()
        return QueryResponse(HTTPStatus.OK, text, 'text/plain')

    def _get_dump(self, _query: Mapping[str, str]) -> QueryResponse:
        return _make_json_answer(self._node.dump())

    def _get_status(self, _query: Mapping[str, str]) -> QueryResponse:
        node = self._node
        cluster = node.cluster
        now = node.clock.read()
        return _make_json_answer(
            {
                'node': node.settings.node.name,
                'ready': node.is_ready(),
                'in_flight': node.in_flight,
                'nodes': node.members.count_states(),
                'routes_version': cluster.index.table.version,
                'routes_age_seconds': cluster.get_routes_age(now),
                'boxes': len(cluster.fleet.boxes),
                'boxes_age_seconds': cluster.get_boxes_age(now),
                'serving': cluster.count_serving(),
                **self._era_history.show(),
                'foreign': {
                    'routes': node.routes.foreign[:MAX_FOREIGN_SHOWN],
                    'boxes': node.fleet.foreign[:MAX_FOREIGN_SHOWN],
                },
                'backpressure': node.backpressure.dump(now),
                'limits': node.turns.limits.dump(now),
                'held_requests': node.quarantine.quarantine.list_holds(),
                'forms_groups': node.forming.is_held(),
                'reads_platform': node.feed.is_reader(),
            },
        )

    def _get_configuration(self, _query: Mapping[str, str]) -> QueryResponse:
        table = self._node.cluster.index.table
        accounts = {holder.account for holder in table.holders.values()}
        return _make_json_answer(
            {
                'version': table.version,
                'routes': table.routes,
                'services': table.services,
                'limits': table.limits,
                'accounts': sorted(accounts),
            },
        )

    def _get_groups(self, _query: Mapping[str, str]) -> QueryResponse:
        fleet = self._node.cluster.fleet
        shown = [_describe_group(group) for group in fleet.groups.values()]
        return _make_json_answer(shown)

    def _get_boxes(self, _query: Mapping[str, str]) -> QueryResponse:
        fleet = self._node.cluster.fleet
        shown = [msgspec.structs.asdict(box) for box in fleet.boxes.values()]
        return _make_json_answer(shown)

    def _get_route(self, query: Mapping[str, str]) -> QueryResponse:
        """Return the replicas for a ``host``, ``path`` and ``model``."""
        index = self._node.cluster.index
        host, path = query.get('host', ''), query.get('path', '')
        route = index.find_route(host, path)
        if route is None:
            text = f'version {index.table.version} has no such route'
            return _make_json_answer({'route': None, 'reason': text})
        model = ModelName(query.get('model', ''))
        return _make_json_answer(
            {
                'route': route,
                'version': index.table.version,
                'services': [
                    self._describe_share(share, model)
                    for share in route.shares
                ],
                'reason': _explain_route(route),
            },
        )

    def _describe_share(
        self,
        share: ServiceShare,
        model: ModelName,
    ) -> dict[str, Any]:
        """Return a service of a route with the state of its replicas."""
        node = self._node
        now = node.clock.read()
        replicas = []
        for replica in node.cluster.list_replicas(share.service, model):
            record = node.replica_table.get(replica.key)
            replicas.append(
                {
                    'box': replica.key.box,
                    'group': replica.group,
                    'hall': replica.head.hall,
                    'own_requests': record.in_flight,
                    'other_requests': node.loads.get(replica.key.life),
                    'slowness': round(record.slowness, 2),
                    'rests_seconds': round(
                        max(0.0, record.backoff_until - now), 2
                    ),
                    'wants_requests': node.backpressure.may_send(
                        replica.key.life, now
                    ),
                    'asked_rest_seconds': round(
                        node.backpressure.get_remaining_rest(
                            replica.key.life, now
                        ),
                        2,
                    ),
                },
            )
        return {
            'service': share.service,
            'weight': share.weight,
            'replicas': replicas,
        }


def _make_json_answer(shown: Any) -> QueryResponse:
    return QueryResponse(
        HTTPStatus.OK, msgspec.json.encode(shown, enc_hook=str)
    )


def _describe_group(group: FleetGroup) -> dict[str, Any]:
    return {
        'group': group.group,
        'model': parse_group_model(group.group),
        'service': group.service,
        'domain': group.domain,
        'epoch': group.epoch,
        'members': [
            {
                'box': member.box,
                'rank': member.standing.rank if member.standing else None,
                'state': member.standing.state if member.standing else None,
                'leaving': member.leaving,
            }
            for member in group.members
        ],
    }


def _explain_route(route: Route) -> str:
    """Return a sentence about the matching and retries of a route."""
    key = 'no key is asked for' if route.public else 'a key is asked for'
    repeat = (
        'may be sent to another replica'
        if route.may_repeat
        else 'runs at most once'
    )
    return f'longest prefix of the path; {key}; a request {repeat}'
