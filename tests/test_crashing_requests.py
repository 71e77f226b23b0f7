"""Requests that crash every replica which starts to run them.

Guards against an entry box that recognizes a request only by the id of one
attempt.  Each repeat of the request then has a new id, so it is sent to as
many replicas as its route allows, again at every entry box.  A single caller
crashed 19 replicas within 12 s in this way, each of them with 3 to 32 requests
in flight, and for 6 s two of three requests of that kind were late, refused or
failed.  At every crash one of the interrupted requests had the same path.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import pytest

from tests.fake_platform import Server, make_manifest
from tests.front_harness import FrontHarness
from waywell.codes import Code
from waywell.standins.harness import wait_until

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

    from waywell.standins.harness import Process

DEADLY = b'{"a": "what no replica survives"}'

REPLICAS = 20
"""Number of replicas, more than the tests can crash: two by each of eight
repeats."""

REPEATS = 4
"""Number of repeats at each entry box."""

MAX_CRASHED = 6
"""Number of replicas that may crash: three until the cause is certain, and
three by retries that the users accept."""


@pytest.fixture
def front(tmp_path: Path) -> Iterator[FrontHarness]:
    harness = FrontHarness(tmp_path)
    yield harness
    harness.close()


def start(front: FrontHarness) -> list[Process]:
    """Start two entry boxes and plain replicas."""
    for number in range(REPLICAS):
        server = Server(front.store, f'a{number}', 'app')
        server.crashing_body = DEADLY
        front.servers[server.name] = server
    front.store.put('config', 'main', make_manifest())
    nodes = [front.start(f'front-{number}') for number in (1, 2)]
    for node in nodes:
        wait_serving(front, node)
    return nodes


def wait_serving(front: FrontHarness, node: Process) -> None:
    """Wait until a node is ready and serves by all listed replicas."""
    wait_until(lambda: front.is_ready(node), 'readiness')

    def sees_all() -> bool:
        _status, raw = front.get(node, 'metrics_port', '/dump')
        return bool(json.loads(raw)['serving']['app/'] == REPLICAS)

    wait_until(sees_all, 'all replicas')


def crash_three(front: FrontHarness, node: Process) -> None:
    """Crash three replicas by requests at one node."""
    for _repeat in range(3):
        assert front.send_request(node, '/match/1', body=DEADLY)[0] == 502


def read_quarantine(front: FrontHarness, node: Process) -> dict[str, Any]:
    _status, raw = front.get(node, 'metrics_port', '/dump')
    found: dict[str, Any] = json.loads(raw)['quarantine']
    return found


def wait_crashes_known(front: FrontHarness, nodes: list[Process]) -> None:
    """Wait until all nodes know of each crash."""
    for node in nodes:
        wait_until(
            lambda node=node: (
                read_quarantine(front, node)['ends'] == count_crashed(front)
            ),
            'the report of each crash',
        )


def count_crashed(front: FrontHarness) -> int:
    return sum(server.has_ended for server in front.servers.values())


@pytest.mark.parametrize('path', ['/stock/1', '/match/1'])
def test_a_request_that_crashes_replicas_reaches_few_of_them(
    front: FrontHarness,
    path: str,
) -> None:
    nodes = start(front)
    for _repeat in range(REPEATS):
        for node in nodes:
            status, _body, _answer = front.send_request(
                node, path, body=DEADLY
            )
            assert status >= 500
    assert count_crashed(front) <= MAX_CRASHED
    # Other requests are served all the time.
    for node in nodes:
        assert front.send_request(node, path)[0] == 200


def test_no_node_sends_the_request_after_the_third_crash(
    front: FrontHarness,
) -> None:
    nodes = start(front)
    for _repeat in range(REPEATS):
        for node in nodes:
            status, _body, answer = front.send_request(
                node, '/match/1', body=DEADLY
            )
            wait_crashes_known(front, nodes)
    assert count_crashed(front) == 3
    assert status == 503
    assert answer.getheader('waywell-code') == str(int(Code.REQUEST_HELD_BACK))
    assert answer.getheader('waywell-ran') == 'not_run'
    assert float(answer.getheader('retry-after')) > 60
    _status, raw = front.get(nodes[0], 'metrics_port', '/v1/status')
    (shown,) = json.loads(raw)['held_requests'].values()
    assert shown['ends'] == 3
    _status, raw = front.get(nodes[0], 'metrics_port', '/metrics')
    gauges = [
        line.rpartition(' ')[2]
        for line in raw.decode().splitlines()
        if line.startswith('waywell_quarantine{')
    ]
    assert sorted(map(float, gauges)) == [1.0, 3.0]


def test_a_node_that_starts_later_gets_the_holds_of_the_others(
    front: FrontHarness,
) -> None:
    nodes = start(front)
    crash_three(front, nodes[0])
    wait_crashes_known(front, nodes)
    later = front.start('front-3')
    wait_serving(front, later)
    wait_crashes_known(front, [later])
    assert front.send_request(later, '/match/1', body=DEADLY)[0] == 503
    assert count_crashed(front) == 3


def test_a_hold_survives_the_loss_of_all_nodes(front: FrontHarness) -> None:
    nodes = start(front)
    crash_three(front, nodes[0])
    wait_until(
        lambda: front.store.list_names('waywell-held-requests'), 'the record'
    )
    for node in nodes:
        node.kill()
    nodes = [front.start(f'later-{number}') for number in (1, 2)]
    for node in nodes:
        wait_serving(front, node)
        wait_until(
            lambda node=node: read_quarantine(front, node)['held'],
            'the hold on the request',
        )
        assert front.send_request(node, '/match/1', body=DEADLY)[0] == 503
        assert front.send_request(node, '/match/1')[0] == 200
    assert count_crashed(front) == 3


def test_a_node_that_reaches_only_the_platform_gets_the_hold(
    front: FrontHarness,
) -> None:
    """The nodes have no streams, like data halls that can't reach each other."""
    front.store.hidden_kinds.add('waywell-entries')
    first, other = start(front)
    crash_three(front, first)
    wait_until(
        lambda: read_quarantine(front, other)['held'],
        'the hold on the request',
    )
    assert read_quarantine(front, other)['ends'] == 0
    assert front.send_request(other, '/match/1', body=DEADLY)[0] == 503
    assert count_crashed(front) == 3
