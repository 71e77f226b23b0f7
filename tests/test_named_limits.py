"""The limits that replicas have named, as one node knows them."""

from __future__ import annotations

import math

import pytest

from waywell.connection.named_limit import NO_LIMIT, read_limit
from waywell.ids import BoxId, Incarnation
from waywell.limits.named_limits import (
    KEPT_SECONDS,
    MOST_KEPT,
    LimitWord,
    NamedLimits,
)
from waywell.version.fleet import BoxLife

LIFE = BoxLife(BoxId('a'), Incarnation(1))


def note(
    limits: NamedLimits, limit: float, sent_at: float, heard_at: float
) -> bool:
    word = LimitWord(limit, sent_at, heard_at, heard_at)
    return limits.note(LIFE, word, 'own')


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
    limits = NamedLimits()
    assert note(limits, 1.0, 5.0, 5.2)
    # Sent before the word was heard: it may have been answered before it.
    assert not note(limits, NO_LIMIT, 5.1, 5.4)
    assert limits.get(LIFE) == 1.0
    assert note(limits, NO_LIMIT, 5.3, 5.4)
    assert limits.get(LIFE) == NO_LIMIT


def test_an_answer_that_overtook_another_lifts_no_later_limit() -> None:
    limits = NamedLimits()
    note(limits, 2.0, 1.0, 1.1)
    note(limits, 1.0, 2.0, 2.1)
    assert not note(limits, 2.0, 1.5, 2.4)
    assert limits.get(LIFE) == 1.0


def test_a_lower_limit_holds_unless_it_is_surely_older() -> None:
    limits = NamedLimits()
    note(limits, 2.0, 2.0, 2.2)
    assert not note(limits, 1.0, 1.0, 1.9)
    assert note(limits, 1.0, 1.0, 2.1)


def test_limits_that_differ_by_little_are_no_news() -> None:
    limits = NamedLimits()
    note(limits, 10.0, 1.0, 1.1)
    assert not note(limits, 10.5, 2.0, 2.1)
    assert not note(limits, 9.2, 3.0, 3.1)
    assert limits.get(LIFE) == 10.0
    assert note(limits, 8.9, 4.0, 4.1)
    assert note(limits, 0.0, 5.0, 5.1)
    assert not note(limits, 0.0, 6.0, 6.1)


def test_an_ended_limit_is_not_named_again_by_an_older_word() -> None:
    limits = NamedLimits()
    note(limits, 1.0, 1.0, 1.1)
    note(limits, NO_LIMIT, 2.0, 2.1)
    assert not note(limits, 1.0, 1.0, 1.9)
    assert limits.get(LIFE) == NO_LIMIT


def test_it_is_known_since_when_a_box_has_a_limit() -> None:
    limits = NamedLimits()
    note(limits, 1.0, 1.0, 1.1)
    note(limits, 0.5, 2.0, 2.1)
    note(limits, 3.0, 3.0, 3.1)
    word = limits.find(LIFE)
    assert word is not None
    assert word.named_at == 1.1


def test_a_node_that_learns_of_an_old_limit_does_not_take_it_for_new() -> None:
    limits = NamedLimits()
    note(limits, 1.0, 50.0, 50.1)
    assert not limits.note(LIFE, LimitWord(1.0, 40.0, 40.1, 3.0), 'other')
    word = limits.find(LIFE)
    assert word is not None
    assert (word.heard_at, word.named_at) == (50.1, 3.0)


def test_what_is_kept_is_bounded_and_ends() -> None:
    limits = NamedLimits()
    for number in range(MOST_KEPT + 5):
        life = BoxLife(BoxId(f'b{number}'), Incarnation(1))
        limits.note(life, LimitWord(1.0, number, number, number), 'own')
    assert len(limits.list_words()) == MOST_KEPT
    limits.forget_old(MOST_KEPT + 5 + KEPT_SECONDS)
    assert not limits.list_words()
    assert math.isinf(limits.get(LIFE))
