"""The task that keeps held requests in the platform, and reads them there.

Answers all nodes killed at one moment, a node that reaches the platform and no
other node, and halls that do not reach each other: the same request would
crash three replicas more in each part, and after each start.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Annotated

import msgspec
from returns.result import Failure, Result

from waywell.connection.platform import Kind, PlatformFault
from waywell.ids import Trait
from waywell.knowledge.platform_watch import PlatformWatch, WatchScope
from waywell.quarantine.crash_history import (
    CRASHES_TO_HOLD,
    MEMORY_SECONDS,
    Hold,
)
from waywell.request.prompt_parts import describe_trait
from waywell.telemetry.events import log_event, log_warning

if TYPE_CHECKING:
    from collections.abc import Callable

    from waywell.connection.platform import Changes, Stored
    from waywell.connection.store_era import EraChange
    from waywell.knowledge.platform_watch import WatchParts
    from waywell.quarantine.quarantine import Quarantine

POLL_SECONDS = 1.5
"""Seconds between two looks of a node that reads for others: half of the
shortest time in which nodes that can reach each other are to agree.  Such a
look may show what is seconds old, and costs a tenth of a call."""

WRITE_RETRY_SECONDS = 1.0
"""Seconds until a write that failed is tried again, doubled each time."""

REWRITE_SPREAD_SECONDS = 1.0
"""Seconds over which nodes spread writes after the store's return."""

MAX_WRITE_RETRY_SECONDS = 10.0
"""Longest wait between two tries, in seconds."""

MAX_RECORDS = 128
"""Records that are kept in the platform; with more, something other than
single requests is wrong."""


class HeldRecord(msgspec.Struct, frozen=True):
    """A held trait of requests as the platform keeps it, under its name."""

    ends: Annotated[int, msgspec.Meta(ge=CRASHES_TO_HOLD)]
    """Replicas that ended under it."""

    ended_at: float
    """When the last of them did, in seconds since the epoch."""


class HeldRecords(PlatformWatch):
    """Writes what this node has witnessed, reads what others have.

    Parameters
    ----------
    parts
        What a watch works with.
    quarantine
        Where holds come from and go to.
    is_cleaner
        Answers whether this node removes records that are over.
    """

    def __init__(
        self,
        parts: WatchParts,
        quarantine: Quarantine,
        is_cleaner: Callable[[], bool],
    ) -> None:
        """Know of no record."""
        scope = WatchScope(
            'held_requests', Kind.HELD_REQUEST, wait=0.0, pace=POLL_SECONDS
        )
        super().__init__('held_records', scope, parts)
        self._quarantine = quarantine
        self._is_cleaner = is_cleaner
        self._listed: set[str] = set()
        self._written: set[Trait] = set()
        self._has_read = False
        quarantine.subscribe(self)
        parts.outlook.eras.listen(self._write_again)

    def take(self, changes: Changes, asked_at: float, now: float) -> None:
        """Put the holds that are listed in force."""
        self._has_read = True
        self._listed = {stored.name for stored in changes.objects}
        for stored in changes.objects:
            self._take_record(stored, now)

    def take_fault(self, fault: PlatformFault, now: float) -> None:
        """Go on by what is known."""

    def on_held(self, held: Quarantine.Held) -> None:
        """Write a hold that this node has witnessed."""
        self._written.add(held.trait)
        self.spawn(self._write(held.trait, held.hold))

    def on_freed(self, freed: Quarantine.Freed) -> None:
        """Remove the record of a request that proved to be innocent."""
        if freed.trait in self._written:
            self._written.discard(freed.trait)
            self.spawn(self._remove(freed.trait))

    async def read(self) -> Result[Changes, PlatformFault]:
        """List all records; only the first list must be the newest."""
        return await self._parts.platform.fetch_all(
            Kind.HELD_REQUEST, fresh=not self._has_read
        )

    def _write_again(self, _change: EraChange) -> None:
        """Write what a copy of the store may lack, unless it is over."""
        self._has_read = False
        for trait in self._written:
            hold = self._quarantine.history.holds.get(trait)
            if hold is not None:
                self.spawn(self._write_later(trait, hold))

    async def _write_later(self, trait: Trait, hold: Hold) -> None:
        await asyncio.sleep(self._parts.draw() * REWRITE_SPREAD_SECONDS)
        await self._write(trait, hold)

    def _take_record(self, stored: Stored, now: float) -> None:
        try:
            record = msgspec.convert(stored.body, HeldRecord)
        except msgspec.ValidationError as error:
            log_warning(
                'held_request_unreadable', name=stored.name, error=str(error)
            )
            return
        age = max(0.0, self._parts.clock.read_wall() - record.ended_at)
        if age <= MEMORY_SECONDS:
            hold = Hold(record.ends, now - age)
            self._quarantine.add_stored_hold(Trait(stored.name), hold)
        elif self._is_cleaner():
            self.spawn(self._remove(Trait(stored.name)))

    async def _write(self, trait: Trait, hold: Hold) -> None:
        """Write a record, and remove it where the request was freed meanwhile.

        A removal may reach the platform before the write that it follows.
        """
        await self._write_until_done(trait, hold)
        if trait not in self._quarantine.history.holds:
            await self._remove(trait)

    async def _write_until_done(
        self,
        trait: Trait,
        hold: Hold,
    ) -> None:
        """Write a record, again and again while the platform is away."""
        wait = WRITE_RETRY_SECONDS
        while self._quarantine.history.holds.get(trait) == hold:
            fault = await self._try_write(trait, hold)
            if fault is None:
                return
            log_event(
                'held_request_not_written',
                **describe_trait(trait),
                fault=fault.value,
            )
            await asyncio.sleep(wait)
            wait = min(2 * wait, MAX_WRITE_RETRY_SECONDS)

    async def _try_write(
        self,
        trait: Trait,
        hold: Hold,
    ) -> PlatformFault | None:
        """Write a record once; return why it is not there, if it is not."""
        if len(self._listed) >= MAX_RECORDS:
            return PlatformFault.TOO_LARGE
        platform = self._parts.platform
        found = await platform.fetch(Kind.HELD_REQUEST, trait)
        if isinstance(found, Failure):
            unread: PlatformFault = found.failure()
            return unread
        stored = found.unwrap()
        if stored is not None and _count_ends(stored) >= hold.crashes:
            return None
        age = self._parts.clock.read() - hold.ended_at
        ended_at = self._parts.clock.read_wall() - age
        written = await platform.write(
            Kind.HELD_REQUEST,
            trait,
            msgspec.to_builtins(HeldRecord(hold.crashes, ended_at)),
            stored.version if stored else 0,
        )
        if isinstance(written, Failure):
            fault: PlatformFault = written.failure()
            return fault
        return None

    async def _remove(self, trait: Trait) -> None:
        removed = await self._parts.platform.delete(Kind.HELD_REQUEST, trait)
        if isinstance(removed, Failure):
            log_event(
                'held_request_not_removed',
                **describe_trait(trait),
                fault=removed.failure().value,
            )


def _count_ends(stored: Stored) -> int:
    """Return the ends that a record tells, 0 where it is not understood."""
    try:
        return msgspec.convert(stored.body, HeldRecord).ends
    except msgspec.ValidationError:
        return 0
