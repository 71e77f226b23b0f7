"""Tests that callers of the entry daemon notice truncated answers.

The end of a truncated answer can look like a regular one: a body without a
length ends with the connection, and a stream that stops within an event can
still have its announced length or last chunk.  The daemon must pass on
complete answers of each framing and abort the others.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Any

import pytest

from tests.broken_bodies import BodyScript, Ending, Framing
from tests.conftest import SHORT_TIMING
from tests.front_harness import WHOLE_STREAM
from tests.scripted_box import ScriptedBox
from waywell.client import UnreachableError
from waywell.standins.harness import Bench, BoxSpec, make_configuration

if TYPE_CHECKING:
    from collections.abc import Iterator

PLAIN_BODY = b'the whole answer'

CHAT_STREAM = b'data: {"token": 1}\n\ndata: [DONE]\n\n'
"""Complete stream of a model, with its end marker."""

EVENT_BYTES = len(b'id: 1\ndata: t1\n\n')
"""Length of each of the first events of ``WHOLE``."""

CUTS_WITHIN_EVENT = (
    EVENT_BYTES + 1,
    EVENT_BYTES + len(b'id: 2\n'),
    2 * EVENT_BYTES - 1,
)
"""Lengths at which a stream is truncated within an event."""

ALL_ENDS = list(itertools.product(Framing, Ending))

TRUNCATED_ENDS = [
    (framing, ending)
    for framing, ending in ALL_ENDS
    if ending is Ending.RESET
    or (ending is Ending.CLOSE and framing is not Framing.CLOSE)
]
"""Ends that by themselves show that a body is truncated."""

COMPLETE_ENDS = [end for end in ALL_ENDS if end not in TRUNCATED_ENDS]


@pytest.fixture
def box() -> Iterator[ScriptedBox]:
    scripted = ScriptedBox()
    yield scripted
    scripted.close()


@pytest.fixture
def served(bench: Bench, box: ScriptedBox) -> Bench:
    """Start an entry box in front of one box that runs both services."""
    services: list[dict[str, Any]] = [
        {'name': 'llm', 'type': 'model', 'fenced': False},
        {'name': 'app', 'type': 'plain', 'fenced': False},
    ]
    for name in ('llm', 'app'):
        bench.list_box_at_port(
            BoxSpec(name, fenced=False, labels={'pool': name}), box.port
        )
    bench.start_entry('entry-1', timing=SHORT_TIMING)
    configuration = make_configuration(boxes_per_group=1, service=services)
    assert bench.apply('entry-1', configuration).status == 200
    for name in ('llm', 'app'):
        bench.wait_serving('entry-1', f'{name}-main', 1)
    return bench


def ask(bench: Bench, box: ScriptedBox, service: str) -> bytes | None:
    """Return the body of an answer, or ``None`` if it is visibly truncated."""
    caller = bench.get_caller('entry-1')
    requests_before = box.requests
    try:
        answer = caller.call(
            f'/services/{service}/x',
            'POST',
            b'{}',
            {'waywell-repeatable': 'no'},
        )
    except UnreachableError:
        answer = None
    assert box.requests == requests_before + 1
    return answer.body if answer and answer.status == 200 else None


def test_complete_answers_pass_in_each_framing(
    served: Bench, box: ScriptedBox
) -> None:
    for framing, ending in COMPLETE_ENDS:
        box.script = BodyScript(framing, ending, PLAIN_BODY, 'text/plain')
        assert (framing, ask(served, box, 'app')) == (framing, PLAIN_BODY)
        box.script = BodyScript(framing, ending, WHOLE_STREAM)
        assert (framing, ask(served, box, 'app')) == (framing, WHOLE_STREAM)
        box.script = BodyScript(framing, ending, CHAT_STREAM)
        assert (framing, ask(served, box, 'llm')) == (framing, CHAT_STREAM)


def test_truncated_answers_reach_the_caller_as_truncated(
    served: Bench, box: ScriptedBox
) -> None:
    for framing, ending in TRUNCATED_ENDS:
        box.script = BodyScript(framing, ending, PLAIN_BODY[:7], 'text/plain')
        assert (framing, ask(served, box, 'app')) == (framing, None)
        for length in (EVENT_BYTES, *CUTS_WITHIN_EVENT):
            box.script = BodyScript(framing, ending, WHOLE_STREAM[:length])
            assert (framing, ask(served, box, 'app')) == (framing, None)


def test_a_stream_that_ends_within_an_event_is_aborted(
    served: Bench, box: ScriptedBox
) -> None:
    for line_end in (b'\n', b'\r\n'):
        for (framing, ending), length in itertools.product(
            COMPLETE_ENDS, CUTS_WITHIN_EVENT
        ):
            body = WHOLE_STREAM[:length].replace(b'\n', line_end)
            box.script = BodyScript(framing, ending, body)
            assert (framing, length, ask(served, box, 'app')) == (
                framing,
                length,
                None,
            )


def test_a_stream_closed_before_its_first_event_is_aborted(
    served: Bench, box: ScriptedBox
) -> None:
    for body in (b'', b': ping\n\n', b'\n'):
        box.script = BodyScript(Framing.CLOSE, Ending.CLOSE, body)
        assert (body, ask(served, box, 'app')) == (body, None)


def test_complete_compressed_streams_pass(
    served: Bench, box: ScriptedBox
) -> None:
    body = b'\x1f\x8b\x08 compressed'
    for framing, ending in COMPLETE_ENDS:
        box.script = BodyScript(framing, ending, body, encoding='gzip')
        assert (framing, ask(served, box, 'app')) == (framing, body)


def test_the_content_type_of_a_stream_is_matched_without_case(
    served: Bench, box: ScriptedBox
) -> None:
    box.script = BodyScript(
        Framing.CHUNKED,
        Ending.ANNOUNCED,
        CHAT_STREAM[:20],
        'Text/Event-Stream; charset=utf-8',
    )
    assert ask(served, box, 'llm') is None


def test_a_model_stream_without_its_end_marker_is_aborted(
    served: Bench, box: ScriptedBox
) -> None:
    for framing, ending in COMPLETE_ENDS:
        box.script = BodyScript(framing, ending, CHAT_STREAM[:20])
        assert (framing, ask(served, box, 'llm')) == (framing, None)
