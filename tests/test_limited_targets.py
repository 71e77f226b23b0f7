"""Targets that name a limit, before the product's own entry daemons.

They read it as little as the front daemons did: a target that named a limit of
0.5 requests a second for all nodes together got 27 within 4 s, its even part.
Now they ask for a turn first, as the front daemons do.
"""

from __future__ import annotations

import itertools
import time
from typing import TYPE_CHECKING

from tests.conftest import start_plain
from tests.limits import KNOWN_SECONDS, count_allowed, count_most

if TYPE_CHECKING:
    from waywell.standins.harness import Bench

LIMIT = 0.5
"""Requests a second that a target takes."""

REQUESTS = 60
"""Of which half would go to a target that is one of two."""

PATH = '/services/app/price'

ENTRIES = ('entry-1', 'entry-2')
TARGETS = ('app-1', 'app-2')


def tell_limit(bench: Bench, names: tuple[str, ...]) -> float:
    """Let every entry box hear of the limits; return when they bind."""
    for name in names:
        bench.set_target_faults(name, limit=str(LIMIT))
    began_at = time.monotonic()
    for entry in ENTRIES:
        for _request in range(6):
            bench.get_caller(entry).call(PATH)
    time.sleep(max(0.0, began_at + KNOWN_SECONDS - time.monotonic()))
    return time.monotonic()


def ask_in_turn(bench: Bench) -> list[int]:
    """Send many requests, one entry box after the other."""
    turns = itertools.cycle([bench.get_caller(name) for name in ENTRIES])
    return [
        caller.call(PATH).status
        for _request, caller in zip(range(REQUESTS), turns, strict=False)
    ]


def count_after(bench: Bench, name: str, moment: float) -> int:
    arrivals = bench.read_target(name)['arrived_at']
    return count_most([at for at in arrivals if at >= moment])


def test_all_entry_boxes_together_keep_a_targets_limit(bench: Bench) -> None:
    start_plain(bench, ENTRIES, TARGETS)
    bound_at = tell_limit(bench, ('app-1',))
    assert set(ask_in_turn(bench)) == {200}
    assert count_after(bench, 'app-1', bound_at) <= count_allowed(LIMIT)


def test_where_all_have_a_limit_the_rest_is_refused_at_once(
    bench: Bench,
) -> None:
    start_plain(bench, ENTRIES, TARGETS)
    bound_at = tell_limit(bench, TARGETS)
    answers = ask_in_turn(bench)
    for name in TARGETS:
        assert count_after(bench, name, bound_at) <= count_allowed(LIMIT)
    assert 503 in answers
    assert set(answers) <= {200, 503}
