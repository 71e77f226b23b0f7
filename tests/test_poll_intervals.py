"""How often a node looks, by what was promised."""

from __future__ import annotations

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from waywell.knowledge.poll_intervals import (
    choose_retry_delay,
    make_poll_intervals,
)
from waywell.process.front_settings import PromiseSettings

BOUNDS = st.floats(300.0, 60_000.0)


@given(BOUNDS, BOUNDS, BOUNDS)
def test_two_looks_and_a_question_fit_into_each_bound(
    leaving_ms: float,
    applied_ms: float,
    refused_ms: float,
) -> None:
    promises = PromiseSettings(
        keys_refused_within_ms=refused_ms,
        leaving_within_ms=leaving_ms,
        applied_within_ms=applied_ms,
    )
    intervals = make_poll_intervals(promises)
    told = intervals.box_interval + intervals.ask_interval
    assert told < promises.leaving_within / 2
    assert told < intervals.box_max_age < promises.leaving_within
    assert (
        intervals.route_watch_seconds
        < intervals.route_max_age
        < promises.applied_within
    )
    assert 2 * intervals.route_max_age <= promises.keys_refused_within


def test_a_tighter_bound_is_looked_after_more_often() -> None:
    usual = make_poll_intervals(PromiseSettings())
    tight = make_poll_intervals(
        PromiseSettings(leaving_within_ms=600.0, applied_within_ms=600.0),
    )
    assert tight.box_interval < usual.box_interval
    assert tight.ask_interval < usual.ask_interval
    assert tight.route_watch_seconds < usual.route_watch_seconds


def count_calls(
    seconds: float, *, reads_for_others: bool, seed: int, nodes: int = 1
) -> int:
    """Return the calls of one node while the platform refuses all of them."""
    random = Random(seed)
    now, failures = 0.0, 0
    while now < seconds:
        failures += 1
        now += choose_retry_delay(
            failures,
            reads_for_others=reads_for_others,
            nodes=nodes,
            draw=random.random(),
        )
    return failures


def test_a_platform_that_refuses_is_asked_ever_less_by_all_together() -> None:
    """Load: 195 nodes, 5 of them readers, the store away for 9 s.

    Each node called four times a second for routes and for boxes: 7,020 calls
    for each of the two.
    """
    others = sum(
        count_calls(9.0, reads_for_others=False, seed=seed)
        for seed in range(190)
    )
    readers = sum(
        count_calls(9.0, reads_for_others=True, seed=seed) for seed in range(5)
    )
    assert others < 190 * 8
    assert 5 * 15 < readers < 5 * 30


def test_a_reader_is_never_late_by_more_than_three_quarters_of_a_second() -> (
    None
):
    waits = [
        choose_retry_delay(
            failures, reads_for_others=True, nodes=195, draw=0.999
        )
        for failures in range(1, 2000)
    ]
    assert max(waits) < 0.75
    assert (
        choose_retry_delay(1, reads_for_others=False, nodes=195, draw=0.5)
        == 0.25
    )


def test_nodes_that_failed_at_one_moment_call_again_at_others() -> None:
    random = Random(7)
    waits = {
        round(
            choose_retry_delay(
                3, reads_for_others=False, nodes=195, draw=random.random()
            ),
            2,
        )
        for _ in range(195)
    }
    assert len(waits) > 50
    assert min(waits) >= 0.5
    assert max(waits) <= 1.5


def test_hundreds_of_nodes_share_the_calls_to_a_platform_that_refuses() -> (
    None
):
    """Load: 71 nodes, the store turning all of them away for 30 s.

    Each of them called every other second at last: 71 calls for each of routes
    and boxes every two seconds, each with its price.
    """
    alone, together = (
        sum(
            count_calls(30.0, reads_for_others=False, seed=seed, nodes=nodes)
            for seed in range(71)
        )
        for nodes in (1, 71)
    )
    assert alone > 71 * 15
    assert together < 71 * 9


def test_a_node_that_hears_from_nobody_calls_as_often_as_ever() -> None:
    waits = [
        choose_retry_delay(9, reads_for_others=False, nodes=1, draw=0.5)
        for _ in range(3)
    ]
    assert waits == [2.0, 2.0, 2.0]
