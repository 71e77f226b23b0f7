"""Small stand-ins of the platform's store and servers, in its own protocol."""

from __future__ import annotations

import json
import socket
import threading
import time
from collections import deque
from dataclasses import dataclass
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, urlsplit

from tests.broken_bodies import BodyScript

if TYPE_CHECKING:
    from collections.abc import Callable

HOST = 'shop.example'
"""Host that the routes are for."""

KEY = 'key-of-shop'
"""Key of the one client account."""

EVENTS = 6
"""Events of a whole stream."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'

    def log_message(self, *_words: object) -> None:
        """Write nothing."""

    def read_body(self) -> bytes:
        return self.rfile.read(int(self.headers.get('content-length', 0)))

    def answer(
        self,
        status: int,
        body: Any = None,
        headers: dict[str, str] | None = None,
    ) -> None:
        raw = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.send_response(status)
        for name, text in (headers or {}).items():
            self.send_header(name, text)
        self.send_header('content-length', str(len(raw)))
        self.end_headers()
        self.wfile.write(raw)

    def hang_up(self) -> None:
        self.close_connection = True


class _Listener(ThreadingHTTPServer):
    def handle_error(self, *_words: object) -> None:
        """Write nothing: callers hang up as they like."""


def _serve(handler: type[_Handler]) -> ThreadingHTTPServer:
    server = _Listener(('127.0.0.1', 0), handler)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


@dataclass(frozen=True)
class StoreSnapshot:
    """What a store held at a moment."""

    objects: dict[tuple[str, str], dict[str, Any]]
    events: list[tuple[int, str, dict[str, Any], bool]]
    revision: int


class Store:
    """Keeps objects by kind and name; can go silent and misbehave."""

    def __init__(self) -> None:
        """Listen."""
        self.is_down = False
        self.delay_seconds = 0.0
        self.drops_answers = False
        self.refusal_status = 0
        self.hidden_kinds: set[str] = set()
        self.servers: dict[str, Server] = {}
        self.violations: list[str] = []
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._revision = 0
        self._era = 1
        self._forgotten = 0
        self._changed = threading.Condition()
        self._server = _serve(self._make_handler())

    @property
    def address(self) -> str:
        """Return where it listens."""
        return f'127.0.0.1:{self._server.server_address[1]}'

    def close(self) -> None:
        """Listen no more."""
        self._server.shutdown()
        self._server.server_close()

    def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Write an object, whatever its revision."""
        with self._changed:
            self._revision += 1
            found = {
                'metadata': {'name': name, 'revision': self._revision},
                'spec': spec,
            }
            self._objects[kind, name] = found
            self._events.append((self._revision, kind, found, False))
            self._changed.notify_all()
            return found

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        with self._changed:
            self._revision += 1
            found = self._objects.pop((kind, name))
            self._events.append((self._revision, kind, found, True))
            self._changed.notify_all()

    def forget_history(self) -> None:
        """Drop the history: watches that go on from it are told so."""
        with self._changed:
            self._events.clear()
            self._forgotten = self._revision
            self._changed.notify_all()

    def take_snapshot(self) -> StoreSnapshot:
        """Return what it holds now, to come back from later."""
        with self._changed:
            return StoreSnapshot(
                dict(self._objects), list(self._events), self._revision
            )

    def restore(
        self, copy: StoreSnapshot, *again: tuple[str, str, Any]
    ) -> None:
        """Come back from an older copy; revisions are given out again.

        Parameters
        ----------
        copy
            What it holds then.
        again
            Kind, name and spec of what is written again before anyone asks.
        """
        with self._changed:
            self._era += 1
            self._objects = dict(copy.objects)
            self._events = list(copy.events)
            self._revision = copy.revision
            for written in again:
                self.put(*written)
            self._changed.notify_all()

    def list_names(self, kind: str) -> set[str]:
        """Return the names of the objects of a kind."""
        with self._changed:
            return {
                name for its_kind, name in self._objects if its_kind == kind
            }

    def _list(self, kind: str) -> dict[str, Any]:
        with self._changed:
            items = [
                found
                for (its_kind, _name), found in sorted(self._objects.items())
                if its_kind == kind and kind not in self.hidden_kinds
            ]
            return {'items': items, 'current_rev': self._revision}

    def _watch(self, kind: str, after: int, seconds: float) -> Any:
        ends_at = time.monotonic() + seconds
        with self._changed:
            while True:
                if not self._forgotten <= after <= self._revision:
                    return None
                events = [
                    {'removed': removed, 'object': found}
                    for revision, its_kind, found, removed in self._events
                    if revision > after and its_kind == kind
                ]
                left = ends_at - time.monotonic()
                if events or left <= 0:
                    return {'events': events, 'current_rev': self._revision}
                self._changed.wait(left)

    def _write(self, kind: str, body: dict[str, Any], creates: bool) -> Any:
        name = body['metadata']['name']
        with self._changed:
            found = self._objects.get((kind, name))
            wanted = body['metadata'].get('revision')
            if creates and found is not None:
                return 409, found
            if found is not None and wanted != found['metadata']['revision']:
                return 409, found
        return 200, self.put(kind, name, body['spec'])

    def _make_handler(store) -> type[_Handler]:  # noqa: N805
        class Handler(_Handler):
            def send_response(self, *words: Any) -> None:
                super().send_response(*words)
                self.send_header('Store-Era', str(store._era))

            def do_GET(self) -> None:
                if self._is_cut():
                    return
                parts = urlsplit(self.path)
                _api, _objects, kind, *name = parts.path.strip('/').split('/')
                query = {
                    key: texts[-1]
                    for key, texts in parse_qs(parts.query).items()
                }
                if name:
                    found = store._objects.get((kind, name[0]))
                    self.answer(200 if found else 404, found)
                elif 'watch' in query:
                    seconds = int(query['wait_ms']) / 1000
                    changes = store._watch(kind, int(query['watch']), seconds)
                    if not self._is_cut():
                        self.answer(200 if changes else 410, changes)
                else:
                    self.answer(200, store._list(kind))

            def do_PUT(self) -> None:
                self._write(creates=False)

            def do_POST(self) -> None:
                self._write(creates=True)

            def do_DELETE(self) -> None:
                if self._is_cut():
                    return
                _api, _objects, kind, name = (
                    urlsplit(self.path).path.strip('/').split('/')
                )
                is_there = name in store.list_names(kind)
                if is_there:
                    store.remove(kind, name)
                self.answer(200 if is_there else 404, {})

            def _write(self, creates: bool) -> None:
                body = json.loads(self.read_body())
                if self._is_cut():
                    return
                kind = urlsplit(self.path).path.split('/')[3]
                outcome = store._write(kind, body, creates)
                if store.drops_answers:
                    self.hang_up()
                    return
                self.answer(*outcome)

            def _is_cut(self) -> bool:
                """Answer whether the call gets no answer, or a refusal."""
                if store.is_down:
                    self.hang_up()
                    return True
                time.sleep(store.delay_seconds)
                if store.refusal_status:
                    self.answer(store.refusal_status, {})
                return bool(store.refusal_status)

        return Handler


