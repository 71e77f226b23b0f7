"""Stand-ins for the scripts: replicas, callers, and settings of nodes.

The store is the project's own (``tests.fake_platform.Store``).  Everything
runs in the process of the script, apart from the nodes, which are started
with the command of the deploy file.
"""

from __future__ import annotations

import http.client
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import traceback
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import TYPE_CHECKING, Any

from tests.fake_platform import Store

if TYPE_CHECKING:
    from collections.abc import Callable

ROOT = Path(__file__).resolve().parent.parent
HOST = 'shop.example'
KEY = 'key-of-shop'
TENANT = 'shop'
HEARTBEAT_SECONDS = 1.2
HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2

MAX_SECONDS = 100
"""Time after which a script gives up; it may take 120 s."""


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        """Start an empty record."""
        self._file = path.open('w', encoding='utf-8')
        self._lock = threading.Lock()
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Append a line."""
        with self._lock:
            seconds = time.monotonic() - self._started_at
            self._file.write(f'{seconds:8.3f} {text}\n')
            self._file.flush()


@dataclass
class Run:
    """A request that a replica ran."""

    replica: str
    attempt: str
    headers: dict[str, str]
    path: str
    body: bytes
    at: float = field(default_factory=time.monotonic)


class _Listener(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 64

    def handle_error(self, *_args: object) -> None:
        """Ignore errors, as callers may close connections at any time."""


class Replica:
    """A replica as the pages describe it: entry, report, orders, requests.

    The body of a request says how long its answer is: ``events`` of a
    stream, ``event_seconds`` between them, or ``work_seconds``.
    """

    def __init__(
        self, store: Store, record: Record, name: str, service: str
    ) -> None:
        """Start listening and write the entry."""
        self.name = name
        self.runs: list[Run] = []
        self.is_draining = False
        self._store = store
        self._record = record
        self._lock = threading.RLock()
        self._orders = 0
        self._highest_epoch = 0
        self._members: list[str] = []
        self._connections: set[socket.socket] = set()
        self._is_listed = True
        self._server = _Listener(('127.0.0.1', 0), self._make_handler())
        self.port = self._server.server_address[1]
        self.entry: dict[str, Any] = {
            'service': service,
            'address': f'127.0.0.1:{self.port}',
            'zone': 'hall-port',
            'version': 'v1',
            'slots': 9,
            'state': 'ready',
            'cold_left_ms': 0,
            'seq_no': 0,
            'born': int(time.time() * 1000),
            'domain': 'd0' if service == 'llm' else '',
            'staged': [],
            'models': [],
        }
        self._write_entry()
        for target in (self._server.serve_forever, self._beat):
            threading.Thread(target=target, daemon=True).start()

    def announce_draining(self) -> None:
        """Report that the replica is going to end."""
        with self._lock:
            self.is_draining = True
            self.entry['state'] = 'draining'
            self._write_entry()

    def leave_silently(self) -> None:
        """Remove the entry without having reported ``draining``."""
        with self._lock:
            self._is_listed = False
            self.is_draining = True
            self._store.remove('servers', self.name)

    def close(self) -> None:
        """End: stop listening and close all connections."""
        self._is_listed = False
        self._server.shutdown()
        self._server.server_close()
        for connection in tuple(self._connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                # The caller has closed the connection in the meantime.
                continue

    def _beat(self) -> None:
        while self._is_listed:
            time.sleep(HEARTBEAT_SECONDS)
            with self._lock:
                if self._is_listed:
                    self._write_entry()

    def _write_entry(self) -> None:
        with self._lock:
            if self._is_listed:
                self.entry['seq_no'] += 1
                self._store.put('servers', self.name, dict(self.entry))

    def _apply_order(self, order: dict[str, Any]) -> int:
        with self._lock:
            status = self._carry_out(order)
            if status == 202:
                self._orders += 1
                self._write_entry()
            return status

    def _carry_out(self, order: dict[str, Any]) -> int:
        expected = order.get('expect_rev')
        if expected is not None and expected != self._orders:
            return 409
        operation = order['operation']
        if operation == 'stage':
            self.entry['staged'] = [order['model']]
            return 202
        if operation == 'join':
            return self._join(order)
        group = self.entry.get('group')
        named = (order['group'], order['epoch'])
        if not group or (group['name'], group['epoch']) != named:
            return 409
        if operation == 'leave':
            self.entry['group'] = None
            return 202
        wanted = 'open' if operation == 'open' else 'ready'
        if group['state'] == wanted:
            return 200
        self.entry['group'] = {**group, 'state': wanted}
        return 202

    def _join(self, order: dict[str, Any]) -> int:
        epoch = order['epoch']
        if epoch < self._highest_epoch:
            return 412
        if epoch == self._highest_epoch and order['members'] != self._members:
            return 412
        self._highest_epoch = epoch
        self._members = order['members']
        self.entry['staged'] = [order['model']]
        self.entry['models'] = [
            {'name': order['model'], 'version': 1, 'adapters': []}
        ]
        self.entry['group'] = {
            'name': order['group'],
            'epoch': epoch,
            'rank': order['members'].index(self.name),
            'state': 'ready',
        }
        return 202

    def _takes_requests(self) -> bool:
        if self.entry['service'] != 'llm':
            return True
        group = self.entry.get('group') or {}
        return group.get('rank') == 0 and group.get('state') == 'open'

    def _make_handler(replica) -> type[BaseHTTPRequestHandler]:  # noqa: N805
        class Handler(BaseHTTPRequestHandler):
            protocol_version = 'HTTP/1.1'

            def setup(self) -> None:
                super().setup()
                replica._connections.add(self.connection)

            def finish(self) -> None:
                replica._connections.discard(self.connection)
                super().finish()

            def log_message(self, *_args: object) -> None:
                """Log nothing."""

            def do_GET(self) -> None:
                if self.path == '/api/report':
                    report = {**replica.entry, 'seq_no': replica._orders}
                    self._answer(200, json.dumps(report).encode())
                elif self.path == '/health':
                    status = 503 if replica.is_draining else 200
                    self._answer(status, b'', {'X-Replica-Id': replica.name})
                else:
                    self._serve(b'')

            def do_POST(self) -> None:
                length = int(self.headers.get('Content-Length', 0))
                body = self.rfile.read(length)
                if self.path == '/api/order':
                    named = self.headers.get('X-Expect-Replica', replica.name)
                    status = 421
                    if named == replica.name:
                        status = replica._apply_order(json.loads(body))
                    self._answer(status, b'{}')
                else:
                    self._serve(body)

            def _serve(self, body: bytes) -> None:
                attempt = self.headers.get('X-Request-Attempt-Id', '')
                own = {'X-Request-Attempt-Id': attempt}
                named = self.headers.get('X-Expect-Replica', replica.name)
                if named != replica.name or not replica._takes_requests():
                    replica._record.write(f'{replica.name} 421 to {attempt}')
                    self._answer(421, b'', {**own, 'At-Server': replica.name})
                    return
                run = Run(
                    replica.name, attempt, dict(self.headers), self.path, body
                )
                replica.runs.append(run)
                replica._record.write(f'{replica.name} runs {attempt}')
                own['X-Replica-Stamp'] = f'stamp-of-{replica.name}'
                wish = json.loads(body or b'{}')
                try:
                    if 'events' in wish:
                        self._stream(wish, own)
                    else:
                        time.sleep(wish.get('work_seconds', 0.03))
                        self._answer(200, b'the whole answer', own)
                except OSError:
                    replica._record.write(
                        f'{replica.name} loses the connection of {attempt}'
                    )
                    self.close_connection = True
                    return
                replica._record.write(f'{replica.name} has ended {attempt}')

            def _stream(
                self, wish: dict[str, Any], own: dict[str, str]
            ) -> None:
                self.send_response(200)
                for name, text in own.items():
                    self.send_header(name, text)
                self.send_header('Content-Type', 'text/event-stream')
                self.send_header('Transfer-Encoding', 'chunked')
                self.end_headers()
                first = int(self.headers.get('Last-Event-Id', 0)) + 1
                for number in range(first, wish['events'] + 1):
                    time.sleep(wish['event_seconds'])
                    event = b'id: %d\ndata: t%d\n\n' % (number, number)
                    self.wfile.write(b'%x\r\n%s\r\n' % (len(event), event))
                    self.wfile.flush()
                self.wfile.write(b'0\r\n\r\n')

            def _answer(
                self,
                status: int,
                body: bytes,
                headers: dict[str, str] | None = None,
            ) -> None:
                self.send_response(status)
                for name, text in (headers or {}).items():
                    self.send_header(name, text)
                self.send_header('Content-Length', str(len(body)))
                self.end_headers()
                self.wfile.write(body)

        return Handler


def make_manifest(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a manifest with the routes of a small deployment."""
    common = {'host': HOST, 'latency_goal_ms': 400, 'max_attempts': 2}
    return {
        'version': version,
        'routes': [
            {
                **common,
                'name': 'notes',
                'path_prefix': '/notes/',
                'kind': 'streaming',
                'timeout_ms': 8000,
                'gap_goal_ms': 300,
                'service': 'llm',
                'resumable': True,
                'priority': 1,
            },
            {
                **common,
                'name': 'price',
                'path_prefix': '/price/',
                'kind': 'unsafe',
                'timeout_ms': 1000,
                'max_attempts': 1,
                'service': 'app',
                'priority': 2,
            },
            {
                **common,
                'name': 'stock',
                'path_prefix': '/stock/',
                'kind': 'safe',
                'timeout_ms': 1000,
                'service': 'app',
                'priority': 2,
            },
        ],
        'services': [
            {
                'name': 'llm',
                'health_path': '/health',
                'max_conns': 288,
                'engine': {
                    'slots': 9,
                    'models': [
                        {
                            'name': 'small',
                            'size': 2,
                            'pace': 1.0,
                            'load_s': 2,
                            'warmup_s': 1,
                            'share': 1.0,
                        },
                    ],
                    'kv_capacity': 984705,
                    'step_ms': 7.8,
                    'read_per_s': 45900,
                    'stride': 5,
                    'loads_per_s': 5,
                    'loads_at_once': 7,
                    'form_ms': 100,
                },
            },
            {'name': 'app', 'health_path': '/health', 'max_conns': 48},
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 65536,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': TENANT, 'api_keys': [KEY]}],
        **changes,
    }


def find_free_port(host: str) -> int:
    """Return a port that is free at an address."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


class Node:
    """An entry box: a process started with the command of the deploy file."""

    def __init__(
        self,
        folder: Path,
        store_address: str,
        number: int,
        seeds: list[str],
        hall: str = 'hall-port',
    ) -> None:
        """Write the settings in the form of ``deploy/front.toml``."""
        self.name = f'front-{number}'
        self.host = f'127.0.0.{10 + number}'
        self.callers = find_free_port(self.host)
        self.ready = find_free_port(self.host)
        self.directory = find_free_port(self.host)
        self.peers = find_free_port(self.host)
        self.metrics = find_free_port(self.host)
        self._settings = folder / f'{self.name}.toml'
        self._log = folder / f'{self.name}.log'
        self.process: subprocess.Popen[bytes] | None = None
        listed = ', '.join(f'"{seed}"' for seed in seeds)
        self._settings.write_text(
            f"""seeds = [{listed}]
[node]
name = "{self.name}"
hall = "{hall}"
region = "port-louis"
host = "{self.host}"
callers = "{self.host}:{self.callers}"
readiness = "{self.host}:{self.ready}"
directory = "{self.host}:{self.directory}"
peers = "{self.host}:{self.peers}"
metrics_port = {self.metrics}
link_mbps = 1000.0
processor_share = 0.537
processor_speed = 2
[store]
address = "{store_address}"
[promises]
keys_refused_within_ms = 5000
leaving_within_ms = 2000
applied_within_ms = 2000
stalled_within_ms = 6000
stop_within = 8
entry_list_most = 5
[resends]
ratio = 0.2
slack = 109
window = 10
[timing]
lease = 2.0
""",
            encoding='utf-8',
        )

    def start(self) -> None:
        """Start the process of the deploy file's command."""
        deps = str(ROOT / 'target' / 'deps')
        with self._log.open('ab') as output:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'waywell.platform', self._settings],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                cwd=ROOT,
                env={'PATH': os.environ['PATH'], 'PYTHONPATH': deps},
            )

    def kill(self) -> None:
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def is_ready(self) -> bool:
        """Return whether the platform's readiness question gets 200."""
        return self._get(self.ready, '/api/ready')[0] == 200

    def list_addresses(self) -> list[str]:
        """Return the addresses that the directory gives a caller."""
        path = f'/api/resolve?name={HOST}&region=port-louis&zone=hall-port'
        status, raw = self._get(self.directory, path)
        return list(json.loads(raw)['addresses']) if status == 200 else []

    def count_groups(self) -> int:
        """Return how many groups the node sees serve."""
        status, raw = self._get(self.metrics, '/dump')
        if status != 200:
            return 0
        return int(json.loads(raw)['serving'].get('llm/small', 0))

    def find_reader(self) -> str:
        """Return the node that reads the store for this node's zone."""
        status, raw = self._get(self.metrics, '/dump')
        return str(json.loads(raw)['feed']['reader']) if status == 200 else ''

    def read_log(self) -> str:
        """Return what the process has logged."""
        if not self._log.exists():
            return ''
        return self._log.read_text(errors='replace')

    def _get(self, port: int, path: str) -> tuple[int, bytes]:
        connection = http.client.HTTPConnection(self.host, port, timeout=1)
        try:
            connection.request('GET', path)
            answer = connection.getresponse()
            return answer.status, answer.read()
        except OSError:
            return 0, b''
        finally:
            connection.close()


