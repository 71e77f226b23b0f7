"""Entry daemons keep the limits that targets report.

Entry daemons that ignore a limit spread requests evenly: a target with a limit
of 0.5 requests a second for all nodes together got 27 within 4 s.  They need
permits like the front daemons.
"""

from __future__ import annotations

import itertools
import time
from typing import TYPE_CHECKING

from tests.conftest import start_plain_targets
from tests.limits import KNOWN_SECONDS, count_allowed, count_most

if TYPE_CHECKING:
    from waywell.standins.harness import Bench

LIMIT = 0.5
"""Limit that a target reports, in requests a second."""

REQUESTS = 60
"""Requests sent; without a limit, each of two targets would get half."""

PATH = '/services/app/price'

ENTRIES = ('entry-1', 'entry-2')
TARGETS = ('app-1', 'app-2')


def report_limit(bench: Bench, names: tuple[str, ...]) -> float:
    """Report the limits to every entry box; return when they must hold."""
    for name in names:
        bench.set_target_faults(name, limit=str(LIMIT))
    reported_at = time.monotonic()
    for entry in ENTRIES:
        for _request in range(6):
            bench.get_caller(entry).call(PATH)
    time.sleep(max(0.0, reported_at + KNOWN_SECONDS - time.monotonic()))
    return time.monotonic()


def send_round_robin(bench: Bench) -> list[int]:
    """Send requests to the entry boxes in turn; return the statuses."""
    cycle = itertools.cycle([bench.get_caller(name) for name in ENTRIES])
    return [
        caller.call(PATH).status
        for _request, caller in zip(range(REQUESTS), cycle, strict=False)
    ]


def count_after(bench: Bench, name: str, moment: float) -> int:
    arrivals = bench.read_target_counts(name)['arrived_at']
    return count_most([at for at in arrivals if at >= moment])


def test_all_entry_boxes_together_keep_the_limit_of_a_target(
    bench: Bench,
) -> None:
    start_plain_targets(bench, ENTRIES, TARGETS)
    effective_at = report_limit(bench, ('app-1',))
    assert set(send_round_robin(bench)) == {200}
    assert count_after(bench, 'app-1', effective_at) <= count_allowed(LIMIT)


def test_requests_above_the_limits_of_all_targets_are_refused(
    bench: Bench,
) -> None:
    start_plain_targets(bench, ENTRIES, TARGETS)
    effective_at = report_limit(bench, TARGETS)
    statuses = send_round_robin(bench)
    for name in TARGETS:
        assert count_after(bench, name, effective_at) <= count_allowed(LIMIT)
    assert 503 in statuses
    assert set(statuses) <= {200, 503}
