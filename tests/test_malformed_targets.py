"""Callers of the entry daemon never get an answer with a malformed head."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

import pytest

from tests.conftest import SHORT_TIMING
from tests.raw_heads import (
    MALFORMED_HEADS,
    PLAIN_BODY,
    UNUSUAL_HEADS,
    RawAnswer,
)
from tests.scripted_box import ScriptedBox
from waywell.standins.harness import (
    Bench,
    BoxSpec,
    make_configuration,
    wait_until,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from waywell.client import Answer


@pytest.fixture(scope='module')
def running() -> Iterator[tuple[Bench, ScriptedBox]]:
    """Start an entry box in front of one box that runs a plain service."""
    box = ScriptedBox()
    services: list[dict[str, Any]] = [
        {'name': 'llm', 'type': 'model', 'fenced': False},
        {'name': 'app', 'type': 'plain', 'fenced': False},
    ]
    with Bench() as bench:
        bench.list_box_at_port(
            BoxSpec('app', fenced=False, labels={'pool': 'app'}), box.port
        )
        bench.start_entry('entry-1', timing=SHORT_TIMING)
        configuration = make_configuration(boxes_per_group=1, service=services)
        assert bench.apply('entry-1', configuration).status == 200
        bench.wait_serving('entry-1', 'app-main', 1)
        yield bench, box
    box.close()


@pytest.fixture
def served(running: tuple[Bench, ScriptedBox]) -> tuple[Bench, ScriptedBox]:
    """Return an entry box and a box to which it sends requests."""
    bench, box = running
    box.script = RawAnswer()
    wait_until(lambda: ask(bench).status == 200, 'a usable box')
    return running


def ask(bench: Bench) -> Answer:
    """Return the answer to a request that may run once."""
    caller = bench.get_caller('entry-1')
    headers = {'waywell-repeatable': 'no'}
    return caller.call('/services/app/x', 'POST', b'{}', headers)


def check_failed(bench: Bench, box: ScriptedBox, script: RawAnswer) -> None:
    """Assert that a request fails visibly after it has run once."""
    before = box.requests
    box.script = script
    answer = ask(bench)
    assert answer.status == 502
    assert PLAIN_BODY not in answer.body
    assert answer.headers['waywell-ran'] == 'may_have_run'
    assert 'x-note' not in answer.headers
    assert box.requests == before + 1


@pytest.mark.parametrize('name', MALFORMED_HEADS)
def test_a_malformed_answer_fails_at_the_caller(
    served: tuple[Bench, ScriptedBox], name: str
) -> None:
    check_failed(*served, MALFORMED_HEADS[name])


@pytest.mark.parametrize('name', UNUSUAL_HEADS)
def test_an_unusual_answer_is_passed_on(
    served: tuple[Bench, ScriptedBox], name: str
) -> None:
    bench, box = served
    box.script = UNUSUAL_HEADS[name]
    answer = ask(bench)
    assert (answer.status, answer.body) == (200, PLAIN_BODY)


WHOLE = RawAnswer(framing=(b'connection: close',))


@pytest.mark.parametrize('size', [0, 5, 17, 25, len(WHOLE.encode_head()) - 1])
def test_a_head_that_stops_early_fails_at_the_caller(
    served: tuple[Bench, ScriptedBox], size: int
) -> None:
    check_failed(*served, replace(WHOLE, sent=size))


def test_a_malformed_answer_is_logged_with_its_reason(
    served: tuple[Bench, ScriptedBox],
) -> None:
    bench, box = served
    check_failed(bench, box, RawAnswer(b'HTTP/1.1 000 Odd'))
    (log,) = bench.folder.glob('entry-entry-1-*.log')
    reason = f'server=127.0.0.1:{box.port} reason=status_code'
    wait_until(lambda: reason in log.read_text(), 'the reason in the log')

    def list_faults() -> list[str]:
        events = bench.read_history('history-*.jsonl')
        return [event['fault'] for event in events if 'fault' in event]

    wait_until(lambda: 'malformed' in list_faults(), 'the failed attempt')
