"""Limits that replicas have reported, as known to one node."""

from __future__ import annotations

import math

import pytest

from waywell.connection.limit_header import NO_LIMIT, read_limit
from waywell.ids import BoxId, Incarnation
from waywell.limits.reported_limits import (
    MAX_REPORTS,
    REPORT_LIFETIME_SECONDS,
    LimitReport,
    ReportedLimits,
)
from waywell.version.fleet import BoxLife

LIFE = BoxLife(BoxId('a'), Incarnation(1))


def record(
    limits: ReportedLimits, limit: float, sent_at: float, received_at: float
) -> bool:
    report = LimitReport(limit, sent_at, received_at, received_at)
    return limits.record(LIFE, report, 'own')


@pytest.mark.parametrize(
    ('text', 'limit'),
    [
        (None, NO_LIMIT),
        ('1', 1.0),
        ('0', 0.0),
        ('0.2', 0.2),
        ('1e9', 1e9),
        (' 2.5 ', 2.5),
        ('', None),
        ('-1', None),
        ('nan', None),
        ('inf', None),
        ('1, 2', None),
        ('soon', None),
    ],
)
def test_an_invalid_limit_header_is_ignored(
    text: str | None, limit: float | None
) -> None:
    assert read_limit(text) == limit


def test_a_limit_ends_with_the_answer_to_a_later_request() -> None:
    limits = ReportedLimits()
    assert record(limits, 1.0, 5.0, 5.2)
    # Sent before the limit was known, so it may have been answered earlier.
    assert not record(limits, NO_LIMIT, 5.1, 5.4)
    assert limits.get(LIFE) == 1.0
    assert record(limits, NO_LIMIT, 5.3, 5.4)
    assert limits.get(LIFE) == NO_LIMIT


def test_a_delayed_answer_does_not_lift_a_later_limit() -> None:
    limits = ReportedLimits()
    record(limits, 2.0, 1.0, 1.1)
    record(limits, 1.0, 2.0, 2.1)
    assert not record(limits, 2.0, 1.5, 2.4)
    assert limits.get(LIFE) == 1.0


def test_a_lower_limit_holds_unless_it_is_certainly_older() -> None:
    limits = ReportedLimits()
    record(limits, 2.0, 2.0, 2.2)
    assert not record(limits, 1.0, 1.0, 1.9)
    assert record(limits, 1.0, 1.0, 2.1)


def test_small_changes_of_a_limit_are_ignored() -> None:
    limits = ReportedLimits()
    record(limits, 10.0, 1.0, 1.1)
    assert not record(limits, 10.5, 2.0, 2.1)
    assert not record(limits, 9.2, 3.0, 3.1)
    assert limits.get(LIFE) == 10.0
    assert record(limits, 8.9, 4.0, 4.1)
    assert record(limits, 0.0, 5.0, 5.1)
    assert not record(limits, 0.0, 6.0, 6.1)


def test_an_older_report_does_not_restore_a_lifted_limit() -> None:
    limits = ReportedLimits()
    record(limits, 1.0, 1.0, 1.1)
    record(limits, NO_LIMIT, 2.0, 2.1)
    assert not record(limits, 1.0, 1.0, 1.9)
    assert limits.get(LIFE) == NO_LIMIT


def test_the_start_of_a_limit_is_kept_when_it_changes() -> None:
    limits = ReportedLimits()
    record(limits, 1.0, 1.0, 1.1)
    record(limits, 0.5, 2.0, 2.1)
    record(limits, 3.0, 3.0, 3.1)
    report = limits.find(LIFE)
    assert report is not None
    assert report.limited_since == 1.1


def test_the_earlier_start_of_a_limit_is_learned_from_another_node() -> None:
    limits = ReportedLimits()
    record(limits, 1.0, 50.0, 50.1)
    assert not limits.record(LIFE, LimitReport(1.0, 40.0, 40.1, 3.0), 'other')
    report = limits.find(LIFE)
    assert report is not None
    assert (report.received_at, report.limited_since) == (50.1, 3.0)


def test_the_number_and_age_of_reports_are_bounded() -> None:
    limits = ReportedLimits()
    for number in range(MAX_REPORTS + 5):
        life = BoxLife(BoxId(f'b{number}'), Incarnation(1))
        limits.record(life, LimitReport(1.0, number, number, number), 'own')
    assert len(limits.list_reports()) == MAX_REPORTS
    limits.forget_old(MAX_REPORTS + 5 + REPORT_LIFETIME_SECONDS)
    assert not limits.list_reports()
    assert math.isinf(limits.get(LIFE))
