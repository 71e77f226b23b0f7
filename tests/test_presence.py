"""A node stays on the platform's list whatever is carried out late."""

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
    """Objects by name; anyone may remove one."""

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


def test_a_removal_that_was_carried_out_late_is_made_good(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A former run's word to remove the node takes effect after the new one's.

    A call without an answer may be carried out seconds later; the new run had
    taken its object for written and never looked again.  Found by reading.
    """
    monkeypatch.setattr(presence_module, 'JOIN_INTERVAL_SECONDS', 0)
    monkeypatch.setattr(presence_module, 'LIST_CHECK_SECONDS', 0)

    async def work() -> None:
        store = _Store()
        table = MembershipTable(make_record('a'), 2.0)
        links = SimpleNamespace(list_peers=set, dial=lambda *_words: None)
        presence = Presence(store, table, links, (), Random(1))
        task = asyncio.create_task(presence.run())
        while store.listings < 1:
            await asyncio.sleep(0)
        assert set(store.objects) == {'a'}
        store.objects.clear()
        seen = store.listings
        while store.listings < seen + 3:
            await asyncio.sleep(0)
        assert set(store.objects) == {'a'}
        task.cancel()

    asyncio.run(work())


def test_few_of_many_nodes_look_at_the_list_at_a_time() -> None:
    """Load: 195 nodes know each other; each looked each 5 s.

    With pages of 50 objects that was a sixth of all calls to the platform.
    """
    table = MembershipTable(make_record('n0'), 2.0)
    for number in range(1, 195):
        table.merge(make_record(f'n{number}'), 0.0)
    links = SimpleNamespace(list_peers=lambda: {'n1'})
    presence = Presence(_Store(), table, links, (), Random(1))
    presence._is_listed = True
    looks = sum(presence._may_read_list() for _ in range(1950))
    assert 40 <= looks <= 120
    alone = Presence(
        _Store(), table, SimpleNamespace(list_peers=set), (), Random(1)
    )
    alone._is_listed = True
    assert all(alone._may_read_list() for _ in range(100))


def test_a_silent_platform_does_not_keep_a_node_that_stops() -> None:
    """The store is silent while a node stops, at the end of its time.

    Symptom: the process was ended by force, 0.6 s after its last answer was
    whole.  Cause: it waited for the store to take its entry off the list.
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
def test_what_another_writer_listed_hides_no_node(
    monkeypatch: pytest.MonkeyPatch, body: Any
) -> None:
    """Symptom: a node called nobody that it did not know, for good.

    Sequence: something that is no node stands on the list, also under the
    node's own name.  Cause: each object was taken for a node's.
    """
    monkeypatch.setattr(presence_module, 'JOIN_INTERVAL_SECONDS', 0)

    async def work() -> None:
        store = _Store()
        for name in ('a', 'odd'):
            store.objects[name] = Stored('presence', name, 3, body)
        address = {'host': '10.0.0.9', 'peer_port': 7400}
        store.objects['b'] = Stored('presence', 'b', 4, address)
        table = MembershipTable(make_record('a'), 2.0)
        called: set[tuple[str, int]] = set()
        links = SimpleNamespace(
            list_peers=set, dial=lambda *words: called.add(words)
        )
        presence = Presence(store, table, links, (), Random(1))
        task = asyncio.create_task(presence.run())
        while not called:
            await asyncio.sleep(0)
            assert not task.done()
        assert called == {('10.0.0.9', 7400)}
        assert store.objects['a'].body['host']
        task.cancel()

    asyncio.run(asyncio.wait_for(work(), 20))
