"""Servers that send without end cost a front daemon neither memory nor work."""

from __future__ import annotations

import itertools
from collections import deque
from pathlib import Path
from typing import TYPE_CHECKING, Any

import pytest

from tests.endless_answers import (
    ENDLESS_BODIES,
    ENDLESS_EVENTS,
    ENDLESS_FRAMING,
    ENDLESS_HEADS,
    EndlessAnswer,
    Shape,
)
from tests.fake_platform import make_manifest
from tests.front_harness import WHOLE_STREAM, FrontHarness
from waywell.standins.harness import Process, wait_until

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_MEMORY_KB = 300_000
"""Memory that a node may use, in kB."""

MAX_SENT_BYTES = 64_000_000
"""Bytes that a server can send before the node closes the connection, most of
them to buffers of the system."""

CALLS = 5
"""Calls that are answered without end before a test goes on."""

_versions = itertools.count(2)

NO_HEDGE_TIMES = {'latency_goal_ms': 60_000, 'gap_goal_ms': 60_000}
"""Goals of routes whose silent attempts are neither hedged nor resumed."""

REPLICA_PATHS = ('/stock/', '/notes/')


def make_routes(version: int = 1) -> dict[str, Any]:
    """Return routes on which only its bytes end an answer."""
    manifest = make_manifest(version)
    for route in manifest['routes']:
        route.update(NO_HEDGE_TIMES)
    return manifest


@pytest.fixture(scope='module')
def running(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[tuple[FrontHarness, Process]]:
    front = FrontHarness(tmp_path_factory.mktemp('front'))
    front.add_servers()
    front.store.put('config', 'main', make_routes())
    process = front.start()
    front.wait_serving(process)
    yield front, process
    front.close()


@pytest.fixture
def served(
    running: tuple[FrontHarness, Process],
) -> Iterator[tuple[FrontHarness, Process]]:
    front, process = running
    front.wait_serving(process)
    yield running
    front.store.endless = None
    set_endless(front, None)


def set_endless(
    front: FrontHarness, answer: EndlessAnswer | None, *paths: str
) -> None:
    """Let all servers answer some paths without end, or none."""
    for server in front.servers.values():
        server.endless_paths = paths
        server.endless = answer


def read_peak_memory(process: Process) -> int:
    """Return the most memory that a process has used, in kB."""
    status = Path(f'/proc/{process.pid}/status').read_text(encoding='ascii')
    lines = dict(line.split(':', 1) for line in status.splitlines())
    return int(lines['VmHWM'].split()[0])


def wait_closed(answer: EndlessAnswer) -> None:
    """Wait until no answer is being sent any more."""
    wait_until(lambda: not answer.open_count, 'the end of endless answers')


def check_node(process: Process, answer: EndlessAnswer) -> None:
    """Assert that a node closed each connection early and used no memory."""
    assert answer.closed
    assert not answer.has_reached_maximum
    assert max(answer.closed) <= MAX_SENT_BYTES
    assert read_peak_memory(process) <= MAX_MEMORY_KB


def check_serves(front: FrontHarness, process: Process) -> None:
    """Assert that a node serves plain requests and streams."""
    front.wait_serving(process)
    assert front.send_request(process, '/stock/1')[:2] == (
        200,
        b'the whole answer',
    )
    assert front.send_request(process, '/notes/1', model='small')[:2] == (
        200,
        WHOLE_STREAM,
    )


@pytest.mark.parametrize(
    'shape', [*ENDLESS_HEADS, *ENDLESS_FRAMING], ids=lambda shape: shape.name
)
def test_a_request_that_replicas_answer_without_end_fails(
    served: tuple[FrontHarness, Process], shape: Shape
) -> None:
    front, process = served
    answer = EndlessAnswer(shape)
    set_endless(front, answer, *REPLICA_PATHS)
    status, _body, refusal = front.send_request(process, '/stock/1')
    assert status == 502
    assert refusal.getheader('waywell-ran') == 'may_have_run'
    wait_closed(answer)
    set_endless(front, None)
    assert len(answer.closed) == 2
    check_node(process, answer)
    check_serves(front, process)


@pytest.mark.parametrize(
    'shape',
    [*ENDLESS_HEADS, *ENDLESS_FRAMING, *ENDLESS_EVENTS],
    ids=lambda shape: shape.name,
)
def test_a_stream_that_one_replica_sends_without_end_is_resumed(
    served: tuple[FrontHarness, Process], shape: Shape
) -> None:
    front, process = served
    answer = EndlessAnswer(shape)
    shared = deque([answer])
    for server in front.servers.values():
        server.script = shared
    assert front.send_request(process, '/notes/1', model='small')[:2] == (
        200,
        WHOLE_STREAM,
    )
    assert not shared
    wait_closed(answer)
    check_node(process, answer)
    check_serves(front, process)


@pytest.mark.parametrize(
    'shape',
    [*ENDLESS_HEADS, *ENDLESS_FRAMING, *ENDLESS_BODIES],
    ids=lambda shape: shape.name,
)
def test_a_store_that_sends_without_end_counts_as_lost(
    served: tuple[FrontHarness, Process], shape: Shape
) -> None:
    front, process = served
    answer = EndlessAnswer(shape)
    front.store.endless = answer
    wait_until(lambda: len(answer.closed) >= CALLS, 'calls to the store')
    assert front.send_request(process, '/stock/1')[0] == 200
    front.store.endless = None
    wait_closed(answer)
    check_node(process, answer)
    # Routes that are written now reach the node.
    version = next(_versions)
    manifest = make_routes(version)
    fresh = {'name': 'fresh', 'path_prefix': f'/fresh-{version}/'}
    manifest['routes'].append({**manifest['routes'][-1], **fresh})
    front.store.put('config', 'main', manifest)
    wait_until(
        lambda: front.send_request(process, f'/fresh-{version}/1')[0] == 200,
        'the new route',
    )
    check_serves(front, process)


@pytest.mark.parametrize('path', ['/api/report', '/api/order'])
@pytest.mark.parametrize(
    'shape',
    [Shape.HEADER_LINES, Shape.INTERIM, Shape.BODY_UNTIL_CLOSE],
    ids=lambda shape: shape.name,
)
def test_boxes_whose_reports_and_orders_end_form_groups(
    tmp_path: Path, path: str, shape: Shape
) -> None:
    front = FrontHarness(tmp_path)
    answer = EndlessAnswer(shape)
    try:
        front.add_servers()
        set_endless(front, answer, path)
        process = front.start()
        wait_until(lambda: len(answer.closed) >= 2, f'calls to {path}')
        set_endless(front, None)
        check_serves(front, process)
        wait_closed(answer)
        check_node(process, answer)
    finally:
        front.close()
