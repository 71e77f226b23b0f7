"""Replicas that fall silent after a front daemon got SIGTERM."""

from __future__ import annotations

import http.client
import signal
import time
from typing import TYPE_CHECKING

import pytest

from tests.broken_bodies import BodyScript, Ending, Framing
from tests.front_harness import FrontHarness
from waywell.codes import Code
from waywell.standins.harness import wait_until

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

    from waywell.standins.harness import Process

LONG_STREAM = b''.join(b'id: %d\ndata: t\n\n' % n for n in range(1, 13))
"""Body with enough events to show the pace of an engine."""

SHORT_TOKENS = {'X_Token_Count': '100,6'}
"""Most tokens of a stream that is shorter than the observed one."""


@pytest.fixture
def front(tmp_path: Path) -> Iterator[FrontHarness]:
    harness = FrontHarness(tmp_path)
    yield harness
    harness.close()


def start_with_known_pace(front: FrontHarness) -> Process:
    """Start a node that has seen a stream without pauses."""
    front.add_servers()
    process = front.start(entry_list_kept=2.0)
    front.wait_serving(process)
    for head in front.list_heads():
        head.script.append(
            BodyScript(Framing.CHUNKED, Ending.ANNOUNCED, LONG_STREAM)
        )
    status, body, _answer = front.send_request(
        process, '/notes/1', 'small', X_Token_Count='100,12'
    )
    assert (status, body) == (200, LONG_STREAM)
    return process


def hush(front: FrontHarness) -> None:
    """Let every replica fall silent after two events, until it is woken."""
    for server in front.servers.values():
        server.unblocked.clear()
        server.script.clear()
        server.script.extend(['wait-3'] * 4)


def test_no_answer_taken_late_after_sigterm_is_cut_in_a_silence(
    front: FrontHarness,
) -> None:
    """The pace of earlier streams does not promise that a replica keeps it.

    A stream that was accepted more than 3 s after SIGTERM, because the pace
    of earlier ones let it end in time, was cut while its replica was silent.
    """
    process = start_with_known_pace(front)
    hush(front)
    runs = len(front.list_runs('m1', 'm2', 'm3', 'm4'))
    process.send_signal(signal.SIGTERM)
    sent_at = time.monotonic()
    wait_until(lambda: time.monotonic() - sent_at > 3.2, 'a late request')
    try:
        status, _body, answer = front.send_request(
            process, '/notes/2', 'small', **SHORT_TOKENS
        )
    except http.client.IncompleteRead:
        pytest.fail('the node cut an answer that it had accepted')
    assert status == 503
    assert answer.getheader('waywell-code') == str(int(Code.NODE_LEAVING))
    assert answer.getheader('waywell-ran') == 'not_run'
    assert len(front.list_runs('m1', 'm2', 'm3', 'm4')) == runs
