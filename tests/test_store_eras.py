"""Eras of the store: which answers count, and who hears of a new era."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from returns.result import Failure, Success
from twisted.web.http_headers import Headers

from waywell.connection.http_client import HttpClient, HttpResponse
from waywell.connection.platform import Kind, PlatformFault
from waywell.connection.store_era import (
    UNTOLD_ERA,
    EraChange,
    EraTracker,
    StoreEra,
)
from waywell.platform.store import ObjectStore

PAGE = b'{"items": [], "current_rev": 9}'
MORE = b'{"items": [%b], "has_more": true, "current_rev": 9}' % (
    b'{"metadata": {"name": "a", "revision": 1}, "spec": {}}'
)


class Store:
    """Answers calls with bodies under eras, one after the other."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.eras = EraTracker()
        self.changes: list[EraChange] = []
        self.eras.listen(self.changes.append)
        self.store = ObjectStore('127.0.0.1:1', 1.0, self.eras)
        self.answers: list[tuple[bytes, str | None]] = []
        self.status = 200
        monkeypatch.setattr(HttpClient, 'call', self._call)

    def list(self, *answers: tuple[bytes, str | None]) -> Any:
        self.answers = list(answers)
        return asyncio.run(self.store.fetch_all(Kind.PRESENCE))

    async def _call(self, *_words: Any, **_named: Any) -> Any:
        raw, era = self.answers.pop(0)
        headers = Headers({} if era is None else {'store-era': [era]})
        return Success(HttpResponse(self.status, raw, headers))


@pytest.fixture
def store(monkeypatch: pytest.MonkeyPatch) -> Store:
    return Store(monkeypatch)


def test_a_higher_era_is_told_to_all_that_listen(store: Store) -> None:
    store.list((PAGE, '3'))
    assert not store.changes
    store.list((PAGE, '4'))
    assert store.changes == [EraChange(StoreEra(3), StoreEra(4))]
    assert store.eras.changes == 1


def test_an_answer_of_a_former_era_is_no_answer(store: Store) -> None:
    store.list((PAGE, '4'))
    outcome = store.list((PAGE, '3'))
    assert outcome == Failure(PlatformFault.FORMER_ERA)
    assert store.eras.current == 4


@pytest.mark.parametrize('text', [None, '', 'x', '-1', '1.5', '²'])
def test_an_era_that_is_not_told_is_no_number(
    store: Store, text: str | None
) -> None:
    store.list((PAGE, '0'))
    store.list((PAGE, text))
    store.list((PAGE, '0'))
    assert [change.era for change in store.changes] == [UNTOLD_ERA, 0]


def test_a_call_that_is_turned_away_tells_no_era(store: Store) -> None:
    store.list((PAGE, '3'))
    store.status = 503
    assert store.list((b'', None)) == Failure(PlatformFault.REFUSED)
    assert store.eras.current == 3


def test_pages_of_two_eras_are_no_list(store: Store) -> None:
    outcome = store.list((MORE, '3'), (PAGE, '4'))
    assert outcome == Failure(PlatformFault.FORMER_ERA)


def test_a_peer_tells_higher_eras_only(store: Store) -> None:
    store.list((PAGE, '3'))
    for era in (UNTOLD_ERA, StoreEra(2), StoreEra(3)):
        store.eras.observe_peer(era)
    assert not store.changes
    store.eras.observe_peer(StoreEra(5))
    assert store.changes == [EraChange(StoreEra(3), StoreEra(5))]
