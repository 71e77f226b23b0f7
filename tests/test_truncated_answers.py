"""Truncated answers never pass as complete, whatever their framing."""

from __future__ import annotations

import http.client
import itertools
import threading
from collections import deque
from typing import TYPE_CHECKING

import pytest

from tests.broken_bodies import BodyScript, Ending, Framing
from tests.fake_platform import EVENTS, HOST, KEY
from tests.front_harness import CALL_SECONDS, WHOLE_STREAM, FrontHarness
from tests.unhedged_front import (
    script_next,
    start_front,
    start_partitioned_front,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from waywell.standins.harness import Process

EVENT = len(WHOLE_STREAM) // EVENTS
"""Size of each event, in bytes."""

PLAIN = b'the whole answer'

REPLICAS = 2
"""Number of groups that serve streams; each is tried once."""

_numbers = itertools.count(1)

WITHIN_EVENT = {
    'in_the_first_event': 4,
    'in_a_field_name': EVENT + 1,
    'in_a_value': 3 * EVENT - 3,
    'after_a_line': 2 * EVENT + len(b'id: 3\n'),
    'in_the_end_of_an_event': 3 * EVENT - 1,
    'in_the_last_line_end': len(WHOLE_STREAM) - 1,
}
"""Numbers of bytes after which a stream ends within an event."""

BETWEEN_EVENTS = {'before_the_first': 0, 'after_the_third': 3 * EVENT}
"""Numbers of bytes after which a stream ends between two events."""

ALL_ENDS = list(itertools.product(Framing, Ending))

DETECTABLE_ENDS = [
    (framing, ending)
    for framing, ending in ALL_ENDS
    if ending is Ending.RESET
    or (ending is Ending.CLOSE and framing is not Framing.CLOSE)
]
"""Combinations that never occur with a complete body."""

COMPLETE_ENDS = [
    *((framing, Ending.ANNOUNCED) for framing in Framing),
    (Framing.CLOSE, Ending.CLOSE),
]


@pytest.fixture(scope='module')
def running(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[tuple[FrontHarness, Process]]:
    with start_front(FrontHarness(tmp_path_factory.mktemp('front'))) as made:
        yield made


@pytest.fixture
def served(
    running: tuple[FrontHarness, Process],
) -> tuple[FrontHarness, Process]:
    """Return a node and servers without scripts or recorded runs."""
    front, _process = running
    for server in front.servers.values():
        server.script = deque()
        server.runs.clear()
        server.unblocked.set()
    return running


def ask_stream(
    front: FrontHarness, process: Process, route: str = 'notes'
) -> bytes | None:
    """Return the body of a stream; ``None`` if the caller sees it fail."""
    path = f'/{route}/{next(_numbers)}'
    try:
        status, body, answer = front.send_request(process, path, model='small')
    except http.client.HTTPException:
        return None
    if status != 200:
        return None
    assert answer.getheader('X-Replica-Stamp').startswith('stamp-of-m')
    return body


@pytest.mark.parametrize(('framing', 'ending'), ALL_ENDS)
def test_a_stream_that_ends_within_an_event_resumes_elsewhere(
    served: tuple[FrontHarness, Process], framing: Framing, ending: Ending
) -> None:
    front, process = served
    for position, sent in WITHIN_EVENT.items():
        script_next(front, BodyScript(framing, ending, WHOLE_STREAM[:sent]))
        assert (position, ask_stream(front, process)) == (
            position,
            WHOLE_STREAM,
        )
        assert len(front.list_runs(*front.servers)) == 2
        for server in front.servers.values():
            server.runs.clear()


@pytest.mark.parametrize(('framing', 'ending'), DETECTABLE_ENDS)
def test_a_stream_that_ends_between_events_resumes_elsewhere(
    served: tuple[FrontHarness, Process], framing: Framing, ending: Ending
) -> None:
    front, process = served
    for position, sent in BETWEEN_EVENTS.items():
        script_next(front, BodyScript(framing, ending, WHOLE_STREAM[:sent]))
        assert (position, ask_stream(front, process)) == (
            position,
            WHOLE_STREAM,
        )


def test_a_closed_stream_without_an_event_is_retried_elsewhere(
    served: tuple[FrontHarness, Process],
) -> None:
    front, process = served
    script_next(front, BodyScript(Framing.CLOSE, Ending.CLOSE, b''))
    assert ask_stream(front, process) == WHOLE_STREAM


@pytest.mark.parametrize(('framing', 'ending'), ALL_ENDS)
def test_a_truncated_stream_that_may_not_run_again_fails_at_its_caller(
    served: tuple[FrontHarness, Process], framing: Framing, ending: Ending
) -> None:
    """No other replica may continue the stream, so the caller must see it."""
    front, process = served
    for position, sent in WITHIN_EVENT.items():
        script_next(front, BodyScript(framing, ending, WHOLE_STREAM[:sent]))
        assert (position, ask_stream(front, process, 'once')) == (
            position,
            None,
        )
        assert len(front.list_runs(*front.servers)) == 1
        for server in front.servers.values():
            server.runs.clear()


@pytest.mark.parametrize(('framing', 'ending'), COMPLETE_ENDS)
def test_complete_answers_are_relayed_in_each_framing(
    served: tuple[FrontHarness, Process], framing: Framing, ending: Ending
) -> None:
    front, process = served
    script_next(front, BodyScript(framing, ending, WHOLE_STREAM))
    assert ask_stream(front, process) == WHOLE_STREAM
    script_next(front, BodyScript(framing, ending, PLAIN, 'text/plain'))
    assert front.send_request(process, '/match/1')[:2] == (200, PLAIN)
    # Each ran once, so none was taken for truncated.
    assert len(front.list_runs(*front.servers)) == 2


@pytest.mark.parametrize(('framing', 'ending'), DETECTABLE_ENDS)
def test_a_truncated_plain_answer_is_retried(
    served: tuple[FrontHarness, Process], framing: Framing, ending: Ending
) -> None:
    front, process = served
    script_next(front, BodyScript(framing, ending, PLAIN[:7], 'text/plain'))
    assert front.send_request(process, '/stock/1')[:2] == (200, PLAIN)


def test_a_stream_that_is_truncated_by_each_replica_fails_at_its_caller(
    served: tuple[FrontHarness, Process],
) -> None:
    front, process = served
    parts = [
        WHOLE_STREAM[done * EVENT : (done + 1) * EVENT + 5]
        for done in range(REPLICAS)
    ]
    script_next(
        front,
        *(BodyScript(Framing.CLOSE, Ending.CLOSE, part) for part in parts),
    )
    assert ask_stream(front, process) is None
    assert len(front.list_runs(*front.servers)) == len(parts)


def test_a_truncated_hedge_of_a_silent_attempt_fails_at_its_caller(
    served: tuple[FrontHarness, Process],
) -> None:
    front, process = served
    for server in front.servers.values():
        server.unblocked.clear()
    broken = BodyScript(
        Framing.CLOSE, Ending.CLOSE, WHOLE_STREAM[: 2 * EVENT + 3]
    )
    script_next(front, 'wait-1', broken)
    assert ask_stream(front, process, 'hedged') is None
    assert len(front.list_runs(*front.servers)) == 2


@pytest.mark.parametrize('line_end', [b'\r\n', b'\r'], ids=['crlf', 'cr'])
def test_truncation_is_detected_with_other_line_ends(
    served: tuple[FrontHarness, Process], line_end: bytes
) -> None:
    front, process = served
    complete = WHOLE_STREAM.replace(b'\n', line_end)
    script_next(front, BodyScript(Framing.CLOSE, Ending.CLOSE, complete))
    assert ask_stream(front, process) == complete
    sent = 2 * len(complete) // EVENTS + 5
    script_next(
        front, BodyScript(Framing.CLOSE, Ending.CLOSE, complete[:sent])
    )
    resumed = ask_stream(front, process)
    assert resumed is not None
    assert resumed.replace(line_end, b'\n') == WHOLE_STREAM


def open_stream(
    attempt: str, connection: http.client.HTTPConnection
) -> http.client.HTTPResponse:
    """Request a stream that may run once, and return its head."""
    headers = {
        'Host': HOST,
        'Authorization': f'Bearer {KEY}',
        'X-Model': 'small',
        'X-Token-Count': '100,30',
        'X-Request-Attempt-Id': attempt,
    }
    connection.request('POST', f'/once/{attempt}', b'{}', headers)
    return connection.getresponse()


@pytest.fixture
def connection(
    running: tuple[FrontHarness, Process],
) -> Iterator[http.client.HTTPConnection]:
    """Return a connection of a caller to the node."""
    port = running[1].ports['caller_port']
    made = http.client.HTTPConnection('127.0.0.1', port, CALL_SECONDS)
    yield made
    made.close()


def test_events_with_other_line_ends_are_relayed_as_they_arrive(
    served: tuple[FrontHarness, Process],
    connection: http.client.HTTPConnection,
) -> None:
    front, process = served
    complete = WHOLE_STREAM.replace(b'\n', b'\r\n')
    first = len(complete) // EVENTS
    script = BodyScript(
        Framing.CHUNKED, Ending.ANNOUNCED, complete, pause_after=first
    )
    script_next(front, script)
    answer = open_stream('held', connection)
    assert answer.read(first) == complete[:first]
    script.resume.set()


def test_the_content_type_of_a_stream_is_case_insensitive(
    served: tuple[FrontHarness, Process],
) -> None:
    front, process = served
    broken = BodyScript(
        Framing.CLOSE,
        Ending.CLOSE,
        WHOLE_STREAM[: 2 * EVENT + 3],
        'Text/Event-Stream; charset=utf-8',
    )
    script_next(front, broken)
    assert ask_stream(front, process) == WHOLE_STREAM


def test_comments_do_not_count_as_an_unfinished_event(
    served: tuple[FrontHarness, Process],
) -> None:
    front, process = served
    commented = b': ping\n\n' + WHOLE_STREAM + b': bye\n'
    script_next(front, BodyScript(Framing.CLOSE, Ending.CLOSE, commented))
    assert ask_stream(front, process) == commented


@pytest.mark.parametrize('body', [b': ping\n\n', b'\n\n'])
def test_a_closed_stream_of_comments_only_fails_at_its_caller(
    served: tuple[FrontHarness, Process], body: bytes
) -> None:
    front, process = served
    script_next(front, BodyScript(Framing.CLOSE, Ending.CLOSE, body))
    assert ask_stream(front, process, 'once') is None


@pytest.mark.parametrize(('framing', 'ending'), COMPLETE_ENDS)
def test_complete_compressed_streams_are_relayed(
    served: tuple[FrontHarness, Process], framing: Framing, ending: Ending
) -> None:
    front, process = served
    body = b'\x1f\x8b\x08 compressed'
    script_next(front, BodyScript(framing, ending, body, encoding='gzip'))
    assert ask_stream(front, process) == body
    assert len(front.list_runs(*front.servers)) == 1


def test_a_caller_on_a_persistent_connection_sees_the_truncation(
    served: tuple[FrontHarness, Process],
    connection: http.client.HTTPConnection,
) -> None:
    front, process = served
    answer = open_stream('kept-1', connection)
    assert answer.read() == WHOLE_STREAM
    assert not answer.will_close
    script_next(
        front,
        BodyScript(Framing.CLOSE, Ending.CLOSE, WHOLE_STREAM[: EVENT + 3]),
    )
    with pytest.raises(http.client.IncompleteRead) as broken:
        open_stream('kept-2', connection).read()
    assert broken.value.partial == WHOLE_STREAM[:EVENT]


def test_a_slow_caller_sees_the_truncation(
    served: tuple[FrontHarness, Process],
    connection: http.client.HTTPConnection,
) -> None:
    """The body ends while reading from the replica is paused."""
    front, process = served
    padded = [
        b'id: %d\ndata: %s\n\n' % (number, b'x' * 40_000)
        for number in range(1, 200)
    ]
    body = b''.join(padded) + b'id: 200\nda'
    script_next(front, BodyScript(Framing.CLOSE, Ending.CLOSE, body))
    answer = open_stream('slow', connection)
    # Lets the buffers of the node fill up, so that it pauses its reader.
    threading.Event().wait(0.3)
    with pytest.raises(http.client.IncompleteRead) as broken:
        answer.read()
    assert body.startswith(broken.value.partial)


def test_an_answer_without_a_length_does_not_count_as_a_crash(
    served: tuple[FrontHarness, Process],
) -> None:
    front, process = served
    log = front.folder / 'front-1.log'
    before = len(log.read_bytes())
    for _request in range(4):
        script_next(
            front, BodyScript(Framing.CLOSE, Ending.CLOSE, WHOLE_STREAM)
        )
        assert ask_stream(front, process) == WHOLE_STREAM
    logged = log.read_bytes()[before:]
    assert logged.count(b'event=answered') == 4
    assert b'event=replica_ended' not in logged
    assert b'event=truncated' not in logged


@pytest.fixture
def through_peer(
    front: FrontHarness,
) -> Iterator[tuple[FrontHarness, Process]]:
    """Return a node that reaches replicas only through a peer."""
    with start_partitioned_front(front) as partitioned:
        yield front, partitioned


@pytest.mark.parametrize('framing', Framing)
def test_a_truncation_behind_a_peer_fails_at_the_caller(
    through_peer: tuple[FrontHarness, Process], framing: Framing
) -> None:
    front, partitioned = through_peer
    script = BodyScript(framing, Ending.CLOSE, WHOLE_STREAM[: 2 * EVENT + 3])
    script_next(front, *(script for _send in range(9)))
    assert ask_stream(front, partitioned) is None
    script_next(front)
    assert ask_stream(front, partitioned) == WHOLE_STREAM
