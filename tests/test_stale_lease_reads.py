"""A duty whose holder was killed is taken over despite stale cached reads.

The holder's process is killed and restarts 0.6 s later without the duty, while
two other candidates keep running.  Cached reads of the lease lag by up to 6 s,
so they show renewals of the killed holder long after its end.  Candidates that
measure the term from the last such renewal leave the duty without a holder for
8.0 s, in which groups that lose a box are not repaired: of 33 and 94 groups,
11 and 62 were left when the next holder started.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from returns.result import Result, Success

from tests.lone_gossip import LoneGossip
from tests.loops import in_loop
from tests.manual_clock import ManualClock
from tests.test_membership import make_record
from waywell.connection.platform import Stored
from waywell.duties.duty import TICKS_PER_TERM, Duty
from waywell.duties.lease import LeaseRecord
from waywell.ids import Incarnation, NodeId

if TYPE_CHECKING:
    from waywell.connection.platform import Kind, PlatformFault

TERM = 2.0
LAG = 6.0
"""Seconds by which cached reads lag behind."""

HOLDER = NodeId('holder')


class _LaggingStore:
    """Store of one object with its history; cached reads show a past state."""

    def __init__(self, clock: ManualClock) -> None:
        self.fresh_reads = 0
        self.lag = LAG
        self._clock = clock
        self._history: list[tuple[float, Stored]] = []

    def put(self, record: LeaseRecord, at: float) -> None:
        version = len(self._history) + 1
        body = {
            'holder': record.holder,
            'incarnation': record.incarnation,
            'epoch': record.epoch,
            'beat': record.beat,
            'operation': record.operation,
        }
        self._history.append((at, Stored('lease', 'forming', version, body)))

    async def fetch(
        self, _kind: Kind, _name: str, fresh: bool = True
    ) -> Result[Stored | None, PlatformFault]:
        self.fresh_reads += fresh
        until = self._clock.now - (0.0 if fresh else self.lag)
        shown = [stored for at, stored in self._history if at <= until]
        return Success(shown[-1] if shown else None)

    async def write(
        self, kind: Kind, name: str, body: Any, expected: int
    ) -> Result[Stored, PlatformFault]:
        assert expected == len(self._history)
        stored = Stored(kind.value, name, expected + 1, body)
        self._history.append((self._clock.now, stored))
        return Success(stored)


class Bench:
    """A candidate, and a holder that renewed its lease until just now."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.store = _LaggingStore(self.clock)
        self.gossip = LoneGossip()
        for beat in range(20):
            at = self.clock.now - (20 - beat) * TERM / 4
            self.store.put(
                LeaseRecord(HOLDER, Incarnation(1), 1, beat, str(beat)), at
            )
        self.duty = Duty('forming', self.store, self.gossip, self.clock, TERM)  # type: ignore[arg-type]
        self.see_holder(1)

    def see_holder(self, incarnation: int) -> None:
        """Let the candidate's membership view show a run of the holder."""
        record = make_record(HOLDER, incarnation)
        self.gossip.table.merge(record, self.clock.now)

    def suspect_holder(self) -> None:
        self.gossip.table.suspect(HOLDER, self.clock.now)

    async def measure_takeover_seconds(self) -> float:
        """Return the seconds until the candidate holds the duty."""
        started_at = self.clock.now
        while not self.duty.is_held():
            await self.duty.on_lease_tick(Duty.LeaseTick())
            self.clock.now += TERM / TICKS_PER_TERM
            assert self.clock.now < started_at + 60
        return self.clock.now - started_at


@in_loop
async def test_duty_of_a_restarted_holder_is_acquired_within_a_term() -> None:
    bench = Bench()
    bench.see_holder(2)
    assert (
        await bench.measure_takeover_seconds()
        <= TERM + 3 * TERM / TICKS_PER_TERM
    )


@in_loop
async def test_duty_of_a_suspected_holder_is_acquired_within_a_term() -> None:
    bench = Bench()
    bench.suspect_holder()
    assert (
        await bench.measure_takeover_seconds()
        <= TERM + 3 * TERM / TICKS_PER_TERM
    )


@in_loop
async def test_cached_reads_suffice_while_the_holder_runs() -> None:
    bench = Bench()
    for _ in range(TICKS_PER_TERM):
        await bench.duty.on_lease_tick(Duty.LeaseTick())
    assert not bench.store.fresh_reads
    assert not bench.duty.is_held()


@in_loop
async def test_older_read_is_no_sign_of_life() -> None:
    """Reads whose lag varies must not be mistaken for renewals."""
    bench = Bench()
    bench.store.lag = 0.0
    await bench.duty.on_lease_tick(Duty.LeaseTick())
    seconds = 0.0
    while not bench.duty.is_held():
        bench.store.lag = 0.0 if bench.store.lag else LAG
        bench.clock.now += TERM / TICKS_PER_TERM
        seconds += TERM / TICKS_PER_TERM
        await bench.duty.on_lease_tick(Duty.LeaseTick())
        assert seconds < 10 * TERM
    assert seconds <= TERM + 3 * TERM / TICKS_PER_TERM
