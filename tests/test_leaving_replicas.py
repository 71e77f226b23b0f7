"""Replicas that say in their answers that they leave.

A replica that is about to end says so in all its answers, often before the
list of boxes shows it.  A node that goes on sending to it until its own list
has changed has requests reach a replica that ends under them.
"""

from __future__ import annotations

import asyncio

from tests.forwarder_harness import ForwarderHarness
from tests.front_harness import WHOLE_STREAM, FrontHarness
from waywell.request.decoded_request import AnswerMetadata
from waywell.standins.harness import wait_until

REQUESTS = 12
"""Of which some would go to a replica that is one of two."""


def test_a_plain_replica_that_says_so_gets_nothing_more(
    front: FrontHarness,
) -> None:
    node = front.start()
    front.wait_serving(node)
    leaving = front.servers['a1']
    leaving.is_leaving = True

    def ask() -> bool:
        assert front.send_request(node, '/stock/1')[0] == 200
        return bool(leaving.arrivals)

    wait_until(ask, 'its word')
    for _request in range(REQUESTS):
        assert front.send_request(node, '/stock/1')[0] == 200
    # The list shows it as before.
    assert leaving.entry['state'] == 'ready'
    assert leaving.arrivals == 1


def test_a_group_whose_head_says_so_gets_nothing_more(
    front: FrontHarness,
) -> None:
    node = front.start()
    front.wait_serving(node)
    leaving = front.list_heads()[0]
    leaving.is_leaving = True

    def ask() -> bool:
        assert front.send_request(node, '/notes/1', 'small')[:2] == (
            200,
            WHOLE_STREAM,
        )
        return bool(leaving.arrivals)

    wait_until(ask, 'its word')
    for _request in range(REQUESTS):
        assert front.send_request(node, '/notes/1', 'small')[:2] == (
            200,
            WHOLE_STREAM,
        )
    assert leaving.arrivals == 1


def test_where_all_leave_callers_are_refused_at_once(
    front: FrontHarness,
) -> None:
    node = front.start()
    front.wait_serving(node)
    servers = [front.servers[name] for name in ('a1', 'a2')]
    for server in servers:
        server.is_leaving = True

    def ask() -> bool:
        front.send_request(node, '/stock/1')
        return all(server.arrivals for server in servers)

    wait_until(ask, 'the word of both')
    before = sum(server.arrivals for server in servers)
    status, _body, answer = front.send_request(node, '/match/1')
    assert status == 503
    assert float(answer.headers['Retry-After']) > 0
    assert sum(server.arrivals for server in servers) == before


def test_a_stream_that_runs_at_a_replica_that_leaves_goes_on(
    harness: ForwarderHarness,
) -> None:
    says_so = AnswerMetadata('a1', is_leaving=True)

    async def play() -> None:
        task = await harness.submit()
        (stream,) = harness.attempts
        await harness.deliver_head(stream, metadata=says_so)
        await harness.deliver_events(stream, 1, 2)
        await harness.deliver_end(stream)
        await task

    asyncio.run(play())
    assert harness.answer.end == 'complete'
    assert len(harness.attempts) == 1
