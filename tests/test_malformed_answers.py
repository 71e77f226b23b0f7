"""Callers of the front daemon never get an answer with a malformed head."""

from __future__ import annotations

import http.client
import itertools
import re
import socket
import threading
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest
from hypothesis import given

from tests.drawn_heads import draw_response
from tests.fake_platform import EVENTS, HOST, KEY
from tests.front_harness import CALL_SECONDS, WHOLE_STREAM, FrontHarness
from tests.raw_heads import (
    MALFORMED_HEADS,
    PLAIN_BODY,
    UNUSUAL_HEADS,
    FixedAnswer,
    RawAnswer,
)
from tests.strict_reader import Response, read_response
from tests.unhedged_front import (
    make_routes,
    script_next,
    start_front,
    start_partitioned_front,
)
from waywell.standins.harness import Process, wait_until

if TYPE_CHECKING:
    from collections.abc import Iterator

ZERO_STATUS = RawAnswer(b'HTTP/1.1 000 Odd')

ZERO_STATUS_STREAM = replace(
    ZERO_STATUS,
    fields=(b'content-type: text/event-stream',),
    framing=(b'connection: close',),
    body=WHOLE_STREAM,
)

REPLICAS = 2
"""Number of replicas that a request may be sent to."""

_versions = itertools.count(2)


