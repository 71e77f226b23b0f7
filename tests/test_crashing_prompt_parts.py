"""Prompt parts that crash every replica which starts to answer them.

Guards against a quarantine that counts crashes by whole request only.  No two
of the requests here are equal, so such a quarantine would start from zero with
each of them.
"""

from __future__ import annotations

import json
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import pytest

from tests.fake_platform import Server, make_manifest
from tests.front_harness import FrontHarness
from tests.test_crashing_requests import (
    REPLICAS,
    count_crashed,
    read_quarantine,
    wait_crashes_known,
    wait_serving,
)
from waywell.codes import Code
from waywell.standins.harness import wait_until

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

    from waywell.standins.harness import Process

BAD = 'bad0'
"""Prompt part that crashes replicas."""

SYSTEM = 'f0'
"""First prompt part of all requests, for example the system prompt."""

REQUESTS = 12
"""Number of requests with the bad part, more than replicas may crash."""

MAX_CRASHES = 8
"""Maximum number of crashes: five, and three of requests still under way."""


@pytest.fixture
def front(tmp_path: Path) -> Iterator[FrontHarness]:
    harness = FrontHarness(tmp_path)
    yield harness
    harness.close()


def start(front: FrontHarness, *bad: str) -> list[Process]:
    """Start two entry boxes and replicas that the given parts crash."""
    for number in range(REPLICAS):
        server = Server(front.store, f'a{number}', 'app')
        server.crashing_prompt_parts = frozenset(bad or (BAD,))
        server.entry['domain'] = f'd{number}'
        server.write_entry()
        front.servers[server.name] = server
    front.store.put('config', 'main', make_manifest())
    nodes = [front.start(f'front-{number}') for number in (1, 2)]
    for node in nodes:
        wait_serving(front, node)
    return nodes


def send_request(
    front: FrontHarness,
    node: Process,
    number: int,
    *parts: str,
    path: str = 'match',
) -> tuple[int, str | None]:
    """Send a distinct request; return its status and code."""
    entries = [*(f'{part}:40' for part in parts), f'{number + 4096:x}:9']
    status, _body, answer = front.send_request(
        node,
        f'/{path}/{number}',
        body=b'{"number": %d}' % number,
        X_Prompt_Prefix=','.join(entries),
    )
    return status, answer.getheader('waywell-code')


def crash_three(front: FrontHarness, nodes: list[Process]) -> None:
    """Crash three replicas by three consecutive requests."""
    for number in range(3):
        assert send_request(front, nodes[0], number, SYSTEM, BAD)[0] == 502
        wait_crashes_known(front, nodes)


@pytest.mark.parametrize('path', ['match', 'stock'])
def test_a_prompt_part_that_crashes_replicas_reaches_few_of_them(
    front: FrontHarness, path: str
) -> None:
    nodes = start(front)
    for number in range(REQUESTS):
        node = nodes[number % 2]
        send_request(
            front, node, number, SYSTEM, f'e{number:x}', BAD, path=path
        )
        # Harmless requests share the key, the route and the first part.
        harmless = send_request(
            front, node, 100 + number, SYSTEM, 'c1', path=path
        )
        assert harmless[0] == 200
    assert count_crashed(front) <= MAX_CRASHES
    wait_crashes_known(front, nodes)
    status, code = send_request(front, nodes[0], 50, SYSTEM, BAD, path=path)
    assert (status, code) == (503, str(int(Code.REQUEST_HELD_BACK)))


def test_concurrent_requests_with_a_bad_part_are_stopped(
    front: FrontHarness,
) -> None:
    nodes = start(front)
    assert send_request(front, nodes[0], 99, SYSTEM)[0] == 200
    with ThreadPoolExecutor(4) as pool:
        for number in range(2 * REQUESTS):
            node = nodes[number % 2]
            pool.submit(send_request, front, node, number, SYSTEM, BAD)
    assert count_crashed(front) <= MAX_CRASHES


