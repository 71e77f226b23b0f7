"""Actors: tasks that own their state and talk by messages."""

from __future__ import annotations

import asyncio
import functools
import inspect
import re
from typing import TYPE_CHECKING, Any

import msgspec

from waywell.telemetry.events import log_warning

if TYPE_CHECKING:
    from collections.abc import Coroutine

_WORD_START = re.compile('(?<!^)(?=[A-Z])')


class Message(msgspec.Struct, frozen=True):
    """Something posted to an actor; subclasses nest in their sender."""


def get_handler_name(message: object) -> str:
    """Return the name of the method that handles a message."""
    return _name_handler(type(message).__name__)


@functools.cache
def _name_handler(name: str) -> str:
    words = _WORD_START.sub('_', name).lower()
    return f'on_{words}'


class Actor:
    """A task with a queue of its own.

    A message of class ``Name`` is handled by the method ``on_name``.
    A handler that fails is logged; the actor goes on with the next
    message.
    """

    def __init__(self, name: str) -> None:
        """Start without tasks."""
        self.name = name
        self._inbox: asyncio.Queue[object] = asyncio.Queue()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._due: set[type] = set()

    def post(self, message: object) -> None:
        """Put a message into the queue."""
        self._inbox.put_nowait(message)

    def start(self) -> None:
        """Begin to handle messages."""
        self.spawn(self._run())

    async def stop(self) -> None:
        """End the actor's tasks."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def spawn(self, work: Coroutine[Any, Any, object]) -> asyncio.Task[Any]:
        """Run a coroutine as a task that ends with the actor."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def repeat(self, seconds: float, message: object) -> asyncio.Task[Any]:
        """Post a message now and then every so many seconds.

        One that still waits in the queue is not posted again, so that a
        slow handler has no heap of old ticks to work off.

        Returns
        -------
        asyncio.Task
            What posts; cancelled, it posts no more.
        """
        return self.spawn(self._post_repeatedly(seconds, message))

    def dump(self) -> dict[str, object]:
        """Return the actor's state as plain values."""
        return {'inbox': self._inbox.qsize()}

    async def _post_repeatedly(self, seconds: float, message: object) -> None:
        kind = type(message)
        while True:
            if kind not in self._due:
                self._due.add(kind)
                self.post(message)
            await asyncio.sleep(seconds)

    async def _run(self) -> None:
        while True:
            message = await self._inbox.get()
            self._due.discard(type(message))
            await self._handle(message)

    async def _handle(self, message: object) -> None:
        handler = getattr(self, get_handler_name(message))
        try:
            outcome = handler(message)
            if inspect.isawaitable(outcome):
                await outcome
        except asyncio.CancelledError:
            raise
        except Exception as error:
            log_warning(
                'handler_failed',
                actor=self.name,
                message=type(message).__name__,
                error=repr(error),
            )
