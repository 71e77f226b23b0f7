"""Clocks and timers include the time while the machine is suspended.

The monotonic clock stops while a machine is suspended; the boot-time and wall
clocks don't.  With the monotonic clock, a resumed node would rely on a lease
that another node has acquired, and on keys that were removed meanwhile: with
the bound of 5 s and a suspension of 4 s, a removed key would be served for 9 s.
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

SUSPENDED_SECONDS = 30.0
"""Seconds for which the machine is suspended: longer than every bound and
term."""


@pytest.fixture
def suspend(monkeypatch: pytest.MonkeyPatch) -> Callable[[], None]:
    """Return a function that simulates a suspension of the machine.

    All clocks except the monotonic one advance.
    """
    suspended = 0.0
    read_clock = time.clock_gettime

    def read(clock: int) -> float:
        excludes_suspension = clock == time.CLOCK_MONOTONIC
        return read_clock(clock) + (0.0 if excludes_suspension else suspended)

    def suspend_machine() -> None:
        nonlocal suspended
        suspended += SUSPENDED_SECONDS

    monkeypatch.setattr(time, 'clock_gettime', read)
    return suspend_machine


def test_the_clock_includes_suspended_time(
    suspend: Callable[[], None],
) -> None:
    clock = SystemClock()
    before = clock.read()
    suspend()
    assert clock.read() - before >= SUSPENDED_SECONDS


def test_a_lease_expires_while_its_holder_is_suspended(
    suspend: Callable[[], None],
) -> None:
    clock = SystemClock()
    lease = LeaseState(NodeId('n1'), Incarnation(1), SUSPENDED_SECONDS / 2)
    record = LeaseRecord(NodeId('n1'), Incarnation(1), 1)
    lease.confirm_write(record, clock.read(), clock.read())
    assert lease.is_held(clock.read())
    suspend()
    assert TRUSTED_TERM_FRACTION < 1
    assert not lease.is_held(clock.read())


def test_keys_are_outdated_after_a_suspension(
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


def test_timers_that_expire_during_a_suspension_run_on_resume(
    suspend: Callable[[], None],
) -> None:
    """Deadlines of callers are kept even if the machine was suspended."""
    loop = make_loop()

    async def resume() -> bool:
        long = asyncio.create_task(asyncio.sleep(SUSPENDED_SECONDS - 1.0))
        await asyncio.sleep(0)
        suspend()
        # A short timer ends the wait for input, as in every node.
        await asyncio.sleep(0.01)
        await asyncio.sleep(0)
        is_due = long.done()
        long.cancel()
        return is_due

    is_due = loop.run_until_complete(resume())
    loop.close()
    assert is_due
