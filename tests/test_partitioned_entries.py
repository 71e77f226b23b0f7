"""Entry daemons that lost their links to targets but not to each other."""

from __future__ import annotations

import signal
from itertools import product
from typing import TYPE_CHECKING

import pytest

from tests.conftest import SHORT_TIMING
from tests.replica_paths import Cut, ReplicaRelays
from tests.rerouted import write_port_map
from waywell.client import call_http
from waywell.codes import Code
from waywell.connection.forwarding import CODE_HEADER
from waywell.request.facts import DEADLINE_HEADER
from waywell.standins.harness import (
    Bench,
    BoxSpec,
    make_configuration,
    wait_until,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from waywell.client import Answer

CONNECTED_NODES = ('entry-1', 'entry-2')
CUT_NODE = 'entry-3'
GROUPS = 4
"""Number of groups of each service."""

REQUESTS = 4
"""Number of requests of each kind at a node."""

DEADLINE = '1'
"""Deadline in seconds of a request, also over a link that hangs."""

GROUP_CHECKS = 20
"""Number of checks of the groups after a node has detected its cut links."""

SERVICES = {'llm': 'llm-main', 'app': 'app-main'}
"""Group set by service."""


class Fleet:
    """Entry nodes with links to all targets, and one whose links can be cut."""

    def __init__(self, bench: Bench) -> None:
        self.bench = bench
        bench.start_boxes(
            [
                BoxSpec(
                    f'{pool}-{number}',
                    fenced=pool == 'llm',
                    labels={'pool': pool},
                )
                for pool in SERVICES
                for number in range(GROUPS)
            ],
        )
        self.relays = ReplicaRelays(
            target.ports['port'] for target in bench.targets.values()
        )
        ports = bench.folder / 'ports.json'
        write_port_map(ports, self.relays.ports)
        for name in CONNECTED_NODES:
            bench.start_entry(name, timing=SHORT_TIMING)
        bench.start_entry(
            CUT_NODE,
            timing=SHORT_TIMING,
            module=['tests.rerouted', str(ports), 'waywell'],
        )
        configuration = make_configuration(GROUPS, boxes_per_group=1)
        configuration['group_set'][1]['groups'] = GROUPS
        assert bench.apply(CONNECTED_NODES[0], configuration).status == 200
        for name in (*CONNECTED_NODES, CUT_NODE):
            for group_set in SERVICES.values():
                bench.wait_serving(name, group_set, GROUPS)
        self.wait_listed((*CONNECTED_NODES, CUT_NODE))

    def call(
        self, entry: str, service: str, number: int, method: str = 'GET'
    ) -> Answer:
        return self.bench.get_caller(entry).call(
            f'/services/{service}/{number}',
            method,
            headers={DEADLINE_HEADER: DEADLINE},
        )

    def list_entries(self, entry: str) -> list[str]:
        port = self.bench.entries[entry].ports['caller_port']
        listed = call_http(f'http://127.0.0.1:{port}/entries').read_json()
        return [entry['node'] for entry in listed['entries']]

    def wait_listed(self, expected: tuple[str, ...]) -> None:
        """Wait until all nodes list exactly the given entries."""
        for name in (*CONNECTED_NODES, CUT_NODE):
            wait_until(
                lambda node=name: (
                    sorted(self.list_entries(node)) == sorted(expected)
                ),
                f'{expected} as entries of {name}',
            )

    def wait_refused(self, service: str) -> None:
        """Wait until the cut node refuses a request because of its links."""
        wait_until(
            lambda: (
                self.call(CUT_NODE, service, 0, 'POST').headers.get(
                    CODE_HEADER
                )
                == str(int(Code.NODE_PARTITIONED))
            ),
            f'{service} refused at {CUT_NODE}',
        )

    def cut(self, how: Cut) -> None:
        """Cut one node's links to all targets and wait for its reaction.

        The node reports either evidence against groups or lost links.
        """
        node = self.bench.entries[CUT_NODE]
        log_length = len(node.log.read_text())
        # The node is stopped, so it sees all links cut at the same moment.
        node.send_signal(signal.SIGSTOP)
        wait_until(node.is_stopped, f'{CUT_NODE} to stop')
        self.relays.cut(how)
        node.send_signal(signal.SIGCONT)
        for service in SERVICES:
            # Only new connections show that none can be established.
            self.call(CUT_NODE, service, 0, 'POST')
        wait_until(
            lambda: (
                'event=group_probed ' in node.log.read_text()[log_length:]
                or node.log.read_text()[log_length:].count(
                    '=partition_detected '
                )
                == len(SERVICES)
            ),
            'a report about the cut links',
        )

    def list_down(self, entry: str) -> list[str]:
        answer = self.bench.get_admin(entry).call('GET', '/v1/dump')
        return sorted(answer.read_json()['tasks']['prober']['down'])


@pytest.fixture
def fleet(bench: Bench) -> Iterator[Fleet]:
    fleet_of_entries = Fleet(bench)
    yield fleet_of_entries
    fleet_of_entries.relays.close()


@pytest.mark.parametrize('how', Cut)
def test_a_node_without_links_does_not_disable_groups_for_other_nodes(
    fleet: Fleet, how: Cut
) -> None:
    fleet.cut(how)
    for number in range(GROUP_CHECKS):
        for name in CONNECTED_NODES:
            assert fleet.list_down(name) == []
            for service, group_set in SERVICES.items():
                assert fleet.bench.count_serving(name, group_set) == GROUPS
                assert fleet.call(name, service, number).status == 200


@pytest.mark.parametrize('how', Cut)
def test_callers_of_a_node_without_links_are_sent_to_other_nodes(
    fleet: Fleet, how: Cut
) -> None:
    fleet.cut(how)
    others = {
        f'127.0.0.1:{fleet.bench.entries[name].ports["caller_port"]}'
        for name in CONNECTED_NODES
    }
    for service in SERVICES:
        fleet.wait_refused(service)
        for number, method in product(range(REQUESTS), ('GET', 'POST')):
            answer = fleet.call(CUT_NODE, service, number, method)
            refusal = answer.read_json()
            assert answer.status == 503
            assert refusal['code'] == Code.NODE_PARTITIONED
            assert refusal['ran'] == 'not_run'
            assert refusal['retry_after'] == 0
            assert set(refusal['detail'].split()) == others
    for name in CONNECTED_NODES:
        assert fleet.call(name, 'llm', 0).status == 200


@pytest.mark.parametrize('how', Cut)
def test_callers_get_only_entries_with_links_to_targets(
    fleet: Fleet, how: Cut
) -> None:
    fleet.cut(how)
    fleet.wait_listed(CONNECTED_NODES)
    fleet.relays.restore()
    fleet.wait_listed((*CONNECTED_NODES, CUT_NODE))
    for service in SERVICES:
        assert fleet.call(CUT_NODE, service, 0).status == 200
