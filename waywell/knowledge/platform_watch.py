"""The base class of actors that follow one kind of objects in the platform."""

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
    """Collaborators of a watch."""

    platform: Platform
    """Store from which objects are read."""

    cluster: ClusterView
    """View in which the objects that were read are put in force."""

    clock: Clock
    """Source of the monotonic and the wall-clock time."""

    is_needed: Callable[[float], bool]
    """Returns whether this node must read the platform itself at a time."""

    reads_for_others: Callable[[], bool]
    """Returns whether other nodes depend on the data this node reads."""

    count_nodes: Callable[[], int]
    """Returns the number of nodes that update each other, with this one."""

    draw: Callable[[], float]
    """Returns a random number from 0 up to 1."""


@attrs.frozen
class WatchScope:
    """Kind of objects that a watch reads, and its timing."""

    part: str
    """Name of the kind in the log."""

    kind: Kind
    """Kind of the objects in the platform."""

    watch_seconds: float
    """Seconds after which a watch without changes is answered."""

    interval: float = 0.0
    """Minimum seconds between two calls."""


class PlatformWatch(Actor, abc.ABC):
    """Reads all objects of one kind, then repeatedly their changes.

    Parameters
    ----------
    name
        Name of the actor.
    scope
        Kind of objects and timing.
    context
        Platform, cluster view and other collaborators.
    """

    def __init__(
        self,
        name: str,
        scope: WatchScope,
        context: WatchContext,
    ) -> None:
        """Create a watch that has read nothing."""
        super().__init__(name)
        self._scope = scope
        self._context = context
        self._cursor = Revision()
        self._failures = 0
        self._wake_up = asyncio.Event()
        self._foreign: set[str] = set()

    def start(self) -> None:
        """Start the task that reads the platform."""
        super().start()
        self.spawn(self._watch())

    @property
    def foreign(self) -> list[str]:
        """Return the names of objects that another writer has written."""
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
        """Return the minimum seconds between two calls."""
        return self._scope.interval

    @abc.abstractmethod
    def apply_changes(
        self, changes: Changes, asked_at: float, now: float
    ) -> None:
        """Put objects that were read in force.

        Parameters
        ----------
        changes
            All objects, or those that changed.
        asked_at
            Time at which the call was sent, in seconds.
        now
            The current time, in seconds.
        """

    @abc.abstractmethod
    def handle_fault(self, fault: PlatformFault, now: float) -> None:
        """React to a failed call."""

    def handle_idle(self) -> None:
        """Prepare for a time in which another node reads for this one."""
        self.forget_revision()
        # The first retry after that time must not wait for its failures.
        self._failures = 0

    async def read(self) -> Result[Changes, PlatformFault]:
        """Read all objects, or the changes since the last revision.

        All objects are read if the era of the store has changed.
        """
        platform = self._context.platform
        kind = self._scope.kind
        cursor = self._cursor
        if not cursor.is_in(self._get_store_era()):
            return await platform.fetch_all(kind)
        answer = await platform.watch(
            (kind,), cursor.number, self._scope.watch_seconds
        )
        if not cursor.is_in(self._get_store_era()):
            # Revisions of different eras are not comparable.
            return Failure(PlatformFault.HISTORY_GONE)
        return answer

    def advance(self, changes: Changes) -> None:
        """Set the revision from which the next call continues."""
        self._cursor = Revision(self._get_store_era(), changes.revision)

    def forget_revision(self) -> None:
        """Make the next call read all objects, as changes may be missing."""
        self._cursor = Revision()

    def resume_reading(self, now: float) -> None:
        """Resume reading if no other node reads for this one."""
        if self._context.is_needed(now):
            self._wake_up.set()

    async def _watch(self) -> None:
        while True:
            asked_at = self._context.clock.read()
            if self._context.is_needed(asked_at):
                await self._poll(asked_at)
            else:
                self.handle_idle()
                self._wake_up.clear()
                await self._wake_up.wait()

    async def _poll(self, asked_at: float) -> None:
        """Read once, then sleep until the next call is due."""
        answer = await self.read()
        now = self._context.clock.read()
        if isinstance(answer, Failure):
            fault: PlatformFault = answer.failure()
            self.handle_fault(fault, now)
            self._record_failure(fault)
            await asyncio.sleep(self._choose_retry_delay(fault))
            return
        self._record_success()
        changes = answer.unwrap()
        self._update_foreign(changes)
        self._apply(changes, asked_at, now)
        await asyncio.sleep(max(0.0, asked_at + self.get_interval() - now))

    def _apply(self, changes: Changes, asked_at: float, now: float) -> None:
        """Put objects in force; an unusable one must not end the reading."""
        try:
            self.apply_changes(changes, asked_at, now)
        except Exception as error:
            log_warning(
                'changes_not_applied',
                part=self._scope.part,
                error=repr(error),
            )
            self.forget_revision()

    def _get_store_era(self) -> StoreEra:
        return self._context.cluster.eras.current

    def _choose_retry_delay(self, fault: PlatformFault) -> float:
        if fault is PlatformFault.HISTORY_GONE and self._failures == 1:
            # The store answers, and its watches have missed changes.
            return 0.0
        context = self._context
        return choose_retry_delay(
            self._failures,
            reads_for_others=context.reads_for_others(),
            nodes=context.count_nodes(),
            draw=context.draw(),
        )

    def _update_foreign(self, changes: Changes) -> None:
        """Update the set of objects written by another writer."""
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
