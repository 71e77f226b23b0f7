"""Memory that all callers of a node may occupy together.

Callers that stop in the middle of a body, or that do not read their answers,
occupy memory for as long as they stay connected.  The budget is shared by all
callers: when it is used up, the connections that were idle for the longest
time are evicted, so that active callers find room.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

import attrs

SMALL_BYTES = 131_072
"""Memory up to which a holder is small, in bytes: that of a connection with a
request of some kilobytes."""

LARGE_SHARE = 0.75
"""Share of the budget that holders above that size may occupy together, so
that ordinary requests find room beside large bodies."""

Evict = Callable[[], None]
"""Refuses or closes the connection of a holder, to free its memory."""


@attrs.define(eq=False)
class MemoryHolder:
    """Memory that the connection of one caller occupies."""

    evict: Evict
    """Called once the budget needs the memory for others."""

    held: int = 0
    """Bytes that the connection occupies."""

    @property
    def is_large(self) -> bool:
        """Return whether the holder counts among the large ones."""
        return self.held > SMALL_BYTES


class MemoryBudget:
    """Accounts for the memory of callers and evicts idle ones.

    Parameters
    ----------
    limit
        Bytes that all holders may occupy together.
    """

    def __init__(self, limit: int) -> None:
        """Start without holders."""
        self.limit = limit
        self.held = 0
        self.held_large = 0
        # Evictable holders, the least recently active one first.
        self._evictable: OrderedDict[MemoryHolder, None] = OrderedDict()

    def reserve(self, holder: MemoryHolder, size: int) -> bool:
        """Occupy memory, evicting other holders if necessary.

        Parameters
        ----------
        holder
            Holder that needs the memory.
        size
            Bytes that it needs in addition.

        Returns
        -------
        bool
            Whether there is room; nothing is occupied if not.
        """
        if holder.held + size > self._get_most(holder.held + size):
            return False
        self.occupy(holder, size)
        if self._make_room(holder):
            return True
        self.release(holder, size)
        return False

    def occupy(self, holder: MemoryHolder, size: int) -> None:
        """Account for memory that is in use already, whatever the limit."""
        self._change(holder, size)
        if holder in self._evictable:
            self._evictable.move_to_end(holder)

    def release(self, holder: MemoryHolder, size: int) -> None:
        """Account for memory that is free again."""
        self._change(holder, -min(size, holder.held))

    def mark_evictable(
        self, holder: MemoryHolder, *, is_evictable: bool
    ) -> None:
        """Set whether a holder may be evicted; if so, it counts as active."""
        if is_evictable:
            self._evictable[holder] = None
            self._evictable.move_to_end(holder)
        else:
            self._evictable.pop(holder, None)

    def evict_oldest(self) -> bool:
        """Evict the holder that was idle for the longest time.

        Returns
        -------
        bool
            Whether there was one to evict.
        """
        return self._evict_first(lambda _candidate: True)

    def _get_most(self, held: int) -> float:
        """Return the most that one holder may occupy."""
        is_large = held > SMALL_BYTES
        return LARGE_SHARE * self.limit if is_large else self.limit

    def _make_room(self, holder: MemoryHolder) -> bool:
        """Evict holders, large ones first, until the budget is kept."""
        while self._is_exceeded(holder):
            is_evicted = self._evict_other(holder, only_large=True)
            if not is_evicted and self.held > self.limit:
                is_evicted = self._evict_other(holder, only_large=False)
            if not is_evicted:
                return False
        return True

    def _evict_other(self, holder: MemoryHolder, *, only_large: bool) -> bool:
        return self._evict_first(
            lambda candidate: (
                candidate is not holder
                and (candidate.is_large or not only_large)
            )
        )

    def _evict_first(self, is_wanted: Callable[[MemoryHolder], bool]) -> bool:
        """Evict the longest idle holder that is wanted, if there is one."""
        found = next(filter(is_wanted, self._evictable), None)
        if found is None:
            return False
        self._evictable.pop(found)
        self.release(found, found.held)
        found.evict()
        return True

    def _is_exceeded(self, holder: MemoryHolder) -> bool:
        if self.held > self.limit:
            return True
        return holder.is_large and self.held_large > LARGE_SHARE * self.limit

    def _change(self, holder: MemoryHolder, size: int) -> None:
        self.held += size
        if holder.is_large:
            self.held_large -= holder.held
        holder.held += size
        if holder.is_large:
            self.held_large += holder.held
