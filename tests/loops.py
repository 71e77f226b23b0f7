"""Helpers for tests that are coroutines."""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

SECONDS = 30.0
"""Timeout of each such test, in seconds."""


def in_loop(
    test: Callable[..., Coroutine[Any, Any, None]],
) -> Callable[..., None]:
    """Run a coroutine function as a test in a new event loop."""

    @functools.wraps(test)
    def run(*args: Any, **kwargs: Any) -> None:
        asyncio.run(asyncio.wait_for(test(*args, **kwargs), SECONDS))

    return run


async def wait_until(condition: Callable[[], bool]) -> None:
    """Poll until a condition is true."""
    while not condition():
        await asyncio.sleep(0.002)
