"""Tests that are coroutines run in an event loop of their own."""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

SECONDS = 30.0
"""After which a test that waits for something counts as failed."""


def in_loop(
    test: Callable[..., Coroutine[Any, Any, None]],
) -> Callable[..., None]:
    """Run a coroutine as a test."""

    @functools.wraps(test)
    def run(*args: Any, **named: Any) -> None:
        asyncio.run(asyncio.wait_for(test(*args, **named), SECONDS))

    return run


async def wait_until(holds: Callable[[], bool]) -> None:
    """Wait until something holds."""
    while not holds():
        await asyncio.sleep(0.002)
