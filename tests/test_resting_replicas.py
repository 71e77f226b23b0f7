"""Replicas that turn a request away and ask the node for rest.

Nine replicas turned all requests away for 5 s, and at least two of them asked
a node for 3 s of rest.  It did not read the wish: a replica that rejects
rested for 1 s of its own, each piece of a stream that still ran there took
that rest back, and where all replicas rested one of them was taken all the
same.  So the node sent four requests to each of the two within those 3 s, and
64 requests of all nodes were given up after two replicas that turned them
away.  A first choice 0.24 s after the word of the same replica, while others
were awake and two streams ran there, settled it:

    6.5046 event=rejected attempt=2 box=i-5d4fc7f206 age=0.012 status=503
    6.7415 event=attempt attempt=1 box=i-5d4fc7f206 age=0.0 load=2
    9.1286 event=attempt attempt=1 box=i-5d4fc7f206 age=0.0 load=1
"""

from __future__ import annotations

import asyncio
import time

from tests.forwarder_harness import ForwarderHarness
from tests.front_harness import FrontHarness
from tests.house import Server
from waywell.request.decoded_request import AnswerMetadata
from waywell.standins.harness import Process, wait_until

LONG_REST = '600'
"""Seconds of rest that outlast every test."""

OWN_REST_SECONDS = 1.2
"""After which a node's own rest for one rejection is over."""

REQUESTS = 12
"""Of which some would go to a replica that is one of two."""


def start(front: FrontHarness) -> Process:
    node = front.start()
    front.wait_serving(node)
    return node


def wait_rested(front: FrontHarness, node: Process, server: Server) -> None:
    """Ask until a replica has turned a request away for its rest."""
    server.rest_text = LONG_REST
    server.script.append('rest')

    def ask() -> bool:
        front.send_request(node, '/stock/1')
        return not server.script

    wait_until(ask, f'the wish of {server.name}')


def ask_all(front: FrontHarness, node: Process) -> None:
    for _request in range(REQUESTS):
        assert front.send_request(node, '/stock/1')[0] == 200


def test_the_rest_lasts_for_as_long_as_the_replica_asks(
    front: FrontHarness,
) -> None:
    node = start(front)
    resting = front.servers['a1']
    wait_rested(front, node, resting)
    before = resting.arrivals
    time.sleep(OWN_REST_SECONDS)
    ask_all(front, node)
    assert resting.arrivals == before


def test_a_stream_that_goes_on_takes_no_rest_back(
    harness: ForwarderHarness,
) -> None:
    asks_rest = AnswerMetadata('a1', is_rejected=True, rest_seconds=3.0)

    async def play() -> None:
        await harness.submit()
        (stream,) = harness.attempts
        await harness.deliver_head(stream)
        await harness.deliver_events(stream, 1)
        resting = stream.replica
        while (
            harness.attempts[-1].replica != resting
            or len(harness.attempts) < 2
        ):
            await harness.submit()
        await harness.deliver_head(
            harness.attempts[-1], status=503, metadata=asks_rest
        )
        await harness.deliver_events(stream, 2, 3)
        await harness.deliver_end(stream)
        for _request in range(REQUESTS):
            await harness.submit()
            assert harness.attempts[-1].replica != resting

    asyncio.run(play())


def test_where_all_ask_for_rest_callers_are_refused_at_once(
    front: FrontHarness,
) -> None:
    node = start(front)
    servers = [front.servers[name] for name in ('a1', 'a2')]
    for server in servers:
        server.rest_text = LONG_REST
        server.script.append('rest')
    front.send_request(node, '/stock/1')
    wait_until(
        lambda: not any(server.script for server in servers),
        'the wish of both',
    )
    before = sum(server.arrivals for server in servers)
    for path in ('/stock/1', '/match/1'):
        status, _body, answer = front.send_request(node, path)
        assert status == 503
        assert float(answer.headers['Retry-After']) > 0
    assert sum(server.arrivals for server in servers) == before


def test_a_replica_is_asked_again_when_its_rest_is_over(
    front: FrontHarness,
) -> None:
    node = start(front)
    servers = [front.servers[name] for name in ('a1', 'a2')]
    for server in servers:
        server.rest_text = '0.5'
        server.script.append('rest')
    front.send_request(node, '/stock/1')
    wait_until(
        lambda: front.send_request(node, '/stock/1')[0] == 200,
        'an answer after the rest',
    )
