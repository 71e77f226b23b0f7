"""Replicas that announce in their answers that they are leaving.

A replica that is shutting down announces it in all its answers, often before
the box list shows it.  If a node sends requests to it until its own box list
has changed, the replica ends while they run.
"""

from __future__ import annotations

import asyncio

from tests.forwarder_harness import ForwarderHarness
from tests.front_harness import WHOLE_STREAM, FrontHarness
from waywell.request.decoded_request import AnswerMetadata
from waywell.standins.harness import wait_until

REQUESTS = 12
"""Enough requests that some would go to either of two replicas."""


def test_plain_replica_that_announces_leaving_gets_no_requests(
    front: FrontHarness,
) -> None:
    node = front.start()
    front.wait_serving(node)
    leaving = front.servers['a1']
    leaving.is_leaving = True

    def ask() -> bool:
        assert front.send_request(node, '/stock/1')[0] == 200
        return bool(leaving.arrival_count)

    wait_until(ask, 'the replica to announce that it leaves')
    for _request in range(REQUESTS):
        assert front.send_request(node, '/stock/1')[0] == 200
    # The box list does not show yet that it leaves.
    assert leaving.entry['state'] == 'ready'
    assert leaving.arrival_count == 1


def test_group_whose_head_announces_leaving_gets_no_requests(
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
        return bool(leaving.arrival_count)

    wait_until(ask, 'the replica to announce that it leaves')
    for _request in range(REQUESTS):
        assert front.send_request(node, '/notes/1', 'small')[:2] == (
            200,
            WHOLE_STREAM,
        )
    assert leaving.arrival_count == 1


def test_requests_are_refused_at_once_if_all_replicas_leave(
    front: FrontHarness,
) -> None:
    node = front.start()
    front.wait_serving(node)
    servers = [front.servers[name] for name in ('a1', 'a2')]
    for server in servers:
        server.is_leaving = True

    def ask() -> bool:
        front.send_request(node, '/stock/1')
        return all(server.arrival_count for server in servers)

    wait_until(ask, 'both servers to announce that they leave')
    before = sum(server.arrival_count for server in servers)
    status, _body, answer = front.send_request(node, '/match/1')
    assert status == 503
    assert float(answer.headers['Retry-After']) > 0
    assert sum(server.arrival_count for server in servers) == before


def test_running_stream_on_a_leaving_replica_continues(
    harness: ForwarderHarness,
) -> None:
    leaving_mark = AnswerMetadata('a1', is_leaving=True)

    async def play() -> None:
        task = await harness.submit()
        (stream,) = harness.attempts
        await harness.deliver_head(stream, metadata=leaving_mark)
        await harness.deliver_events(stream, 1, 2)
        await harness.deliver_end(stream)
        await task

    asyncio.run(play())
    assert harness.answer.end == 'complete'
    assert len(harness.attempts) == 1
