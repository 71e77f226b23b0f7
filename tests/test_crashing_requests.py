"""Requests that crash each replica that begins to run them.

One caller repeated a request that crashed every replica which began to run
it.  An entry box knew a request by the id of the caller's attempt only, and
each repeat had another, so every repeat at every entry box was sent to as
many replicas as its route allows.  Within 12 s 19 replicas ended so, each of
them with 3 to 32 requests in flight, and for 6 s two of three requests of
that kind were late, refused or failed.  The lines of those ends settled it:
among the requests that were cut at an end there was always one to the same
path, whatever the box, and it was given up with no more sends than allowed:

    event=failed attempt=1 box=i-8a9077ad0c last_event=None why=cut
    event=given_up code=3002 sends=1 begun=False age=0.275
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import pytest

from tests.front_bench import Front
from tests.house import Server, make_manifest
from waywell.codes import Code
from waywell.standins.harness import wait_until

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

    from waywell.standins.harness import Process

DEADLY = b'{"a": "what no replica survives"}'

REPLICAS = 20
"""More than all repeats of the tests can end: two for each of eight."""

REPEATS = 4
"""Repeats at each entry box."""

MOST_ENDED = 6
"""Replicas that may end: three until the cause is known for sure, and the
three retries beyond that the users bear."""


@pytest.fixture
def front(tmp_path: Path) -> Iterator[Front]:
    made = Front(tmp_path)
    yield made
    made.close()


def start(front: Front) -> list[Process]:
    """Start two entry boxes before plain replicas."""
    for number in range(REPLICAS):
        server = Server(front.store, f'a{number}', 'app')
        server.deadly_body = DEADLY
        front.servers[server.name] = server
    front.store.put('config', 'main', make_manifest())
    nodes = [front.start(f'front-{number}') for number in (1, 2)]
    for node in nodes:
        wait_serving(front, node)
    return nodes


def wait_serving(front: Front, node: Process) -> None:
    """Wait until a node is ready and sees all replicas that are listed."""
    wait_until(lambda: front.is_ready(node), 'readiness')

    def sees_all() -> bool:
        _status, raw = front.get(node, 'metrics_port', '/dump')
        return bool(json.loads(raw)['serving']['app/'] == REPLICAS)

    wait_until(sees_all, 'all replicas')


def end_three(front: Front, node: Process) -> None:
    """Let three replicas end under requests at one node."""
    for _repeat in range(3):
        assert front.ask(node, '/match/1', body=DEADLY)[0] == 502


def read_quarantine(front: Front, node: Process) -> dict[str, Any]:
    _status, raw = front.get(node, 'metrics_port', '/dump')
    found: dict[str, Any] = json.loads(raw)['quarantine']
    return found


def wait_told(front: Front, nodes: list[Process]) -> None:
    """Wait until all nodes know of each end."""
    for node in nodes:
        wait_until(
            lambda node=node: (
                read_quarantine(front, node)['ends'] == count_ended(front)
            ),
            'the word of each end',
        )


def count_ended(front: Front) -> int:
    return sum(server.has_ended for server in front.servers.values())


@pytest.mark.parametrize('path', ['/stock/1', '/match/1'])
def test_a_request_that_crashes_replicas_is_sent_to_few(
    front: Front,
    path: str,
) -> None:
    nodes = start(front)
    for _repeat in range(REPEATS):
        for node in nodes:
            status, _body, _answer = front.ask(node, path, body=DEADLY)
            assert status >= 500
    assert count_ended(front) <= MOST_ENDED
    # What others ask is served all the while.
    for node in nodes:
        assert front.ask(node, path)[0] == 200


def test_the_third_end_is_the_last_at_whatever_node(front: Front) -> None:
    nodes = start(front)
    for _repeat in range(REPEATS):
        for node in nodes:
            status, _body, answer = front.ask(node, '/match/1', body=DEADLY)
            wait_told(front, nodes)
    assert count_ended(front) == 3
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


def test_a_node_that_starts_later_knows_what_the_others_hold_back(
    front: Front,
) -> None:
    nodes = start(front)
    end_three(front, nodes[0])
    wait_told(front, nodes)
    later = front.start('front-3')
    wait_serving(front, later)
    wait_told(front, [later])
    assert front.ask(later, '/match/1', body=DEADLY)[0] == 503
    assert count_ended(front) == 3


def test_what_is_held_back_outlives_all_nodes(front: Front) -> None:
    nodes = start(front)
    end_three(front, nodes[0])
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
            'the request that is held back',
        )
        assert front.ask(node, '/match/1', body=DEADLY)[0] == 503
        assert front.ask(node, '/match/1')[0] == 200
    assert count_ended(front) == 3


def test_a_node_that_reaches_only_the_platform_learns_of_it_too(
    front: Front,
) -> None:
    """Two nodes that never meet, as halls that do not reach each other."""
    front.store.hidden.add('waywell-entries')
    one, other = start(front)
    end_three(front, one)
    wait_until(
        lambda: read_quarantine(front, other)['held'],
        'the request that is held back',
    )
    assert read_quarantine(front, other)['ends'] == 0
    assert front.ask(other, '/match/1', body=DEADLY)[0] == 503
    assert count_ended(front) == 3
