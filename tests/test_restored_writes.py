"""What entry boxes have written is written again after the store's return.

A copy may lack a node's own entry, and the record of a request that crashes
replicas: nodes that started did not find it, and sent the request on again.
"""

from __future__ import annotations

import asyncio
from random import Random
from types import SimpleNamespace
from typing import Any

from returns.result import Failure, Result, Success

from tests.held_clock import HeldClock
from tests.loops import in_loop, wait_until
from tests.test_membership import make_record
from waywell.connection.platform import Changes, Kind, PlatformFault, Stored
from waywell.connection.store_era import EraTracker, StoreEra
from waywell.ids import Fingerprint
from waywell.knowledge.outlook import Outlook
from waywell.knowledge.platform_watch import WatchParts
from waywell.membership.membership import MembershipTable
from waywell.membership.presence import Presence
from waywell.process.front_settings import PromiseSettings
from waywell.quarantine.crash_book import CRASHES_HELD, Hold
from waywell.quarantine.held_records import HeldRecords
from waywell.quarantine.quarantine import Quarantine


class Store:
    """Keeps objects, and may come back without them."""

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


def come_back(store: Store, eras: EraTracker) -> None:
    store.objects.clear()
    eras.observe(StoreEra(2))


def make_records(
    store: Store,
    held: dict[Fingerprint, Hold],
    outlook: Outlook | None = None,
) -> HeldRecords:
    """Return what writes the records of requests that are held back."""
    quarantine = SimpleNamespace(
        tell=lambda _listener: None,
        book=SimpleNamespace(held=held),
        take_stored=lambda *_words: None,
    )
    parts = WatchParts(
        store,  # type: ignore[arg-type]
        outlook or Outlook(PromiseSettings()),
        HeldClock(),
        lambda _now: True,
        lambda: True,
        lambda: 1,
        lambda: 0.0,
    )
    return HeldRecords(parts, quarantine, lambda: False)  # type: ignore[arg-type]


@in_loop
async def test_a_listed_node_lists_itself_again_without_a_look() -> None:
    """Of many nodes only few look at the list at a time."""
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
    come_back(store, eras)
    await wait_until(lambda: 'n0' in store.objects)
    task.cancel()


@in_loop
async def test_a_record_of_a_crashing_request_is_written_again() -> None:
    store = Store()
    outlook = Outlook(PromiseSettings())
    outlook.eras.observe(StoreEra(1))
    hold = Hold(CRASHES_HELD, HeldClock.now)
    records = make_records(store, {Fingerprint('f'): hold}, outlook)
    records.on_held(Quarantine.Held(Fingerprint('f'), hold))
    await wait_until(lambda: 'f' in store.objects)
    come_back(store, outlook.eras)
    await wait_until(lambda: 'f' in store.objects)
    await records.stop()


class SlowStore(Store):
    """Carries out writes only once it is let to."""

    def __init__(self) -> None:
        super().__init__()
        self.asked = asyncio.Event()
        self.goes_on = asyncio.Event()

    async def write(
        self, kind: Kind, name: str, body: Any, expected: int
    ) -> Result[Stored, PlatformFault]:
        self.asked.set()
        await self.goes_on.wait()
        return await super().write(kind, name, body, expected)

    async def delete(
        self, _kind: Kind, name: str
    ) -> Result[None, PlatformFault]:
        if self.objects.pop(name, None) is None:
            return Failure(PlatformFault.REFUSED)
        return Success(None)


@in_loop
async def test_no_record_stays_of_a_request_that_is_freed_meanwhile() -> None:
    """A node that starts later would hold it back for ten minutes."""
    store, held = SlowStore(), {}
    hold = Hold(CRASHES_HELD, HeldClock.now)
    held[Fingerprint('f')] = hold
    records = make_records(store, held)
    records.on_held(Quarantine.Held(Fingerprint('f'), hold))
    await store.asked.wait()
    held.clear()
    records.on_freed(Quarantine.Freed(Fingerprint('f')))
    await asyncio.sleep(0)
    store.goes_on.set()
    await wait_until(lambda: not records._tasks)
    assert not store.objects
    await records.stop()
