"""State machines of a store that is restored from copies at any time.

One node reads a store while boxes restart, write and leave, operators write
routes, the store is restored, answers arrive late and peers report eras.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from returns.result import Failure, Result, Success

from tests.boxes import make_box, make_fleet
from tests.manual_clock import ManualClock
from waywell.connection.platform import Changes, Kind, PlatformFault, Stored
from waywell.connection.store_era import EraTracker, StoreEra
from waywell.ids import BoxId, Incarnation
from waywell.knowledge.cluster_view import ClusterView
from waywell.knowledge.platform_watch import WatchContext
from waywell.knowledge.restored_entries import REWRITE_SECONDS
from waywell.knowledge.route_watch import RouteWatch
from waywell.process.front_settings import PromiseSettings
from waywell.version.routes import RouteTable

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from waywell.version.fleet import FleetBox

NAMES = tuple(BoxId(name) for name in 'abc')
UNNUMBERED = BoxId('b')
"""A box whose entries carry no numbers."""

OLDEST_COPY = 10.0
"""Maximum age in seconds of a copy that is restored."""

Entries = dict[BoxId, 'FleetBox']


class _Copy(NamedTuple):
    """Box entries at a given time."""

    at: float
    entries: Entries


class BoxMachine(RuleBasedStateMachine):
    """Boxes write entries to a store that is restored from copies."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.cluster = ClusterView(PromiseSettings())
        self.boxes: Entries = {}
        self.entries: Entries = {}
        self.copies = [_Copy(self.now, {})]
        self.rewrite_at: float | None = None
        self.shown: dict[BoxId, tuple[int, int, bool]] = {}
        self.gone: set[BoxId] = set()
        for name in NAMES[:2]:
            self.boxes[name] = make_box(name)
            self._write(name, incarnation=Incarnation(1))
        self.poll()

    @rule(seconds=st.sampled_from([0.1, 0.7, 2.0, 4.0]))
    def wait(self, seconds: float) -> None:
        due = self.rewrite_at
        if due is not None and self.now + seconds >= due:
            self._write_all()
        self.now += seconds

    @rule()
    def add(self) -> None:
        name = NAMES[-1]
        if name not in self.boxes and name not in self.gone:
            self.boxes[name] = make_box(name)
            self._write(name, incarnation=Incarnation(1))

    @rule(name=st.sampled_from(NAMES))
    def write(self, name: BoxId) -> None:
        if name in self.boxes:
            self._write(name)

    @rule(name=st.sampled_from(NAMES))
    def restart(self, name: BoxId) -> None:
        if name in self.boxes:
            later = Incarnation(self.boxes[name].incarnation + 1)
            self._write(name, incarnation=later, entry_number=0, leaving=False)

    @rule(name=st.sampled_from(NAMES))
    def remove_entry(self, name: BoxId) -> None:
        """Remove the entry of a leaving box."""
        if name in self.boxes and self.boxes[name].leaving:
            self._copy()
            self.boxes.pop(name)
            self.entries.pop(name, None)
            self.gone.add(name)

    @rule(name=st.sampled_from(NAMES))
    def leave(self, name: BoxId) -> None:
        if name in self.boxes:
            self._write(name, leaving=True)

    @rule(back=st.integers(1, 3), polls=st.booleans())
    def restore(self, back: int, polls: bool) -> None:
        """Restore the entries as they were some writes ago."""
        kept = [
            copy for copy in self.copies if self.now - copy.at < OLDEST_COPY
        ]
        if kept:
            self.copies = kept[: max(1, len(kept) - back + 1)]
            self.entries = dict(self.copies[-1].entries)
            self.cluster.begin_recovery(self.now)
            self.rewrite_at = self.now + REWRITE_SECONDS
        if polls:
            self.poll()

    @rule()
    def poll(self) -> None:
        self.now += 0.001
        self.cluster.update_fleet(
            make_fleet(*self.entries.values()), self.now, self.now
        )
        listed = self.cluster.fleet.boxes
        for name in listed.keys() - self.entries.keys():
            assert not listed[name].leaving, (
                'a removed leaving box is retained'
            )

    @rule()
    def settle(self) -> None:
        """Let all boxes write again; the node must then follow the store."""
        self._write_all()
        self.now += REWRITE_SECONDS
        self.poll()
        assert self.cluster.fleet.boxes == self.boxes

    @invariant()
    def known_state_of_a_box_never_reverts(self) -> None:
        for name, box in self.cluster.fleet.boxes.items():
            shown = (box.incarnation, box.entry_number, box.leaving)
            before = self.shown.get(name, shown)
            assert shown[0] >= before[0], (
                'an ended incarnation is listed again'
            )
            if shown[0] == before[0]:
                assert shown[1] >= before[1], (
                    'an earlier entry is listed again'
                )
                assert shown[2] >= before[2], (
                    'a leaving box is no longer leaving'
                )
            self.shown[name] = shown

    @invariant()
    def live_boxes_stay_listed(self) -> None:
        for name in self.shown.keys() & self.boxes.keys():
            is_listed = name in self.cluster.fleet.boxes
            assert is_listed or self.shown[name][2]

    def _copy(self) -> None:
        self.copies.append(_Copy(self.now, dict(self.entries)))

    def _write(self, name: BoxId, **changes: Any) -> None:
        self._copy()
        box = msgspec.structs.replace(self.boxes[name], **changes)
        number = 0 if name == UNNUMBERED else box.entry_number + 1
        self.boxes[name] = msgspec.structs.replace(box, entry_number=number)
        self.entries[name] = self.boxes[name]

    def _write_all(self) -> None:
        self.entries = dict(self.boxes)
        self.rewrite_at = None


