"""The entry daemon: whole answers pass in each framing, cut ones break off."""

from __future__ import annotations

import itertools
import socket
import threading
from typing import TYPE_CHECKING, Any

import pytest

from tests.broken_bodies import BodyScript, Ending, Framing, reset_connection
from tests.conftest import QUICK
from tests.front_bench import WHOLE
from waywell.client import UnreachableError
from waywell.standins.harness import Bench, BoxSpec, make_configuration

if TYPE_CHECKING:
    from collections.abc import Iterator

PLAIN = b'the whole answer'

CHAT = b'data: {"token": 1}\n\ndata: [DONE]\n\n'
"""A whole stream of a model, with its end marker."""

EVENT = len(b'id: 1\ndata: t1\n\n')

WITHIN_EVENT = (EVENT + 1, EVENT + len(b'id: 2\n'), 2 * EVENT - 1)
"""Bytes that are sent of a stream that ends within an event."""

ALL_ENDS = list(itertools.product(Framing, Ending))

SEEN_ENDS = [
    (framing, ending)
    for framing, ending in ALL_ENDS
    if ending is Ending.RESET
    or (ending is Ending.CLOSE and framing is not Framing.CLOSE)
]
"""Ends that no whole body has."""

WHOLE_ENDS = [end for end in ALL_ENDS if end not in SEEN_ENDS]


class ScriptedBox:
    """A box that answers requests by a script, and probes as a sound one."""

    def __init__(self) -> None:
        self.script = BodyScript(Framing.LENGTH, Ending.ANNOUNCED, PLAIN)
        self.requests = 0
        self._socket = socket.create_server(('127.0.0.1', 0))
        self.port = self._socket.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        self._socket.close()

    def _accept(self) -> None:
        while True:
            try:
                line, _ = self._socket.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(line,), daemon=True
            ).start()

    def _serve(self, line: socket.socket) -> None:
        request = b''
        while b'\r\n\r\n' not in request:
            piece = line.recv(65536)
            if not piece:
                line.close()
                return
            request += piece
        if b'/waywell/health' in request:
            probe = b'{"box": "scripted"}'
            script = BodyScript(
                Framing.LENGTH, Ending.ANNOUNCED, probe, 'application/json'
            )
        else:
            self.requests += 1
            script = self.script
        line.sendall(script.encode_response())
        if script.ending is Ending.RESET:
            reset_connection(line)
        else:
            line.close()


@pytest.fixture
def box() -> Iterator[ScriptedBox]:
    made = ScriptedBox()
    yield made
    made.close()


@pytest.fixture
def served(bench: Bench, box: ScriptedBox) -> Bench:
    """Start an entry box before one box that both services run on."""
    service: list[dict[str, Any]] = [
        {'name': 'llm', 'type': 'model', 'fenced': False},
        {'name': 'app', 'type': 'plain', 'fenced': False},
    ]
    for name in ('llm', 'app'):
        bench.list_box_at_port(
            BoxSpec(name, fenced=False, labels={'pool': name}), box.port
        )
    bench.start_entry('entry-1', timing=QUICK)
    configuration = make_configuration(boxes_per_group=1, service=service)
    assert bench.apply('entry-1', configuration).status == 200
    for name in ('llm', 'app'):
        bench.wait_serving('entry-1', f'{name}-main', 1)
    return bench


def ask(bench: Bench, box: ScriptedBox, service: str) -> bytes | None:
    """Return the body of an answer; ``None`` where it is seen to break off."""
    caller = bench.get_caller('entry-1')
    asked = box.requests
    try:
        answer = caller.call(
            f'/services/{service}/x',
            'POST',
            b'{}',
            {'waywell-repeatable': 'no'},
        )
    except UnreachableError:
        answer = None
    assert box.requests == asked + 1
    return answer.body if answer and answer.status == 200 else None


def test_whole_answers_pass_in_each_framing(
    served: Bench, box: ScriptedBox
) -> None:
    for framing, ending in WHOLE_ENDS:
        box.script = BodyScript(framing, ending, PLAIN, 'text/plain')
        assert (framing, ask(served, box, 'app')) == (framing, PLAIN)
        box.script = BodyScript(framing, ending, WHOLE)
        assert (framing, ask(served, box, 'app')) == (framing, WHOLE)
        box.script = BodyScript(framing, ending, CHAT)
        assert (framing, ask(served, box, 'llm')) == (framing, CHAT)


def test_answers_that_break_off_are_seen(
    served: Bench, box: ScriptedBox
) -> None:
    for framing, ending in SEEN_ENDS:
        box.script = BodyScript(framing, ending, PLAIN[:7], 'text/plain')
        assert (framing, ask(served, box, 'app')) == (framing, None)
        for sent in (EVENT, *WITHIN_EVENT):
            box.script = BodyScript(framing, ending, WHOLE[:sent])
            assert (framing, ask(served, box, 'app')) == (framing, None)


def test_a_stream_that_ends_within_an_event_breaks_off_for_its_caller(
    served: Bench, box: ScriptedBox
) -> None:
    for line_end in (b'\n', b'\r\n'):
        for (framing, ending), sent in itertools.product(
            WHOLE_ENDS, WITHIN_EVENT
        ):
            part = WHOLE[:sent].replace(b'\n', line_end)
            box.script = BodyScript(framing, ending, part)
            assert (framing, sent, ask(served, box, 'app')) == (
                framing,
                sent,
                None,
            )


def test_a_closed_stream_without_an_event_breaks_off_for_its_caller(
    served: Bench, box: ScriptedBox
) -> None:
    for body in (b'', b': ping\n\n', b'\n'):
        box.script = BodyScript(Framing.CLOSE, Ending.CLOSE, body)
        assert (body, ask(served, box, 'app')) == (body, None)


def test_whole_compressed_streams_pass(
    served: Bench, box: ScriptedBox
) -> None:
    body = b'\x1f\x8b\x08 compressed'
    for framing, ending in WHOLE_ENDS:
        box.script = BodyScript(framing, ending, body, encoding='gzip')
        assert (framing, ask(served, box, 'app')) == (framing, body)


def test_the_type_of_a_stream_is_told_without_regard_to_case(
    served: Bench, box: ScriptedBox
) -> None:
    box.script = BodyScript(
        Framing.CHUNKED,
        Ending.ANNOUNCED,
        CHAT[:20],
        'Text/Event-Stream; charset=utf-8',
    )
    assert ask(served, box, 'llm') is None


def test_a_stream_without_its_end_marker_breaks_off_for_its_caller(
    served: Bench, box: ScriptedBox
) -> None:
    for framing, ending in WHOLE_ENDS:
        box.script = BodyScript(framing, ending, CHAT[:20])
        assert (framing, ask(served, box, 'llm')) == (framing, None)
