"""Fakes of the platform's store and servers that speak its protocol."""

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
from tests.endless_answers import EndlessAnswer
from tests.raw_heads import RawAnswer

if TYPE_CHECKING:
    from collections.abc import Callable

HOST = 'shop.example'
"""Host name of all routes."""

KEY = 'key-of-shop'
"""API key of the only client account."""

EVENTS = 6
"""Number of events in a complete stream."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'

    def log_message(self, *_args: object) -> None:
        """Log nothing."""

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

    def drop_connection(self) -> None:
        self.close_connection = True


class _Listener(ThreadingHTTPServer):
    def handle_error(self, *_args: object) -> None:
        """Ignore errors, as callers may close connections at any time."""


def _serve(handler: type[_Handler]) -> ThreadingHTTPServer:
    server = _Listener(('127.0.0.1', 0), handler)
    server.daemon_threads = True
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


@dataclass(frozen=True)
class StoreSnapshot:
    """Content of a store at one moment."""

    objects: dict[tuple[str, str], dict[str, Any]]
    events: list[tuple[int, str, dict[str, Any], bool]]
    revision: int


class Store:
    """Fake of the platform's store, with fault injection.

    Attributes
    ----------
    is_down
        Whether every call is closed without an answer.
    delay_seconds
        Delay before each call is handled.
    drops_answers
        Whether writes take effect without an answer.
    refusal_status
        HTTP status of the answers to all calls; 0 to handle them.
    hidden_kinds
        Kinds whose objects are missing from lists.
    endless
        Answer without end to all calls, if any.
    raw_answer
        Answer with a head of any bytes to all calls, if any.
    servers
        Running servers by name.
    violations
        Orders that broke a promise about groups, as texts.
    """

    def __init__(self) -> None:
        """Start listening."""
        self.is_down = False
        self.delay_seconds = 0.0
        self.drops_answers = False
        self.refusal_status = 0
        self.hidden_kinds: set[str] = set()
        self.endless: EndlessAnswer | None = None
        self.raw_answer: RawAnswer | None = None
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
        """Return the address that the store listens on."""
        return f'127.0.0.1:{self._server.server_address[1]}'

    def close(self) -> None:
        """Stop listening."""
        self._server.shutdown()
        self._server.server_close()

    def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Write an object regardless of its revision."""
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
        """Drop the history; watches from older revisions are answered 410."""
        with self._changed:
            self._events.clear()
            self._forgotten = self._revision
            self._changed.notify_all()

    def take_snapshot(self) -> StoreSnapshot:
        """Return a snapshot for a later restoration."""
        with self._changed:
            return StoreSnapshot(
                dict(self._objects), list(self._events), self._revision
            )

    def restore(
        self, snapshot: StoreSnapshot, *rewritten: tuple[str, str, Any]
    ) -> None:
        """Restore an older snapshot in a new era; revisions are reused.

        Parameters
        ----------
        snapshot
            Content to restore.
        rewritten
            Kind, name and spec of objects that are written at once, before any
            call is answered.
        """
        with self._changed:
            self._era += 1
            self._objects = dict(snapshot.objects)
            self._events = list(snapshot.events)
            self._revision = snapshot.revision
            for entry in rewritten:
                self.put(*entry)
            self._changed.notify_all()

    def list_names(self, kind: str) -> set[str]:
        """Return the names of the objects of a kind."""
        with self._changed:
            return {
                name
                for stored_kind, name in self._objects
                if stored_kind == kind
            }

    def _list_objects(self, kind: str) -> dict[str, Any]:
        with self._changed:
            items = [
                found
                for (stored_kind, _name), found in sorted(
                    self._objects.items()
                )
                if stored_kind == kind and kind not in self.hidden_kinds
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
                    for revision, stored_kind, found, removed in self._events
                    if revision > after and stored_kind == kind
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
            def send_response(self, *args: Any) -> None:
                super().send_response(*args)
                self.send_header('Store-Era', str(store._era))

            def do_GET(self) -> None:
                if self._fail_if_injected():
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
                    if not self._fail_if_injected():
                        self.answer(200 if changes else 410, changes)
                else:
                    self.answer(200, store._list_objects(kind))

            def do_PUT(self) -> None:
                self._write(creates=False)

            def do_POST(self) -> None:
                self._write(creates=True)

            def do_DELETE(self) -> None:
                if self._fail_if_injected():
                    return
                _api, _objects, kind, name = (
                    urlsplit(self.path).path.strip('/').split('/')
                )
                exists = name in store.list_names(kind)
                if exists:
                    store.remove(kind, name)
                self.answer(200 if exists else 404, {})

            def _write(self, creates: bool) -> None:
                body = json.loads(self.read_body())
                if self._fail_if_injected():
                    return
                kind = urlsplit(self.path).path.split('/')[3]
                outcome = store._write(kind, body, creates)
                if store.drops_answers:
                    self.drop_connection()
                    return
                self.answer(*outcome)

            def _fail_if_injected(self) -> bool:
                """Fail the call if a fault is set; return whether one is."""
                if store.is_down:
                    self.drop_connection()
                    return True
                time.sleep(store.delay_seconds)
                injected = store.endless or store.raw_answer
                if injected is not None:
                    injected.send_response(
                        self, {'Store-Era': str(store._era)}
                    )
                    return True
                if store.refusal_status:
                    self.answer(store.refusal_status, {})
                return bool(store.refusal_status)

        return Handler


class Server:
    """Fake of a server of the platform: an engine or a plain service.

    Attributes
    ----------
    runs
        Headers of the requests that were run, with their path.
    arrivals
        Time and attempt id of each request that arrived.
    rest_answers
        Time, seconds and attempt id of each rejection with ``Retry-After``.
    retry_after
        Value of ``Retry-After`` in rejections.
    server_limit
        Value of ``Server-Limit`` in all responses; empty for none.
    is_leaving
        Whether all responses have ``Server-Leaving``.
    orders
        Bodies of all orders received.
    script
        Actions for the next requests, one each: ``reject``, ``rest``,
        ``late-rest``, ``reset``, ``fail``, ``foreign``, ``cut-N`` and
        ``wait-N`` for event N of a stream, a script of the whole body, an
        answer without end or with a head of any bytes, or an empty text for a
        normal answer.
    members
        Names of the boxes in the last join order.
    fence
        Highest fencing token seen.
    orders_begun
        Number of orders accepted.
    unblocked
        While cleared, answers that wait for it are delayed.
    crashing_body
        Body of a request that crashes the server; empty for none.
    crashing_prompt_parts
        Ids of prompt parts that crash the server.
    rejected_path
        Part of a path whose requests are answered 400; empty for none.
    crashes
        Time and attempt id of each crash.
    on_crash
        Called after a crash has closed all connections.
    has_ended
        Whether the server has crashed.
    endless
        Answer without end to some requests, if any.
    endless_paths
        Beginnings of the paths that are answered without end.
    raw_answers
        Answers with heads of any bytes, by the path of the calls.
    entry
        Entry in the list of servers, written by ``write_entry``.
    """

    def __init__(self, store: Store, name: str, service: str) -> None:
        """Start listening and write the entry to the store."""
        self.name = name
        self.runs: list[dict[str, str]] = []
        self.arrivals: list[tuple[float, str]] = []
        self.rest_answers: list[tuple[float, float, str]] = []
        self.retry_after = ''
        self.server_limit = ''
        self.is_leaving = False
        self.orders: list[dict[str, Any]] = []
        self.script: deque[str | BodyScript | EndlessAnswer | RawAnswer] = (
            deque()
        )
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
        self.endless: EndlessAnswer | None = None
        self.endless_paths: tuple[str, ...] = ()
        self.raw_answers: dict[str, RawAnswer] = {}
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
        """Return the number of requests that arrived."""
        return len(self.arrivals)

    def write_entry(self) -> None:
        """Write the current entry to the store."""
        self._store.put('servers', self.name, dict(self.entry))

    def get_port(self) -> int:
        """Return the port in the entry."""
        return int(self.entry['address'].rpartition(':')[2])

    def close(self) -> None:
        """Stop listening; the entry stays in the store."""
        self._server.shutdown()
        self._server.server_close()

    def restart(self) -> None:
        """Start a new incarnation with the same id, keeping staged weights."""
        self.orders_begun = 0
        self.fence = 0
        self.members = []
        self.entry['group'] = None
        self.entry['born'] += 1
        self.write_entry()

    def stop_and_delist(self) -> None:
        """Stop listening and remove the entry from the store."""
        self.close()
        self._store.servers.pop(self.name)
        # A restored store may lack the entry.
        if self.name in self._store.list_names('servers'):
            self._store.remove('servers', self.name)

    def crash(self) -> None:
        """Close all connections, as a crash does; the entry stays."""
        self.has_ended = True
        self._server.socket.shutdown(socket.SHUT_RDWR)
        for connection in tuple(self._connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                # The caller has closed the connection in the meantime.
                continue
        self.on_crash()
        # Without this, the accepting thread would retry forever.
        threading.Thread(target=self.close, daemon=True).start()

    def get_group(self) -> dict[str, Any]:
        """Return the group in the entry; empty for none."""
        return dict(self.entry.get('group') or {})

    def _find_violation(self, order: dict[str, Any]) -> str:
        """Return how an order breaks a promise about groups; empty if not."""
        group = self.get_group()
        peers = [
            server
            for server in self._store.servers.values()
            if server.get_group().get('name') == group.get('name')
        ]
        if order['operation'] == 'join' and group:
            heads = [peer for peer in peers if peer.get_group()['rank'] == 0]
            if any(head.get_group()['state'] == 'open' for head in heads):
                return f'{self.name} joined while its group was open'
        if order['operation'] == 'open' and group:
            ready = {peer.name for peer in peers}
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
        violation = self._find_violation(order)
        if violation:
            self._store.violations.append(violation)
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
            state = {'open': 'open', 'close': 'ready'}.get(operation)
            group = {**group, 'state': state} if state else {}
        self.orders_begun += 1
        self.entry['group'] = group or None
        self.write_entry()
        return 200

    def make_report(self) -> dict[str, Any]:
        """Return the body of a report."""
        return {
            'born': self.entry['born'],
            'seq_no': self.orders_begun,
            'group': self.get_group() or None,
        }

    def _crashes_on(self, body: bytes, headers: Any) -> bool:
        """Return whether a request crashes the server."""
        named = headers.get('X-Prompt-Prefix', '').split(',')[:-1]
        parts = {part.partition(':')[0] for part in named}
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

            def send_response(self, *args: Any) -> None:
                super().send_response(*args)
                if server.is_leaving:
                    self.send_header('Server-Leaving', '1')
                if server.server_limit:
                    self.send_header('Server-Limit', server.server_limit)

            def do_GET(self) -> None:
                if self._send_injected():
                    return
                if self.path == '/api/report':
                    self.answer(200, server.make_report())
                else:
                    self._handle_request()

            def do_POST(self) -> None:
                body = self.read_body()
                if self._send_injected():
                    return
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
                    server.crash()
                    self.drop_connection()
                else:
                    self._handle_request()

            def _send_injected(self) -> bool:
                """Send the answer set for all calls to a path, if one is."""
                raw_answer = server.raw_answers.get(self.path)
                if raw_answer is not None:
                    raw_answer.send_response(self, {})
                    return True
                if server.endless is None:
                    return False
                if not self.path.startswith(server.endless_paths):
                    return False
                attempt = self.headers['X-Request-Attempt-Id'] or ''
                headers = {
                    'X-Request-Attempt-Id': attempt,
                    'X-Replica-Stamp': f'stamp-of-{server.name}',
                }
                server.endless.send_response(self, headers)
                return True

            def _handle_request(self) -> None:
                attempt = self.headers['X-Request-Attempt-Id']
                server.arrivals.append((time.monotonic(), attempt))
                action = server.script.popleft() if server.script else ''
                own_headers = {
                    'X-Request-Attempt-Id': attempt,
                    'X-Replica-Stamp': f'stamp-of-{server.name}',
                }
                if isinstance(action, BodyScript | EndlessAnswer | RawAnswer):
                    server.runs.append({**self.headers, 'X-Path': self.path})
                    action.send_response(self, own_headers)
                    return
                if action == 'reject':
                    self.answer(
                        503, {}, {**own_headers, 'X-Not-Executed': '1'}
                    )
                    return
                if action == 'late-rest':
                    server.unblocked.wait(20)
                if action in {'rest', 'late-rest'}:
                    server.rest_answers.append(
                        (time.monotonic(), float(server.retry_after), attempt)
                    )
                    own_headers |= {'X-Not-Executed': '1'}
                    own_headers |= {'Retry-After': server.retry_after}
                    self.answer(503, {}, own_headers)
                    return
                server.runs.append({**self.headers, 'X-Path': self.path})
                if action == 'reset':
                    self.drop_connection()
                elif action == 'fail':
                    self.answer(500, {}, own_headers)
                elif action == 'foreign':
                    self.answer(
                        200, b'!', {**own_headers, 'X-Request-Attempt-Id': 'z'}
                    )
                elif 'X-Model' in self.headers:
                    self._send_stream(action, own_headers)
                else:
                    server.unblocked.wait(20)
                    self.answer(200, b'the whole answer', own_headers)

            def _send_stream(
                self, action: str, own_headers: dict[str, str]
            ) -> None:
                self.send_response(200)
                for name, text in own_headers.items():
                    self.send_header(name, text)
                self.send_header('content-type', 'text/event-stream')
                self.send_header('transfer-encoding', 'chunked')
                self.end_headers()
                first = int(self.headers.get('Last-Event-Id', 0)) + 1
                for number in range(first, EVENTS + 1):
                    event = b'id: %d\ndata: t%d\n\n' % (number, number)
                    if action == f'cut-{number}':
                        self._send_chunk(event[:9])
                        self.drop_connection()
                        return
                    if action == f'wait-{number}':
                        server.unblocked.wait(20)
                    self._send_chunk(event)
                self._send_chunk(b'')

            def _send_chunk(self, raw: bytes) -> None:
                self.wfile.write(b'%x\r\n%s\r\n' % (len(raw), raw))
                self.wfile.flush()

        return Handler


def make_manifest(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return the manifest that operators write."""
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
