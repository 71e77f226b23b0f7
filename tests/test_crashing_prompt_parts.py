"""A part of a prompt that crashes each replica which begins to answer it.

No two of the requests are alike, so a quarantine by request starts from zero
with each of them.
"""

from __future__ import annotations

import json
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import pytest

from tests.front_bench import Front
from tests.house import Server, make_manifest
from tests.test_crashing_requests import (
    REPLICAS,
    count_ended,
    read_quarantine,
    wait_serving,
    wait_told,
)
from waywell.codes import Code
from waywell.standins.harness import wait_until

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

    from waywell.standins.harness import Process

BAD = 'bad0'
"""Part that crashes replicas."""

SYSTEM = 'f0'
"""First part of all requests."""

REQUESTS = 12
"""Requests with the bad part, more than all replicas that may end."""

MOST_CRASHES = 8
"""Five crashes, and the three requests that may follow them."""


@pytest.fixture
def front(tmp_path: Path) -> Iterator[Front]:
    made = Front(tmp_path)
    yield made
    made.close()


def start(front: Front, *bad: str) -> list[Process]:
    """Start two entry boxes before replicas that some parts crash."""
    for number in range(REPLICAS):
        server = Server(front.store, f'a{number}', 'app')
        server.deadly_parts = frozenset(bad or (BAD,))
        server.entry['domain'] = f'd{number}'
        server.write_entry()
        front.servers[server.name] = server
    front.store.put('config', 'main', make_manifest())
    nodes = [front.start(f'front-{number}') for number in (1, 2)]
    for node in nodes:
        wait_serving(front, node)
    return nodes


def ask(
    front: Front, node: Process, number: int, *parts: str, path: str = 'match'
) -> tuple[int, str | None]:
    """Send a request of its own; return its status and code."""
    named = [*(f'{part}:40' for part in parts), f'{number + 4096:x}:9']
    status, _body, answer = front.ask(
        node,
        f'/{path}/{number}',
        body=b'{"number": %d}' % number,
        X_Prompt_Prefix=','.join(named),
    )
    return status, answer.getheader('waywell-code')


def crash_three(front: Front, nodes: list[Process]) -> None:
    """Crash three replicas by three requests, one after the other."""
    for number in range(3):
        assert ask(front, nodes[0], number, SYSTEM, BAD)[0] == 502
        wait_told(front, nodes)


@pytest.mark.parametrize('path', ['match', 'stock'])
def test_a_prompt_part_that_crashes_replicas_is_sent_to_few(
    front: Front, path: str
) -> None:
    nodes = start(front)
    for number in range(REQUESTS):
        node = nodes[number % 2]
        ask(front, node, number, SYSTEM, f'e{number:x}', BAD, path=path)
        # Sound requests share the key, the route and the first part.
        sound = ask(front, node, 100 + number, SYSTEM, 'c1', path=path)
        assert sound[0] == 200
    assert count_ended(front) <= MOST_CRASHES
    wait_told(front, nodes)
    status, code = ask(front, nodes[0], 50, SYSTEM, BAD, path=path)
    assert (status, code) == (503, str(int(Code.REQUEST_HELD_BACK)))


def test_concurrent_requests_with_a_bad_part_are_stopped(front: Front) -> None:
    nodes = start(front)
    assert ask(front, nodes[0], 99, SYSTEM)[0] == 200
    with ThreadPoolExecutor(4) as pool:
        for number in range(2 * REQUESTS):
            node = nodes[number % 2]
            pool.submit(ask, front, node, number, SYSTEM, BAD)
    assert count_ended(front) <= MOST_CRASHES


def test_a_bad_first_part_is_found(front: Front) -> None:
    nodes = start(front)
    for number in range(REQUESTS):
        ask(front, nodes[number % 2], number, BAD, f'e{number:x}')
    assert count_ended(front) <= MOST_CRASHES
    assert ask(front, nodes[0], 50, SYSTEM)[0] == 200


def test_two_bad_parts_are_both_found(front: Front) -> None:
    nodes = start(front, BAD, 'bad1')
    for number in range(REQUESTS):
        part = BAD if number % 2 else 'bad1'
        ask(front, nodes[number % 2], number, SYSTEM, part)
        assert ask(front, nodes[0], 100 + number, SYSTEM)[0] == 200
    assert count_ended(front) <= 2 * MOST_CRASHES
    wait_told(front, nodes)
    for part in (BAD, 'bad1'):
        assert ask(front, nodes[0], 50, SYSTEM, part)[0] == 503


def test_sound_requests_that_begin_later_are_served(front: Front) -> None:
    """Nobody has asked for the first part without the bad one before."""
    nodes = start(front)
    for number in range(4):
        ask(front, nodes[number % 2], number, SYSTEM, BAD)
        wait_told(front, nodes)
    for node in nodes:
        assert ask(front, node, 50, SYSTEM, 'c1')[0] == 200
        assert ask(front, node, 51, SYSTEM, BAD)[0] == 503


def test_a_request_that_replicas_turn_down_clears_no_part(
    front: Front,
) -> None:
    nodes = start(front)
    for server in front.servers.values():
        server.turns_down = '/match/malformed'
    for number in range(3):
        assert ask(front, nodes[0], number, SYSTEM, BAD)[0] == 502
        wait_told(front, nodes)
        malformed = f'/match/malformed/{number}'
        status, *_rest = front.ask(
            nodes[0], malformed, X_Prompt_Prefix=f'{BAD}:1,e4:1'
        )
        # The third crash holds the malformed requests back as well.
        assert status == (503 if number == 2 else 400)
    assert ask(front, nodes[1], 50, SYSTEM, BAD)[0] == 503
    assert count_ended(front) == 3


def test_a_node_that_starts_later_stops_the_part(front: Front) -> None:
    nodes = start(front)
    crash_three(front, nodes)
    later = front.start('front-3')
    wait_serving(front, later)
    wait_told(front, [later])
    assert ask(front, later, 50, SYSTEM, BAD)[0] == 503
    assert ask(front, later, 51, SYSTEM)[0] == 200
    assert count_ended(front) == 3


def test_the_part_stays_stopped_after_all_nodes_were_killed(
    front: Front,
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
            'the part that is held back',
        )
        assert ask(front, node, 50 + number, SYSTEM, BAD)[0] == 503
        assert ask(front, node, 60 + number, SYSTEM)[0] == 200
    assert count_ended(front) == 3


def test_a_node_that_reaches_only_the_platform_stops_the_part(
    front: Front,
) -> None:
    front.store.hidden.add('waywell-entries')
    one, other = start(front)
    crash_three(front, [one])
    wait_until(
        lambda: read_quarantine(front, other)['held'],
        'the part that is held back',
    )
    assert ask(front, other, 50, SYSTEM, BAD)[0] == 503
    assert ask(front, other, 51, SYSTEM)[0] == 200
    assert count_ended(front) == 3


def test_operators_see_the_part(front: Front) -> None:
    nodes = start(front)
    crash_three(front, nodes)
    _status, raw = front.get(nodes[1], 'metrics_port', '/v1/status')
    shown = json.loads(raw)['held_requests']
    assert shown[f'part-{BAD}']['ends'] == 3
