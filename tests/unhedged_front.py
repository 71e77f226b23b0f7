"""Routes, scripts and peers for tests of a front daemon's single attempts."""

from __future__ import annotations

from collections import deque
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any

from tests.fake_platform import make_manifest
from tests.replica_paths import Cut, ReplicaPaths
from waywell.standins.harness import Process, wait_until

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.broken_bodies import BodyScript
    from tests.front_harness import FrontHarness
    from tests.raw_heads import RawAnswer

NO_HEDGE_TIMES = {
    'latency_goal_ms': 60_000,
    'gap_goal_ms': 60_000,
    'timeout_ms': 20_000,
}
"""Goals and timeout of a route whose attempts are never hedged."""


def make_routes(version: int = 1) -> dict[str, Any]:
    """Return routes without hedges, and one route with hedges.

    A hedge would use up a send and a script that a test has set up for another
    attempt.
    """
    manifest = make_manifest(version)
    streams = manifest['routes'][0]
    hedged = {**streams, 'name': 'hedged', 'path_prefix': '/hedged/'}
    for route in manifest['routes']:
        route.update(NO_HEDGE_TIMES)
    once = {'name': 'once', 'path_prefix': '/once/', 'resumable': False}
    manifest['routes'] += [hedged, {**streams, **once}]
    return manifest


@contextmanager
def start_front(
    front: FrontHarness,
) -> Iterator[tuple[FrontHarness, Process]]:
    """Start a node with these routes; stop it and its servers at the end."""
    front.add_servers()
    front.store.put('config', 'main', make_routes())
    process = front.start()
    front.wait_serving(process)
    try:
        yield front, process
    finally:
        front.close()


def script_next(
    front: FrontHarness, *scripts: BodyScript | RawAnswer | str
) -> None:
    """Set the next answers, whichever servers receive the requests."""
    shared: deque[Any] = deque(scripts)
    for server in front.servers.values():
        server.script = shared


@contextmanager
def start_partitioned_front(
    front: FrontHarness, peer_module: str = 'waywell.platform'
) -> Iterator[Process]:
    """Start a node that reaches replicas only through a peer.

    Parameters
    ----------
    front
        Harness that has servers and no nodes yet.
    peer_module
        Module that runs the peer.
    """
    front.store.put('config', 'main', make_routes())
    paths = ReplicaPaths(front)
    partitioned = front.start('front-3', paths.store, 'hall-b')
    front.wait_serving(partitioned)
    front.wait_serving(front.start('front-1', module=[peer_module]))
    wait_until(
        lambda: front.send_request(partitioned, '/stock/1')[0] == 200,
        'a link to replicas',
    )
    paths.cut(Cut.RESET)
    log = front.folder / 'front-3.log'

    def is_forwarded() -> bool:
        front.send_request(partitioned, '/notes/1', model='small')
        return 'event=partition_detected' in log.read_text()

    wait_until(is_forwarded, 'requests that are forwarded through the peer')
    try:
        yield partitioned
    finally:
        paths.close()
