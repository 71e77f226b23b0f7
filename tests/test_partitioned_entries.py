"""Entry daemons that have lost their links to targets, not to each other."""

from __future__ import annotations

import signal
from itertools import product
from typing import TYPE_CHECKING

import pytest

from tests.conftest import QUICK
from tests.replica_paths import Cut, ReplicaRelays
from tests.rerouted import write_ports
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

SOUND = ('entry-1', 'entry-2')
CUT = 'entry-3'
GROUPS = 4
"""Groups of each service."""

REQUESTS = 4
"""Requests of each kind at a node."""

DEADLINE = '1'
"""Seconds that a request has, also over a link that hangs."""

LOOKS = 20
"""Looks at the groups after a node has noticed its cut."""

SERVICES = {'llm': 'llm-main', 'app': 'app-main'}
"""Group set of each service."""


class Fleet:
    """Entry nodes with links to all targets, and one that can lose them."""

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
        write_ports(ports, self.relays.ports)
        for name in SOUND:
            bench.start_entry(name, timing=QUICK)
        bench.start_entry(
            CUT, timing=QUICK, module=['tests.rerouted', str(ports), 'waywell']
        )
        configuration = make_configuration(GROUPS, boxes_per_group=1)
        configuration['group_set'][1]['groups'] = GROUPS
        assert bench.apply(SOUND[0], configuration).status == 200
        for name in (*SOUND, CUT):
            for group_set in SERVICES.values():
                bench.wait_serving(name, group_set, GROUPS)
        self.wait_listed((*SOUND, CUT))

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
        return [one['node'] for one in listed['entries']]

    def wait_listed(self, expected: tuple[str, ...]) -> None:
        """Wait until all nodes name some nodes to callers."""
        for name in (*SOUND, CUT):
            wait_until(
                lambda node=name: (
                    sorted(self.list_entries(node)) == sorted(expected)
                ),
                f'{expected} as entries of {name}',
            )

    def wait_refused(self, service: str) -> None:
        """Wait until the node that is cut off refuses a request for it."""
        wait_until(
            lambda: (
                self.call(CUT, service, 0, 'POST').headers.get(CODE_HEADER)
                == str(int(Code.NODE_PARTITIONED))
            ),
            f'{service} refused at {CUT}',
        )

    def cut(self, how: Cut) -> None:
        """Take the links to all targets from one node; wait for its words.

        It tells what its probes say of groups, or that its links are lost.
        """
        node = self.bench.entries[CUT]
        known = len(node.log.read_text())
        # All links go at the same moment, as the node sees it.
        node.send_signal(signal.SIGSTOP)
        wait_until(node.is_stopped, f'{CUT} to stand still')
        self.relays.cut(how)
        node.send_signal(signal.SIGCONT)
        for service in SERVICES:
            # New connections alone show that no more come up.
            self.call(CUT, service, 0, 'POST')
        wait_until(
            lambda: (
                'event=group_probed ' in node.log.read_text()[known:]
                or node.log.read_text()[known:].count('=partition_detected ')
                == len(SERVICES)
            ),
            'a word about the cut',
        )

    def list_down(self, entry: str) -> list[str]:
        answer = self.bench.get_admin(entry).call('GET', '/v1/dump')
        return sorted(answer.read_json()['tasks']['prober']['down'])


@pytest.fixture
def fleet(bench: Bench) -> Iterator[Fleet]:
    made = Fleet(bench)
    yield made
    made.relays.close()


@pytest.mark.parametrize('how', Cut)
def test_a_node_without_links_to_targets_takes_no_group_from_the_others(
    fleet: Fleet, how: Cut
) -> None:
    fleet.cut(how)
    for number in range(LOOKS):
        for name in SOUND:
            assert fleet.list_down(name) == []
            for service, group_set in SERVICES.items():
                assert fleet.bench.count_serving(name, group_set) == GROUPS
                assert fleet.call(name, service, number).status == 200


@pytest.mark.parametrize('how', Cut)
def test_callers_of_a_node_without_links_to_targets_are_sent_elsewhere(
    fleet: Fleet, how: Cut
) -> None:
    fleet.cut(how)
    others = {
        f'127.0.0.1:{fleet.bench.entries[name].ports["caller_port"]}'
        for name in SOUND
    }
    for service in SERVICES:
        fleet.wait_refused(service)
        for number, method in product(range(REQUESTS), ('GET', 'POST')):
            answer = fleet.call(CUT, service, number, method)
            told = answer.read_json()
            assert answer.status == 503
            assert told['code'] == Code.NODE_PARTITIONED
            assert told['ran'] == 'not_run'
            assert told['retry_after'] == 0
            assert set(told['detail'].split()) == others
    for name in SOUND:
        assert fleet.call(name, 'llm', 0).status == 200


@pytest.mark.parametrize('how', Cut)
def test_callers_are_told_of_entries_with_links_to_targets_only(
    fleet: Fleet, how: Cut
) -> None:
    fleet.cut(how)
    fleet.wait_listed(SOUND)
    fleet.relays.mend()
    fleet.wait_listed((*SOUND, CUT))
    for service in SERVICES:
        assert fleet.call(CUT, service, 0).status == 200