@dataclass
class Answer:
    """What a caller got."""

    attempt: str
    status: int
    body: bytes
    is_whole: bool
    sent_at: float
    ended_at: float

    def describe(self) -> str:
        """Return a line for the record."""
        end = 'whole' if self.is_whole else 'BROKEN OFF'
        seconds = self.ended_at - self.sent_at
        return (
            f'caller of {self.attempt} has {self.status}, {end}, '
            f'{len(self.body)} B after {seconds:.3f} s'
        )


def call(
    record: Record,
    node: Node,
    attempt: str,
    path: str,
    body: dict[str, Any],
    deadline_ms: int,
    headers: dict[str, str] | None = None,
) -> Answer:
    """Send a request on a new connection and read the whole answer."""
    raw = json.dumps(body).encode()
    connection = http.client.HTTPConnection(
        node.host, node.callers, timeout=deadline_ms / 1000 + 1
    )
    sent = {
        'Host': HOST,
        'X-Request-Attempt-Id': attempt,
        'X-Deadline-Ms': str(deadline_ms),
        'Authorization': f'Bearer {KEY}',
        **(headers or {}),
    }
    sent_at = time.monotonic()
    record.write(f'caller sends {attempt} to {node.name}: {path} {body}')
    status, received, is_whole = 0, b'', False
    try:
        connection.request('POST', path, raw, sent)
        answer = connection.getresponse()
        status = answer.status
        while True:
            piece = answer.read1(65536)
            if not piece:
                break
            received += piece
        is_whole = True
    except http.client.IncompleteRead as error:
        received += error.partial
    except (OSError, http.client.HTTPException) as error:
        record.write(f'caller of {attempt}: {error!r}')
    finally:
        connection.close()
    got = Answer(
        attempt, status, received, is_whole, sent_at, time.monotonic()
    )
    record.write(got.describe())
    return got


