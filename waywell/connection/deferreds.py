"""The bridge between twisted's deferreds and the event loop's tasks."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, TypeVar

from twisted.internet.defer import Deferred

if TYPE_CHECKING:
    from collections.abc import Coroutine

Answer = TypeVar('Answer')
"""What a deferred fires with."""


async def await_deferred(
    deferred: Deferred[Answer],
    seconds: float | None,
) -> Answer:
    """Return what a deferred fires with.

    Raises
    ------
    TimeoutError
        When it has not fired in time; it is cancelled then.
    """
    future: asyncio.Future[Answer] = deferred.asFuture(
        asyncio.get_running_loop(),
    )
    return await asyncio.wait_for(future, seconds)


def start_task(work: Coroutine[Any, Any, Answer]) -> Deferred[Answer]:
    """Run a coroutine as a task of the event loop; return its outcome."""
    task = asyncio.get_running_loop().create_task(work)
    return Deferred.fromFuture(task)