def test_a_bad_first_part_is_found(front: FrontHarness) -> None:
    nodes = start(front)
    for number in range(REQUESTS):
        send_request(front, nodes[number % 2], number, BAD, f'e{number:x}')
    assert count_crashed(front) <= MAX_CRASHES
    assert send_request(front, nodes[0], 50, SYSTEM)[0] == 200


def test_two_bad_parts_are_both_found(front: FrontHarness) -> None:
    nodes = start(front, BAD, 'bad1')
    for number in range(REQUESTS):
        part = BAD if number % 2 else 'bad1'
        send_request(front, nodes[number % 2], number, SYSTEM, part)
        assert send_request(front, nodes[0], 100 + number, SYSTEM)[0] == 200
    assert count_crashed(front) <= 2 * MAX_CRASHES
    wait_crashes_known(front, nodes)
    for part in (BAD, 'bad1'):
        assert send_request(front, nodes[0], 50, SYSTEM, part)[0] == 503


def test_harmless_requests_are_served_after_the_part_is_held(
    front: FrontHarness,
) -> None:
    """No earlier request had the first part without the bad one."""
    nodes = start(front)
    for number in range(4):
        send_request(front, nodes[number % 2], number, SYSTEM, BAD)
        wait_crashes_known(front, nodes)
    for node in nodes:
        assert send_request(front, node, 50, SYSTEM, 'c1')[0] == 200
        assert send_request(front, node, 51, SYSTEM, BAD)[0] == 503


def test_a_request_rejected_by_replicas_clears_no_part(
    front: FrontHarness,
) -> None:
    nodes = start(front)
    for server in front.servers.values():
        server.rejected_path = '/match/malformed'
    for number in range(3):
        assert send_request(front, nodes[0], number, SYSTEM, BAD)[0] == 502
        wait_crashes_known(front, nodes)
        malformed = f'/match/malformed/{number}'
        status, *_rest = front.send_request(
            nodes[0], malformed, X_Prompt_Prefix=f'{BAD}:1,e4:1'
        )
        # The third crash holds the malformed requests back as well.
        assert status == (503 if number == 2 else 400)
    assert send_request(front, nodes[1], 50, SYSTEM, BAD)[0] == 503
    assert count_crashed(front) == 3


def test_a_node_that_starts_later_holds_the_part(front: FrontHarness) -> None:
    nodes = start(front)
    crash_three(front, nodes)
    later = front.start('front-3')
    wait_serving(front, later)
    wait_crashes_known(front, [later])
    assert send_request(front, later, 50, SYSTEM, BAD)[0] == 503
    assert send_request(front, later, 51, SYSTEM)[0] == 200
    assert count_crashed(front) == 3


def test_the_hold_on_a_part_survives_the_loss_of_all_nodes(
    front: FrontHarness,
) -> None:
    nodes = start(front)
    crash_three(front, nodes)
    wait_until(
        lambda: front.store.list_names('waywell-held-requests'), 'the record'
    )
    for node in nodes:
        node.kill()
    for number in (1, 2):
        node = front.start(f'later-{number}')
        wait_serving(front, node)
        wait_until(
            lambda node=node: read_quarantine(front, node)['held'],
            'the hold on the part',
        )
        assert send_request(front, node, 50 + number, SYSTEM, BAD)[0] == 503
        assert send_request(front, node, 60 + number, SYSTEM)[0] == 200
    assert count_crashed(front) == 3


def test_a_node_that_reaches_only_the_platform_holds_the_part(
    front: FrontHarness,
) -> None:
    front.store.hidden_kinds.add('waywell-entries')
    first, other = start(front)
    crash_three(front, [first])
    wait_until(
        lambda: read_quarantine(front, other)['held'],
        'the hold on the part',
    )
    assert send_request(front, other, 50, SYSTEM, BAD)[0] == 503
    assert send_request(front, other, 51, SYSTEM)[0] == 200
    assert count_crashed(front) == 3


def test_the_status_shows_the_held_part(front: FrontHarness) -> None:
    nodes = start(front)
    crash_three(front, nodes)
    _status, raw = front.get(nodes[1], 'metrics_port', '/v1/status')
    shown = json.loads(raw)['held_requests']
    assert shown[f'part-{BAD}']['ends'] == 3
