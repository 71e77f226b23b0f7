"""A forwarded request runs twice when the machine between ends.

One machine has no path to the replicas and forwards its requests through the
others.  One of these gets SIGTERM while replicas work on such requests.
"""

from __future__ import annotations

import os
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.second.clients import HOST, KEY, Crowd, send  # noqa: E402
from review.second.fronts import (  # noqa: E402
    Front,
    reserve_ports,
    start_fronts,
)
from review.second.record import (  # noqa: E402
    BROKEN,
    HELD,
    NOT_RUN,
    Record,
    run_case,
)
from review.second.replica import Replica  # noqa: E402
from review.second.store import Store  # noqa: E402
from tests.replica_paths import Cut, ReplicaRelays  # noqa: E402

if TYPE_CHECKING:
    from review.second.store import JsonHandler

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
"""Whether the machine loses its paths and another one gets SIGTERM."""

ZONES = ('hall-port', 'hall-creole', 'hall-creole', 'hall-curepipe')
"""Zones of the machines; the first machine loses its paths to the replicas."""

WORK_SECONDS = 8.5
"""Time that a replica works on an unsafe request."""

DEADLINE_MS = 12_000
"""Time limit of an unsafe request, and its route's timeout."""

CUT_SECONDS = 10.0
"""How long the paths are cut: the length of ``srv_cut`` on the site."""

GRACE_SECONDS = 8.0
"""Time from SIGTERM to SIGKILL."""

REQUESTS = 12
"""Number of unsafe requests."""


def make_manifest() -> dict[str, object]:
    """Return the operator's manifest."""
    route = {'host': HOST, 'priority': 2, 'public': False, 'service': 'app'}
    return {
        'version': 7,
        'routes': [
            {
                **route,
                'name': 'book',
                'path_prefix': '/book/',
                'kind': 'unsafe',
                'timeout_ms': DEADLINE_MS,
                'latency_goal_ms': 1000,
                'max_attempts': 1,
            },
            {
                **route,
                'name': 'stock',
                'path_prefix': '/stock/',
                'kind': 'safe',
                'timeout_ms': 1000,
                'latency_goal_ms': 200,
                'max_attempts': 2,
            },
        ],
        'services': [
            {'name': 'app', 'health_path': '/health', 'max_conns': 110}
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': 'shop', 'api_keys': [KEY], 'priority': 1}],
    }


def serve(handler: JsonHandler, replica: Replica, _body: bytes) -> None:
    """Run a request: the unsafe ones take long."""
    attempt = replica.begin_run(handler.headers)
    if handler.path.startswith('/book/'):
        time.sleep(WORK_SECONDS)
    handler.answer(200, b'{"done": true}', replica.make_headers(attempt))


def await_forwarding(front: Front, record: Record) -> bool:
    """Send lookups until one is served over another machine."""
    for number in range(40):
        call = send(front.clients, f'look-{number}', '/stock/1', 1000, 'GET')
        record.add(
            f'lookup {call.attempt} at {front.name}: {call.status}',
            call.answered_at,
        )
        if call.status == 200:
            return True
        time.sleep(0.05)
    return False


def disturb(fronts: list[Front], relays: ReplicaRelays, record: Record) -> int:
    """Play the case; return the exit code if it could not run, else 0."""
    cut_at = time.monotonic()
    if TROUBLE:
        relays.cut(Cut.HANG)
        record.add(f'{fronts[0].name} loses its paths to all replicas')
    if not await_forwarding(fronts[0], record):
        return NOT_RUN
    crowd = Crowd()
    for number in range(REQUESTS):
        crowd.send(
            fronts[0].clients, f'book-{number}', f'/book/{number}', DEADLINE_MS
        )
    time.sleep(0.3)
    ended_at = time.monotonic() + GRACE_SECONDS
    if TROUBLE:
        fronts[1].send_signal(signal.SIGTERM)
        record.add(f'SIGTERM to {fronts[1].name}')
    time.sleep(max(0.0, cut_at + CUT_SECONDS - time.monotonic()))
    if TROUBLE:
        relays.restore()
        record.add(f'{fronts[0].name} has its paths again')
        time.sleep(max(0.0, ended_at - time.monotonic()))
        if not fronts[1].has_ended():
            record.add(f'SIGKILL to {fronts[1].name}')
            fronts[1].kill()
    crowd.wait(DEADLINE_MS / 1000 + 5)
    for call in crowd.calls:
        record.add(
            f'{call.attempt} sent to {fronts[0].name}; answer after '
            f'{call.answered_at - call.sent_at:.3f} s: '
            f'{call.status} {call.fault} {call.body!r}',
            call.sent_at,
        )
    return 0


def judge(replicas: list[Replica], record: Record) -> int:
    """Record what ran and return the exit code."""
    runs: Counter[str] = Counter()
    for replica in replicas:
        for at, attempt, headers in replica.runs:
            runs[attempt] += 1
            limit = headers.get('X-Deadline-Ms')
            record.add(f'{replica.name} runs {attempt} (limit {limit})', at)
    twice = sorted(
        attempt
        for attempt, count in runs.items()
        if attempt.startswith('book-') and count > 1
    )
    booked = sum(name.startswith('book-') for name in runs)
    if booked < REQUESTS:
        record.write(f'could not run: {booked} of {REQUESTS} requests ran')
        return NOT_RUN
    if twice:
        record.write(f'broken: TWICE by {len(twice)} of {REQUESTS}: {twice}')
        return BROKEN
    record.write(f'held: each of {REQUESTS} unsafe requests ran once')
    return HELD


def main() -> int:
    """Run the case and return its exit code."""
    record = Record(Path(__file__).with_name('record.txt'))
    store = Store()
    replicas = [
        Replica(store, f'i-app-{number}', 'app', zone, serve)
        for number, zone in enumerate(dict.fromkeys(ZONES))
    ]
    relays = ReplicaRelays(
        int(replica.address.rpartition(':')[2]) for replica in replicas
    )
    store.put('config', 'main', make_manifest())
    direct = store.listen()
    relayed = store.listen(
        {
            f'127.0.0.1:{target}': f'127.0.0.1:{port}'
            for target, port in relays.ports.items()
        }
    )
    ports = reserve_ports(4 * len(ZONES))
    with tempfile.TemporaryDirectory() as folder:
        fronts = [
            Front(
                Path(folder),
                f'front-{number}',
                zone,
                direct if number else relayed,
                ports[4 * number : 4 * number + 4],
            )
            for number, zone in enumerate(ZONES)
        ]
        try:
            start_fronts(fronts)
            time.sleep(1.0)
            code = disturb(fronts, relays, record)
            if code:
                record.write('could not run: no request was forwarded')
            return code or judge(replicas, record)
        except TimeoutError as error:
            record.write(f'could not run: {error}')
            return NOT_RUN
        finally:
            for front in fronts:
                front.kill()
                keep = os.environ.get('KEEP_LOGS')
                if keep:
                    copy = Path(keep) / front.log.name
                    copy.write_bytes(front.log.read_bytes())
            relays.close()
            for replica in replicas:
                replica.close()
            store.close()


if __name__ == '__main__':
    sys.exit(run_case(main, Path(__file__).with_name('record.txt')))
