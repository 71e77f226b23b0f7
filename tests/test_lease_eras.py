"""A lease has at most one holder when the store is restored from an old copy.

A lease that is missing from the copy, or that the copy shows as released or as
held by a former run of the candidate, may still be trusted by its holder.  A
candidate that acquires it at once causes two nodes to send orders to boxes.  A
holder that reads its own record of an earlier term from the copy must not
continue under the epoch of that term.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec
import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from returns.result import Failure, Result, Success

from tests.lone_gossip import LoneGossip
from tests.loops import in_loop
from tests.manual_clock import ManualClock
from waywell.connection.platform import PlatformFault, Stored
from waywell.connection.store_era import EraTracker, StoreEra
from waywell.duties.duty import Duty
from waywell.duties.lease import (
    EPOCHS_SKIPPED_PER_ERA,
    LeaseAction,
    LeaseRecord,
    LeaseState,
)
from waywell.ids import Incarnation, NodeId

if TYPE_CHECKING:
    from waywell.connection.platform import Kind

TERM = 6.0
FORMER, PRESENT = StoreEra(4), StoreEra(5)


def make_state(name: str, run: int = 1) -> LeaseState:
    return LeaseState(NodeId(name), Incarnation(run), TERM)


def make_record(holder: str, era: StoreEra, run: int = 1) -> LeaseRecord:
    return LeaseRecord(NodeId(holder), Incarnation(run), 3, era=era)


@pytest.mark.parametrize(
    'record',
    [
        None,
        make_record('', FORMER),
        make_record('b', FORMER, run=7),
        make_record('b', FORMER),
    ],
    ids=['missing', 'released', 'of_a_former_run', 'own'],
)
def test_no_lease_is_acquired_in_the_first_term_of_an_era(
    record: LeaseRecord | None,
) -> None:
    state = make_state('b')
    state.observe(record, 10.0, PRESENT)
    assert state.choose_action(10.0 + TERM) is LeaseAction.WAIT
    assert state.choose_action(10.1 + TERM) is LeaseAction.ACQUIRE
    least = (PRESENT - 1) * EPOCHS_SKIPPED_PER_ERA
    epoch = state.make_next_record(LeaseAction.ACQUIRE, 'op').epoch
    assert epoch == least + (EPOCHS_SKIPPED_PER_ERA if record else 1)


def test_lease_that_was_released_in_this_era_is_acquired_at_once() -> None:
    state = make_state('b')
    state.observe(make_record('', PRESENT), 10.0, PRESENT)
    assert state.choose_action(10.0) is LeaseAction.ACQUIRE
    assert state.make_next_record(LeaseAction.ACQUIRE, 'op').epoch > 4


def test_new_era_has_higher_epochs_than_a_long_former_era() -> None:
    state = make_state('b')
    long_used = msgspec.structs.replace(make_record('a', FORMER), epoch=7000)
    state.observe(long_used, 10.0, PRESENT)
    assert (
        state.make_next_record(LeaseAction.ACQUIRE, 'op').epoch
        == 7000 + EPOCHS_SKIPPED_PER_ERA
    )


def test_first_start_acquires_the_lease_without_waiting() -> None:
    state = make_state('b')
    state.is_first_start = True
    state.observe(None, 10.0, PRESENT)
    assert state.choose_action(10.0) is LeaseAction.ACQUIRE


def test_term_is_waited_for_again_if_the_store_is_restored_twice() -> None:
    state = make_state('b')
    state.observe(None, 10.0, FORMER)
    state.observe(None, 10.0 + TERM / 2, PRESENT)
    assert state.choose_action(10.1 + TERM) is LeaseAction.WAIT
    assert state.choose_action(10.1 + TERM * 1.5) is LeaseAction.ACQUIRE


def test_record_seen_in_a_former_era_is_waited_for_again() -> None:
    """The holder may trust a later renewal that the copy lacks."""
    state = make_state('b')
    state.observe(make_record('a', FORMER), 10.0, FORMER)
    state.observe(make_record('a', FORMER), 10.0 + TERM, PRESENT)
    assert state.choose_action(10.1 + TERM) is LeaseAction.WAIT


def test_holder_renews_in_a_new_era_and_keeps_its_term() -> None:
    state = make_state('a')
    state.observe(None, 10.0, FORMER)
    record = state.make_next_record(LeaseAction.ACQUIRE, 'op')
    state.confirm_write(record, 17.0, 17.0)
    state.observe(record, 17.1, PRESENT)
    assert state.is_held(17.1)
    assert state.choose_action(17.1) is LeaseAction.RENEW
    renewed = state.make_next_record(LeaseAction.RENEW, 'op2')
    assert (renewed.era, renewed.epoch) == (PRESENT, record.epoch)


def test_term_does_not_continue_under_the_epoch_of_an_earlier_one() -> None:
    state = make_state('a')
    state.observe(make_record('', FORMER), 10.0, FORMER)
    first = state.make_next_record(LeaseAction.ACQUIRE, 'op')
    state.confirm_write(first, 10.0, 10.0)
    second = state.make_next_record(LeaseAction.ACQUIRE, 'op2')
    state.confirm_write(second, 17.0, 17.0)
    state.observe(first, 17.1, PRESENT)
    assert not state.is_held(17.1)


class _Store:
    """Store of one lease that may start a new era with its next answer."""

    def __init__(self) -> None:
        self.eras = EraTracker()
        self.eras.observe(FORMER)
        self.stored: Stored | None = None
        self.next_era = self.fetch_era = FORMER
        self.is_silent = False
        self.writes = 0

    async def fetch(
        self, _kind: Kind, _name: str, fresh: bool = True
    ) -> Result[Stored | None, PlatformFault]:
        if self.is_silent:
            return Failure(PlatformFault.UNANSWERED)
        self.eras.observe(self.fetch_era)
        return Success(self.stored)

    async def write(
        self, kind: Kind, name: str, body: Any, expected: int
    ) -> Result[Stored, PlatformFault]:
        self.writes += 1
        self.eras.observe(self.next_era)
        assert expected == (self.stored.version if self.stored else 0)
        self.stored = Stored(kind.value, name, expected + 1, body)
        return Success(self.stored)


async def tick(duty: Duty, clock: ManualClock, seconds: float = 0.0) -> bool:
    clock.now += seconds
    await duty.on_lease_tick(Duty.LeaseTick())
    return duty.is_held()


def make_duty(store: _Store, clock: ManualClock) -> Duty:
    return Duty('forming', store, LoneGossip('a'), clock, TERM, store.eras)


@in_loop
async def test_no_lease_is_written_with_a_version_of_a_former_era() -> None:
    store, clock = _Store(), ManualClock()
    duty = make_duty(store, clock)
    assert not await tick(duty, clock)
    # The call of another actor reveals the era; the next read fails.
    store.eras.observe(PRESENT)
    store.is_silent = True
    assert not await tick(duty, clock, TERM + 1)
    assert not store.writes


@in_loop
async def test_write_during_a_change_of_era_is_verified() -> None:
    store, clock = _Store(), ManualClock()
    duty = make_duty(store, clock)
    assert not await tick(duty, clock)
    # The store is restored while the write is in flight.
    store.next_era = PRESENT
    write = store.write

    async def write_and_lose(*args: Any) -> Any:
        answer = await write(*args)
        body = msgspec.to_builtins(make_record('b', PRESENT))
        store.stored = Stored('lease', 'forming', 9, body)
        return answer

    store.write = write_and_lose  # type: ignore[method-assign]
    store.fetch_era = FORMER
    assert not await tick(duty, clock, TERM + 1)
    assert store.writes == 1
    assert duty.lease.state.record.holder == 'b'


@in_loop
async def test_write_that_is_applied_in_a_later_era_does_not_count() -> None:
    """Its expected version was reused, so another holder may exist."""
    store, clock = _Store(), ManualClock()
    duty = make_duty(store, clock)
    assert not await tick(duty, clock)
    # The store is restored while the write is in flight.
    store.next_era = PRESENT
    assert not await tick(duty, clock, TERM + 1)
    assert store.writes == 1
    assert duty.lease.state.record.holder == 'a'


@in_loop
async def test_holder_whose_lease_the_copy_lacks_waits_for_a_term() -> None:
    store, clock = _Store(), ManualClock()
    duty = make_duty(store, clock)
    await tick(duty, clock)
    assert await tick(duty, clock, TERM + 0.1)
    first = duty.epoch
    store.stored = None
    store.next_era = store.fetch_era = PRESENT
    store.eras.observe(PRESENT)
    assert not await tick(duty, clock, 0.1)
    assert not await tick(duty, clock, TERM)
    assert await tick(duty, clock, 0.1)
    assert duty.epoch > first


class _Write(NamedTuple):
    """A write that was sent and is not applied yet."""

    which: int
    run: int
    record: LeaseRecord
    expected: int
    sent_at: float


class _Content(NamedTuple):
    """Content of the store."""

    record: LeaseRecord | None
    revision: int


class LeaseEraMachine(RuleBasedStateMachine):
    """Three candidates; the store is restored from copies, writes are delayed."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.era = StoreEra(1)
        self.content = _Content(None, 0)
        # Revision of the whole store, which other writers increase too.
        self.counter = 0
        self.copies = [(self.content, 0)]
        self.states = [make_state(name) for name in 'abc']
        self.runs = [1, 1, 1]
        self.seen = [(StoreEra(0), 0)] * 3
        self.writes: list[_Write] = []
        self.sent: dict[str, tuple[int, int, float]] = {}
        self.terms: dict[int, tuple[int, int]] = {}

    @rule(seconds=st.sampled_from([0.1, 1.0, 3.0, TERM + 0.1]))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule()
    def copy(self) -> None:
        self.copies.append((self.content, self.counter))

    @rule(back=st.integers(1, 3))
    def restore(self, back: int) -> None:
        self.era = StoreEra(self.era + 1)
        self.copies = self.copies[: max(1, len(self.copies) - back + 1)]
        self.content, self.counter = self.copies[-1]

    @rule()
    def write_other_object(self) -> None:
        self.counter += 1

    @rule(which=st.integers(0, 2))
    def read(self, which: int) -> None:
        self.states[which].observe(self.content.record, self.now, self.era)
        self.seen[which] = (self.era, self.content.revision)

    @rule(which=st.integers(0, 2))
    def restart(self, which: int) -> None:
        self.runs[which] += 1
        self.states[which] = make_state('abc'[which], self.runs[which])
        self.seen[which] = (StoreEra(0), 0)

    @rule(which=st.integers(0, 2))
    def send(self, which: int) -> None:
        """Send the write due after the last read; it is applied later."""
        state, (era, revision) = self.states[which], self.seen[which]
        action = state.choose_action(self.now)
        if era and action is not LeaseAction.WAIT:
            run = self.runs[which]
            operation = f'op-{len(self.sent)}'
            record = state.make_next_record(action, operation)
            self.sent[operation] = (which, run, self.now)
            self.writes.append(_Write(which, run, record, revision, self.now))

    @rule(which=st.integers(0, 2))
    def act(self, which: int) -> None:
        """Read the lease and apply the write that is due at once."""
        self.read(which)
        sent = len(self.writes)
        self.send(which)
        if len(self.writes) > sent:
            self.apply_write(is_answered=True, last=True)

    @rule(is_answered=st.booleans(), last=st.booleans())
    def apply_write(self, is_answered: bool, last: bool) -> None:
        if not self.writes:
            return
        write = self.writes.pop(-1 if last else 0)
        if write.expected != self.content.revision:
            return
        self.counter += 1
        self.content = _Content(write.record, self.counter)
        which = write.which
        is_running = self.runs[which] == write.run
        # An answer from another era than that of the write confirms nothing.
        if is_answered and is_running and write.record.era == self.era:
            self.states[which].confirm_write(
                write.record, write.sent_at, self.now
            )
            self.seen[which] = (self.era, self.counter)

    @rule(which=st.integers(0, 2))
    def verify_write(self, which: int) -> None:
        """Check whether a write without an answer was applied."""
        self.read(which)
        record = self.content.record
        if record is None or record.era != self.era:
            return
        sender, run, sent_at = self.sent[record.operation]
        if (sender, run) == (which, self.runs[which]):
            self.states[which].confirm_write(record, sent_at, self.now)

    @invariant()
    def at_most_one_holder(self) -> None:
        held = [state for state in self.states if state.is_held(self.now)]
        assert len(held) <= 1

    @invariant()
    def no_two_terms_share_an_epoch(self) -> None:
        for which, state in enumerate(self.states):
            if state.is_held(self.now):
                own = (which, self.runs[which])
                assert self.terms.setdefault(state.epoch, own) == own


TestLeaseEraMachine = LeaseEraMachine.TestCase
