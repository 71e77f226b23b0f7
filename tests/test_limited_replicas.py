"""Front daemons keep the limits that replicas report.

A replica reports a limit for all nodes together, but each node knows only its
own requests.  Without permits shared by the nodes, replicas with a limit of 1
request a second got 12 and 15 requests within 4 s, where 11 are allowed; one
node alone sent 7 of 14.  Permits come from the replica's two issuers, so that
neither rates nor bursts add up over the nodes.
"""

from __future__ import annotations

import itertools
import time
from typing import TYPE_CHECKING

import pytest

from tests.limits import KNOWN_SECONDS, count_allowed, count_most

if TYPE_CHECKING:
    from tests.fake_platform import Server
    from tests.front_harness import FrontHarness
    from waywell.standins.harness import Process

LIMIT = 0.5
"""Limit that a replica reports, in requests a second."""

REQUESTS = 60
"""Requests sent; without a limit, each of two replicas would get half."""


def start_nodes(front: FrontHarness, count: int = 3) -> list[Process]:
    nodes = [front.start(f'front-{number}') for number in range(count)]
    for node in nodes:
        front.wait_serving(node)
    return nodes


def report_limit(
    front: FrontHarness, nodes: list[Process], servers: list[Server]
) -> float:
    """Report the limits to every node; return when they must hold."""
    for server in servers:
        server.server_limit = str(LIMIT)
    reported_at = time.monotonic()
    for node in nodes:
        for _request in range(6):
            front.send_request(node, '/stock/1')
    time.sleep(max(0.0, reported_at + KNOWN_SECONDS - time.monotonic()))
    return time.monotonic()


def send_round_robin(
    front: FrontHarness, nodes: list[Process]
) -> list[tuple[int, str]]:
    """Send requests to the nodes in turn; return statuses and retry times."""
    answers = []
    cycle = itertools.cycle(nodes)
    for _request, node in zip(range(REQUESTS), cycle, strict=False):
        status, _body, answer = front.send_request(node, '/stock/1')
        answers.append((status, answer.headers.get('Retry-After', '')))
    return answers


def count_after(server: Server, moment: float) -> int:
    return count_most([at for at, _attempt in server.arrivals if at >= moment])


@pytest.mark.parametrize('is_even', [True, False])
def test_all_nodes_together_keep_the_limit_of_a_replica(
    front: FrontHarness, is_even: bool
) -> None:
    nodes = start_nodes(front)
    limited = front.servers['a1']
    effective_at = report_limit(front, nodes, [limited])
    answers = send_round_robin(front, nodes if is_even else nodes[:1])
    assert {status for status, _retry_after in answers} == {200}
    assert count_after(limited, effective_at) <= count_allowed(LIMIT)


def test_requests_above_the_limits_of_all_replicas_are_refused(
    front: FrontHarness,
) -> None:
    nodes = start_nodes(front)
    limited = [front.servers[name] for name in ('a1', 'a2')]
    effective_at = report_limit(front, nodes, limited)
    answers = send_round_robin(front, nodes)
    for server in limited:
        assert count_after(server, effective_at) <= count_allowed(LIMIT)
    refused = [retry_after for status, retry_after in answers if status == 503]
    assert refused
    assert all(float(retry_after) > 0 for retry_after in refused)
    assert {status for status, _retry_after in answers} <= {200, 503}
