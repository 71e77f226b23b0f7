"""Conversion between deferreds of twisted and tasks of asyncio."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, TypeVar

from twisted.internet.defer import Deferred

if TYPE_CHECKING:
    from collections.abc import Coroutine

Answer = TypeVar('Answer')
"""Type of the result of a deferred or coroutine."""


async def await_deferred(
    deferred: Deferred[Answer],
    seconds: float | None,
) -> Answer:
    """Wait for a deferred and return its result.

    Parameters
    ----------
    deferred
        Deferred to wait for.
    seconds
        Timeout in seconds, or ``None`` to wait without limit.

    Raises
    ------
    TimeoutError
        If the deferred has not fired in time.  It is cancelled.
    """
    future: asyncio.Future[Answer] = deferred.asFuture(
        asyncio.get_running_loop(),
    )
    return await asyncio.wait_for(future, seconds)


def start_task(coroutine: Coroutine[Any, Any, Answer]) -> Deferred[Answer]:
    """Run a coroutine as an asyncio task; return a deferred of its result."""
    task = asyncio.get_running_loop().create_task(coroutine)
    return Deferred.fromFuture(task)
