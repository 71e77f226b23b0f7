"""Outages of the store are distinguished from lost links of one node."""

from __future__ import annotations

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from waywell.knowledge.store_outage import OutageTracker

PAUSES = st.lists(st.floats(0.01, 2.0), min_size=1, max_size=20)
"""Seconds before each failed call."""

NEVER = -math.inf


def play_failures(
    pauses: list[float], first_down: int, last_down: int
) -> tuple[OutageTracker, float]:
    """Return a tracker after some failures and a success.

    A peer is asked after each failure.  It does not reach the store from the
    first to the last failure that are given.

    Returns
    -------
    tuple
        The tracker, and the latest time at which a peer reached the store.
    """
    tracker = OutageTracker()
    now = 10.0
    reached_at = NEVER
    for number, pause in enumerate(pauses):
        now += pause
        tracker.record_failure(reached_at, now)
        if not first_down <= number <= last_down:
            reached_at = now + 0.001
    tracker.record_success(now + 0.5)
    return tracker, reached_at


def was_outage(tracker: OutageTracker, reached_at: float) -> bool:
    return tracker.get_outage_end(reached_at) > NEVER


@given(PAUSES)
def test_failures_that_no_other_node_contradicts_are_an_outage(
    pauses: list[float],
) -> None:
    tracker, reached_at = play_failures(pauses, 0, len(pauses))
    end = tracker.get_outage_end(reached_at)
    assert end == pytest.approx(10.0 + sum(pauses) + 0.5)


@given(PAUSES)
def test_a_node_that_reached_the_store_meanwhile_rules_an_outage_out(
    pauses: list[float],
) -> None:
    tracker, reached_at = play_failures(pauses, len(pauses), len(pauses))
    assert not was_outage(tracker, reached_at)


@given(PAUSES)
def test_a_peer_without_an_answer_to_the_last_failure_changes_nothing(
    pauses: list[float],
) -> None:
    last = max(1, len(pauses) - 1)
    tracker, reached_at = play_failures(pauses, last, last)
    assert not was_outage(tracker, reached_at)


@given(PAUSES.filter(lambda pauses: len(pauses) > 1))
def test_a_peer_that_is_asked_as_the_store_returns_is_no_witness(
    pauses: list[float],
) -> None:
    tracker, reached_at = play_failures(pauses, 0, len(pauses) - 2)
    assert was_outage(tracker, reached_at)


@given(PAUSES.filter(lambda pauses: len(pauses) > 3))
def test_an_outage_may_follow_a_cut(pauses: list[float]) -> None:
    tracker, reached_at = play_failures(pauses, 1, len(pauses))
    assert was_outage(tracker, reached_at)


def test_a_single_failure_is_judged_by_later_reports_too() -> None:
    tracker, reached_at = play_failures([1.0], 0, 0)
    assert was_outage(tracker, reached_at)
    assert was_outage(tracker, 10.9)
    assert not was_outage(tracker, 11.0)


def test_each_series_of_failures_is_judged_apart() -> None:
    tracker = OutageTracker()
    tracker.record_failure(NEVER, 10.0)
    tracker.record_failure(10.001, 10.5)
    tracker.record_success(11.0)
    assert tracker.get_outage_end(10.501) == NEVER
    tracker.record_failure(10.501, 20.0)
    tracker.record_success(20.5)
    assert tracker.get_outage_end(10.501) == 20.5


def test_a_cut_right_after_an_outage_does_not_end_it_earlier() -> None:
    """A store that has just returned may turn single nodes away."""
    tracker = OutageTracker()
    tracker.record_failure(NEVER, 10.0)
    tracker.record_failure(NEVER, 11.0)
    tracker.record_success(12.0)
    tracker.record_failure(NEVER, 12.4)
    tracker.record_success(12.7)
    assert tracker.get_outage_end(12.401) == 12.0
    tracker.record_failure(12.401, 13.0)
    tracker.record_success(13.3)
    assert tracker.get_outage_end(13.001) == 12.0


def test_no_return_is_kept_after_a_reset() -> None:
    tracker = OutageTracker()
    tracker.record_failure(NEVER, 10.0)
    tracker.reset()
    assert not tracker.is_failing
    tracker.record_success(10.5)
    assert tracker.get_outage_end(NEVER) == NEVER
