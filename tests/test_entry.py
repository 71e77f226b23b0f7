"""The entry node before it has started."""

from __future__ import annotations

import asyncio

import pytest

from tests.entry_settings import SETTINGS
from waywell.codes import Code, Ran, Refusal
from waywell.process.entry import EntryNode
from waywell.process.settings import check_settings


def test_callers_that_come_early_are_told_so() -> None:
    async def ask() -> None:
        EntryNode(check_settings(SETTINGS, 'test')).list_entries()

    with pytest.raises(Refusal) as caught:
        asyncio.run(ask())
    assert caught.value.code is Code.NODE_STARTING
    assert caught.value.ran is Ran.MAY_HAVE_RUN
    assert caught.value.retry_after == 1
