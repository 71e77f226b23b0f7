"""Answers that break off never look complete, in whichever framing."""

from __future__ import annotations

import http.client
import itertools
import threading
from collections import deque
from typing import TYPE_CHECKING, Any

import pytest

from tests.broken_bodies import BodyScript, Ending, Framing
from tests.front_bench import CALL_SECONDS, WHOLE, Front
from tests.house import EVENTS, HOST, KEY, make_manifest
from tests.replica_paths import Cut, ReplicaPaths
from waywell.standins.harness import Process, wait_until

if TYPE_CHECKING:
    from collections.abc import Iterator

EVENT = len(WHOLE) // EVENTS
"""Bytes of each event."""

PLAIN = b'the whole answer'

PATIENT = {
    'latency_goal_ms': 60_000,
    'gap_goal_ms': 60_000,
    'timeout_ms': 20_000,
}
"""Times of a route whose attempts are never hedged."""

REPLICAS = 2
"""Groups that serve streams; each is tried once."""

_numbers = itertools.count(1)

WITHIN_EVENT = {
    'in_the_first_event': 4,
    'in_a_field_name': EVENT + 1,
    'in_a_value': 3 * EVENT - 3,
    'after_a_line': 2 * EVENT + len(b'id: 3\n'),
    'in_the_end_of_an_event': 3 * EVENT - 1,
    'in_the_last_line_end': len(WHOLE) - 1,
}
"""Bytes that are sent of a stream that ends within an event."""

BETWEEN_EVENTS = {'before_the_first': 0, 'after_the_third': 3 * EVENT}
"""Bytes that are sent of a stream that ends between two events."""

ALL_ENDS = list(itertools.product(Framing, Ending))

SEEN_ENDS = [
    (framing, ending)
    for framing, ending in ALL_ENDS
    if ending is Ending.RESET
    or (ending is Ending.CLOSE and framing is not Framing.CLOSE)
]
"""Ends that no whole body has."""

WHOLE_ENDS = [
    *((framing, Ending.ANNOUNCED) for framing in Framing),
    (Framing.CLOSE, Ending.CLOSE),
]


def make_routes() -> dict[str, Any]:
    """Return routes without hedges, and one with them.

    A hedge takes a send and a script from the attempt that a test is about.
    """
    manifest = make_manifest()
    streams = manifest['routes'][0]
    hedged = {**streams, 'name': 'hedged', 'path_prefix': '/hedged/'}
    for route in manifest['routes']:
        route.update(PATIENT)
    once = {'name': 'once', 'path_prefix': '/once/', 'resumable': False}
    manifest['routes'] += [hedged, {**streams, **once}]
    return manifest


