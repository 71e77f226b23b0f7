"""A duty that is lost and acquired again starts a new term."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import pytest
from returns.result import Failure, Result, Success

from tests.lone_gossip import LoneGossip
from tests.manual_clock import ManualClock
from waywell.connection.platform import PlatformFault, Stored
from waywell.duties.duty import Duty
from waywell.duties.lease import LeaseState
from waywell.ids import Incarnation, NodeId

if TYPE_CHECKING:
    from waywell.connection.platform import Kind

TERM = 2.0


class _Store:
    """Store of one object that can be unresponsive or lose an answer."""

    def __init__(self) -> None:
        self.stored: Stored | None = None
        self.is_silent = False
        self.loses_answers = False

    async def fetch(
        self,
        _kind: Kind,
        _name: str,
        fresh: bool = True,
    ) -> Result[Stored | None, PlatformFault]:
        if self.is_silent:
            return Failure(PlatformFault.UNANSWERED)
        return Success(self.stored)

    async def write(
        self,
        kind: Kind,
        name: str,
        body: Any,
        expected: int,
    ) -> Result[Stored, PlatformFault]:
        version = self.stored.version if self.stored else 0
        if self.is_silent:
            return Failure(PlatformFault.UNANSWERED)
        if expected != version:
            return Failure(PlatformFault.CONFLICT)
        self.stored = Stored(kind.value, name, version + 1, body)
        if self.loses_answers:
            self.is_silent = True
            return Failure(PlatformFault.UNANSWERED)
        return Success(self.stored)


class _RecordingDuty(Duty):
    """Records the epochs under which it started work."""

    def __init__(self, store: _Store, clock: ManualClock) -> None:
        super().__init__('forming', store, LoneGossip(), clock, TERM)
        self.started_epochs: list[int] = []

    async def start_work(self) -> None:
        self.started_epochs.append(self.lease.state.epoch)


def test_term_after_a_store_outage_has_a_new_epoch() -> None:
    async def work() -> None:
        store, clock = _Store(), ManualClock()
        duty = _RecordingDuty(store, clock)
        await duty.on_lease_tick(Duty.LeaseTick())
        assert duty.is_held()
        store.is_silent = True
        clock.now += TERM
        await duty.on_lease_tick(Duty.LeaseTick())
        assert not duty.is_held()
        store.is_silent = False
        await duty.on_lease_tick(Duty.LeaseTick())
        assert duty.is_held()
        assert duty.started_epochs == [1, 2]

    asyncio.run(work())


def test_lease_that_expires_and_is_acquired_in_one_tick_starts_a_new_term() -> (
    None
):
    async def work() -> None:
        store, clock = _Store(), ManualClock()
        duty = _RecordingDuty(store, clock)
        await duty.on_lease_tick(Duty.LeaseTick())
        # The process is suspended for longer than the term.
        clock.now += 3 * TERM
        await duty.on_lease_tick(Duty.LeaseTick())
        assert duty.is_held()
        assert duty.started_epochs == [1, 2]

    asyncio.run(work())


def test_renewal_whose_answer_was_lost_does_not_restore_an_expired_term() -> (
    None
):
    async def work() -> None:
        store, clock = _Store(), ManualClock()
        duty = _RecordingDuty(store, clock)
        await duty.on_lease_tick(Duty.LeaseTick())
        clock.now += TERM / 2
        store.loses_answers = True
        await duty.on_lease_tick(Duty.LeaseTick())
        clock.now += TERM
        await duty.on_lease_tick(Duty.LeaseTick())
        assert not duty.is_held()
        store.loses_answers = False
        store.is_silent = False
        await duty.on_lease_tick(Duty.LeaseTick())
        assert duty.is_held()
        assert duty.started_epochs == [1, 2]

    asyncio.run(work())


def test_released_duty_is_acquired_at_once() -> None:
    """A holder that shuts down cleanly makes no candidate wait for a term."""

    async def work() -> None:
        store, clock = _Store(), ManualClock()
        duty, other = (
            _RecordingDuty(store, clock),
            _RecordingDuty(store, clock),
        )
        other.lease.state = LeaseState(NodeId('b'), Incarnation(1), TERM)
        await duty.on_lease_tick(Duty.LeaseTick())
        await other.on_lease_tick(Duty.LeaseTick())
        assert duty.is_held()
        assert not other.is_held()
        await duty.release()
        assert not duty.is_held()
        await other.on_lease_tick(Duty.LeaseTick())
        assert other.is_held()
        assert other.started_epochs == [2]

    asyncio.run(work())


@pytest.mark.parametrize(
    'body',
    [None, 'x', [1], {}, {'holder': 7}, {'holder': 'a', 'epoch': 'new'}],
)
def test_overwritten_lease_is_acquired_in_a_later_term(
    body: Any,
) -> None:
    """An unreadable lease record must not block the duty or reset its epochs.

    Another writer overwrites the lease while a node holds it.  The decoding
    error must not end the check of the lease: the holder must stop and wait
    for a term, since it can't know who holds the lease now, and its next term
    must have a higher epoch.
    """

    async def work() -> None:
        store, clock = _Store(), ManualClock()
        duty = _RecordingDuty(store, clock)
        await duty.on_lease_tick(Duty.LeaseTick())
        assert store.stored is not None
        version = store.stored.version + 1
        store.stored = Stored('lease', 'forming', version, body)
        clock.now += TERM / 2
        for _tick in range(2):
            await duty.on_lease_tick(Duty.LeaseTick())
            assert not duty.is_held()
        clock.now += TERM + 0.1
        await duty.on_lease_tick(Duty.LeaseTick())
        assert duty.is_held()
        assert duty.started_epochs == [1, 2]

    asyncio.run(work())


def test_next_term_has_a_higher_epoch_than_the_listed_groups() -> None:
    """A node that never read a valid lease must not reuse group epochs."""

    async def work() -> None:
        store, clock = _Store(), ManualClock()
        store.stored = Stored('lease', 'forming', 4, 'x')
        duty = _RecordingDuty(store, clock)
        duty.find_highest_used_epoch = lambda: 17  # type: ignore[method-assign]
        await duty.on_lease_tick(Duty.LeaseTick())
        clock.now += TERM + 0.1
        await duty.on_lease_tick(Duty.LeaseTick())
        assert duty.started_epochs == [18]

    asyncio.run(work())
