"""Groups whose head is silent for about a second."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING, Any

import pytest

from tests.front_harness import FrontHarness
from waywell.standins.harness import wait_until

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

SILENCE_SECONDS = 1.2
"""Length of the silence, shorter than the time in which a group breaks."""


@pytest.fixture
def front(tmp_path: Path) -> Iterator[FrontHarness]:
    harness = FrontHarness(tmp_path)
    yield harness
    harness.close()


def test_no_group_is_taken_apart_while_its_silent_head_answers(
    front: FrontHarness,
) -> None:
    """A member that leaves ends the answers of a head that would go on.

    The heads were silent, to callers and to health checks, for 1.2 s.
    """
    front.add_servers()
    process = front.start()
    front.wait_serving(process)
    heads = front.list_heads()
    for head in heads:
        head.unblocked.clear()
        head.script.append('wait-3')
        report = head.make_report

        def wait_and_report(
            unblocked: threading.Event = head.unblocked, report: Any = report
        ) -> dict[str, Any]:
            unblocked.wait(20)
            return dict(report())

        head.make_report = wait_and_report  # type: ignore[method-assign]
    answers: list[int] = []
    thread = threading.Thread(
        target=lambda: answers.append(
            front.send_request(process, '/notes/1', 'small')[0]
        )
    )
    thread.start()
    names = ('m1', 'm2', 'm3', 'm4')
    wait_until(lambda: front.list_runs(*names), 'the run')
    began_at = time.monotonic()
    wait_until(
        lambda: time.monotonic() - began_at > SILENCE_SECONDS, 'the silence'
    )
    orders = [
        order['operation']
        for name in names
        for order in front.servers[name].orders
    ]
    for head in heads:
        head.unblocked.set()
    thread.join()
    assert answers == [200]
    assert 'leave' not in orders
