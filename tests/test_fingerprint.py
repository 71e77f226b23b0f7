"""Fingerprints of requests."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from waywell.ids import AccountName, Fingerprint
from waywell.request import fingerprint
from waywell.request.decoded_request import DecodedRequest

SHOP = AccountName('shop')
ASK = DecodedRequest(
    'a1', 'POST', '/notes/1?x=2', 'shop.example', (), b'{"a": 1}'
)


def make_fingerprint(
    request: DecodedRequest, account: AccountName | None
) -> Fingerprint:
    return fingerprint.make_fingerprint(
        request.method, request.target, request.body, account
    )


def test_repeated_requests_have_the_same_fingerprint() -> None:
    repeat = msgspec.structs.replace(
        ASK,
        attempt_id='a2',
        host='SHOP.example:8000',
        headers=((b'x', b'y'),),
        api_key='the new one',
        timeout_seconds=3.0,
        resume_after=4,
    )
    assert make_fingerprint(repeat, SHOP) == make_fingerprint(ASK, SHOP)


@pytest.mark.parametrize(
    'change',
    [
        {'method': 'PUT'},
        {'target': '/notes/2?x=2'},
        {'target': '/notes/1?x=3'},
        {'body': b'{"a": 2}'},
        {'body': b''},
    ],
)
def test_different_requests_have_different_fingerprints(
    change: dict[str, object],
) -> None:
    other = msgspec.structs.replace(ASK, **change)
    assert make_fingerprint(other, SHOP) != make_fingerprint(ASK, SHOP)


def test_different_accounts_have_different_fingerprints() -> None:
    others = {
        make_fingerprint(ASK, account)
        for account in (None, SHOP, AccountName('store'))
    }
    assert len(others) == 3


@given(st.text(max_size=8), st.text(max_size=8), st.binary(max_size=8))
def test_boundaries_between_parts_are_unambiguous(
    target: str,
    account: str,
    body: bytes,
) -> None:
    first = DecodedRequest('a', 'GET', target, 'h', (), body)
    second = DecodedRequest('a', 'GET', f'{target}x', 'h', (), body)
    assert make_fingerprint(second, AccountName(account)) != make_fingerprint(
        first, AccountName(f'x{account}')
    )