def wait_for(condition: Callable[[], Any], what: str, seconds: float) -> None:
    """Wait until a condition holds.

    Raises
    ------
    TimeoutError
        When it does not hold in time.
    """
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        if condition():
            return
        time.sleep(0.05)
    raise TimeoutError(what)


class Deployment:
    """A store, replicas and nodes; ends all of them on exit."""

    def __init__(self, case: Path, nodes: int) -> None:
        """Start the store and the replicas; the nodes have not started."""
        self.record = Record(case / 'record.txt')
        self._folder = tempfile.TemporaryDirectory()
        folder = Path(self._folder.name)
        self.store = Store()
        self.replicas = {
            name: Replica(self.store, self.record, name, service)
            for name, service in (
                ('i-m1', 'llm'),
                ('i-m2', 'llm'),
                ('i-m3', 'llm'),
                ('i-m4', 'llm'),
                *((f'i-a{number}', 'app') for number in range(1, 7)),
            )
        }
        self.store.put('config', 'main', make_manifest())
        self.nodes: list[Node] = []
        self.links: list[StoreLink] = []
        for number in range(1, nodes + 1):
            seeds = [f'{node.host}:{node.peers}' for node in self.nodes]
            self.links.append(StoreLink(self.store.address))
            address = self.links[-1].address
            self.nodes.append(Node(folder, address, number, seeds))

    def start(self) -> None:
        """Start the nodes and wait until they serve."""
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            wait_for(node.is_ready, f'{node.name} to be ready', 30)
            wait_for(
                lambda node=node: node.count_groups() == 2,
                f'{node.name} to see two groups',
                30,
            )
            wait_for(
                lambda node=node: (
                    len(node.list_addresses()) == len(self.nodes)
                ),
                f'{node.name} to know all nodes',
                30,
            )
        self.record.write('all nodes serve')

    def list_runs(self, attempt: str) -> list[Run]:
        """Return the runs of a request at all replicas."""
        return [
            run
            for replica in self.replicas.values()
            for run in replica.runs
            if run.attempt == attempt
        ]

    def close(self) -> None:
        """End everything that was started."""
        for node in self.nodes:
            node.kill()
        for replica in self.replicas.values():
            replica.close()
        for link in self.links:
            link.close()
        self.store.close()
        self._folder.cleanup()


