"""A task that keeps what one part of the platform holds the newest here."""

from __future__ import annotations

import abc
import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs
from returns.result import Failure

from waywell.connection.platform import Kind, Platform, PlatformFault
from waywell.connection.store_era import Revision, StoreEra
from waywell.knowledge.cluster_view import ClusterView
from waywell.knowledge.poll_intervals import choose_retry_delay
from waywell.process.actor import Actor
from waywell.process.clock import Clock
from waywell.telemetry.events import log_event, log_warning

if TYPE_CHECKING:
    from returns.result import Result

    from waywell.connection.platform import Changes


@attrs.frozen
class WatchContext:
    """What a watch works with."""

    platform: Platform
    """The platform."""

    cluster: ClusterView
    """Where what was read is put in force."""

    clock: Clock
    """Where the time is read."""

    is_needed: Callable[[float], bool]
    """Answers whether no other node reads for this one at a time."""

    reads_for_others: Callable[[], bool]
    """Answers whether others hear from this node what it reads."""

    count_nodes: Callable[[], int]
    """Returns the nodes that hear from each other, this one counted."""

    draw: Callable[[], float]
    """Draws a number from 0 up to 1."""


@attrs.frozen
class WatchScope:
    """What a watch reads, and how often."""

    part: str
    """Name of what is read, as the log has it."""

    kind: Kind
    """Kind of the objects."""

    watch_seconds: float
    """Seconds for which a look waits when nothing changes."""

    interval: float = 0.0
    """Least seconds between two looks."""


class PlatformWatch(Actor, abc.ABC):
    """Reads objects of one kind, and then what changes, again and again.

    Parameters
    ----------
    name
        Name of the task.
    scope
        What is read.
    parts
        What it works with.
    """

    def __init__(
        self,
        name: str,
        scope: WatchScope,
        context: WatchContext,
    ) -> None:
        """Know nothing yet."""
        super().__init__(name)
        self._scope = scope
        self._context = context
        self._cursor = Revision()
        self._failures = 0
        self._wake_up = asyncio.Event()
        self._foreign: set[str] = set()

    def start(self) -> None:
        """Begin to read."""
        super().start()
        self.spawn(self._watch())

    @property
    def foreign(self) -> list[str]:
        """Return the objects that another writer has written."""
        return sorted(self._foreign)

    def dump(self) -> dict[str, object]:
        """Return the state as plain values."""
        return {
            **super().dump(),
            'revision': self._cursor.number,
            'era': self._cursor.era,
            'foreign': self.foreign,
        }

    def get_interval(self) -> float:
        """Return the least seconds between two looks."""
        return self._scope.interval

    @abc.abstractmethod
    def apply_changes(
        self, changes: Changes, asked_at: float, now: float
    ) -> None:
        """Put what was read in force.

        Parameters
        ----------
        changes
            All objects, or those that changed.
        asked_at
            When the question was sent, in seconds.
        now
            The present time, in seconds.
        """

    @abc.abstractmethod
    def handle_fault(self, fault: PlatformFault, now: float) -> None:
        """Take in that a call failed."""

    async def read(self) -> Result[Changes, PlatformFault]:
        """Read all, or what has changed since."""
        platform = self._context.platform
        kind = self._scope.kind
        cursor = self._cursor
        if not cursor.is_in(self._get_era()):
            return await platform.fetch_all(kind)
        answer = await platform.watch(
            (kind,), cursor.number, self._scope.watch_seconds
        )
        if not cursor.is_in(self._get_era()):
            # Revisions of another era name other changes.
            return Failure(PlatformFault.HISTORY_GONE)
        return answer

    def advance(self, changes: Changes) -> None:
        """Let the next look go on after some changes."""
        self._cursor = Revision(self._get_era(), changes.revision)

    def forget_revision(self) -> None:
        """Read all anew at the next look: changes may have been missed."""
        self._cursor = Revision()

    def resume_reading(self, now: float) -> None:
        """Begin to read where no other node reads for this one."""
        if self._context.is_needed(now):
            self._wake_up.set()

    async def _watch(self) -> None:
        while True:
            asked_at = self._context.clock.read()
            if self._context.is_needed(asked_at):
                await self._poll(asked_at)
            else:
                self.forget_revision()
                self._wake_up.clear()
                await self._wake_up.wait()

    async def _poll(self, asked_at: float) -> None:
        """Read once, then wait until the next look is due."""
        answer = await self.read()
        now = self._context.clock.read()
        if isinstance(answer, Failure):
            fault: PlatformFault = answer.failure()
            self.handle_fault(fault, now)
            self._record_failure(fault)
            await asyncio.sleep(self._choose_retry_delay())
            return
        self._record_success()
        changes = answer.unwrap()
        self._update_foreign(changes)
        self.apply_changes(changes, asked_at, now)
        await asyncio.sleep(max(0.0, asked_at + self.get_interval() - now))

    def _get_era(self) -> StoreEra:
        return self._context.cluster.eras.current

    def _choose_retry_delay(self) -> float:
        context = self._context
        return choose_retry_delay(
            self._failures,
            reads_for_others=context.reads_for_others(),
            nodes=context.count_nodes(),
            draw=context.draw(),
        )

    def _update_foreign(self, changes: Changes) -> None:
        """Remember which objects are another writer's."""
        if changes.complete:
            self._foreign.clear()
        self._foreign -= {stored.name for stored in changes.objects}
        self._foreign.update(changes.unreadable)

    def _record_failure(self, fault: PlatformFault) -> None:
        self._failures += 1
        if self._failures == 1:
            log_warning(
                'platform_lost', part=self._scope.part, fault=fault.value
            )

    def _record_success(self) -> None:
        if self._failures:
            self._failures = 0
            log_event('platform_regained', part=self._scope.part)
