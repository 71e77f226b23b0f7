"""Handlers of the calls to the administration port."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from waywell.duties.duty import make_operation
from waywell.process.administration import ANY_NUMBER
from waywell.telemetry.measures import count_serving

if TYPE_CHECKING:
    from waywell.connection.admin import AdminCall, AdminHandler
    from waywell.process.entry import EntryNode
    from waywell.version.roster import Group


class Operations:
    """Answers operators' calls about one node.

    Parameters
    ----------
    node
        Node whose components the calls use.
    """

    def __init__(self, node: EntryNode) -> None:
        """Use a node, whose components are read at each call."""
        self._node = node

    def find_operator(self, key: str) -> str | None:
        """Return the name of the operator that owns a key, if any."""
        return self._node.administration.find_operator(
            key,
            self._node.settings.bootstrap_key_hashes,
        )

    def list_handlers(self) -> dict[tuple[str, str], AdminHandler]:
        """Return the handlers by method and path."""
        return {
            ('GET', '/v1/configuration'): self._get_configuration,
            ('PUT', '/v1/configuration'): self._put_configuration,
            ('GET', '/v1/groups'): self._get_groups,
            ('GET', '/v1/boxes'): self._get_boxes,
            ('POST', '/v1/boxes/labels'): self._post_labels,
            ('POST', '/v1/explain'): self._post_explain,
            ('GET', '/v1/status'): self._get_status,
            ('GET', '/v1/dump'): self._get_dump,
        }

    async def _get_configuration(self, call: AdminCall) -> Any:
        return self._node.administration.read_configuration(
            call.get_selector(),
        )

    async def _put_configuration(self, call: AdminCall) -> Any:
        return await self._node.administration.apply(
            call.body,
            call.get_integer('expected', ANY_NUMBER),
            call.get_text('operation') or make_operation(),
        )

    async def _get_groups(self, call: AdminCall) -> Any:
        wanted = call.get_selector()
        return [
            self._describe_group(group)
            for group in self._node.in_force.roster
            if wanted.admits(group.selectable)
        ]

    async def _get_boxes(self, call: AdminCall) -> Any:
        return await self._node.administration.list_boxes(
            call.get_selector(),
        )

    async def _post_labels(self, call: AdminCall) -> Any:
        return await self._node.administration.relabel(call.body)

    async def _post_explain(self, call: AdminCall) -> Any:
        return self._node.administration.explain(
            call.body,
            self._list_down_reasons(),
        )

    async def _get_status(self, _call: AdminCall) -> Any:
        node = self._node
        serving = count_serving(node.in_force.roster, node.is_usable)
        downtime = node.meter.list_seconds()
        return {
            'node': node.own.node,
            'group_sets': {
                group_set.name: {
                    'wanted': group_set.groups,
                    'serving': serving.get(group_set.name, 0),
                    'downtime_seconds': downtime.get(group_set.name, 0),
                }
                for group_set in node.in_force.configuration.group_set
            },
            'groups': [
                self._describe_group(group) for group in node.in_force.roster
            ],
            'stranded_accelerators': (
                await node.administration.count_stranded()
            ),
            'entry_boxes': [
                {
                    'node': record.node,
                    'hall': record.hall,
                    'state': record.state.name.lower(),
                    'configuration': record.configuration,
                    'roster': record.roster,
                }
                for record in sorted(
                    node.members.records,
                    key=lambda record: record.node,
                )
            ],
        }

    async def _get_dump(self, _call: AdminCall) -> Any:
        node = self._node
        now = node.clock.read()
        return {
            'node': node.own.node,
            'incarnation': node.incarnation,
            'in_flight': node.admission.list_in_flight(),
            'claims': len(node.home_claimer.table),
            'backpressure': node.parts.backpressure.dump(now),
            'refuses_new': node.refuses_new,
            'platform_age': node.gossip.get_platform_age(now),
            'tasks': {actor.name: actor.dump() for actor in node.actors},
        }

    def _describe_group(self, group: Group) -> dict[str, Any]:
        return {
            'group': group.group,
            'group_set': group.group_set,
            'state': group.state.value,
            'epoch': group.epoch,
            'boxes': [member.box for member in group.members],
            'missing': list(group.missing),
            'down': self._list_down_reasons().get(group.group, ''),
        }

    def _list_down_reasons(self) -> dict[str, str]:
        now = self._node.clock.read()
        down = self._node.health.list_down(now)
        return {
            group: ': '.join((evidence.verdict.value, evidence.detail))
            for group, evidence in down.items()
        }