def run_case(
    case: Path, nodes: int, play: Callable[[Deployment], bool]
) -> int:
    """Play a case and return the exit code of its script.

    Whatever keeps it from being judged, also a signal to end or a lack of
    time, ends all that was started and counts as a case that could not run.
    """
    for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _give_up)
    signal.alarm(MAX_SECONDS)
    deployment: Deployment | None = None
    try:
        deployment = Deployment(case, nodes)
        deployment.start()
        is_held = play(deployment)
    except Exception:
        reason = traceback.format_exc()
        if deployment is None:
            sys.stderr.write(reason)
            return COULD_NOT_RUN
        deployment.record.write(f'could not run: {reason}')
        for node in deployment.nodes:
            deployment.record.write(node.read_log()[-3000:])
        return COULD_NOT_RUN
    finally:
        signal.alarm(0)
        if deployment is not None:
            deployment.close()
    deployment.record.write('the rule held' if is_held else 'RULE BROKEN')
    return HELD if is_held else BROKEN


def _give_up(number: int, _frame: object) -> None:
    raise TimeoutError(f'ended by signal {number}')


class StoreLink:
    """A proxy between one node and the store, which can be cut."""

    def __init__(self, store_address: str) -> None:
        """Start listening."""
        host, _, port = store_address.rpartition(':')
        self._target = (host, int(port))
        self._is_cut = False
        self._open: set[socket.socket] = set()
        self._listener = socket.create_server(('127.0.0.1', 0), backlog=64)
        self.address = f'127.0.0.1:{self._listener.getsockname()[1]}'
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self) -> None:
        """Reset all connections, and new ones until ``heal``."""
        self._is_cut = True
        for connection in tuple(self._open):
            _reset(connection)

    def heal(self) -> None:
        """Let connections through again."""
        self._is_cut = False

    def close(self) -> None:
        """Stop listening."""
        self._listener.close()
        self.cut()

    def _accept(self) -> None:
        while True:
            try:
                caller, _ = self._listener.accept()
            except OSError:
                return
            if self._is_cut:
                _reset(caller)
                continue
            store = socket.create_connection(self._target)
            self._open |= {caller, store}
            for ends in ((caller, store), (store, caller)):
                threading.Thread(
                    target=self._copy, args=ends, daemon=True
                ).start()

    def _copy(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while piece := source.recv(65536):
                sink.sendall(piece)
        except OSError:
            pass
        for connection in (source, sink):
            self._open.discard(connection)
            connection.close()


def _reset(connection: socket.socket) -> None:
    try:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        connection.shutdown(socket.SHUT_RD)
        connection.close()
    except OSError:
        return
