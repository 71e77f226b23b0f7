"""Tests that entry boxes write their objects again after a restore.

The restored copy may lack a node's own entry or the record of a request that
crashes replicas. Nodes that start later would not find the record and would
forward the request again.
"""

from __future__ import annotations

import asyncio
from random import Random
from types import SimpleNamespace
from typing import Any

from returns.result import Failure, Result, Success

from tests.loops import in_loop, wait_until
from tests.manual_clock import ManualClock
from tests.test_membership import make_record
from waywell.connection.platform import Changes, Kind, PlatformFault, Stored
from waywell.connection.store_era import EraTracker, StoreEra
from waywell.ids import Fingerprint
from waywell.knowledge.cluster_view import ClusterView
from waywell.knowledge.platform_watch import WatchContext
from waywell.membership.membership import MembershipTable
from waywell.membership.presence import Presence
from waywell.process.front_settings import PromiseSettings
from waywell.quarantine.crash_history import CRASHES_TO_HOLD, Hold
from waywell.quarantine.held_records import HeldRecords
from waywell.quarantine.quarantine import Quarantine


class Store:
    """Stores objects; ``restore_empty`` restores it without them."""

    def __init__(self) -> None:
        self.objects: dict[str, Stored] = {}

    async def fetch(
        self, _kind: Kind, name: str, fresh: bool = True
    ) -> Result[Stored | None, PlatformFault]:
        return Success(self.objects.get(name))

    async def fetch_all(
        self, _kind: Kind, fresh: bool = True
    ) -> Result[Changes, PlatformFault]:
        await asyncio.sleep(0)
        return Success(Changes(1, tuple(self.objects.values()), True))

    async def write(
        self, kind: Kind, name: str, body: Any, _expected: int
    ) -> Result[Stored, PlatformFault]:
        self.objects[name] = Stored(kind.value, name, 1, body)
        return Success(self.objects[name])


def restore_empty(store: Store, eras: EraTracker) -> None:
    store.objects.clear()
    eras.observe(StoreEra(2))


def make_records(
    store: Store,
    held: dict[Fingerprint, Hold],
    cluster: ClusterView | None = None,
) -> HeldRecords:
    """Return the actor that writes records of requests held back."""
    quarantine = SimpleNamespace(
        subscribe=lambda _listener: None,
        history=SimpleNamespace(holds=held),
        add_stored_hold=lambda *_args: None,
    )
    context = WatchContext(
        store,  # type: ignore[arg-type]
        cluster or ClusterView(PromiseSettings()),
        ManualClock(),
        lambda _now: True,
        lambda: True,
        lambda: 1,
        lambda: 0.0,
    )
    return HeldRecords(context, quarantine, lambda: False)  # type: ignore[arg-type]


@in_loop
async def test_node_writes_its_entry_again_without_reading_the_list() -> None:
    """In a large fleet only a few nodes read the list at a time."""
    store, eras = Store(), EraTracker()
    eras.observe(StoreEra(1))
    table = MembershipTable(make_record('n0'), 2.0)
    for number in range(1, 195):
        table.merge(make_record(f'n{number}'), 0.0)
    links = SimpleNamespace(list_peers=lambda: {'n1'}, dial=lambda *_: None)
    presence = Presence(store, table, links, (), Random(1))  # type: ignore[arg-type]
    eras.listen(presence.schedule_rewrite)
    presence._may_read_list = lambda: False  # type: ignore[method-assign]
    task = asyncio.create_task(presence.run())
    await wait_until(lambda: 'n0' in store.objects)
    restore_empty(store, eras)
    await wait_until(lambda: 'n0' in store.objects)
    task.cancel()


@in_loop
async def test_record_of_a_crashing_request_is_written_again() -> None:
    store = Store()
    cluster = ClusterView(PromiseSettings())
    cluster.eras.observe(StoreEra(1))
    hold = Hold(CRASHES_TO_HOLD, ManualClock.now)
    records = make_records(store, {Fingerprint('f'): hold}, cluster)
    records.on_held(Quarantine.Held(Fingerprint('f'), hold))
    await wait_until(lambda: 'f' in store.objects)
    restore_empty(store, cluster.eras)
    await wait_until(lambda: 'f' in store.objects)
    await records.stop()


class SlowStore(Store):
    """Delays writes until the test releases them."""

    def __init__(self) -> None:
        super().__init__()
        self.write_started = asyncio.Event()
        self.may_write = asyncio.Event()

    async def write(
        self, kind: Kind, name: str, body: Any, expected: int
    ) -> Result[Stored, PlatformFault]:
        self.write_started.set()
        await self.may_write.wait()
        return await super().write(kind, name, body, expected)

    async def delete(
        self, _kind: Kind, name: str
    ) -> Result[None, PlatformFault]:
        if self.objects.pop(name, None) is None:
            return Failure(PlatformFault.REFUSED)
        return Success(None)


@in_loop
async def test_no_record_remains_of_a_request_freed_during_the_write() -> None:
    """Otherwise a node that starts later holds it back for ten minutes."""
    store, held = SlowStore(), {}
    hold = Hold(CRASHES_TO_HOLD, ManualClock.now)
    held[Fingerprint('f')] = hold
    records = make_records(store, held)
    records.on_held(Quarantine.Held(Fingerprint('f'), hold))
    await store.write_started.wait()
    held.clear()
    records.on_freed(Quarantine.Freed(Fingerprint('f')))
    await asyncio.sleep(0)
    store.may_write.set()
    await wait_until(lambda: not records._tasks)
    assert not store.objects
    await records.stop()
