"""Decoding of entries of the platform's list of servers."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from waywell.platform.servers import decode_server
from waywell.version.fleet import MemberState

ENTRY = {
    'service': 'llm',
    'address': '10.128.0.9:8080',
    'zone': 'hall-port',
    'version': 'v1',
    'slots': 9,
    'state': 'ready',
    'cold_left_ms': 0,
    'models': [{'name': 'big', 'version': 1, 'adapters': []}],
    'seq_no': 4,
    'domain': 'd0',
    'staged': ['big'],
    'group': {'name': 'big.7', 'epoch': 7, 'rank': 1, 'state': 'ready'},
}


def test_an_entry_is_decoded_into_a_box() -> None:
    box = decode_server('i-1', ENTRY)
    assert (box.host, box.port) == ('10.128.0.9', 8080)
    assert box.staged == ('big',)
    assert box.standing is not None
    assert box.standing.state is MemberState.READY
    assert box.standing.rank == 1
    assert not box.leaving


def test_a_draining_entry_is_a_leaving_box() -> None:
    assert decode_server('i-1', {**ENTRY, 'state': 'draining'}).leaving


def test_an_entry_without_a_group_has_no_standing() -> None:
    assert decode_server('i-1', {**ENTRY, 'group': None}).standing is None
    group = {**ENTRY['group'], 'name': ''}
    assert decode_server('i-1', {**ENTRY, 'group': group}).standing is None


def test_staged_models_may_be_given_as_tables() -> None:
    box = decode_server('i-1', {**ENTRY, 'staged': [{'name': 'small'}]})
    assert box.staged == ('small',)


@pytest.mark.parametrize(
    'change',
    [
        {'address': 'nowhere'},
        {'address': None},
        {'group': {**ENTRY['group'], 'state': 'dancing'}},
        {'staged': [{'title': 'big'}]},
    ],
)
def test_an_invalid_entry_raises_a_value_error(change: dict) -> None:
    with pytest.raises(ValueError, match='.'):
        decode_server('i-1', {**ENTRY, **change})


@given(
    key=st.sampled_from(sorted(ENTRY)),
    replacement=st.none()
    | st.integers()
    | st.text(max_size=6)
    | st.lists(st.none()),
)
def test_any_entry_is_decoded_or_raises_a_value_error(
    key: str, replacement: object
) -> None:
    try:
        box = decode_server('i-1', {**ENTRY, key: replacement})
    except ValueError:
        return
    assert box.box == 'i-1'
