"""Actors: tasks that own their state and communicate by messages."""

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
    """Base class of messages to actors.

    Subclasses are nested in the actor that defines them.
    """


def get_handler_name(message: object) -> str:
    """Return the name of the method that handles messages of this class."""
    return _make_handler_name(type(message).__name__)


@functools.cache
def _make_handler_name(name: str) -> str:
    words = _WORD_START.sub('_', name).lower()
    return f'on_{words}'


class Actor:
    """A task that handles the messages in its own queue, one at a time.

    A message of class ``PlanTick`` is handled by the method
    ``on_plan_tick``.  An exception in a handler is logged, and the actor
    continues with the next message.

    Parameters
    ----------
    name
        Name of the actor in log lines and in the state dump.
    """

    def __init__(self, name: str) -> None:
        """Create an empty queue; ``start`` runs the task."""
        self.name = name
        self._inbox: asyncio.Queue[object] = asyncio.Queue()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._queued_ticks: set[type] = set()

    def post(self, message: object) -> None:
        """Append a message to the queue without waiting."""
        self._inbox.put_nowait(message)

    def start(self) -> None:
        """Start the task that handles messages."""
        self.spawn(self._run())

    async def stop(self) -> None:
        """Cancel the actor's tasks and wait until they have ended."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def spawn(self, work: Coroutine[Any, Any, object]) -> asyncio.Task[Any]:
        """Run a coroutine as a task that ``stop`` cancels."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def repeat(self, seconds: float, message: object) -> asyncio.Task[Any]:
        """Post a message immediately and then periodically.

        The message is skipped while one of its class is still queued, so
        that ticks don't pile up behind a slow handler.

        Parameters
        ----------
        seconds
            Period, in seconds.
        message
            Message to post.

        Returns
        -------
        asyncio.Task
            Task that posts the messages; cancel it to end them.
        """
        return self.spawn(self._post_repeatedly(seconds, message))

    def dump(self) -> dict[str, object]:
        """Return the actor's state as plain values for the state dump."""
        return {'inbox': self._inbox.qsize()}

    async def _post_repeatedly(self, seconds: float, message: object) -> None:
        kind = type(message)
        while True:
            if kind not in self._queued_ticks:
                self._queued_ticks.add(kind)
                self.post(message)
            await asyncio.sleep(seconds)

    async def _run(self) -> None:
        while True:
            message = await self._inbox.get()
            self._queued_ticks.discard(type(message))
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