class Server:
    """A server of the platform: engine of a group, or a plain service."""

    def __init__(self, store: Store, name: str, service: str) -> None:
        """Listen, and write the entry."""
        self.name = name
        self.runs: list[dict[str, str]] = []
        self.arrivals: list[tuple[float, str]] = []
        self.rest_answers: list[tuple[float, float, str]] = []
        self.retry_after = ''
        self.server_limit = ''
        self.is_leaving = False
        self.orders: list[dict[str, Any]] = []
        self.script: deque[str | BodyScript] = deque()
        self.members: list[str] = []
        self.fence = 0
        self.orders_begun = 0
        self.unblocked = threading.Event()
        self.unblocked.set()
        self.crashing_body = b''
        self.crashing_prompt_parts: frozenset[str] = frozenset()
        self.rejected_path = ''
        self.crashes: list[tuple[float, str]] = []
        self.on_crash: Callable[[], None] = lambda: None
        self.has_ended = False
        self._connections: set[socket.socket] = set()
        self._store = store
        store.servers[name] = self
        self._server = _serve(self._make_handler())
        port = self._server.server_address[1]
        self.entry: dict[str, Any] = {
            'service': service,
            'address': f'127.0.0.1:{port}',
            'zone': 'hall-a',
            'version': 'v1',
            'slots': 9,
            'state': 'ready',
            'cold_left_ms': 0,
            'seq_no': 1,
            'born': 1,
            'domain': 'd0',
            'staged': [],
        }
        self.write_entry()

    @property
    def arrival_count(self) -> int:
        """Return how many requests have come."""
        return len(self.arrivals)

    def write_entry(self) -> None:
        """Write the entry as it is."""
        self._store.put('servers', self.name, dict(self.entry))

    def get_port(self) -> int:
        """Return the port that its entry tells."""
        return int(self.entry['address'].rpartition(':')[2])

    def close(self) -> None:
        """Listen no more; the entry stays."""
        self._server.shutdown()
        self._server.server_close()

    def restart(self) -> None:
        """Begin a new life under the same id; only the host keeps weights."""
        self.orders_begun = 0
        self.fence = 0
        self.members = []
        self.entry['group'] = None
        self.entry['born'] += 1
        self.write_entry()

    def crash(self) -> None:
        """Listen no more and be forgotten by the store."""
        self.close()
        self._store.servers.pop(self.name)
        # A store that came back from a copy may lack the entry.
        if self.name in self._store.list_names('servers'):
            self._store.remove('servers', self.name)

    def abort(self) -> None:
        """End like a process that crashes; the entry stays for a while."""
        self.has_ended = True
        self._server.socket.shutdown(socket.SHUT_RDWR)
        for line in tuple(self._connections):
            try:
                line.shutdown(socket.SHUT_RDWR)
            except OSError:
                # Its caller has hung up meanwhile.
                continue
        self.on_crash()
        # The thread that accepts would try so for ever.
        threading.Thread(target=self.close, daemon=True).start()

    def get_group(self) -> dict[str, Any]:
        """Return the group that it stands in, or nothing."""
        return dict(self.entry.get('group') or {})

    def _find_violation(self, order: dict[str, Any]) -> str:
        """Return the promise about groups that an order breaks, or nothing."""
        group = self.get_group()
        mates = [
            server
            for server in self._store.servers.values()
            if server.get_group().get('name') == group.get('name')
        ]
        if order['operation'] == 'join' and group:
            heads = [one for one in mates if one.get_group()['rank'] == 0]
            if any(head.get_group()['state'] == 'open' for head in heads):
                return f'{self.name} joined while its group was open'
        if order['operation'] == 'open' and group:
            ready = {one.name for one in mates}
            if ready != set(self.members):
                return f'{self.name} opened with {sorted(ready)} ready'
        return ''

    def _apply_order(self, order: dict[str, Any]) -> int:
        self.orders.append(order)
        fence = order['fence_token']
        if fence < self.fence:
            return 412
        self.fence = fence
        group = self.get_group()
        operation = order['operation']
        expected = order.get('expect_rev')
        if operation == 'join' and expected is None:
            self._store.violations.append(f'{self.name}: a join for any state')
        if expected is not None and expected != self.orders_begun:
            return 409
        broken = self._find_violation(order)
        if broken:
            self._store.violations.append(broken)
        if operation == 'stage':
            self.entry['staged'] = [order['model']]
        elif operation == 'join':
            group = {
                'name': order['group'],
                'epoch': order['epoch'],
                'rank': order['members'].index(self.name),
                'state': 'ready',
            }
            self.entry['staged'] = [order['model']]
            self.members = order['members']
        elif group.get('name') != order['group']:
            return 409
        else:
            word = {'open': 'open', 'close': 'ready'}.get(operation)
            group = {**group, 'state': word} if word else {}
        self.orders_begun += 1
        self.entry['group'] = group or None
        self.write_entry()
        return 200

    def make_report(self) -> dict[str, Any]:
        """Return how it is now."""
        return {
            'born': self.entry['born'],
            'seq_no': self.orders_begun,
            'group': self.get_group() or None,
        }

    def _crashes_on(self, body: bytes, headers: Any) -> bool:
        """Answer whether it ends when it begins to answer a request."""
        named = headers.get('X-Prompt-Prefix', '').split(',')[:-1]
        parts = {one.partition(':')[0] for one in named}
        return bool(parts & self.crashing_prompt_parts) or (
            bool(body) and body == self.crashing_body
        )

    def _make_handler(server) -> type[_Handler]:  # noqa: N805
        class Handler(_Handler):
            def setup(self) -> None:
                super().setup()
                server._connections.add(self.connection)

            def finish(self) -> None:
                server._connections.discard(self.connection)
                super().finish()

            def send_response(self, *words: Any) -> None:
                super().send_response(*words)
                if server.is_leaving:
                    self.send_header('Server-Leaving', '1')
                if server.server_limit:
                    self.send_header('Server-Limit', server.server_limit)

            def do_GET(self) -> None:
                if self.path == '/api/report':
                    self.answer(200, server.make_report())
                else:
                    self._run()

            def do_POST(self) -> None:
                body = self.read_body()
                if self.path == '/api/order':
                    self.answer(server._apply_order(json.loads(body)), {})
                elif (
                    server.rejected_path and server.rejected_path in self.path
                ):
                    attempt = self.headers['X-Request-Attempt-Id']
                    self.answer(400, {}, {'X-Request-Attempt-Id': attempt})
                elif server._crashes_on(body, self.headers):
                    server.runs.append({**self.headers, 'X-Path': self.path})
                    attempt = self.headers['X-Request-Attempt-Id']
                    server.crashes.append((time.monotonic(), attempt))
                    server.abort()
                    self.hang_up()
                else:
                    self._run()

            def _run(self) -> None:
                attempt = self.headers['X-Request-Attempt-Id']
                server.arrivals.append((time.monotonic(), attempt))
                act = server.script.popleft() if server.script else ''
                own = {
                    'X-Request-Attempt-Id': attempt,
                    'X-Replica-Stamp': f'stamp-of-{server.name}',
                }
                if isinstance(act, BodyScript):
                    server.runs.append({**self.headers, 'X-Path': self.path})
                    act.send_response(self, own)
                    return
                if act == 'reject':
                    self.answer(503, {}, {**own, 'X-Not-Executed': '1'})
                    return
                if act == 'late-rest':
                    server.unblocked.wait(20)
                if act in {'rest', 'late-rest'}:
                    server.rest_answers.append(
                        (time.monotonic(), float(server.retry_after), attempt)
                    )
                    own |= {'X-Not-Executed': '1'}
                    own |= {'Retry-After': server.retry_after}
                    self.answer(503, {}, own)
                    return
                server.runs.append({**self.headers, 'X-Path': self.path})
                if act == 'reset':
                    self.hang_up()
                elif act == 'fail':
                    self.answer(500, {}, own)
                elif act == 'foreign':
                    self.answer(
                        200, b'!', {**own, 'X-Request-Attempt-Id': 'z'}
                    )
                elif 'X-Model' in self.headers:
                    self._stream(act, own)
                else:
                    server.unblocked.wait(20)
                    self.answer(200, b'the whole answer', own)

            def _stream(self, act: str, own: dict[str, str]) -> None:
                self.send_response(200)
                for name, text in own.items():
                    self.send_header(name, text)
                self.send_header('content-type', 'text/event-stream')
                self.send_header('transfer-encoding', 'chunked')
                self.end_headers()
                first = int(self.headers.get('Last-Event-Id', 0)) + 1
                for number in range(first, EVENTS + 1):
                    event = b'id: %d\ndata: t%d\n\n' % (number, number)
                    if act == f'cut-{number}':
                        self._chunk(event[:9])
                        self.hang_up()
                        return
                    if act == f'wait-{number}':
                        server.unblocked.wait(20)
                    self._chunk(event)
                self._chunk(b'')

            def _chunk(self, raw: bytes) -> None:
                self.wfile.write(b'%x\r\n%s\r\n' % (len(raw), raw))
                self.wfile.flush()

        return Handler


def make_manifest(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return what the operators write."""
    route = {'host': HOST, 'latency_goal_ms': 400, 'max_attempts': 2}
    return {
        'version': version,
        'routes': [
            {
                **route,
                'name': 'notes',
                'path_prefix': '/notes/',
                'kind': 'streaming',
                'timeout_ms': 8000,
                'gap_goal_ms': 300,
                'service': 'llm',
                'resumable': True,
            },
            {
                **route,
                'name': 'match',
                'path_prefix': '/match/',
                'kind': 'unsafe',
                'timeout_ms': 8000,
                'service': 'app',
            },
            {
                **route,
                'name': 'stock',
                'path_prefix': '/stock/',
                'kind': 'safe',
                'timeout_ms': 8000,
                'service': 'app',
            },
        ],
        'services': [
            {
                'name': 'llm',
                'engine': {
                    'slots': 9,
                    'models': [
                        {
                            'name': 'small',
                            'size': 2,
                            'load_s': 1,
                            'warmup_s': 1,
                        },
                    ],
                    'loads_per_s': 5,
                    'loads_at_once': 7,
                },
            },
            {'name': 'app'},
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 65536,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': 'shop', 'api_keys': [KEY]}],
        **changes,
    }
