"""Entry nodes that have not started yet."""

from __future__ import annotations

import asyncio

import pytest

from tests.entry_settings import SETTINGS
from waywell.codes import Code, Ran, Refusal
from waywell.process.entry import EntryNode
from waywell.process.settings import check_settings


def test_callers_are_refused_before_the_node_has_started() -> None:
    async def ask() -> None:
        EntryNode(check_settings(SETTINGS, 'test')).list_entries()

    with pytest.raises(Refusal) as caught:
        asyncio.run(ask())
    assert caught.value.code is Code.NODE_STARTING
    assert caught.value.ran is Ran.MAY_HAVE_RUN
    assert caught.value.retry_after == 1
