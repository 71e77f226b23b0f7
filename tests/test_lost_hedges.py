"""Answers to attempts that lost against a hedge still take effect.

When a hedge answers first, the attempt at the silent replica is dropped.  The
replica may still answer with 503 and ask for a pause of some seconds.  If the
head of that answer is not read, the node keeps sending requests during the
pause: 3 to 11 of them in pauses of 1.5 s and 3 s.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import pytest

from waywell.standins.harness import Process, wait_until

if TYPE_CHECKING:
    from tests.fake_platform import Server
    from tests.front_harness import FrontHarness

LONG_REST = '600'
"""Pause in seconds that is longer than any test."""

REQUESTS = 12
"""Number of requests of which some would reach either of two replicas."""


def read_backpressure(front: FrontHarness, node: Process) -> dict[str, Any]:
    _status, raw = front.get(node, 'metrics_port', '/v1/status')
    backpressure: dict[str, Any] = json.loads(raw)['backpressure']
    return backpressure


def lose_hedge(front: FrontHarness, node: Process, server: Server) -> None:
    """Send requests until a hedge answers in place of a silent replica."""
    server.unblocked.clear()
    server.retry_after = LONG_REST
    server.script.append('late-rest')

    def has_sent_rest() -> bool:
        assert front.send_request(node, '/stock/1')[0] == 200
        return not server.script

    wait_until(has_sent_rest, f'a request to {server.name}')


@pytest.mark.parametrize('is_leaving', [False, True])
def test_a_pause_asked_for_by_a_replica_that_lost_a_hedge_is_kept(
    front: FrontHarness, is_leaving: bool
) -> None:
    node = front.start()
    front.wait_serving(node)
    server = front.servers['a1']
    lose_hedge(front, node, server)
    server.is_leaving = is_leaving
    server.unblocked.set()
    kind = 'leaving' if is_leaving else 'resting'
    wait_until(
        lambda: 'a1' in read_backpressure(front, node)[kind],
        'the pause or departure of the replica',
    )
    before = server.arrival_count
    for _request in range(REQUESTS):
        assert front.send_request(node, '/stock/1')[0] == 200
    assert server.arrival_count == before
