"""Times of the graceful stop of a front daemon."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from waywell.process.front_drain import (
    CUT_FRACTION,
    ENTRY_LIST_TERM_FACTOR,
    SIGNAL_DELAY,
)
from waywell.process.front_settings import PromiseSettings


@given(st.floats(1.0, 100.0), st.floats(0.0, 1000.0))
def test_requests_are_cut_in_the_last_sixth_only(
    stop_within: float, now: float
) -> None:
    times = PromiseSettings(stop_within=stop_within).make_drain_times(now)
    cut_after = times.window.ends_at - now
    assert cut_after >= stop_within * (1 - CUT_FRACTION) - 1e-6
    assert times.window.ends_at < times.withdrawn_by < now + stop_within


def test_callers_have_left_when_only_deadlines_bound_their_answers() -> None:
    """Later callers would be refused, although other nodes could serve them."""
    promises = PromiseSettings()
    times = promises.make_drain_times(10.0)
    assert times.accepts_until <= 10.0 + promises.cut_answers_within
    kept = promises.entry_list_term * ENTRY_LIST_TERM_FACTOR
    assert times.accepts_until == 10.0 + kept


def test_estimates_allow_for_a_signal_that_is_noticed_late() -> None:
    times = PromiseSettings(cut_answers_within=3.0).make_drain_times(10.0)
    assert times.window.estimates_until + SIGNAL_DELAY == 13.0
