"""Time goes on while a machine is suspended.

A machine may stand still for seconds; its monotonic clock then stands as well,
while the clock since boot and the time of day go on.  Read by the first, a
node that wakes takes a lease for held that another node took meanwhile, and
keys for confirmed that were removed seconds ago: with the bound of 5 s, and 4 s
asleep, a removed key would be served for 9 s.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest

from tests.fake_platform import KEY
from waywell.codes import Refusal
from waywell.daemon import make_loop
from waywell.duties.lease import TRUSTED_TERM_FRACTION, LeaseRecord, LeaseState
from waywell.ids import AccountName, Incarnation, NodeId
from waywell.knowledge.cluster_view import ClusterView
from waywell.process.clock import SystemClock
from waywell.process.front_settings import PromiseSettings
from waywell.version.routes import KeyHolder, RouteTable

if TYPE_CHECKING:
    from collections.abc import Callable

ASLEEP = 30.0
"""Seconds for which the machine of these tests is suspended: beyond every
bound and term."""


@pytest.fixture
def suspend(monkeypatch: pytest.MonkeyPatch) -> Callable[[], None]:
    """Return what suspends the machine: one clock stands, the others go."""
    slept = 0.0
    read_clock = time.clock_gettime

    def read(clock: int) -> float:
        is_standing = clock == time.CLOCK_MONOTONIC
        return read_clock(clock) + (0.0 if is_standing else slept)

    def sleep() -> None:
        nonlocal slept
        slept += ASLEEP

    monkeypatch.setattr(time, 'clock_gettime', read)
    return sleep


def test_the_clock_goes_on_while_the_machine_is_suspended(
    suspend: Callable[[], None],
) -> None:
    clock = SystemClock()
    before = clock.read()
    suspend()
    assert clock.read() - before >= ASLEEP


def test_a_lease_has_lapsed_when_its_holder_wakes(
    suspend: Callable[[], None],
) -> None:
    clock = SystemClock()
    lease = LeaseState(NodeId('n1'), Incarnation(1), ASLEEP / 2)
    record = LeaseRecord(NodeId('n1'), Incarnation(1), 1)
    lease.confirm_write(record, clock.read(), clock.read())
    assert lease.is_held(clock.read())
    suspend()
    assert TRUSTED_TERM_FRACTION < 1
    assert not lease.is_held(clock.read())


def test_keys_are_not_relied_on_when_a_node_wakes(
    suspend: Callable[[], None],
) -> None:
    clock = SystemClock()
    cluster = ClusterView(PromiseSettings())
    holder = KeyHolder(AccountName('shop'))
    cluster.apply_routes(RouteTable(1, holders={KEY: holder}))
    cluster.confirm_routes(clock.read())
    cluster.check_keys(clock.read())
    suspend()
    with pytest.raises(Refusal):
        cluster.check_keys(clock.read())


def test_timers_that_fell_due_while_asleep_run_at_once(
    suspend: Callable[[], None],
) -> None:
    """What a caller waits for is given up by the time that it gave."""
    loop = make_loop()

    async def wake() -> bool:
        long = asyncio.create_task(asyncio.sleep(ASLEEP - 1.0))
        await asyncio.sleep(0)
        suspend()
        # A short timer, as each node has, ends the wait for input.
        await asyncio.sleep(0.01)
        await asyncio.sleep(0)
        is_due = long.done()
        long.cancel()
        return is_due

    is_due = loop.run_until_complete(wake())
    loop.close()
    assert is_due
