"""Numbered documents, their changes and the history of versions."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from waywell.version.document import (
    Change,
    Document,
    DocumentHistory,
    DocumentKind,
    apply_change,
    compare_documents,
)

ENTRIES = st.dictionaries(
    st.sampled_from('abcdef'),
    st.fixed_dictionaries({'x': st.integers(0, 3)}),
)


@given(ENTRIES, ENTRIES)
def test_a_change_turns_the_old_version_into_the_new(
    old: dict, new: dict
) -> None:
    first = Document(3, old, ('a',))
    second = first.make_next_version(new, 'b')
    change = compare_documents(first, second)
    assert apply_change(first, change) == second


def test_a_change_applies_to_its_base_only() -> None:
    change = Change(2, 3, {}, (), ('c',))
    assert apply_change(Document(1), change) is None


def test_a_document_survives_encoding() -> None:
    document = Document(4, {'k/n': {'a': [1, 'b']}}, ('op',))
    decoded = msgspec.json.decode(document.encode(), type=Document)
    assert decoded == document


def test_the_next_version_is_above_the_floor() -> None:
    assert Document(3).make_next_version({}, 'x', floor=9).number == 10


def test_the_number_of_operations_is_bounded() -> None:
    document = Document()
    for number in range(100):
        document = document.make_next_version({}, str(number))
    assert document.operations[-1] == '99'
    assert len(document.operations) == 32


@given(st.lists(st.tuples(st.integers(1, 30), ENTRIES), max_size=30))
def test_the_version_in_force_never_decreases(documents: list) -> None:
    history = DocumentHistory(DocumentKind.ROSTER)
    highest = 0
    for number, entries in documents:
        adopted = history.adopt(Document(number, entries))
        assert adopted == (number > highest)
        highest = max(highest, number)
        assert history.current.number == highest


@pytest.mark.parametrize('known_number', [0, 1, 2, 3, 99])
def test_an_update_brings_every_peer_up_to_date(known_number: int) -> None:
    history = DocumentHistory(DocumentKind.ROSTER)
    versions = {0: Document()}
    for number in (1, 2, 3):
        versions[number] = Document(number, {'a': {'v': number}})
        history.adopt(versions[number])
    update = history.make_update(known_number)
    if isinstance(update, Change):
        assert apply_change(versions[known_number], update) == history.current
    else:
        assert update == history.current
