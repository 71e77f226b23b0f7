"""How long callers have waited, told from what they have left."""

from __future__ import annotations

from waywell.request.time_limits import LEAST_ALIKE, REMEMBERED, TimeLimits


def test_nothing_is_told_before_a_limit_is_usual() -> None:
    limits = TimeLimits()
    for seconds in (6.1, 5.3, 4.4, 3.9):
        assert limits.note('r', seconds) == 0


def test_a_caller_with_less_time_than_usual_has_waited() -> None:
    limits = TimeLimits()
    for _first in range(LEAST_ALIKE):
        assert limits.note('r', 8.0) == 0
    assert limits.note('r', 6.5) == 1.5
    assert limits.note('other', 6.5) == 0


def test_a_caller_with_more_time_than_usual_has_not_waited() -> None:
    limits = TimeLimits()
    for _first in range(LEAST_ALIKE):
        limits.note('r', 8.0)
    assert limits.note('r', 16.0) == 0


def test_a_new_usual_limit_replaces_the_old_one() -> None:
    limits = TimeLimits()
    for _first in range(REMEMBERED):
        limits.note('r', 8.0)
    for _second in range(REMEMBERED):
        limits.note('r', 4.0)
    assert limits.note('r', 4.0) == 0
