"""Tests of watches of a store that is restored from an older copy.

They guard against two faults: a watch that continues from a revision of the
former era misses changes with lower revisions, and an answer with an older
version of the routes confirms the later version in force.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from returns.result import Failure, Result, Success

from tests.manual_clock import ManualClock
from waywell.connection.platform import Changes, Kind, PlatformFault, Stored
from waywell.connection.store_era import StoreEra
from waywell.knowledge.cluster_view import ClusterView
from waywell.knowledge.platform_watch import WatchContext
from waywell.knowledge.route_watch import RouteWatch
from waywell.process.front_settings import PromiseSettings
from waywell.version.routes import RouteTable

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence


class Store:
    """Records calls; the test may run a step during a call."""

    def __init__(self) -> None:
        self.revisions: list[int] = []
        self.version = 5
        self.run_during_call: Callable[[], object] = lambda: None

    async def fetch_all(self, *_args: Any) -> Result[Changes, PlatformFault]:
        self.revisions.append(0)
        self.run_during_call()
        stored = Stored('configuration', 'main', 9, RouteTable(self.version))
        return Success(Changes(9, (stored,), complete=True))

    async def watch(
        self, _kinds: Sequence[Kind], after: int, _seconds: float
    ) -> Result[Changes, PlatformFault]:
        self.revisions.append(after)
        self.run_during_call()
        return Success(Changes(after + 1))


class RouteWatchHarness:
    """Route watch whose calls are made by the test."""

    def __init__(self) -> None:
        self.store = Store()
        self.clock = ManualClock()
        self.cluster = ClusterView(PromiseSettings())
        self.cluster.eras.observe(StoreEra(1))
        context = WatchContext(
            self.store,  # type: ignore[arg-type]
            self.cluster,
            self.clock,
            lambda _now: True,
            lambda: True,
            lambda: 1,
            lambda: 0.5,
        )
        self.watch = RouteWatch(context, 0.1)

    def poll(self) -> Result[Changes, PlatformFault]:
        answer = asyncio.run(self.watch.read())
        if isinstance(answer, Failure):
            self.watch.handle_fault(answer.failure(), self.clock.now)
        else:
            self.watch.apply_changes(
                answer.unwrap(), self.clock.now, self.clock.now
            )
        return answer

    def start_new_era(self) -> None:
        self.cluster.eras.observe(
            StoreEra(max(0, self.cluster.eras.current) + 1)
        )

    def get_age(self) -> float:
        return self.cluster.get_routes_age(self.clock.now)


def test_watch_does_not_continue_from_a_former_era() -> None:
    harness = RouteWatchHarness()
    harness.poll()
    harness.poll()
    assert harness.store.revisions == [0, 9]
    harness.start_new_era()
    harness.poll()
    assert harness.store.revisions == [0, 9, 0]


def test_answer_is_discarded_if_the_era_changes_during_the_call() -> None:
    harness = RouteWatchHarness()
    harness.poll()
    harness.store.run_during_call = harness.start_new_era
    assert harness.poll() == Failure(PlatformFault.HISTORY_GONE)
    harness.store.run_during_call = lambda: None
    harness.poll()
    assert harness.store.revisions == [0, 9, 0]


def test_earlier_version_does_not_confirm_a_later_one() -> None:
    harness = RouteWatchHarness()
    harness.poll()
    assert harness.get_age() == 0
    harness.start_new_era()
    harness.store.version = 4
    harness.clock.now += 1
    harness.poll()
    harness.poll()
    assert harness.cluster.index.table.version == 5
    assert harness.get_age() == 1
    # The operators write the later version again.
    harness.watch.forget_revision()
    harness.store.version = 5
    harness.poll()
    assert harness.get_age() == 0
