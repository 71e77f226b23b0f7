"""A store that comes back from a copy some seconds old.

Its revisions go back and are given out again, so what a node has read since
the copy is of another history.  Nodes compared bare revisions and took each
later answer for a later state.
"""

from __future__ import annotations

import json
import threading
from typing import TYPE_CHECKING, Any

from returns.result import Result, Success

from tests.front_harness import FrontHarness
from tests.house import KEY, StoreCopy, make_manifest
from tests.lone_gossip import LoneGossip
from tests.loops import in_loop
from tests.manual_clock import ManualClock
from waywell.connection.platform import Stored
from waywell.duties.duty import Duty
from waywell.standins.harness import Process, wait_until

if TYPE_CHECKING:
    from pathlib import Path

    from waywell.connection.platform import Kind, PlatformFault

TERM = 2.0

SEEN_SECONDS = 6.0
"""For a node to see a change of the store: many of its looks."""

WRITTEN_SINCE = 500
"""Changes since the copy, more than come again within a test."""

REQUESTS = 8
"""Of which some would go to a replica that is one of two."""


def read_status(front: FrontHarness, node: Process) -> Any:
    _status, raw = front.get(node, 'metrics_port', '/v1/status')
    return json.loads(raw)


def read_boxes(front: FrontHarness, node: Process) -> dict[str, Any]:
    _status, raw = front.get(node, 'metrics_port', '/v1/boxes')
    return {box['box']: box for box in json.loads(raw)}


def read_revision(front: FrontHarness, node: Process, part: str) -> int:
    _status, raw = front.get(node, 'metrics_port', '/dump')
    return int(json.loads(raw)[part]['revision'])


def start(front: FrontHarness) -> Process:
    node = front.start()
    front.wait_serving(node)
    return node


def go_back_and_wait(
    front: FrontHarness,
    node: Process,
    copy: StoreCopy,
    *again: tuple[str, str, Any],
) -> None:
    """Let the store come back; wait until a node has read all of it."""
    for number in range(WRITTEN_SINCE):
        front.store.put('others', f'o{number}', {})
    wait_until(
        lambda: (
            read_revision(front, node, 'fleet') > copy.revision + WRITTEN_SINCE
        ),
        'a look that the copy lacks',
    )
    seen = {**front.servers['m1'].entry, 'slots': 7}
    front.store.go_back(copy, ('servers', 'm1', seen), *again)
    wait_until(
        lambda: read_boxes(front, node)['m1']['places'] == 7,
        'a look after the return',
    )


def test_what_is_written_again_is_seen_though_its_revision_was_given_before(
    front: FrontHarness,
) -> None:
    node = start(front)
    copy = front.store.take_copy()
    for number in range(40):
        front.store.put('others', f'o{number}', {})
    wait_until(
        lambda: read_revision(front, node, 'routes') > copy.revision,
        'a look after the copy',
    )
    later = make_manifest(2, tenants=[{'name': 'new', 'api_keys': [KEY]}])
    again = [('others', f'o{number}', {}) for number in range(400)]
    front.store.go_back(copy, ('config', 'main', later), *again)
    wait_until(
        lambda: read_status(front, node)['routes_version'] == 2,
        'the version that was written after the return',
        SEEN_SECONDS,
    )


def test_status_and_log_tell_that_the_store_came_back(
    front: FrontHarness,
) -> None:
    node = start(front)
    assert read_status(front, node)['store_era_since'] is None
    go_back_and_wait(front, node, front.store.take_copy())
    status = read_status(front, node)
    assert (status['store_era'], status['store_era_changes']) == (2, 1)
    assert status['store_era_since'] is not None
    lines = node.log.read_text().splitlines()
    changes = [one for one in lines if 'event=store_era_changed ' in one]
    assert len(changes) == 1
    assert 'former=1 era=2 dropped="revisions,lease_term"' in changes[0]
    assert 'boxes_kept=' in changes[0]


def test_an_earlier_entry_ends_no_life(front: FrontHarness) -> None:
    node = start(front)
    front.servers.pop('a2').crash()
    wait_until(
        lambda: 'a2' not in read_boxes(front, node), 'one replica that is left'
    )
    copy = front.store.take_copy()
    server = front.servers['a1']
    server.restart()
    wait_until(
        lambda: read_boxes(front, node)['a1']['incarnation'] == 2,
        'the new life',
    )
    server.goes_on.clear()
    answers = []
    caller = threading.Thread(
        target=lambda: answers.append(front.send_request(node, '/match/1')[0])
    )
    caller.start()
    wait_until(lambda: bool(server.runs), 'the request')
    go_back_and_wait(front, node, copy)
    # The box goes on, and writes its entry again a moment later.
    server.write_entry()
    server.goes_on.set()
    caller.join()
    assert answers == [200]


def test_a_word_of_leaving_is_not_taken_back(front: FrontHarness) -> None:
    node = start(front)
    copy = front.store.take_copy()
    leaving = front.servers['a1']
    leaving.entry['state'] = 'draining'
    leaving.write_entry()
    wait_until(
        lambda: read_boxes(front, node)['a1']['leaving'],
        'the word of leaving',
    )
    go_back_and_wait(front, node, copy)
    for _request in range(REQUESTS):
        assert front.send_request(node, '/stock/1')[0] == 200
    assert not leaving.arrivals


def test_boxes_that_the_copy_lacks_are_kept_until_they_write_again(
    tmp_path: Path,
) -> None:
    front = FrontHarness(tmp_path)
    copy = front.store.take_copy()
    front.add_servers()
    try:
        node = start(front)
        manifest = ('config', 'main', make_manifest())
        go_back_and_wait(front, node, copy, manifest)
        for _request in range(REQUESTS):
            assert front.send_request(node, '/stock/1')[0] == 200
    finally:
        front.close()


class _Lease:
    """The lease in a store that can come back without it."""

    def __init__(self) -> None:
        self.stored: Stored | None = None

    async def fetch(
        self, _kind: Kind, _name: str, fresh: bool = True
    ) -> Result[Stored | None, PlatformFault]:
        return Success(self.stored)

    async def write(
        self, kind: Kind, name: str, body: Any, expected: int
    ) -> Result[Stored, PlatformFault]:
        assert expected == (self.stored.version if self.stored else 0)
        self.stored = Stored(kind.value, name, expected + 1, body)
        return Success(self.stored)


@in_loop
async def test_a_lease_that_the_copy_lacks_has_one_holder() -> None:
    clock = ManualClock()
    store = _Lease()
    first, second = (
        Duty('forming', store, LoneGossip(name), clock, TERM)
        for name in ('a', 'b')
    )
    await first.on_lease_tick(Duty.LeaseTick())
    await second.on_lease_tick(Duty.LeaseTick())
    assert (first.is_held(), second.is_held()) == (True, False)
    store.stored = None
    await second.on_lease_tick(Duty.LeaseTick())
    assert not (first.is_held() and second.is_held())
