"""Eras of the store: which answers are valid and who is notified of changes."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from returns.result import Failure, Success
from twisted.web.http_headers import Headers

from waywell.connection.http_client import HttpClient, HttpResponse
from waywell.connection.platform import Kind, PlatformFault
from waywell.connection.store_era import (
    UNREPORTED_ERA,
    EraChange,
    EraTracker,
    StoreEra,
)
from waywell.platform.store import ObjectStore

LAST_PAGE = b'{"items": [], "current_rev": 9}'
FIRST_PAGE = b'{"items": [%b], "has_more": true, "current_rev": 9}' % (
    b'{"metadata": {"name": "a", "revision": 1}, "spec": {}}'
)


class StoreHarness:
    """A store whose calls get the given bodies and eras, one after another."""

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

    async def _call(self, *_args: Any, **_kwargs: Any) -> Any:
        raw, era = self.answers.pop(0)
        headers = Headers({} if era is None else {'store-era': [era]})
        return Success(HttpResponse(self.status, raw, headers))


@pytest.fixture
def store(monkeypatch: pytest.MonkeyPatch) -> StoreHarness:
    return StoreHarness(monkeypatch)


def test_listeners_are_notified_of_a_higher_era(store: StoreHarness) -> None:
    store.list((LAST_PAGE, '3'))
    assert not store.changes
    store.list((LAST_PAGE, '4'))
    assert store.changes == [EraChange(StoreEra(3), StoreEra(4))]
    assert store.eras.changes == 1


def test_an_answer_of_a_former_era_is_rejected(store: StoreHarness) -> None:
    store.list((LAST_PAGE, '4'))
    outcome = store.list((LAST_PAGE, '3'))
    assert outcome == Failure(PlatformFault.FORMER_ERA)
    assert store.eras.current == 4


@pytest.mark.parametrize('text', [None, '', 'x', '-1', '1.5', '²'])
def test_a_missing_or_malformed_era_counts_as_unreported(
    store: StoreHarness, text: str | None
) -> None:
    store.list((LAST_PAGE, '0'))
    store.list((LAST_PAGE, text))
    store.list((LAST_PAGE, '0'))
    assert [change.era for change in store.changes] == [UNREPORTED_ERA, 0]


def test_a_refused_call_reports_no_era(store: StoreHarness) -> None:
    store.list((LAST_PAGE, '3'))
    store.status = 503
    assert store.list((b'', None)) == Failure(PlatformFault.REFUSED)
    assert store.eras.current == 3


def test_pages_of_two_eras_do_not_form_one_list(store: StoreHarness) -> None:
    outcome = store.list((FIRST_PAGE, '3'), (LAST_PAGE, '4'))
    assert outcome == Failure(PlatformFault.FORMER_ERA)


def test_only_a_higher_era_is_accepted_from_a_peer(
    store: StoreHarness,
) -> None:
    store.list((LAST_PAGE, '3'))
    for era in (UNREPORTED_ERA, StoreEra(2), StoreEra(3)):
        store.eras.observe_peer(era)
    assert not store.changes
    store.eras.observe_peer(StoreEra(5))
    assert store.changes == [EraChange(StoreEra(3), StoreEra(5))]
