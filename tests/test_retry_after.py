"""When refused callers come back.

Load: a model has lost most of its groups at one moment; the callers that were
refused within a second all come back.
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

PATIENT_SECONDS = 8.0


@pytest.mark.parametrize('reason', list(RefusalReason))
def test_callers_refused_at_one_moment_come_back_spread_out(
    reason: RefusalReason,
) -> None:
    random = Random(1)
    returns = sorted(
        compute_retry_after(reason, PATIENT_SECONDS, random.random())
        for _ in range(100)
    )
    most_in_a_tenth = max(
        sum(at <= other < at + 0.1 for other in returns) for at in returns
    )
    assert most_in_a_tenth <= 25


def test_a_model_without_a_group_needs_longer_than_a_full_replica() -> None:
    for draw in (0.0, 0.5, 0.99):
        full = compute_retry_after(RefusalReason.FULL, PATIENT_SECONDS, draw)
        lacking = compute_retry_after(
            RefusalReason.NO_GROUP, PATIENT_SECONDS, draw
        )
        assert lacking > full
    assert min(FULL_SECONDS) < min(NO_GROUP_SECONDS)


@given(
    st.sampled_from(RefusalReason),
    st.floats(-5, 600),
    st.floats(0, 1, exclude_max=True),
)
def test_who_comes_back_has_time_left_for_the_answer(
    reason: RefusalReason, left: float, draw: float
) -> None:
    advised = compute_retry_after(reason, left, draw)
    assert advised >= 0
    assert advised <= max(0.0, MAX_SHARE_OF_TIME_LEFT * left) + 0.001
