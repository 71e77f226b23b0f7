"""What the front daemon answers operators: metrics, state, and why.

The paths are those of the product's administration port, so that the same
command line asks both.  Nothing is changed here: operators write to the
platform.  Keys of client accounts are never shown.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import msgspec

from waywell.connection.desk import DeskAnswer
from waywell.ids import ModelName
from waywell.knowledge.era_history import EraHistory
from waywell.version.fleet import parse_group_model

if TYPE_CHECKING:
    from collections.abc import Mapping

    from waywell.connection.desk import DeskHandler
    from waywell.process.front import FrontNode
    from waywell.version.fleet import FleetGroup
    from waywell.version.routes import Route, ServiceShare


MAX_FOREIGN_SHOWN = 20
"""Names of other writers' objects that a status shows of each part."""


class FrontOperations:
    """Answers operators' questions about one node.

    Parameters
    ----------
    node
        The node.
    """

    def __init__(self, node: FrontNode) -> None:
        """Keep the node; its parts are read at each question."""
        self._node = node
        self._era_history = EraHistory(
            node.cluster,
            node.clock,
            lambda: node.forming.is_held(),
            lambda: len(node.quarantine.quarantine.history.holds),
        )

    def list_handlers(self) -> dict[str, DeskHandler]:
        """Return the handlers by path."""
        return {
            '/metrics': self._answer_metrics,
            '/dump': self._answer_dump,
            '/v1/dump': self._answer_dump,
            '/v1/status': self._answer_status,
            '/v1/configuration': self._answer_configuration,
            '/v1/groups': self._answer_groups,
            '/v1/boxes': self._answer_boxes,
            '/v1/route': self._answer_route,
        }

    def _answer_metrics(self, _query: Mapping[str, str]) -> DeskAnswer:
        text = self._node.metrics.render()
        return DeskAnswer(HTTPStatus.OK, text, 'text/plain')

    def _answer_dump(self, _query: Mapping[str, str]) -> DeskAnswer:
        return _answer(self._node.dump())

    def _answer_status(self, _query: Mapping[str, str]) -> DeskAnswer:
        node = self._node
        cluster = node.cluster
        now = node.clock.read()
        return _answer(
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

    def _answer_configuration(self, _query: Mapping[str, str]) -> DeskAnswer:
        table = self._node.cluster.index.table
        accounts = {holder.account for holder in table.holders.values()}
        return _answer(
            {
                'version': table.version,
                'routes': table.routes,
                'services': table.services,
                'limits': table.limits,
                'accounts': sorted(accounts),
            },
        )

    def _answer_groups(self, _query: Mapping[str, str]) -> DeskAnswer:
        fleet = self._node.cluster.fleet
        shown = [_show_group(group) for group in fleet.groups.values()]
        return _answer(shown)

    def _answer_boxes(self, _query: Mapping[str, str]) -> DeskAnswer:
        fleet = self._node.cluster.fleet
        shown = [msgspec.structs.asdict(box) for box in fleet.boxes.values()]
        return _answer(shown)

    def _answer_route(self, query: Mapping[str, str]) -> DeskAnswer:
        """Tell where a request by ``host``, ``path`` and ``model`` may go."""
        index = self._node.cluster.index
        host, path = query.get('host', ''), query.get('path', '')
        route = index.find_route(host, path)
        if route is None:
            text = f'version {index.table.version} has no such route'
            return _answer({'route': None, 'reason': text})
        model = ModelName(query.get('model', ''))
        return _answer(
            {
                'route': route,
                'version': index.table.version,
                'services': [
                    self._show_share(share, model) for share in route.shares
                ],
                'reason': _explain(route),
            },
        )

    def _show_share(
        self,
        share: ServiceShare,
        model: ModelName,
    ) -> dict[str, Any]:
        """Return a service with its replicas and what was seen of them."""
        node = self._node
        now = node.clock.read()
        replicas = []
        for replica in node.cluster.list_replicas(share.service, model):
            record = node.book.get(replica.key)
            replicas.append(
                {
                    'box': replica.key.box,
                    'group': replica.group,
                    'hall': replica.head.hall,
                    'own_requests': record.in_flight,
                    'other_requests': node.loads.get(replica.key.life),
                    'slowness': round(record.slowness, 2),
                    'rests_seconds': round(
                        max(0.0, record.rests_until - now), 2
                    ),
                    'wants_requests': node.backpressure.may_send(
                        replica.key.life, now
                    ),
                    'asked_rest_seconds': round(
                        node.backpressure.find_rest(replica.key.life, now), 2
                    ),
                },
            )
        return {
            'service': share.service,
            'weight': share.weight,
            'replicas': replicas,
        }


def _answer(shown: Any) -> DeskAnswer:
    return DeskAnswer(HTTPStatus.OK, msgspec.json.encode(shown, enc_hook=str))


def _show_group(group: FleetGroup) -> dict[str, Any]:
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


def _explain(route: Route) -> str:
    """Say what decides about a route's requests."""
    key = 'no key is asked for' if route.public else 'a key is asked for'
    repeat = (
        'may be sent to another replica'
        if route.may_repeat
        else 'runs at most once'
    )
    return f'longest prefix of the path; {key}; a request {repeat}'