@pytest.fixture(scope='module')
def running(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[tuple[FrontHarness, Process]]:
    with start_front(FrontHarness(tmp_path_factory.mktemp('front'))) as made:
        yield made


@pytest.fixture
def served(
    running: tuple[FrontHarness, Process],
) -> Iterator[tuple[FrontHarness, Process]]:
    """Return a node and servers without scripts or recorded runs."""
    front, _process = running
    script_next(front)
    clear_runs(front)
    yield running
    front.store.raw_answer = None
    for server in front.servers.values():
        server.unblocked.set()


def clear_runs(front: FrontHarness) -> None:
    for server in front.servers.values():
        server.runs.clear()


def count_runs(front: FrontHarness) -> int:
    """Return the number of requests that ran, and forget them."""
    count = len(front.list_runs(*front.servers))
    clear_runs(front)
    return count


def read_log(
    front: FrontHarness, event: str, node: str = 'front-1'
) -> list[str]:
    """Return the lines of an event in the log of a node."""
    log = (front.folder / f'{node}.log').read_text(encoding='utf-8')
    return [line for line in log.splitlines() if f'event={event} ' in line]


@pytest.mark.parametrize('name', MALFORMED_HEADS)
def test_a_request_that_may_not_run_again_fails(
    served: tuple[FrontHarness, Process], name: str
) -> None:
    front, process = served
    script_next(front, MALFORMED_HEADS[name])
    status, body, answer = front.send_request(process, '/match/1')
    assert status == 502
    assert PLAIN_BODY not in body
    assert answer.getheader('waywell-ran') == 'may_have_run'
    assert answer.getheader('X-Replica-Stamp') is None
    assert answer.getheader('x-note') is None
    assert count_runs(front) == 1


@pytest.mark.parametrize('name', MALFORMED_HEADS)
def test_a_request_that_may_run_again_is_answered_by_another_replica(
    served: tuple[FrontHarness, Process], name: str
) -> None:
    front, process = served
    script_next(front, MALFORMED_HEADS[name])
    status, body, answer = front.send_request(process, '/stock/1')
    assert (status, body) == (200, PLAIN_BODY)
    assert answer.getheader('x-note') is None
    assert count_runs(front) == REPLICAS


@pytest.mark.parametrize('name', UNUSUAL_HEADS)
def test_an_unusual_answer_is_passed_on(
    served: tuple[FrontHarness, Process], name: str
) -> None:
    front, process = served
    script_next(front, UNUSUAL_HEADS[name])
    status, body, answer = front.send_request(process, '/match/1')
    assert (status, body) == (200, PLAIN_BODY)
    assert answer.getheader('X-Replica-Stamp').startswith('stamp-of-a')
    assert answer.version == 11
    assert count_runs(front) == 1


@pytest.mark.parametrize('share', [0.0, 0.1, 0.5, 0.9, 0.99])
def test_a_head_that_stops_early_fails(
    served: tuple[FrontHarness, Process], share: float
) -> None:
    front, process = served
    whole = RawAnswer(framing=(b'connection: close',))
    headers = {
        'X-Request-Attempt-Id': 'attempt-1',
        'X-Replica-Stamp': 'stamp-of-a1',
    }
    size = int(len(whole.encode_head(headers)) * share)
    script_next(front, replace(whole, sent=size))
    status, body, answer = front.send_request(process, '/match/1')
    assert status == 502
    assert PLAIN_BODY not in body
    assert answer.getheader('waywell-ran') == 'may_have_run'
    assert answer.getheader('X-Replica-Stamp') is None


def test_a_request_that_each_replica_answers_malformed_fails(
    served: tuple[FrontHarness, Process],
) -> None:
    front, process = served
    script_next(front, *(ZERO_STATUS for _send in range(REPLICAS)))
    assert front.send_request(process, '/stock/1')[0] == 502
    assert count_runs(front) == REPLICAS


def test_a_malformed_answer_that_states_not_run_is_not_believed(
    served: tuple[FrontHarness, Process],
) -> None:
    """The caller must not take its request for one that never ran."""
    front, process = served
    claims_not_run = RawAnswer(
        b'HTTP/2.0 503 Busy',
        fields=(b'X-Not-Executed: 1', b'Retry-After: 1'),
    )
    script_next(front, claims_not_run)
    status, _body, answer = front.send_request(process, '/match/1')
    assert status == 502
    assert answer.getheader('Retry-After') is None
    assert count_runs(front) == 1


@pytest.mark.parametrize('route', ['notes', 'once'])
def test_a_stream_with_a_malformed_head_is_not_begun(
    served: tuple[FrontHarness, Process], route: str
) -> None:
    front, process = served
    script_next(front, ZERO_STATUS_STREAM)
    status, body, _answer = front.send_request(
        process, f'/{route}/1', model='small'
    )
    if route == 'once':
        assert status == 502
    else:
        assert (status, body) == (200, WHOLE_STREAM)
    assert count_runs(front) == (1 if route == 'once' else REPLICAS)


def test_a_stream_is_not_resumed_by_a_malformed_answer(
    served: tuple[FrontHarness, Process],
) -> None:
    front, process = served
    script_next(front, f'cut-{EVENTS}', ZERO_STATUS_STREAM)
    with pytest.raises(http.client.IncompleteRead) as truncated:
        front.send_request(process, '/notes/1', model='small')
    assert WHOLE_STREAM.startswith(truncated.value.partial)
    assert count_runs(front) == REPLICAS


def test_a_malformed_hedge_does_not_answer_a_request(
    served: tuple[FrontHarness, Process],
) -> None:
    """The silent attempt that was hedged answers instead."""
    front, process = served
    for server in front.servers.values():
        server.unblocked.clear()
    before = len(read_log(front, 'response_malformed'))
    script_next(front, 'wait-1', ZERO_STATUS_STREAM)

    def release() -> None:
        wait_until(
            lambda: len(read_log(front, 'response_malformed')) > before,
            'the malformed hedge',
        )
        for server in front.servers.values():
            server.unblocked.set()

    releasing = threading.Thread(target=release)
    releasing.start()
    status, body, _answer = front.send_request(
        process, '/hedged/1', model='small'
    )
    releasing.join()
    assert (status, body) == (200, WHOLE_STREAM)
    assert count_runs(front) == REPLICAS


def test_a_malformed_answer_is_logged_with_its_reason(
    served: tuple[FrontHarness, Process],
) -> None:
    front, process = served
    script_next(front, RawAnswer(fields=(b'x-note: a\x00b',)))
    path = '/match/logged'
    assert front.send_request(process, path)[0] == 502
    malformed = read_log(front, 'response_malformed')[-1]
    ports = {
        server.get_port()
        for name, server in front.servers.items()
        if name.startswith('a')
    }
    found = re.search(r'server=127\.0\.0\.1:(\d+) reason=(\w+)', malformed)
    assert found is not None
    assert int(found.group(1)) in ports
    assert found.group(2) == 'field_value'
    assert 'why=malformed' in read_log(front, 'failed')[-1]


DRAWN_HEADERS = {
    'X-Request-Attempt-Id': 'drawn',
    'X-Replica-Stamp': 'stamp-of-drawn',
}


def read_caller_bytes(process: Process) -> bytes:
    """Return all bytes that a caller gets until its connection ends."""
    request = (
        f'POST /match/1 HTTP/1.1\r\nHost: {HOST}\r\n'
        'X-Request-Attempt-Id: drawn\r\nX-Deadline-Ms: 8000\r\n'
        f'Authorization: Bearer {KEY}\r\n'
        'Connection: close\r\nContent-Length: 0\r\n\r\n'
    )
    address = ('127.0.0.1', process.ports['caller_port'])
    received = b''
    with socket.create_connection(address, CALL_SECONDS) as caller:
        caller.sendall(request.encode())
        while piece := caller.recv(65_536):
            received += piece
    return received


def belongs_to_request(response: Response) -> bool:
    """Return whether a response names the drawn request."""
    return response.find(b'x-request-attempt-id') == b'drawn'


@given(raw=draw_response(DRAWN_HEADERS))
def test_a_caller_reads_a_valid_answer_or_a_visible_failure(
    running: tuple[FrontHarness, Process], raw: bytes
) -> None:
    front, process = running
    script_next(front, FixedAnswer(raw=raw))
    seen = read_response(read_caller_bytes(process))
    sent = read_response(raw)
    assert seen is not None
    assert seen.is_complete
    if sent is None or not sent.is_complete or not belongs_to_request(sent):
        assert seen.status == 502
        assert seen.find(b'waywell-ran') == b'may_have_run'
        assert seen.find(b'x-replica-stamp') is None
    else:
        assert (seen.status, seen.body) == (sent.status, sent.body)
        assert set(sent.fields) <= set(seen.fields)


def test_a_store_that_answers_malformed_counts_as_lost(
    served: tuple[FrontHarness, Process],
) -> None:
    front, process = served
    before = len(read_log(front, 'platform_lost'))
    listed = b'{"items": [], "has_more": false, "current_rev": 1}'
    front.store.raw_answer = RawAnswer(
        b'HTTP/1.1 000 Odd',
        framing=(b'content-length: %d' % len(listed),),
        body=listed,
    )
    wait_until(
        lambda: len(read_log(front, 'platform_lost')) > before,
        'the loss of the store',
    )
    assert front.send_request(process, '/stock/1')[0] == 200
    front.store.raw_answer = None
    version = next(_versions)
    manifest = make_routes(version)
    fresh = {'name': 'fresh', 'path_prefix': f'/fresh-{version}/'}
    manifest['routes'].append({**manifest['routes'][2], **fresh})
    front.store.put('config', 'main', manifest)
    wait_until(
        lambda: front.send_request(process, f'/fresh-{version}/1')[0] == 200,
        'the new route',
    )
    front.wait_serving(process)


def test_an_order_with_a_malformed_answer_is_not_taken_as_accepted(
    front: FrontHarness,
) -> None:
    """No group serves while boxes only seem to accept its orders."""
    malformed = RawAnswer(
        b'HTTP/1.1 000 Odd', framing=(b'content-length: 0',), body=b''
    )
    for server in front.servers.values():
        server.raw_answers['/api/order'] = malformed
    process = front.start()
    for _call in range(4):
        assert malformed.sent_count.acquire(timeout=30)
    assert front.count_serving_groups(process) == 0
    for server in front.servers.values():
        server.raw_answers.clear()
    front.wait_serving(process)


@pytest.fixture(params=['waywell.platform', 'tests.unchecked_front'])
def partitioned(
    front: FrontHarness, request: pytest.FixtureRequest
) -> Iterator[tuple[FrontHarness, Process, str]]:
    """Return a node that reaches replicas only through a peer.

    The peer is of this release, or passes malformed answers on.  The name of
    the node that has to reject them is returned as well.
    """
    module = request.param
    rejecting = 'front-1' if module == 'waywell.platform' else 'front-3'
    with start_partitioned_front(front, module) as process:
        # Links are diagnosed for each service.
        wait_until(
            lambda: front.send_request(process, '/stock/1')[0] == 200,
            'plain requests that are forwarded through the peer',
        )
        yield front, process, rejecting


PASSED_ON = ('000', '600', "value b'\\x01'", "value b'\\x7f'")
"""Malformed heads that a peer of an earlier release passes on."""


def test_a_malformed_answer_behind_a_peer_fails_at_the_caller(
    partitioned: tuple[FrontHarness, Process, str],
) -> None:
    front, process, rejecting = partitioned
    for name in PASSED_ON:
        clear_runs(front)
        script_next(front, MALFORMED_HEADS[name])
        status, body, answer = front.send_request(process, '/match/1')
        assert (name, status) == (name, 502)
        assert PLAIN_BODY not in body
        assert answer.getheader('waywell-ran') == 'may_have_run'
        assert count_runs(front) == 1
    lines = read_log(front, 'response_malformed', rejecting)
    assert len(lines) == len(PASSED_ON)
