"""Front daemons that lost their links to replicas but not to each other."""

from __future__ import annotations

import json
import threading
from typing import TYPE_CHECKING, Any

import pytest

from tests.fake_platform import HOST, make_manifest
from tests.front_harness import WHOLE_STREAM, FrontHarness
from tests.replica_paths import Cut, ReplicaPaths
from waywell.standins.harness import Process, wait_until

if TYPE_CHECKING:
    from collections.abc import Iterator

REQUESTS = 8
"""Number of requests of each kind, too many to avoid a path by chance."""


def make_patient_manifest() -> dict[str, Any]:
    """Return routes that allow a stream attempts after a few pauses."""
    manifest = make_manifest(2)
    for route in manifest['routes']:
        route['max_attempts'] = 6
    return manifest


class Fleet:
    """Two nodes with links to all servers, and one whose links can be cut."""

    def __init__(self, front: FrontHarness) -> None:
        self.front = front
        front.store.put('config', 'main', make_patient_manifest())
        self.paths = ReplicaPaths(front)
        # As the only node of its hall it reads the box list from the proxy.
        self.cut = front.start('front-3', self.paths.store, 'hall-b')
        front.wait_serving(self.cut)
        self.connected = [front.start(f'front-{number}') for number in (1, 2)]
        for process in self.connected:
            front.wait_serving(process)
        self.wait_listed(3)

    def wait_listed(self, count: int) -> None:
        """Wait until all nodes list the given number of addresses."""
        for process in (self.cut, *self.connected):
            wait_until(
                lambda node=process: len(self.list_addresses(node)) == count,
                f'{count} addresses at {process.ports}',
            )

    def list_addresses(self, process: Process) -> list[str]:
        status, raw = self.front.get(
            process, 'directory_port', '/api/resolve?name=x&zone=hall-b'
        )
        return json.loads(raw)['addresses'] if status == 200 else []

    def count_runs(self) -> int:
        return len(self.front.list_runs(*self.front.servers))

    def read_dump(self, process: Process) -> dict[str, Any]:
        _status, raw = self.front.get(process, 'metrics_port', '/dump')
        return dict(json.loads(raw))

    def read_log(self) -> str:
        """Return the log of the node whose links are cut."""
        path = self.front.folder / 'front-3.log'
        return path.read_text(encoding='utf-8')

    def wait_logged(self, event: str) -> None:
        """Wait for an event at the node whose links are cut."""
        wait_until(lambda: f'event={event} ' in self.read_log(), event)

    def read_lease(self) -> str:
        """Return the node that holds the duty of forming groups."""
        found = self.front.store._objects['waywell-leases', 'forming']
        return str(found['spec']['holder'])


@pytest.fixture
def fleet(front: FrontHarness) -> Iterator[Fleet]:
    fleet_of_nodes = Fleet(front)
    yield fleet_of_nodes
    fleet_of_nodes.paths.close()


@pytest.mark.parametrize('how', Cut)
def test_callers_of_a_node_without_links_to_replicas_are_served(
    fleet: Fleet, how: Cut
) -> None:
    front = fleet.front
    fleet.paths.cut(how)
    for number in range(REQUESTS):
        before = fleet.count_runs()
        for path, model in (('match', ''), ('stock', ''), ('notes', 'small')):
            status, body, answer = front.send_request(
                fleet.cut, f'/{path}/{number}', model
            )
            assert (status, path) == (200, path)
            assert answer.getheader('X-Replica-Stamp')
            assert body == (WHOLE_STREAM if model else b'the whole answer')
        assert fleet.count_runs() == before + 3
    run = front.list_runs('a1', 'a2')[-1]
    assert run['X-Tenant'] == 'shop'
    assert run['Host'] == HOST
    assert 'Authorization' not in run
    assert int(run['X-Deadline-Ms']) <= 8000
    fleet.paths.restore()


@pytest.mark.parametrize('how', Cut)
def test_callers_are_told_of_nodes_with_links_to_replicas_only(
    fleet: Fleet, how: Cut
) -> None:
    port = fleet.cut.ports['caller_port']
    fleet.paths.cut(how)
    fleet.front.send_request(fleet.cut, '/stock/1')
    fleet.wait_listed(2)
    assert f'127.0.0.1:{port}' not in fleet.list_addresses(fleet.connected[0])
    assert fleet.front.is_ready(fleet.cut)
    fleet.paths.restore()
    fleet.wait_listed(3)


def test_a_node_uses_its_own_links_again_when_they_are_restored(
    fleet: Fleet,
) -> None:
    fleet.paths.cut(Cut.RESET)
    fleet.front.send_request(fleet.cut, '/stock/1')
    fleet.wait_listed(2)
    fleet.paths.restore()
    fleet.wait_listed(3)
    for process in fleet.connected:
        process.kill()
    assert fleet.front.send_request(fleet.cut, '/stock/2')[0] == 200


@pytest.mark.parametrize('how', Cut)
def test_a_node_without_links_hands_over_the_forming_of_groups(
    fleet: Fleet, how: Cut
) -> None:
    assert fleet.read_lease() == 'front-3'
    fleet.paths.cut(how)
    fleet.front.send_request(fleet.cut, '/notes/1', 'small')
    wait_until(
        lambda: fleet.read_lease() in {'front-1', 'front-2'},
        'another holder of the duty',
    )
    assert len(fleet.front.list_heads()) == 2
    assert not fleet.front.store.violations


def cut_streams(fleet: Fleet, how: Cut) -> list[tuple[int, bytes]]:
    """Return the answers of streams that are running when the links are cut."""
    front = fleet.front
    servers = front.servers.values()
    for server in servers:
        server.unblocked.clear()
        # A second attempt beside a silent one also waits.
        server.script.extend(['wait-3'] * 4)
    answers: list[tuple[int, bytes]] = []

    def ask(number: int) -> None:
        status, body, _answer = front.send_request(
            fleet.cut, f'/notes/{number}', 'small'
        )
        answers.append((status, body))

    callers = [
        threading.Thread(target=ask, args=(number,)) for number in range(2)
    ]
    for caller in callers:
        caller.start()
    wait_until(
        lambda: len(front.list_runs('m1', 'm2', 'm3', 'm4')) >= 2,
        'running streams',
    )
    fleet.paths.cut(how)
    for server in servers:
        server.script.clear()
    for caller in callers:
        caller.join()
    for server in servers:
        server.unblocked.set()
    return answers


@pytest.mark.parametrize('how', [Cut.RESET, Cut.HANG])
def test_streams_that_run_when_links_are_lost_go_on_elsewhere(
    fleet: Fleet, how: Cut
) -> None:
    assert cut_streams(fleet, how) == [(200, WHOLE_STREAM)] * 2


@pytest.mark.parametrize('how', [Cut.RESET, Cut.HANG])
def test_streams_cut_at_one_node_disable_no_replica_for_other_nodes(
    fleet: Fleet, how: Cut
) -> None:
    cut_streams(fleet, how)
    if how is Cut.RESET:
        fleet.wait_logged('crash_unconfirmed')
    fleet.wait_listed(2)
    for process in (*fleet.connected, fleet.cut):
        assert fleet.read_dump(process)['quarantine']['ends'] == 0
    assert 'event=replica_ended' not in fleet.read_log()
