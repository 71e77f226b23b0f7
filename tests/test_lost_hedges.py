"""A replica's wish in answer to an attempt that another one was faster than.

A replica was silent, so a second attempt was made beside the first, and
answered.  The first was broken off, and its replica's answer, 503 with the wish
for 1.5 s or 3 s of rest, was read by nobody: the node sent 3 to 11 requests in
that rest.  The node's log of one of them, 40 ms apart, with no ``rest_asked``:

    event=attempt attempt=1 box=m1 age=0.0
    event=silent attempt=1 box=m1 age=0.402
    event=hedged attempt=1 box=m1 age=0.402
    event=answered attempt=2 box=m3 age=0.447 status=200
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import pytest

from waywell.standins.harness import Process, wait_until

if TYPE_CHECKING:
    from tests.front_bench import Front
    from tests.house import Server

LONG_REST = '600'
"""Seconds of rest that outlast every test."""

REQUESTS = 12
"""Of which some would go to a replica that is one of two."""


def read_backpressure(front: Front, node: Process) -> dict[str, Any]:
    _status, raw = front.get(node, 'metrics_port', '/v1/status')
    backpressure: dict[str, Any] = json.loads(raw)['backpressure']
    return backpressure


def lose_hedge(front: Front, node: Process, server: Server) -> None:
    """Ask until a replica is silent and another one answers in its place."""
    server.goes_on.clear()
    server.rest_text = LONG_REST
    server.script.append('late-rest')

    def ask() -> bool:
        assert front.ask(node, '/stock/1')[0] == 200
        return not server.script

    wait_until(ask, f'a request to {server.name}')


@pytest.mark.parametrize('is_leaving', [False, True])
def test_the_wish_of_a_replica_that_lost_a_hedge_is_kept(
    front: Front, is_leaving: bool
) -> None:
    node = front.start()
    front.wait_serving(node)
    server = front.servers['a1']
    lose_hedge(front, node, server)
    server.is_leaving = is_leaving
    server.goes_on.set()
    kind = 'leaving' if is_leaving else 'resting'
    wait_until(
        lambda: 'a1' in read_backpressure(front, node)[kind],
        'the wish',
    )
    before = server.arrivals
    for _request in range(REQUESTS):
        assert front.ask(node, '/stock/1')[0] == 200
    assert server.arrivals == before
