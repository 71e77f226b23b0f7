"""Numbered documents: only higher versions, whole or as changes."""

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
def test_change_leads_from_old_to_new(old: dict, new: dict) -> None:
    first = Document(3, old, ('a',))
    second = first.make_next_version(new, 'b')
    change = compare_documents(first, second)
    assert apply_change(first, change) == second


def test_change_needs_its_base() -> None:
    change = Change(2, 3, {}, (), ('c',))
    assert apply_change(Document(1), change) is None


def test_encoding_is_reversible() -> None:
    document = Document(4, {'k/n': {'a': [1, 'b']}}, ('op',))
    decoded = msgspec.json.decode(document.encode(), type=Document)
    assert decoded == document


def test_follow_goes_above_the_floor() -> None:
    assert Document(3).make_next_version({}, 'x', floor=9).number == 10


def test_operations_are_bounded() -> None:
    document = Document()
    for number in range(100):
        document = document.make_next_version({}, str(number))
    assert document.operations[-1] == '99'
    assert len(document.operations) == 32


@given(st.lists(st.tuples(st.integers(1, 30), ENTRIES), max_size=30))
def test_ledger_never_goes_back(offers: list) -> None:
    ledger = DocumentHistory(DocumentKind.ROSTER)
    highest = 0
    for number, entries in offers:
        adopted = ledger.adopt(Document(number, entries))
        assert adopted == (number > highest)
        highest = max(highest, number)
        assert ledger.current.number == highest


@pytest.mark.parametrize('have', [0, 1, 2, 3, 99])
def test_offer_brings_any_holder_up_to_date(have: int) -> None:
    ledger = DocumentHistory(DocumentKind.ROSTER)
    versions = {0: Document()}
    for number in (1, 2, 3):
        versions[number] = Document(number, {'a': {'v': number}})
        ledger.adopt(versions[number])
    offered = ledger.make_update(have)
    if isinstance(offered, Change):
        assert apply_change(versions[have], offered) == ledger.current
    else:
        assert offered == ledger.current
