"""Retry-after values of refused requests.

They guard against retries that all arrive at once: when a model loses most of
its groups, the callers that were refused within one second all come back.
"""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from waywell.request.retry_after import (
    FULL_SECONDS,
    MAX_SHARE_OF_TIME_LEFT,
    NO_GROUP_SECONDS,
    RefusalReason,
    compute_retry_after,
)

LONG_TIMEOUT = 8.0


@pytest.mark.parametrize('reason', list(RefusalReason))
def test_retries_of_simultaneous_refusals_are_spread_out(
    reason: RefusalReason,
) -> None:
    random = Random(1)
    delays = sorted(
        compute_retry_after(reason, LONG_TIMEOUT, random.random())
        for _ in range(100)
    )
    max_in_a_tenth = max(
        sum(at <= other < at + 0.1 for other in delays) for at in delays
    )
    assert max_in_a_tenth <= 25


def test_retry_is_later_without_a_group_than_for_a_full_replica() -> None:
    for draw in (0.0, 0.5, 0.99):
        full = compute_retry_after(RefusalReason.FULL, LONG_TIMEOUT, draw)
        no_group = compute_retry_after(
            RefusalReason.NO_GROUP, LONG_TIMEOUT, draw
        )
        assert no_group > full
    assert min(FULL_SECONDS) < min(NO_GROUP_SECONDS)


@given(
    st.sampled_from(RefusalReason),
    st.floats(-5, 600),
    st.floats(0, 1, exclude_max=True),
)
def test_retry_leaves_time_for_the_answer(
    reason: RefusalReason, left: float, draw: float
) -> None:
    delay = compute_retry_after(reason, left, draw)
    assert delay >= 0
    assert delay <= max(0.0, MAX_SHARE_OF_TIME_LEFT * left) + 0.001
