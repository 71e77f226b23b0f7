"""Tests of poll intervals and retry delays."""

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
def test_intervals_fit_into_the_promised_bounds(
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
    update_seconds = intervals.box_interval + intervals.ask_interval
    assert update_seconds < promises.leaving_within / 2
    assert update_seconds < intervals.box_max_age < promises.leaving_within
    assert (
        intervals.route_watch_seconds
        < intervals.route_max_age
        < promises.applied_within
    )
    assert 2 * intervals.route_max_age <= promises.keys_refused_within


def test_tighter_bounds_give_shorter_intervals() -> None:
    default = make_poll_intervals(PromiseSettings())
    tight = make_poll_intervals(
        PromiseSettings(leaving_within_ms=600.0, applied_within_ms=600.0),
    )
    assert tight.box_interval < default.box_interval
    assert tight.ask_interval < default.ask_interval
    assert tight.route_watch_seconds < default.route_watch_seconds


def count_calls(
    seconds: float, *, reads_for_others: bool, seed: int, nodes: int = 1
) -> int:
    """Count the calls of one node while the platform rejects all of them."""
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


def test_retries_of_all_nodes_back_off_during_an_outage() -> None:
    """Load: 195 nodes, 5 of them readers, an outage of the store of 9 s.

    Guards against each node calling four times a second for routes and for
    boxes, which makes 7,020 calls for each of the two.
    """
    follower_calls = sum(
        count_calls(9.0, reads_for_others=False, seed=seed)
        for seed in range(190)
    )
    reader_calls = sum(
        count_calls(9.0, reads_for_others=True, seed=seed) for seed in range(5)
    )
    assert follower_calls < 190 * 8
    assert 5 * 15 < reader_calls < 5 * 30


def test_retry_delay_of_a_reader_is_below_three_quarters_of_a_second() -> None:
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


def test_retry_delays_of_simultaneous_failures_are_spread() -> None:
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


def test_retry_rate_of_all_nodes_is_bounded_in_large_fleets() -> None:
    """Load: 71 nodes, all rejected by the store for 30 s.

    Guards against a maximum delay of two seconds per node regardless of their
    number: 71 calls each for routes and boxes every two seconds, each at a
    cost.
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


def test_retry_delay_of_a_single_node_is_at_most_two_seconds() -> None:
    waits = [
        choose_retry_delay(9, reads_for_others=False, nodes=1, draw=0.5)
        for _ in range(3)
    ]
    assert waits == [2.0, 2.0, 2.0]
