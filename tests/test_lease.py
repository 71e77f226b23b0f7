"""Leases: at most one holder, despite suspended nodes and lost answers."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from waywell.duties.lease import LeaseAction, LeaseRecord, LeaseState
from waywell.ids import Incarnation, NodeId

TERM = 6.0


def make_state(name: str, run: int = 1) -> LeaseState:
    return LeaseState(NodeId(name), Incarnation(run), TERM)


def test_missing_lease_is_acquired_and_renewed() -> None:
    state = make_state('a')
    assert state.choose_action(0) is LeaseAction.ACQUIRE
    record = state.make_next_record(LeaseAction.ACQUIRE, 'op')
    state.confirm_write(record, 0, 0.1)
    assert state.is_held(1)
    assert state.choose_action(1) is LeaseAction.WAIT
    assert state.choose_action(2) is LeaseAction.RENEW
    renewed = state.make_next_record(LeaseAction.RENEW, 'op2')
    assert (renewed.epoch, renewed.beat) == (1, 1)


def test_holder_stops_trusting_its_lease_before_others_take_over() -> None:
    holder, other = make_state('a'), make_state('b')
    record = holder.make_next_record(LeaseAction.ACQUIRE, 'op')
    holder.confirm_write(record, sent_at=0, now=1)
    other.observe(record, 0.5)
    assert not holder.is_held(TERM)
    assert other.choose_action(TERM) is LeaseAction.WAIT
    assert other.choose_action(TERM + 1) is LeaseAction.ACQUIRE
    assert other.make_next_record(LeaseAction.ACQUIRE, 'x').epoch == 2


def test_lease_of_a_former_run_of_the_node_is_acquired_at_once() -> None:
    state = make_state('a')
    earlier = LeaseRecord(NodeId('a'), Incarnation(0), 4)
    state.observe(earlier, 0)
    assert not state.is_held(1)
    assert state.choose_action(1) is LeaseAction.ACQUIRE
    assert state.make_next_record(LeaseAction.ACQUIRE, 'op').epoch == 5


def test_lease_of_another_node_is_waited_for_whatever_its_incarnation() -> (
    None
):
    state = make_state('b')
    state.observe(LeaseRecord(NodeId('a'), Incarnation(7), 4), 0)
    assert state.choose_action(1) is LeaseAction.WAIT
    # The clock of that node was set back before its next run began.
    state.observe(LeaseRecord(NodeId('a'), Incarnation(6), 5), 1)
    assert state.choose_action(TERM + 0.5) is LeaseAction.WAIT


def test_expired_lease_is_acquired_again_with_the_next_epoch() -> None:
    state = make_state('a')
    state.confirm_write(
        state.make_next_record(LeaseAction.ACQUIRE, 'op'), 0, 0
    )
    assert not state.is_held(TERM)
    assert state.choose_action(TERM) is LeaseAction.ACQUIRE
    record = state.make_next_record(LeaseAction.ACQUIRE, 'again')
    assert (record.epoch, record.beat) == (2, 0)


def test_renewal_that_is_confirmed_too_late_does_not_restore_the_term() -> (
    None
):
    state = make_state('a')
    state.confirm_write(
        state.make_next_record(LeaseAction.ACQUIRE, 'op'), 0, 0
    )
    renewed = state.make_next_record(LeaseAction.RENEW, 'late')
    state.confirm_write(renewed, sent_at=4, now=6)
    assert not state.is_held(6)
    assert state.choose_action(6) is LeaseAction.ACQUIRE


class LeaseMachine(RuleBasedStateMachine):
    """Three candidates and a platform that loses and delays answers."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.states = [make_state(name) for name in 'abc']
        self.runs = [1, 1, 1]
        self.seen = [0, 0, 0]
        self.stored: LeaseRecord | None = None
        self.version = 0
        self.late: list[tuple[int, LeaseRecord, float]] = []
        self.epoch = 0
        self.terms: set[tuple[int, int]] = set()
        self.held: tuple[int, int] | None = None

    @rule(seconds=st.floats(0.1, 4))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @rule(which=st.integers(0, 2))
    def read(self, which: int) -> None:
        self.states[which].observe(self.stored, self.now)
        self.seen[which] = self.version

    @rule(which=st.integers(0, 2), back=st.booleans())
    def restart(self, which: int, back: bool) -> None:
        """End a run of a node and start the next one without state."""
        # The number may decrease, as the clock may have been set back.
        self.runs[which] += -1 if back else 1
        self.states[which] = make_state('abc'[which], self.runs[which])
        self.seen[which] = 0
        self.late = [late for late in self.late if late[0] != which]

    @rule(
        which=st.integers(0, 2),
        outcome=st.sampled_from(['answered', 'lost', 'late', 'settled']),
    )
    def act(self, which: int, outcome: str) -> None:
        state = self.states[which]
        action = state.choose_action(self.now)
        if action is LeaseAction.WAIT or self.seen[which] != self.version:
            return
        record = state.make_next_record(action, f'{which}-{self.now}')
        self.stored = record
        self.version += 1
        if outcome == 'answered':
            state.confirm_write(record, self.now, self.now)
            self.seen[which] = self.version
        elif outcome in {'late', 'settled'}:
            self.late.append((which, record, self.now))

    @rule()
    def deliver_late_answer(self) -> None:
        if self.late:
            which, record, sent_at = self.late.pop(0)
            if self.stored == record:
                self.states[which].confirm_write(record, sent_at, self.now)
                self.seen[which] = self.version

    @invariant()
    def at_most_one_holder(self) -> None:
        held = [state for state in self.states if state.is_held(self.now)]
        assert len(held) <= 1

    @invariant()
    def each_term_has_its_own_epoch(self) -> None:
        held = next(
            (
                (which, state.epoch)
                for which, state in enumerate(self.states)
                if state.is_held(self.now)
            ),
            None,
        )
        if held != self.held and held is not None:
            assert held not in self.terms
            self.terms.add(held)
        self.held = held

    @invariant()
    def epochs_never_decrease(self) -> None:
        epoch = self.stored.epoch if self.stored else 0
        assert epoch >= self.epoch
        self.epoch = epoch


TestLeaseMachine = LeaseMachine.TestCase
