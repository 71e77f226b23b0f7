"""Entry boxes that are partitioned from each other and from the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.checker import find_rollbacks
from tests.conftest import SHORT_TIMING
from tests.relay import Relay, reserve_port
from waywell.standins.harness import (
    BoxSpec,
    make_configuration,
    wait_until,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from waywell.standins.harness import Bench

NAMES = ('entry-1', 'entry-2', 'entry-3')


@pytest.fixture
def relays() -> Iterator[list[Relay]]:
    """Return a relay for each entry box."""
    started = [Relay() for _ in NAMES]
    yield started
    for relay in started:
        relay.close()


def start_with_relays(
    bench: Bench, relays: list[Relay], switch: str = ''
) -> None:
    """Start entry boxes that reach each other only through relays."""
    for name, relay in zip(NAMES, relays, strict=True):
        ports = {'peer_port': relay.target, 'shown_peer_port': relay.port}
        bench.start_entry(name, timing=SHORT_TIMING, node=ports, switch=switch)
    bench.start_boxes(
        [
            BoxSpec('box-1', labels={'pool': 'llm'}),
            BoxSpec('app-1', fenced=False, labels={'pool': 'app'}),
        ],
    )
    bench.apply(NAMES[0], make_configuration(boxes_per_group=1))
    for name in NAMES:
        bench.wait_serving(name, 'llm-main', 1)
        bench.wait_serving(name, 'app-main', 1)
        wait_until(
            lambda name=name: count_live(bench, name) == 3,
            'the other entry boxes',
        )


def count_live(bench: Bench, name: str) -> int:
    boxes = bench.read_status(name)['entry_boxes']
    return sum(box['state'] == 'live' for box in boxes)


def read_number(bench: Bench, name: str) -> int:
    answer = bench.get_admin(name).call('GET', '/v1/configuration')
    return int(answer.read_json()['number'])


def send_request(bench: Bench, name: str, service: str) -> tuple[int, str]:
    answer = bench.get_caller(name).call(f'/services/{service}/x')
    return answer.status, answer.headers.get('waywell-ran', '')


def test_partitions_converge_to_the_highest_version(
    bench: Bench,
    relays: list[Relay],
) -> None:
    start_with_relays(bench, relays)
    for relay in relays:
        relay.cut()
    for name in NAMES:
        wait_until(
            lambda name=name: count_live(bench, name) == 1, 'the partition'
        )
    answer = bench.apply(NAMES[1], make_configuration(boxes_per_group=1))
    number = answer.read_json()['number']
    for name in NAMES:
        assert send_request(bench, name, 'llm')[0] == 200
        assert send_request(bench, name, 'app')[0] == 200
    for relay in relays:
        relay.restore()
    for name in NAMES:
        wait_until(
            lambda name=name: count_live(bench, name) == 3,
            'the end of the partition',
        )
        wait_until(
            lambda name=name: read_number(bench, name) == number,
            f'{name} to have {number}',
        )
    assert find_rollbacks(bench.read_history('history-*.jsonl')) == []


def test_isolated_nodes_stop_serving_targets_without_fencing(
    bench: Bench,
    relays: list[Relay],
) -> None:
    """Fenced targets are still served; others only until the term ends."""
    start_with_relays(bench, relays)
    bench.set_platform_faults(outage=True)
    for relay in relays:
        relay.cut()
    for name in NAMES:
        wait_until(
            lambda name=name: (
                send_request(bench, name, 'app') == (503, 'not_run')
            ),
            f'{name} to stop serving unfenced targets',
        )
        assert send_request(bench, name, 'llm')[0] == 200
    for relay in relays:
        relay.restore()
    for name in NAMES:
        wait_until(
            lambda name=name: send_request(bench, name, 'app')[0] == 200,
            f'{name} to serve again, with the platform still down',
        )


def test_isolated_nodes_without_a_route_term_keep_serving(
    bench: Bench,
    relays: list[Relay],
) -> None:
    """Control for the test above: without the term limit it would fail."""
    start_with_relays(bench, relays, switch='route_for_ever')
    bench.set_platform_faults(outage=True)
    for relay in relays:
        relay.cut()
    dump = bench.get_admin(NAMES[0])
    wait_until(
        lambda: (
            dump.call('GET', '/v1/dump').read_json()['platform_age']
            > SHORT_TIMING['route_term'] * 1.5
        ),
        'the term to pass',
    )
    assert count_live(bench, NAMES[0]) == 1
    assert send_request(bench, NAMES[0], 'app')[0] == 200


def test_separately_started_clusters_merge_through_the_platform(
    bench: Bench,
) -> None:
    """Each of two pairs knows only itself until the platform is reachable."""
    bench.set_platform_faults(outage=True)
    ports = {name: reserve_port() for name in ('a1', 'a2', 'b1', 'b2')}
    for name, port in ports.items():
        seed = name[0] + ('2' if name[1] == '1' else '1')
        bench.start_entry(
            name,
            hall=f'hall-{name[0]}',
            timing=SHORT_TIMING,
            node={'peer_port': port},
            top_level={'seeds': [f'127.0.0.1:{ports[seed]}']},
        )
    for name in ports:
        wait_until(
            lambda name=name: count_live(bench, name) == 2,
            'the other of the pair',
        )
    bench.set_platform_faults(outage=False)
    for name in ports:
        wait_until(
            lambda name=name: count_live(bench, name) == 4, 'all entry boxes'
        )
