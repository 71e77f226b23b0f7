"""The task that stores holds in the platform and reads those of other nodes.

Stored holds survive the loss of all nodes at once, and they reach a node that
is connected to the platform but to no other node, and data halls that do not
reach each other.  Without them the same request would crash three more
replicas in each partition and after each restart.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Annotated

import msgspec
from returns.result import Failure, Result

from waywell.bounded_types import MAX_NUMBER
from waywell.connection.platform import Kind, PlatformFault
from waywell.connection.stored_body import decode_body
from waywell.ids import Trait
from waywell.knowledge.platform_watch import PlatformWatch, WatchScope
from waywell.quarantine.crash_history import (
    CRASHES_TO_HOLD,
    MEMORY_SECONDS,
    Hold,
)
from waywell.request.prompt_parts import describe_trait
from waywell.telemetry.events import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from waywell.connection.platform import Changes, Stored
    from waywell.connection.store_era import EraChange
    from waywell.knowledge.platform_watch import WatchContext
    from waywell.quarantine.quarantine import Quarantine

POLL_SECONDS = 1.5
"""Interval in seconds between polls of a node that reads for others: half of
the shortest time within which connected nodes must agree.  Such a poll may
return data that is seconds old, and costs a tenth of a call."""

WRITE_RETRY_SECONDS = 1.0
"""Delay in seconds before a failed write is retried; it doubles each time."""

REWRITE_SPREAD_SECONDS = 1.0
"""Duration in seconds over which nodes spread their writes after the store
has returned."""

MAX_WRITE_RETRY_SECONDS = 10.0
"""Maximum delay between two attempts to write, in seconds."""

MAX_RECORDS = 128
"""Maximum number of records in the platform; if more traits crash replicas,
the cause is something other than individual requests."""


class HeldRecord(msgspec.Struct, frozen=True):
    """A hold as it is stored in the platform, under the name of its trait."""

    ends: Annotated[int, msgspec.Meta(ge=CRASHES_TO_HOLD, le=MAX_NUMBER)]
    """Number of replica crashes attributed to the trait."""

    ended_at: float
    """Time of the last of these crashes, in seconds since the epoch."""


class HeldRecords(PlatformWatch):
    """Stores the holds that this node started and applies those of others.

    Parameters
    ----------
    parts
        Dependencies of a platform watch.
    quarantine
        Provides the holds of this node and receives those of others.
    is_cleaner
        Returns whether this node removes expired records.
    """

    def __init__(
        self,
        parts: WatchContext,
        quarantine: Quarantine,
        is_cleaner: Callable[[], bool],
    ) -> None:
        """Start without records."""
        scope = WatchScope(
            'held_requests',
            Kind.HELD_REQUEST,
            watch_seconds=0.0,
            interval=POLL_SECONDS,
        )
        super().__init__('held_records', scope, parts)
        self._quarantine = quarantine
        self._is_cleaner = is_cleaner
        self._listed: set[str] = set()
        self._written: set[Trait] = set()
        self._has_listed = False
        quarantine.subscribe(self)
        parts.cluster.eras.listen(self._rewrite_holds)

    def apply_changes(
        self, changes: Changes, asked_at: float, now: float
    ) -> None:
        """Apply the holds that the platform lists."""
        self._has_listed = True
        self._listed = {stored.name for stored in changes.objects}
        for stored in changes.objects:
            self._apply_record(stored, now)

    def handle_fault(self, fault: PlatformFault, now: float) -> None:
        """Ignore a failed read; known holds stay in force."""

    def on_held(self, held: Quarantine.Held) -> None:
        """Write a hold on a trait that crashed a replica at this node."""
        self._written.add(held.trait)
        self.spawn(self._write(held.trait, held.hold))

    def on_freed(self, freed: Quarantine.Freed) -> None:
        """Remove the record of a trait that was found to be harmless."""
        if freed.trait in self._written:
            self._written.discard(freed.trait)
            self.spawn(self._remove(freed.trait))

    async def read(self) -> Result[Changes, PlatformFault]:
        """List all records; only the first list must be up to date."""
        return await self._context.platform.fetch_all(
            Kind.HELD_REQUEST, fresh=not self._has_listed
        )

    def _rewrite_holds(self, _change: EraChange) -> None:
        """Rewrite current holds that a restored store may lack."""
        self._has_listed = False
        for trait in self._written:
            hold = self._quarantine.history.holds.get(trait)
            if hold is not None:
                self.spawn(self._write_delayed(trait, hold))

    async def _write_delayed(self, trait: Trait, hold: Hold) -> None:
        await asyncio.sleep(self._context.draw() * REWRITE_SPREAD_SECONDS)
        await self._write(trait, hold)

    def _apply_record(self, stored: Stored, now: float) -> None:
        record = decode_body(stored, HeldRecord)
        if record is None:
            return
        age = max(0.0, self._context.clock.read_wall() - record.ended_at)
        if age <= MEMORY_SECONDS:
            hold = Hold(record.ends, now - age)
            self._quarantine.add_stored_hold(Trait(stored.name), hold)
        elif self._is_cleaner():
            self.spawn(self._remove(Trait(stored.name)))

    async def _write(self, trait: Trait, hold: Hold) -> None:
        """Write a record, and remove it if the hold has ended meanwhile.

        The removal may reach the platform before the write that it undoes.
        """
        await self._write_with_retries(trait, hold)
        if trait not in self._quarantine.history.holds:
            await self._remove(trait)

    async def _write_with_retries(
        self,
        trait: Trait,
        hold: Hold,
    ) -> None:
        """Write a record, retrying while the platform is unavailable."""
        delay = WRITE_RETRY_SECONDS
        while self._quarantine.history.holds.get(trait) == hold:
            fault = await self._try_write(trait, hold)
            if fault is None:
                return
            log_event(
                'held_request_not_written',
                **describe_trait(trait),
                fault=fault.value,
            )
            await asyncio.sleep(delay)
            delay = min(2 * delay, MAX_WRITE_RETRY_SECONDS)

    async def _try_write(
        self,
        trait: Trait,
        hold: Hold,
    ) -> PlatformFault | None:
        """Try once to write a record; return the fault if that fails."""
        if len(self._listed) >= MAX_RECORDS:
            return PlatformFault.TOO_LARGE
        platform = self._context.platform
        found = await platform.fetch(Kind.HELD_REQUEST, trait)
        if isinstance(found, Failure):
            read_fault: PlatformFault = found.failure()
            return read_fault
        stored = found.unwrap()
        if stored is not None and _read_crash_count(stored) >= hold.crashes:
            return None
        age = self._context.clock.read() - hold.ended_at
        ended_at = self._context.clock.read_wall() - age
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
        removed = await self._context.platform.delete(Kind.HELD_REQUEST, trait)
        if isinstance(removed, Failure):
            log_event(
                'held_request_not_removed',
                **describe_trait(trait),
                fault=removed.failure().value,
            )


def _read_crash_count(stored: Stored) -> int:
    """Return the crashes that a record states; 0 if it can't be decoded."""
    record = decode_body(stored, HeldRecord)
    return 0 if record is None else record.ends
