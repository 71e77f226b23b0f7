"""Outages of the store are distinguished from lost links of one node."""

from __future__ import annotations

import math

from hypothesis import given
from hypothesis import strategies as st

from waywell.knowledge.store_outage import SHORTEST_OUTAGE, OutageTracker

PAUSES = st.lists(st.floats(0.01, 0.6), min_size=1, max_size=20)
"""Seconds before each question to other nodes."""

ANSWER_SECONDS = 0.05


def make_failing_tracker() -> OutageTracker:
    """Return a tracker whose last call succeeded at 10 s and then failed."""
    tracker = OutageTracker()
    tracker.record_success(10.0)
    tracker.record_failure()
    return tracker


@given(PAUSES)
def test_a_cut_of_this_node_alone_is_no_outage(pauses: list[float]) -> None:
    tracker = make_failing_tracker()
    now = 10.0
    for pause in pauses:
        now += pause
        tracker.record_sighting(now, now + ANSWER_SECONDS)
    tracker.record_success(now + 0.6)
    assert tracker.outage_end == -math.inf


@given(PAUSES, st.floats(0.0, 5.0), st.floats(SHORTEST_OUTAGE, 6.0))
def test_no_outage_is_taken_for_a_cut(
    pauses: list[float], begins_after: float, seconds: float
) -> None:
    """Other nodes are asked all the time, also right before the return."""
    tracker = make_failing_tracker()
    begins_at = 10.0 + begins_after
    ends_at = begins_at + seconds
    now = 10.0
    for pause in pauses:
        now += pause
        is_down = begins_at <= now < ends_at
        if now <= ends_at:
            reached_at = ends_at if is_down else now
            tracker.record_sighting(now, reached_at + ANSWER_SECONDS)
    tracker.record_success(ends_at + ANSWER_SECONDS)
    assert tracker.outage_end == ends_at + ANSWER_SECONDS


def test_a_short_time_of_failures_is_no_outage() -> None:
    tracker = make_failing_tracker()
    tracker.record_success(9.9 + SHORTEST_OUTAGE)
    assert tracker.outage_end == -math.inf


def test_a_long_time_without_failures_is_no_outage() -> None:
    tracker = OutageTracker()
    tracker.record_success(10.0)
    tracker.record_success(20.0)
    assert tracker.outage_end == -math.inf


def test_a_time_in_which_this_node_did_not_run_is_no_outage() -> None:
    tracker = make_failing_tracker()
    tracker.exclude(3.0, 13.2)
    tracker.record_success(13.4)
    assert tracker.outage_end == -math.inf


def test_an_outage_beside_such_a_time_is_seen() -> None:
    tracker = make_failing_tracker()
    tracker.exclude(1.0, 12.0)
    tracker.record_success(11.1 + SHORTEST_OUTAGE)
    assert tracker.outage_end == 11.1 + SHORTEST_OUTAGE


def test_no_future_time_is_excluded() -> None:
    tracker = make_failing_tracker()
    tracker.exclude(5.0, 12.0)
    tracker.record_success(12.1 + SHORTEST_OUTAGE)
    assert tracker.outage_end == 12.1 + SHORTEST_OUTAGE


def test_each_series_of_failures_is_judged_apart() -> None:
    tracker = make_failing_tracker()
    tracker.record_success(13.0)
    assert tracker.outage_end == 13.0
    tracker.record_failure()
    tracker.record_success(13.5)
    assert tracker.outage_end == 13.0
    tracker.record_failure()
    tracker.record_success(15.0)
    assert tracker.outage_end == 15.0


def test_no_outage_is_kept_after_a_reset() -> None:
    tracker = make_failing_tracker()
    tracker.record_success(13.0)
    tracker.record_failure()
    tracker.reset()
    tracker.record_success(20.0)
    assert tracker.outage_end == -math.inf
