"""Memory and send buffer of one connection of a caller."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from waywell.connection.caller_capacity import (
    BODY_COPIES,
    CONNECTION_BYTES,
    REQUEST_BYTES,
)
from waywell.limits.memory_budget import MemoryHolder
from waywell.telemetry.events import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from waywell.limits.memory_budget import MemoryBudget


class CallerMemory:
    """Accounts for the memory of a connection in the budget of all callers.

    Parameters
    ----------
    budget
        Budget of all callers.
    evict
        Frees the memory of the connection.
    """

    def __init__(
        self, budget: MemoryBudget, evict: Callable[[], None]
    ) -> None:
        """Account for nothing yet."""
        self.unsent_bytes = 0
        self._budget = budget
        self._evict = evict
        self._is_evicted = False
        self._holder = MemoryHolder(self._on_evicted)

    def open(self, *, is_excess: bool) -> bool:
        """Account for a new connection; return whether there is room.

        Parameters
        ----------
        is_excess
            Whether another connection has to be evicted for it.
        """
        if is_excess and not self._budget.evict_oldest():
            return False
        has_room = self.reserve(CONNECTION_BYTES)
        self.allow_eviction(is_allowed=has_room)
        return has_room

    def close(self) -> None:
        """Account for nothing any more."""
        self.allow_eviction(is_allowed=False)
        self._budget.release(self._holder, self._holder.held)

    def reserve(self, size: int) -> bool:
        """Occupy memory; return whether there is room for it."""
        return self._budget.reserve(self._holder, size)

    def hold(self, size: int) -> bool:
        """Account for memory in use, or for less of it if negative.

        Returns
        -------
        bool
            Whether the budget has room for more.
        """
        if size < 0:
            self._budget.release(self._holder, -size)
            return True
        self._budget.occupy(self._holder, size)
        return self._budget.reserve(self._holder, 0)

    def begin_request(self, body_bytes: int) -> bool:
        """Occupy the memory that serving a request takes, if there is room."""
        if not self.reserve(REQUEST_BYTES + BODY_COPIES * body_bytes):
            return False
        self.allow_eviction(is_allowed=False)
        return True

    def end_request(self) -> None:
        """Account for an idle connection and its unsent bytes."""
        held = self._holder.held - CONNECTION_BYTES - self.unsent_bytes
        self._budget.release(self._holder, max(0, held))
        self.allow_eviction(is_allowed=True)

    def set_unsent(self, size: int) -> None:
        """Account for the bytes that wait in the send buffer."""
        added = size - self.unsent_bytes
        self.unsent_bytes = size
        self.hold(added)

    def allow_eviction(self, *, is_allowed: bool) -> None:
        """Set whether the connection waits for its caller."""
        self._budget.mark_evictable(
            self._holder, is_evictable=is_allowed and not self._is_evicted
        )

    def _on_evicted(self) -> None:
        self._is_evicted = True
        self._evict()


class StallTimer:
    """Reports a caller that reads nothing of its answer for a while.

    Parameters
    ----------
    call_later
        Calls a function after a number of seconds.
    count_unsent
        Returns the number of bytes that wait in the send buffer.
    abort
        Aborts the connection.
    """

    def __init__(
        self,
        call_later: Callable[..., Any],
        count_unsent: Callable[[], int],
        abort: Callable[[], None],
    ) -> None:
        """Create a timer that does not run."""
        self._call_later = call_later
        self._count_unsent = count_unsent
        self._abort = abort
        self._timer: Any = None

    def start(self, seconds: float) -> None:
        """Abort the connection if nothing is sent within some seconds."""
        self.stop()
        self._timer = self._call_later(
            seconds, self._check, seconds, self._count_unsent()
        )

    def stop(self) -> None:
        """Stop the timer."""
        timer = self._timer
        self._timer = None
        if timer is not None and timer.active():
            timer.cancel()

    def _check(self, seconds: float, unsent_before: int) -> None:
        self._timer = None
        unsent = self._count_unsent()
        if unsent < unsent_before:
            self.start(seconds)
            return
        log_event('answer_unread', unsent=unsent, seconds=seconds)
        self._abort()
