"""Callers get complete answers to their own requests, or none."""

from __future__ import annotations

import socket
import threading
from contextlib import closing
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

from tests.conftest import SHORT_TIMING, start_pair
from waywell.client import UnreachableError
from waywell.standins.harness import BoxSpec, make_configuration

if TYPE_CHECKING:
    from collections.abc import Iterator

    from waywell.standins.harness import Bench

BODY = b'data: {"token": 1}\n\ndata: {"token": 2}\n\ndata: [DONE]\n\n'

SIZED = (
    b'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n'
    b'content-length: %d\r\n\r\n%s' % (len(BODY), BODY)
)

CHUNKED = (
    b'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n'
    b'transfer-encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n'
    % (len(BODY), BODY)
)

CLOSED = (
    b'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n'
    b'connection: close\r\n\r\n%s' % BODY
)


PROBE_SECONDS = 20.0
"""Seconds in which a target answers a probe even if it stalls under load."""


class ScriptedTarget:
    """A target that sends fixed bytes as its answer and disconnects.

    Orders and probes are answered as by a healthy box.
    """

    def __init__(self) -> None:
        self.raw = b''
        self.requests = 0
        self._socket = socket.create_server(('127.0.0.1', 0))
        self.port = self._socket.getsockname()[1]
        self._order = b'{}'
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        self._socket.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve,
                args=(connection,),
                daemon=True,
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        with closing(connection):
            request = b''
            while b'\r\n\r\n' not in request:
                piece = connection.recv(65536)
                if not piece:
                    return
                request += piece
            if b'/waywell/health' in request:
                raw = b'{"box": "scripted"}'
                connection.sendall(
                    b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n'
                    b'connection: close\r\n\r\n%s' % (len(raw), raw),
                )
            else:
                self.requests += 1
                connection.sendall(self.raw)


@pytest.fixture
def scripted() -> Iterator[ScriptedTarget]:
    target = ScriptedTarget()
    yield target
    target.close()


def start_scripted(
    bench: Bench,
    scripted: ScriptedTarget,
    switch: str = '',
) -> None:
    """Start an entry box with the scripted target as an unfenced model."""
    bench.list_box_at_port(
        BoxSpec('s', fenced=False, labels={'pool': 'llm'}), scripted.port
    )
    timing = {**SHORT_TIMING, 'probe': PROBE_SECONDS}
    bench.start_entry('entry-1', timing=timing, switch=switch)
    service = [
        {'name': 'llm', 'type': 'model', 'fenced': False},
        {'name': 'app', 'type': 'plain', 'fenced': False},
    ]
    configuration = make_configuration(boxes_per_group=1, service=service)
    assert bench.apply('entry-1', configuration).status == 200
    bench.wait_serving('entry-1', 'llm-main', 1)


def list_accepted_cuts(
    bench: Bench, scripted: ScriptedTarget, complete: bytes
) -> list[int]:
    """Return the lengths at which a truncated answer passed as complete."""
    caller = bench.get_caller('entry-1')
    accepted = []
    for position in range(len(complete)):
        scripted.raw = complete[:position]
        try:
            answer = caller.call(
                '/services/llm/v1/chat',
                'POST',
                b'{}',
                {'waywell-repeatable': 'no'},
            )
        except UnreachableError:
            continue
        if answer.status == 200 and answer.body != BODY:
            accepted.append(position)
        if answer.status == 200 and complete is not CLOSED:
            accepted.append(position)
    assert scripted.requests == len(complete)
    return accepted


@pytest.mark.parametrize(
    'complete',
    [SIZED, CHUNKED, CLOSED],
    ids=['sized', 'chunked', 'closed'],
)
def test_answer_truncated_at_any_byte_never_passes_as_complete(
    bench: Bench,
    scripted: ScriptedTarget,
    complete: bytes,
) -> None:
    start_scripted(bench, scripted)
    assert list_accepted_cuts(bench, scripted, complete) == []
    if complete is not CLOSED:
        scripted.raw = complete
        answer = bench.get_caller('entry-1').call('/services/llm/x', 'POST')
        assert answer.body == BODY


def test_without_the_check_a_truncated_answer_passes_as_complete(
    bench: Bench,
    scripted: ScriptedTarget,
) -> None:
    """Check that the test above detects truncated answers."""
    start_scripted(bench, scripted, switch='accept_cut_answers')
    assert list_accepted_cuts(bench, scripted, CHUNKED)


def test_late_answer_is_not_taken_for_that_of_the_next_request(
    pair: Bench,
) -> None:
    """A connection is not reused after a request on it has timed out."""
    caller = pair.get_caller('entry-1')
    pair.set_target_faults('app-1', slow=0.6)
    for number in range(5):
        late = caller.call(
            f'/services/app/late{number}',
            headers={'waywell-deadline': '0.2'},
        )
        assert late.headers['waywell-code'] == '2005'
        in_time = caller.call(f'/services/app/own{number}')
        assert in_time.read_json()['path'] == f'/own{number}'


def test_concurrent_callers_get_their_own_answers(pair: Bench) -> None:
    wrong: list[str] = []

    def call_repeatedly(entry: str, worker: int) -> None:
        caller = pair.get_caller(entry)
        for number in range(15):
            path = f'/{worker}-{number}'
            pad = {'standin-pad': str(worker * 997)}
            answer = caller.call(f'/services/app{path}', headers=pad)
            if answer.read_json()['path'] != path:
                wrong.append(path)

    threads = [
        threading.Thread(
            target=call_repeatedly, args=(f'entry-{1 + worker % 2}', worker)
        )
        for worker in range(12)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert wrong == []


SLOW_PROBE_SECONDS = 10.0
"""Seconds in which a busy box answers a probe."""


def read_memory(pid: int) -> int:
    """Return the resident memory of a process, in bytes."""
    pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * 4096


def test_slow_readers_use_bounded_memory(bench: Bench) -> None:
    # The only box generates 300 MB during the test.  On a busy machine it does
    # not answer probes within 0.3 s and would be taken out of service.
    start_pair(bench, probe=SLOW_PROBE_SECONDS)
    pair = bench
    port = pair.entries['entry-1'].ports['caller_port']
    before = read_memory(pair.entries['entry-1'].pid)
    request = (
        b'GET /services/app/x HTTP/1.1\r\nhost: x\r\n'
        b'authorization: Bearer caller-key\r\nstandin-pad: 60000000\r\n\r\n'
    )
    callers = []
    for _ in range(5):
        caller = socket.create_connection(('127.0.0.1', port))
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.sendall(request)
        assert caller.recv(100)
        callers.append(caller)
    # Other requests are served in the meantime.
    for _ in range(20):
        assert pair.get_caller('entry-1').call('/services/app/y').status == 200
    grown = read_memory(pair.entries['entry-1'].pid) - before
    for caller in callers:
        caller.close()
    assert grown < 30_000_000
