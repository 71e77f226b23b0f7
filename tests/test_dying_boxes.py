"""Boxes that still listen for a moment after their connections have broken.

An ending process closes its sockets one after the other, the listening socket
often last.  A node that checks the box within a millisecond of the broken
connection still gets a connection, and takes the crash for a lost answer.  The
request that crashed the box is then sent on, and up to 6 targets ended instead
of 3.
"""

from __future__ import annotations

import asyncio

import pytest

from tests.boxes import make_box
from tests.loops import in_loop
from waywell.quarantine import tasks

ENDING_SECONDS = 0.02
"""Time in seconds that an ending box still accepts connections here."""


def simulate_listening(
    monkeypatch: pytest.MonkeyPatch,
    seconds: float,
) -> None:
    """Let boxes accept connections for some seconds from now on."""
    ends_at = asyncio.get_running_loop().time() + seconds

    async def is_reachable_stub(*_address: object) -> bool:
        return asyncio.get_running_loop().time() < ends_at

    monkeypatch.setattr(tasks, 'is_reachable', is_reachable_stub)


@in_loop
async def test_a_box_that_listens_while_it_ends_is_not_listening() -> None:
    with pytest.MonkeyPatch.context() as patch:
        simulate_listening(patch, ENDING_SECONDS)
        assert not await tasks.is_listening(make_box('a'))


@in_loop
async def test_a_live_box_is_listening() -> None:
    with pytest.MonkeyPatch.context() as patch:
        simulate_listening(patch, 600.0)
        assert await tasks.is_listening(make_box('a'))
