"""Presence: nodes stay listed and find each other through the list."""

from __future__ import annotations

import asyncio
from random import Random
from types import SimpleNamespace
from typing import Any

import pytest
from returns.result import Result, Success

from tests.test_membership import make_record
from waywell.connection.platform import Changes, Kind, PlatformFault, Stored
from waywell.membership import presence as presence_module
from waywell.membership.membership import MembershipTable
from waywell.membership.presence import Presence


class _Store:
    """Store of objects by name, from which a test may remove any."""

    def __init__(self) -> None:
        self.objects: dict[str, Stored] = {}
        self.version = 0
        self.listings = 0

    async def fetch(
        self, _kind: Kind, name: str
    ) -> Result[Stored | None, PlatformFault]:
        return Success(self.objects.get(name))

    async def fetch_all(
        self, _kind: Kind, _fresh: bool
    ) -> Result[Changes, PlatformFault]:
        self.listings += 1
        return Success(
            Changes(self.version, tuple(self.objects.values()), True)
        )

    async def write(
        self, kind: Kind, name: str, body: Any, expected: int
    ) -> Result[Stored, PlatformFault]:
        self.version += 1
        self.objects[name] = Stored(kind.value, name, self.version, body)
        return Success(self.objects[name])


def test_entry_removed_by_a_delayed_delete_is_written_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A former run's delete may be applied after the new run's write.

    A call without an answer may be applied seconds later.  A node that never
    checks its entry again would stay unlisted.
    """
    monkeypatch.setattr(presence_module, 'JOIN_INTERVAL_SECONDS', 0)
    monkeypatch.setattr(presence_module, 'LIST_CHECK_SECONDS', 0)

    async def work() -> None:
        store = _Store()
        table = MembershipTable(make_record('a'), 2.0)
        links = SimpleNamespace(list_peers=set, dial=lambda *_args: None)
        presence = Presence(store, table, links, (), Random(1))
        task = asyncio.create_task(presence.run())
        while store.listings < 1:
            await asyncio.sleep(0)
        assert set(store.objects) == {'a'}
        store.objects.clear()
        listings = store.listings
        while store.listings < listings + 3:
            await asyncio.sleep(0)
        assert set(store.objects) == {'a'}
        task.cancel()

    asyncio.run(work())


def test_few_of_many_nodes_read_the_list_at_a_time() -> None:
    """Reads of the list must not dominate the load on the platform.

    If each of 195 nodes reads it every 5 s in pages of 50 objects, the reads
    are a sixth of all calls.
    """
    table = MembershipTable(make_record('n0'), 2.0)
    for number in range(1, 195):
        table.merge(make_record(f'n{number}'), 0.0)
    links = SimpleNamespace(list_peers=lambda: {'n1'})
    presence = Presence(_Store(), table, links, (), Random(1))
    presence._is_listed = True
    reads = sum(presence._may_read_list() for _ in range(1950))
    assert 40 <= reads <= 120
    alone = Presence(
        _Store(), table, SimpleNamespace(list_peers=set), (), Random(1)
    )
    alone._is_listed = True
    assert all(alone._may_read_list() for _ in range(100))


def test_unresponsive_platform_does_not_delay_the_exit_of_a_node() -> None:
    """The store does not answer while a node stops.

    A node that waits for the removal of its entry without a limit is killed at
    the end of its stop time, although its last answer was complete 0.6 s
    earlier.
    """

    class SilentStore(_Store):
        async def delete(self, _kind: Kind, _name: str) -> None:
            await asyncio.Event().wait()

    async def work() -> None:
        table = MembershipTable(make_record('a'), 2.0)
        links = SimpleNamespace(list_peers=set)
        presence = Presence(SilentStore(), table, links, (), Random(1))
        await presence.withdraw(0.001)

    asyncio.run(asyncio.wait_for(work(), 20))


@pytest.mark.parametrize('body', [None, 'x', [1], {}, {'host': 7}])
def test_malformed_entries_do_not_hide_other_nodes(
    monkeypatch: pytest.MonkeyPatch, body: Any
) -> None:
    """A malformed entry must not stop a node from dialling unknown nodes.

    Another writer has put objects of another form on the list, one of them
    under the node's own name.
    """
    monkeypatch.setattr(presence_module, 'JOIN_INTERVAL_SECONDS', 0)

    async def work() -> None:
        store = _Store()
        for name in ('a', 'odd'):
            store.objects[name] = Stored('presence', name, 3, body)
        address = {'host': '10.0.0.9', 'peer_port': 7400}
        store.objects['b'] = Stored('presence', 'b', 4, address)
        table = MembershipTable(make_record('a'), 2.0)
        dialled: set[tuple[str, int]] = set()
        links = SimpleNamespace(
            list_peers=set, dial=lambda *address: dialled.add(address)
        )
        presence = Presence(store, table, links, (), Random(1))
        task = asyncio.create_task(presence.run())
        while not dialled:
            await asyncio.sleep(0)
            assert not task.done()
        assert dialled == {('10.0.0.9', 7400)}
        assert store.objects['a'].body['host']
        task.cancel()

    asyncio.run(asyncio.wait_for(work(), 20))