@pytest.fixture(scope='module')
def running(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[tuple[Front, Process]]:
    front = Front(tmp_path_factory.mktemp('front'))
    front.add_servers()
    front.store.put('config', 'main', make_routes())
    process = front.start()
    front.wait_serving(process)
    yield front, process
    front.close()


@pytest.fixture
def served(running: tuple[Front, Process]) -> tuple[Front, Process]:
    """Give a node and servers that nothing has been asked of yet."""
    front, _process = running
    for server in front.servers.values():
        server.script = deque()
        server.runs.clear()
        server.goes_on.set()
    return running


def script_next(front: Front, *scripts: BodyScript | str) -> None:
    """Let the next servers that are asked answer so, whichever they are."""
    shared = deque(scripts)
    for server in front.servers.values():
        server.script = shared


def ask_stream(
    front: Front, process: Process, route: str = 'notes'
) -> bytes | None:
    """Return the body of a stream; ``None`` where it is seen to break off."""
    path = f'/{route}/{next(_numbers)}'
    try:
        status, body, answer = front.ask(process, path, model='small')
    except http.client.HTTPException:
        return None
    if status != 200:
        return None
    assert answer.getheader('X-Replica-Stamp').startswith('stamp-of-m')
    return body


@pytest.mark.parametrize(('framing', 'ending'), ALL_ENDS)
def test_a_stream_that_ends_within_an_event_goes_on_elsewhere(
    served: tuple[Front, Process], framing: Framing, ending: Ending
) -> None:
    front, process = served
    for where, sent in WITHIN_EVENT.items():
        script_next(front, BodyScript(framing, ending, WHOLE[:sent]))
        assert (where, ask_stream(front, process)) == (where, WHOLE)
        assert len(front.list_runs(*front.servers)) == 2
        for server in front.servers.values():
            server.runs.clear()


@pytest.mark.parametrize(('framing', 'ending'), SEEN_ENDS)
def test_a_stream_that_ends_between_events_goes_on_elsewhere(
    served: tuple[Front, Process], framing: Framing, ending: Ending
) -> None:
    front, process = served
    for where, sent in BETWEEN_EVENTS.items():
        script_next(front, BodyScript(framing, ending, WHOLE[:sent]))
        assert (where, ask_stream(front, process)) == (where, WHOLE)


def test_a_closed_stream_without_an_event_goes_on_elsewhere(
    served: tuple[Front, Process],
) -> None:
    front, process = served
    script_next(front, BodyScript(Framing.CLOSE, Ending.CLOSE, b''))
    assert ask_stream(front, process) == WHOLE


@pytest.mark.parametrize(('framing', 'ending'), ALL_ENDS)
def test_a_stream_that_ends_within_an_event_breaks_off_for_its_caller(
    served: tuple[Front, Process], framing: Framing, ending: Ending
) -> None:
    """It may not run again, so its caller has to see the cut."""
    front, process = served
    for where, sent in WITHIN_EVENT.items():
        script_next(front, BodyScript(framing, ending, WHOLE[:sent]))
        assert (where, ask_stream(front, process, 'once')) == (where, None)
        assert len(front.list_runs(*front.servers)) == 1
        for server in front.servers.values():
            server.runs.clear()


@pytest.mark.parametrize(('framing', 'ending'), WHOLE_ENDS)
def test_whole_answers_pass_in_each_framing(
    served: tuple[Front, Process], framing: Framing, ending: Ending
) -> None:
    front, process = served
    script_next(front, BodyScript(framing, ending, WHOLE))
    assert ask_stream(front, process) == WHOLE
    script_next(front, BodyScript(framing, ending, PLAIN, 'text/plain'))
    assert front.ask(process, '/match/1')[:2] == (200, PLAIN)
    # Each ran once: none was taken for broken off.
    assert len(front.list_runs(*front.servers)) == 2


@pytest.mark.parametrize(('framing', 'ending'), SEEN_ENDS)
def test_a_plain_answer_that_breaks_off_is_asked_for_again(
    served: tuple[Front, Process], framing: Framing, ending: Ending
) -> None:
    front, process = served
    script_next(front, BodyScript(framing, ending, PLAIN[:7], 'text/plain'))
    assert front.ask(process, '/stock/1')[:2] == (200, PLAIN)


def test_a_stream_that_breaks_at_each_replica_is_seen(
    served: tuple[Front, Process],
) -> None:
    front, process = served
    parts = [
        WHOLE[done * EVENT : (done + 1) * EVENT + 5]
        for done in range(REPLICAS)
    ]
    script_next(
        front,
        *(BodyScript(Framing.CLOSE, Ending.CLOSE, part) for part in parts),
    )
    assert ask_stream(front, process) is None
    assert len(front.list_runs(*front.servers)) == len(parts)


def test_a_second_attempt_beside_a_silent_one_that_breaks_off_is_seen(
    served: tuple[Front, Process],
) -> None:
    front, process = served
    for server in front.servers.values():
        server.goes_on.clear()
    broken = BodyScript(Framing.CLOSE, Ending.CLOSE, WHOLE[: 2 * EVENT + 3])
    script_next(front, 'wait-1', broken)
    assert ask_stream(front, process, 'hedged') is None
    assert len(front.list_runs(*front.servers)) == 2


@pytest.mark.parametrize('line_end', [b'\r\n', b'\r'], ids=['crlf', 'cr'])
def test_streams_with_other_line_ends_are_told_apart_from_broken_ones(
    served: tuple[Front, Process], line_end: bytes
) -> None:
    front, process = served
    whole = WHOLE.replace(b'\n', line_end)
    script_next(front, BodyScript(Framing.CLOSE, Ending.CLOSE, whole))
    assert ask_stream(front, process) == whole
    sent = 2 * len(whole) // EVENTS + 5
    script_next(front, BodyScript(Framing.CLOSE, Ending.CLOSE, whole[:sent]))
    resumed = ask_stream(front, process)
    assert resumed is not None
    assert resumed.replace(line_end, b'\n') == WHOLE


def open_stream(
    attempt: str, line: http.client.HTTPConnection
) -> http.client.HTTPResponse:
    """Ask for a stream that may run once, and return its head."""
    headers = {
        'Host': HOST,
        'Authorization': f'Bearer {KEY}',
        'X-Model': 'small',
        'X-Token-Count': '100,30',
        'X-Request-Attempt-Id': attempt,
    }
    line.request('POST', f'/once/{attempt}', b'{}', headers)
    return line.getresponse()


@pytest.fixture
def line(
    running: tuple[Front, Process],
) -> Iterator[http.client.HTTPConnection]:
    """Give a connection of a caller."""
    port = running[1].ports['caller_port']
    made = http.client.HTTPConnection('127.0.0.1', port, CALL_SECONDS)
    yield made
    made.close()


def test_events_with_other_line_ends_pass_as_they_come(
    served: tuple[Front, Process], line: http.client.HTTPConnection
) -> None:
    front, process = served
    whole = WHOLE.replace(b'\n', b'\r\n')
    first = len(whole) // EVENTS
    script = BodyScript(
        Framing.CHUNKED, Ending.ANNOUNCED, whole, pause_after=first
    )
    script_next(front, script)
    answer = open_stream('held', line)
    assert answer.read(first) == whole[:first]
    script.resume.set()


def test_the_type_of_a_stream_is_told_without_regard_to_case(
    served: tuple[Front, Process],
) -> None:
    front, process = served
    broken = BodyScript(
        Framing.CLOSE,
        Ending.CLOSE,
        WHOLE[: 2 * EVENT + 3],
        'Text/Event-Stream; charset=utf-8',
    )
    script_next(front, broken)
    assert ask_stream(front, process) == WHOLE


def test_comments_are_no_unfinished_event(
    served: tuple[Front, Process],
) -> None:
    front, process = served
    commented = b': ping\n\n' + WHOLE + b': bye\n'
    script_next(front, BodyScript(Framing.CLOSE, Ending.CLOSE, commented))
    assert ask_stream(front, process) == commented


@pytest.mark.parametrize('body', [b': ping\n\n', b'\n\n'])
def test_a_closed_stream_of_comments_breaks_off_for_its_caller(
    served: tuple[Front, Process], body: bytes
) -> None:
    front, process = served
    script_next(front, BodyScript(Framing.CLOSE, Ending.CLOSE, body))
    assert ask_stream(front, process, 'once') is None


@pytest.mark.parametrize(('framing', 'ending'), WHOLE_ENDS)
def test_whole_compressed_streams_pass(
    served: tuple[Front, Process], framing: Framing, ending: Ending
) -> None:
    front, process = served
    body = b'\x1f\x8b\x08 compressed'
    script_next(front, BodyScript(framing, ending, body, encoding='gzip'))
    assert ask_stream(front, process) == body
    assert len(front.list_runs(*front.servers)) == 1


def test_a_caller_on_a_kept_connection_sees_the_cut(
    served: tuple[Front, Process], line: http.client.HTTPConnection
) -> None:
    front, process = served
    answer = open_stream('kept-1', line)
    assert answer.read() == WHOLE
    assert not answer.will_close
    script_next(
        front, BodyScript(Framing.CLOSE, Ending.CLOSE, WHOLE[: EVENT + 3])
    )
    with pytest.raises(http.client.IncompleteRead) as broken:
        open_stream('kept-2', line).read()
    assert broken.value.partial == WHOLE[:EVENT]


def test_a_slow_caller_sees_the_cut(
    served: tuple[Front, Process], line: http.client.HTTPConnection
) -> None:
    """The end comes while the replica is read no further."""
    front, process = served
    padded = [
        b'id: %d\ndata: %s\n\n' % (number, b'x' * 40_000)
        for number in range(1, 200)
    ]
    body = b''.join(padded) + b'id: 200\nda'
    script_next(front, BodyScript(Framing.CLOSE, Ending.CLOSE, body))
    answer = open_stream('slow', line)
    # So that the node's buffers and its reader fill up.
    threading.Event().wait(0.3)
    with pytest.raises(http.client.IncompleteRead) as broken:
        answer.read()
    assert body.startswith(broken.value.partial)


def test_an_answer_without_a_length_is_no_crash(
    served: tuple[Front, Process],
) -> None:
    front, process = served
    log = front.folder / 'front-1.log'
    before = len(log.read_bytes())
    for _request in range(4):
        script_next(front, BodyScript(Framing.CLOSE, Ending.CLOSE, WHOLE))
        assert ask_stream(front, process) == WHOLE
    said = log.read_bytes()[before:]
    assert said.count(b'event=answered') == 4
    assert b'event=replica_ended' not in said
    assert b'event=truncated' not in said


@pytest.fixture
def through_peer(front: Front) -> Iterator[tuple[Front, Process]]:
    """Give a node that reaches replicas through a peer only."""
    front.store.put('config', 'main', make_routes())
    paths = ReplicaPaths(front)
    cut = front.start('front-3', paths.store, 'hall-b')
    front.wait_serving(cut)
    front.wait_serving(front.start('front-1'))
    wait_until(
        lambda: front.ask(cut, '/stock/1')[0] == 200, 'a way to replicas'
    )
    paths.cut(Cut.RESET)
    log = front.folder / 'front-3.log'

    def is_forwarded() -> bool:
        front.ask(cut, '/notes/1', model='small')
        return 'event=partition_detected' in log.read_text()

    wait_until(is_forwarded, 'requests that go through the peer')
    yield front, cut
    paths.close()


@pytest.mark.parametrize('framing', Framing)
def test_a_cut_behind_a_peer_is_seen(
    through_peer: tuple[Front, Process], framing: Framing
) -> None:
    front, cut = through_peer
    script = BodyScript(framing, Ending.CLOSE, WHOLE[: 2 * EVENT + 3])
    script_next(front, *(script for _send in range(9)))
    assert ask_stream(front, cut) is None
    script_next(front)
    assert ask_stream(front, cut) == WHOLE
