"""A duty that is lost and taken again begins a new term of work."""

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
    """One object, in a store that can be silent or lose an answer."""

    def __init__(self) -> None:
        self.stored: Stored | None = None
        self.is_silent = False
        self.loses_answer = False

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
        if self.loses_answer:
            self.is_silent = True
            return Failure(PlatformFault.UNANSWERED)
        return Success(self.stored)


class _NotedDuty(Duty):
    """Notes the epochs under which it was taken up."""

    def __init__(self, store: _Store, clock: ManualClock) -> None:
        super().__init__('forming', store, LoneGossip(), clock, TERM)
        self.taken: list[int] = []

    async def take_up(self) -> None:
        self.taken.append(self.lease.state.epoch)


def test_a_term_after_a_silent_store_has_an_epoch_of_its_own() -> None:
    async def work() -> None:
        store, clock = _Store(), ManualClock()
        duty = _NotedDuty(store, clock)
        await duty.on_lease_tick(Duty.LeaseTick())
        assert duty.is_held()
        store.is_silent = True
        clock.now += TERM
        await duty.on_lease_tick(Duty.LeaseTick())
        assert not duty.is_held()
        store.is_silent = False
        await duty.on_lease_tick(Duty.LeaseTick())
        assert duty.is_held()
        assert duty.taken == [1, 2]

    asyncio.run(work())


def test_a_lease_taken_anew_within_one_look_is_a_new_term() -> None:
    async def work() -> None:
        store, clock = _Store(), ManualClock()
        duty = _NotedDuty(store, clock)
        await duty.on_lease_tick(Duty.LeaseTick())
        # The process stood still for longer than the term.
        clock.now += 3 * TERM
        await duty.on_lease_tick(Duty.LeaseTick())
        assert duty.is_held()
        assert duty.taken == [1, 2]

    asyncio.run(work())


def test_a_renewal_whose_answer_was_lost_keeps_no_lapsed_term() -> None:
    async def work() -> None:
        store, clock = _Store(), ManualClock()
        duty = _NotedDuty(store, clock)
        await duty.on_lease_tick(Duty.LeaseTick())
        clock.now += TERM / 2
        store.loses_answer = True
        await duty.on_lease_tick(Duty.LeaseTick())
        clock.now += TERM
        await duty.on_lease_tick(Duty.LeaseTick())
        assert not duty.is_held()
        store.loses_answer = False
        store.is_silent = False
        await duty.on_lease_tick(Duty.LeaseTick())
        assert duty.is_held()
        assert duty.taken == [1, 2]

    asyncio.run(work())


def test_a_duty_that_was_given_back_is_taken_at_once() -> None:
    """A holder that stops in good order; nobody waits for its term."""

    async def work() -> None:
        store, clock = _Store(), ManualClock()
        duty, other = _NotedDuty(store, clock), _NotedDuty(store, clock)
        other.lease.state = LeaseState(NodeId('b'), Incarnation(1), TERM)
        await duty.on_lease_tick(Duty.LeaseTick())
        await other.on_lease_tick(Duty.LeaseTick())
        assert duty.is_held()
        assert not other.is_held()
        await duty.retire()
        assert not duty.is_held()
        await other.on_lease_tick(Duty.LeaseTick())
        assert other.is_held()
        assert other.taken == [2]

    asyncio.run(work())


@pytest.mark.parametrize(
    'body',
    [None, 'x', [1], {}, {'holder': 7}, {'holder': 'a', 'epoch': 'new'}],
)
def test_a_lease_that_another_writer_wrote_over_is_taken_in_a_later_term(
    body: Any,
) -> None:
    """Symptom: the duty was never held again, or its epochs began anew.

    Sequence: another writer writes something else over the lease while a node
    holds it.  The holder gives up and waits for a term, as it can't know who
    holds it now; its next term has a higher epoch.  Cause: a body that was not
    understood ended the look at the lease.
    """

    async def work() -> None:
        store, clock = _Store(), ManualClock()
        duty = _NotedDuty(store, clock)
        await duty.on_lease_tick(Duty.LeaseTick())
        assert store.stored is not None
        version = store.stored.version + 1
        store.stored = Stored('lease', 'forming', version, body)
        clock.now += TERM / 2
        for _look in range(2):
            await duty.on_lease_tick(Duty.LeaseTick())
            assert not duty.is_held()
        clock.now += TERM + 0.1
        await duty.on_lease_tick(Duty.LeaseTick())
        assert duty.is_held()
        assert duty.taken == [1, 2]

    asyncio.run(work())


def test_the_epochs_of_groups_bound_the_next_term_from_below() -> None:
    """A node that never read the lease must not number its groups lower."""

    async def work() -> None:
        store, clock = _Store(), ManualClock()
        store.stored = Stored('lease', 'forming', 4, 'x')
        duty = _NotedDuty(store, clock)
        duty.find_least_epoch = lambda: 17  # type: ignore[method-assign]
        await duty.on_lease_tick(Duty.LeaseTick())
        clock.now += TERM + 0.1
        await duty.on_lease_tick(Duty.LeaseTick())
        assert duty.taken == [18]

    asyncio.run(work())
