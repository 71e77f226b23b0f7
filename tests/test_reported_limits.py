"""The limits that replicas have named, as one node knows them."""

from __future__ import annotations

import math

import pytest

from waywell.connection.named_limit import NO_LIMIT, read_limit
from waywell.ids import BoxId, Incarnation
from waywell.limits.reported_limits import (
    MAX_REPORTS,
    REPORT_TTL_SECONDS,
    LimitReport,
    ReportedLimits,
)
from waywell.version.fleet import BoxLife

LIFE = BoxLife(BoxId('a'), Incarnation(1))


def note(
    limits: ReportedLimits, limit: float, sent_at: float, received_at: float
) -> bool:
    word = LimitReport(limit, sent_at, received_at, received_at)
    return limits.record(LIFE, word, 'own')


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
def test_a_text_that_is_no_limit_neither_names_nor_ends_one(
    text: str | None, limit: float | None
) -> None:
    assert read_limit(text) == limit


def test_a_limit_lasts_until_a_later_request_is_answered_without() -> None:
    limits = ReportedLimits()
    assert note(limits, 1.0, 5.0, 5.2)
    # Sent before the word was heard: it may have been answered before it.
    assert not note(limits, NO_LIMIT, 5.1, 5.4)
    assert limits.get(LIFE) == 1.0
    assert note(limits, NO_LIMIT, 5.3, 5.4)
    assert limits.get(LIFE) == NO_LIMIT


def test_an_answer_that_overtook_another_lifts_no_later_limit() -> None:
    limits = ReportedLimits()
    note(limits, 2.0, 1.0, 1.1)
    note(limits, 1.0, 2.0, 2.1)
    assert not note(limits, 2.0, 1.5, 2.4)
    assert limits.get(LIFE) == 1.0


def test_a_lower_limit_holds_unless_it_is_surely_older() -> None:
    limits = ReportedLimits()
    note(limits, 2.0, 2.0, 2.2)
    assert not note(limits, 1.0, 1.0, 1.9)
    assert note(limits, 1.0, 1.0, 2.1)


def test_limits_that_differ_by_little_are_no_news() -> None:
    limits = ReportedLimits()
    note(limits, 10.0, 1.0, 1.1)
    assert not note(limits, 10.5, 2.0, 2.1)
    assert not note(limits, 9.2, 3.0, 3.1)
    assert limits.get(LIFE) == 10.0
    assert note(limits, 8.9, 4.0, 4.1)
    assert note(limits, 0.0, 5.0, 5.1)
    assert not note(limits, 0.0, 6.0, 6.1)


def test_an_ended_limit_is_not_named_again_by_an_older_word() -> None:
    limits = ReportedLimits()
    note(limits, 1.0, 1.0, 1.1)
    note(limits, NO_LIMIT, 2.0, 2.1)
    assert not note(limits, 1.0, 1.0, 1.9)
    assert limits.get(LIFE) == NO_LIMIT


def test_it_is_known_since_when_a_box_has_a_limit() -> None:
    limits = ReportedLimits()
    note(limits, 1.0, 1.0, 1.1)
    note(limits, 0.5, 2.0, 2.1)
    note(limits, 3.0, 3.0, 3.1)
    word = limits.find(LIFE)
    assert word is not None
    assert word.limited_since == 1.1


def test_a_node_that_learns_of_an_old_limit_does_not_take_it_for_new() -> None:
    limits = ReportedLimits()
    note(limits, 1.0, 50.0, 50.1)
    assert not limits.record(LIFE, LimitReport(1.0, 40.0, 40.1, 3.0), 'other')
    word = limits.find(LIFE)
    assert word is not None
    assert (word.received_at, word.limited_since) == (50.1, 3.0)


def test_what_is_kept_is_bounded_and_ends() -> None:
    limits = ReportedLimits()
    for number in range(MAX_REPORTS + 5):
        life = BoxLife(BoxId(f'b{number}'), Incarnation(1))
        limits.record(life, LimitReport(1.0, number, number, number), 'own')
    assert len(limits.list_reports()) == MAX_REPORTS
    limits.forget_old(MAX_REPORTS + 5 + REPORT_TTL_SECONDS)
    assert not limits.list_reports()
    assert math.isinf(limits.get(LIFE))
