"""Replicas that reject a request and ask the node for a rest period.

The tests guard against nodes that ignore the rest period.  Two of nine
replicas that rejected all requests asked a node for 3 s of rest, and it sent
four requests to each of them within the 3 s.  The node used only its own
backoff of 1 s after a rejection; events of running streams ended that backoff,
and if all replicas were in backoff, one of them was chosen all the same.
"""

from __future__ import annotations

import asyncio
import time

from tests.fake_platform import Server
from tests.forwarder_harness import ForwarderHarness
from tests.front_harness import FrontHarness
from waywell.request.decoded_request import AnswerMetadata
from waywell.standins.harness import Process, wait_until

LONG_REST = '600'
"""Seconds of rest that outlast every test."""

BACKOFF_SECONDS = 1.2
"""Seconds after which a node's own backoff for one rejection has ended."""

REQUESTS = 12
"""Enough requests that some would go to either of two replicas."""


def start(front: FrontHarness) -> Process:
    node = front.start()
    front.wait_serving(node)
    return node


def request_rest(front: FrontHarness, node: Process, server: Server) -> None:
    """Make a replica ask for rest; send requests until it has rejected one."""
    server.retry_after = LONG_REST
    server.script.append('rest')

    def ask() -> bool:
        front.send_request(node, '/stock/1')
        return not server.script

    wait_until(ask, f'{server.name} to ask for rest')


def send_requests(front: FrontHarness, node: Process) -> None:
    for _request in range(REQUESTS):
        assert front.send_request(node, '/stock/1')[0] == 200


def test_rest_lasts_as_long_as_the_replica_asks(
    front: FrontHarness,
) -> None:
    node = start(front)
    resting = front.servers['a1']
    request_rest(front, node, resting)
    before = resting.arrival_count
    time.sleep(BACKOFF_SECONDS)
    send_requests(front, node)
    assert resting.arrival_count == before


def test_running_stream_does_not_end_the_rest(
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


def test_requests_are_refused_at_once_if_all_replicas_rest(
    front: FrontHarness,
) -> None:
    node = start(front)
    servers = [front.servers[name] for name in ('a1', 'a2')]
    for server in servers:
        server.retry_after = LONG_REST
        server.script.append('rest')
    front.send_request(node, '/stock/1')
    wait_until(
        lambda: not any(server.script for server in servers),
        'both servers to ask for rest',
    )
    before = sum(server.arrival_count for server in servers)
    for path in ('/stock/1', '/match/1'):
        status, _body, answer = front.send_request(node, path)
        assert status == 503
        assert float(answer.headers['Retry-After']) > 0
    assert sum(server.arrival_count for server in servers) == before


def test_replica_gets_requests_again_after_its_rest(
    front: FrontHarness,
) -> None:
    node = start(front)
    servers = [front.servers[name] for name in ('a1', 'a2')]
    for server in servers:
        server.retry_after = '0.5'
        server.script.append('rest')
    front.send_request(node, '/stock/1')
    wait_until(
        lambda: front.send_request(node, '/stock/1')[0] == 200,
        'an answer after the rest',
    )