class _Content(NamedTuple):
    """Content of the store: its counter and the routes."""

    counter: int
    version: int
    written: int


class RouteStore:
    """Stores the routes; can be restored from copies."""

    def __init__(self, eras: EraTracker) -> None:
        self.eras = eras
        self.era = StoreEra(1)
        self.content = _Content(1, 1, 1)
        self.run_during_call: Callable[[], object] = lambda: None
        self.answered_version = 0

    def put(self, version: int) -> None:
        counter = self.content.counter + 1
        self.content = _Content(counter, version, counter)

    def put_other(self) -> None:
        counter = self.content.counter + 1
        self.content = self.content._replace(counter=counter)

    async def fetch_all(self, *_args: Any) -> Result[Changes, PlatformFault]:
        return self._answer(after=0, complete=True)

    async def watch(
        self, _kinds: Sequence[Kind], after: int, _seconds: float
    ) -> Result[Changes, PlatformFault]:
        if after > self.content.counter:
            self.eras.observe(self.era)
            return Failure(PlatformFault.HISTORY_GONE)
        return self._answer(after, complete=False)

    def _answer(
        self, after: int, *, complete: bool
    ) -> Result[Changes, PlatformFault]:
        era, content = self.era, self.content
        stored = Stored(
            'configuration',
            'main',
            content.written,
            RouteTable(content.version),
        )
        objects = (stored,) if complete or content.written > after else ()
        self.answered_version = content.version
        self.run_during_call()
        if not self.eras.observe(era):
            return Failure(PlatformFault.FORMER_ERA)
        return Success(Changes(content.counter, objects, complete))


class RouteMachine(RuleBasedStateMachine):
    """Operators write routes to a store that is restored from copies."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.cluster = ClusterView(PromiseSettings())
        self.store = RouteStore(self.cluster.eras)
        self.latest = 1
        self.copies = [self.store.content]
        self.in_force = 0
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

    @rule()
    def write(self) -> None:
        self.latest += 1
        self.store.put(self.latest)

    @rule()
    def write_again(self) -> None:
        if self.store.content.version < self.latest:
            self.store.put(self.latest)

    @rule(count=st.integers(1, 3))
    def write_elsewhere(self, count: int) -> None:
        for _change in range(count):
            self.store.put_other()

    @rule()
    def copy(self) -> None:
        self.copies.append(self.store.content)

    @rule(back=st.integers(1, 3))
    def restore(self, back: int) -> None:
        self.copies = self.copies[: max(1, len(self.copies) - back + 1)]
        self.store.content = self.copies[-1]
        self.store.era = StoreEra(self.store.era + 1)

    @rule()
    def observe_era(self) -> None:
        self.cluster.eras.observe_peer(self.store.era)

    @rule()
    def poll(self) -> None:
        self.clock.now += 0.1
        asked_at = self.clock.now
        answer = asyncio.run(self.watch.read())
        if isinstance(answer, Failure):
            self.watch.handle_fault(answer.failure(), asked_at)
            return
        self.watch.apply_changes(answer.unwrap(), asked_at, asked_at)
        if self.cluster.get_routes_age(asked_at) <= 0:
            version = self.cluster.index.table.version
            assert version == self.store.answered_version

    @rule(back=st.integers(1, 3))
    def poll_during_restore(self, back: int) -> None:
        def run_during_call() -> None:
            self.restore(back)
            self.observe_era()

        self.store.run_during_call = run_during_call
        self.poll()
        self.store.run_during_call = lambda: None

    @rule()
    def settle(self) -> None:
        """Let operators write again; the node must then follow the store."""
        self.write_again()
        self.poll()
        self.poll()
        assert self.cluster.index.table.version == self.latest
        assert self.cluster.get_routes_age(self.clock.now) <= 0

    @invariant()
    def version_never_decreases(self) -> None:
        version = self.cluster.index.table.version
        assert version >= self.in_force
        self.in_force = version


TestBoxMachine = BoxMachine.TestCase
TestRouteMachine = RouteMachine.TestCase
