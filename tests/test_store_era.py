"""A store is restored from a copy that is some seconds old.

Its revisions decrease and are reused, so what a node has read since the copy
belongs to another history.  A node that compares bare revisions would take any
later answer for a later state.
"""

from __future__ import annotations

import json
import threading
from typing import TYPE_CHECKING, Any

from returns.result import Result, Success

from tests.fake_platform import KEY, StoreSnapshot, make_manifest
from tests.front_harness import FrontHarness
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
"""Time limit for a node to see a change of the store; many of its polls."""

WRITTEN_SINCE = 500
"""Changes since the copy; more than a test repeats after the restore."""

REQUESTS = 8
"""Enough requests for some to go to each of two replicas."""


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


def restore_and_wait(
    front: FrontHarness,
    node: Process,
    copy: StoreSnapshot,
    *objects: tuple[str, str, Any],
) -> None:
    """Restore the store; wait until a node has read all of it."""
    for number in range(WRITTEN_SINCE):
        front.store.put('others', f'o{number}', {})
    wait_until(
        lambda: (
            read_revision(front, node, 'fleet') > copy.revision + WRITTEN_SINCE
        ),
        'a read newer than the copy',
    )
    seen = {**front.servers['m1'].entry, 'slots': 7}
    front.store.restore(copy, ('servers', 'm1', seen), *objects)
    wait_until(
        lambda: read_boxes(front, node)['m1']['places'] == 7,
        'a read after the restore',
    )


def test_change_with_a_reused_revision_is_seen(
    front: FrontHarness,
) -> None:
    node = start(front)
    copy = front.store.take_snapshot()
    for number in range(40):
        front.store.put('others', f'o{number}', {})
    wait_until(
        lambda: read_revision(front, node, 'routes') > copy.revision,
        'a read after the copy',
    )
    later = make_manifest(2, tenants=[{'name': 'new', 'api_keys': [KEY]}])
    objects = [('others', f'o{number}', {}) for number in range(400)]
    front.store.restore(copy, ('config', 'main', later), *objects)
    wait_until(
        lambda: read_status(front, node)['routes_version'] == 2,
        'the version that was written after the restore',
        SEEN_SECONDS,
    )


def test_status_and_log_report_the_restored_store(
    front: FrontHarness,
) -> None:
    node = start(front)
    assert read_status(front, node)['store_era_since'] is None
    restore_and_wait(front, node, front.store.take_snapshot())
    status = read_status(front, node)
    assert (status['store_era'], status['store_era_changes']) == (2, 1)
    assert status['store_era_since'] is not None
    lines = node.log.read_text().splitlines()
    changes = [line for line in lines if 'event=store_era_changed ' in line]
    assert len(changes) == 1
    assert 'former=1 era=2 dropped="revisions,lease_term"' in changes[0]
    assert 'boxes_kept=' in changes[0]


def test_outdated_entry_does_not_end_the_life_of_a_box(
    front: FrontHarness,
) -> None:
    node = start(front)
    front.servers.pop('a2').stop_and_delist()
    wait_until(
        lambda: 'a2' not in read_boxes(front, node), 'one remaining replica'
    )
    copy = front.store.take_snapshot()
    server = front.servers['a1']
    server.restart()
    wait_until(
        lambda: read_boxes(front, node)['a1']['incarnation'] == 2,
        'the new incarnation',
    )
    server.unblocked.clear()
    answers = []
    caller = threading.Thread(
        target=lambda: answers.append(front.send_request(node, '/match/1')[0])
    )
    caller.start()
    wait_until(lambda: bool(server.runs), 'the request')
    restore_and_wait(front, node, copy)
    # The box keeps running and writes its entry again a moment later.
    server.write_entry()
    server.unblocked.set()
    caller.join()
    assert answers == [200]


def test_outdated_entry_does_not_revoke_that_a_box_is_leaving(
    front: FrontHarness,
) -> None:
    node = start(front)
    copy = front.store.take_snapshot()
    leaving = front.servers['a1']
    leaving.entry['state'] = 'draining'
    leaving.write_entry()
    wait_until(
        lambda: read_boxes(front, node)['a1']['leaving'],
        'the leaving entry',
    )
    restore_and_wait(front, node, copy)
    for _request in range(REQUESTS):
        assert front.send_request(node, '/stock/1')[0] == 200
    assert not leaving.arrival_count


def test_boxes_missing_from_the_copy_are_kept_until_they_write_again(
    tmp_path: Path,
) -> None:
    front = FrontHarness(tmp_path)
    copy = front.store.take_snapshot()
    front.add_servers()
    try:
        node = start(front)
        manifest = ('config', 'main', make_manifest())
        restore_and_wait(front, node, copy, manifest)
        for _request in range(REQUESTS):
            assert front.send_request(node, '/stock/1')[0] == 200
    finally:
        front.close()


class _LeaseStore:
    """Store of one lease that can be restored without it."""

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
async def test_lease_missing_from_the_copy_has_one_holder() -> None:
    clock = ManualClock()
    store = _LeaseStore()
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
