"""What a watch makes of a store that comes back from an older copy.

A watch went on from a revision of the former era and lacked what was written
below it; an answer with an older version of the routes confirmed the later one
that was in force.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from returns.result import Failure, Result, Success

from tests.held_clock import HeldClock
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
    """Notes the calls; a step may run while one is under way."""

    def __init__(self) -> None:
        self.asked: list[int] = []
        self.version = 5
        self.meanwhile: Callable[[], object] = lambda: None

    async def fetch_all(self, *_words: Any) -> Result[Changes, PlatformFault]:
        self.asked.append(0)
        self.meanwhile()
        stored = Stored('configuration', 'main', 9, RouteTable(self.version))
        return Success(Changes(9, (stored,), complete=True))

    async def watch(
        self, _kinds: Sequence[Kind], after: int, _seconds: float
    ) -> Result[Changes, PlatformFault]:
        self.asked.append(after)
        self.meanwhile()
        return Success(Changes(after + 1))


class Bench:
    """A watch of the routes that is driven by hand."""

    def __init__(self) -> None:
        self.store = Store()
        self.clock = HeldClock()
        self.cluster = ClusterView(PromiseSettings())
        self.cluster.eras.observe(StoreEra(1))
        parts = WatchContext(
            self.store,  # type: ignore[arg-type]
            self.cluster,
            self.clock,
            lambda _now: True,
            lambda: True,
            lambda: 1,
            lambda: 0.5,
        )
        self.watch = RouteWatch(parts, 0.1)

    def look(self) -> Result[Changes, PlatformFault]:
        answer = asyncio.run(self.watch.read())
        if isinstance(answer, Failure):
            self.watch.handle_fault(answer.failure(), self.clock.now)
        else:
            self.watch.apply_changes(
                answer.unwrap(), self.clock.now, self.clock.now
            )
        return answer

    def go_back(self) -> None:
        self.cluster.eras.observe(
            StoreEra(max(0, self.cluster.eras.current) + 1)
        )

    def get_age(self) -> float:
        return self.cluster.get_routes_age(self.clock.now)


def test_no_watch_goes_on_from_a_revision_of_a_former_era() -> None:
    bench = Bench()
    bench.look()
    bench.look()
    assert bench.store.asked == [0, 9]
    bench.go_back()
    bench.look()
    assert bench.store.asked == [0, 9, 0]


def test_a_watch_that_an_era_ends_tells_nothing() -> None:
    bench = Bench()
    bench.look()
    bench.store.meanwhile = bench.go_back
    assert bench.look() == Failure(PlatformFault.HISTORY_GONE)
    bench.store.meanwhile = lambda: None
    bench.look()
    assert bench.store.asked == [0, 9, 0]


def test_an_earlier_version_confirms_no_later_one() -> None:
    bench = Bench()
    bench.look()
    assert bench.get_age() == 0
    bench.go_back()
    bench.store.version = 4
    bench.clock.now += 1
    bench.look()
    bench.look()
    assert bench.cluster.index.table.version == 5
    assert bench.get_age() == 1
    # The operators write it again.
    bench.watch.forget_revision()
    bench.store.version = 5
    bench.look()
    assert bench.get_age() == 0
