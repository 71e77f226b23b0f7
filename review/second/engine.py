"""Stand-in of a replica that serves a model in groups.

It takes orders, reports its state and keeps its entry as the protocol page
says.  It notes each join that it takes while the head of its group is open or
closing, which the rule TWO forbids.
"""

from __future__ import annotations

import json
import threading
import time
from typing import TYPE_CHECKING, Any

from review.second.store import JsonHandler, QuietServer

if TYPE_CHECKING:
    from http.server import BaseHTTPRequestHandler

    from review.second.store import Store

HEARTBEAT_SECONDS = 1.2
"""Seconds between two writes of an engine's entry."""

REJOIN_SECONDS = 0.2
"""Time to join a group of the model of the last group."""

FORM_SECONDS = 0.3
"""Time from the order to open a group until it serves: ``form_ms``."""

SERVING = frozenset(('open', 'closing'))
"""States of a head whose group serves."""


class Engines:
    """All engines of a service, and what they saw against the rule."""

    def __init__(self) -> None:
        """Start without an engine."""
        self.all: dict[str, Engine] = {}
        self.events: list[tuple[float, str]] = []
        self.broken: list[str] = []
        self.lock = threading.RLock()

    def note(self, text: str) -> None:
        """Add an event."""
        self.events.append((time.monotonic(), text))

    def find_head(self, group: dict[str, Any]) -> Engine | None:
        """Return the engine that is the head of a group now."""
        for engine in self.all.values():
            held = engine.group
            if (
                held is not None
                and held['rank'] == 0
                and (held['name'], held['epoch'])
                == (group['name'], group['epoch'])
            ):
                return engine
        return None


class Engine:
    """One box of a service with models.

    Parameters
    ----------
    engines
        All engines of the service.
    store
        Store in which it records itself.
    name
        Its id.
    service
        Its service.
    zone
        Its zone.
    models
        Seconds of a load and of one from the host, by model.
    """

    def __init__(
        self,
        engines: Engines,
        store: Store,
        name: str,
        service: str,
        zone: str,
        models: dict[str, tuple[float, float]],
    ) -> None:
        """Listen at a free port and write the entry."""
        self.name = name
        self.group: dict[str, Any] | None = None
        self.members: list[str] = []
        self.runs: list[tuple[float, str]] = []
        self._engines = engines
        self._store = store
        self._models = models
        self._orders = 0
        self._beats = 0
        self._highest = 0
        self._last_model = ''
        self._staged: list[str] = []
        self._is_closed = threading.Event()
        engines.all[name] = self
        self._server = QuietServer(('127.0.0.1', 0), _make_handler(self))
        threading.Thread(
            target=self._server.serve_forever, daemon=True
        ).start()
        self.address = f'127.0.0.1:{self._server.server_address[1]}'
        self._fixed = {
            'service': service,
            'address': self.address,
            'zone': zone,
            'version': 'v1',
            'slots': 9,
            'state': 'ready',
            'cold_left_ms': 0,
            'stage': 'both',
            'domain': 'd0',
            'born': int(time.time() * 1000),
        }
        self.write_entry()
        threading.Thread(target=self._beat, daemon=True).start()

    def make_entry(self) -> dict[str, Any]:
        """Return the entry as the engine writes it."""
        entry = {
            **self._fixed,
            'seq_no': self._beats,
            'models': self._list_models(),
            'staged': list(self._staged),
        }
        if self.group is not None:
            entry['group'] = dict(self.group)
        return entry

    def write_entry(self) -> None:
        """Write the entry to the store."""
        with self._engines.lock:
            self._beats += 1
            self._store.put('servers', self.name, self.make_entry())

    def close(self) -> None:
        """Stop."""
        self._is_closed.set()
        self._server.shutdown()
        self._server.server_close()

    def report(self) -> dict[str, Any]:
        """Return the state as the report tells it."""
        report = {
            'stage': 'both',
            'models': self._list_models(),
            'busy': False,
            'seq_no': self._orders,
            'queued': 0,
            'running': 0,
            'kv_used': 0,
            'kv_total': 984705,
            'handles': 0,
            'pace': 1.0,
            'born': self._fixed['born'],
            'domain': 'd0',
            'staged': list(self._staged),
        }
        if self.group is not None:
            report['group'] = dict(self.group)
        return report

    def take_order(self, order: dict[str, Any]) -> int:
        """Carry out an order and return the status of the answer."""
        with self._engines.lock:
            status = self._take(order)
            self._engines.note(
                f'{self.name} answers {status} to {order["operation"]} '
                f'{order.get("group") or order.get("model")}'
            )
            return status

    def _take(self, order: dict[str, Any]) -> int:
        expected = order.get('expect_rev')
        if expected is not None and expected != self._orders:
            return 409
        operation = order['operation']
        if operation == 'stage':
            return self._stage(order['model'])
        if operation == 'join':
            return self._join(order)
        group = self.group
        if group is None or (group['name'], group['epoch']) != (
            order['group'],
            order['epoch'],
        ):
            return 409
        return self._change(operation, group)

    def _stage(self, model: str) -> int:
        if model in self._staged:
            return 200
        self._orders += 1
        load, _warm = self._models[model]
        self._later(load, self._set_staged, model)
        return 202

    def _join(self, order: dict[str, Any]) -> int:
        if order['epoch'] < self._highest:
            return 412
        self._highest = order['epoch']
        self._check_two(order)
        self._orders += 1
        model = order['model']
        load, warm = self._models[model]
        if self._last_model == model:
            seconds = REJOIN_SECONDS
        elif model in self._staged:
            seconds = warm
        else:
            seconds = load
        self.members = list(order['members'])
        self.group = {
            'name': order['group'],
            'epoch': order['epoch'],
            'rank': self.members.index(self.name),
            'state': 'joining',
        }
        self.write_entry()
        self._later(seconds, self._set_ready, self.group, model)
        return 202

    def _check_two(self, order: dict[str, Any]) -> None:
        """Note a join of another group while the own one serves."""
        if self.group is None or self.group['name'] == order['group']:
            return
        head = self._engines.find_head(self.group)
        if head is None or head.group is None:
            return
        if head.group['state'] in SERVING:
            text = (
                f'{self.name} takes a join of {order["group"]} while '
                f'{head.name}, the head of its group {self.group["name"]}, '
                f'is {head.group["state"]}'
            )
            self._engines.note(text)
            self._engines.broken.append(text)

    def _change(self, operation: str, group: dict[str, Any]) -> int:
        if operation == 'leave':
            self._orders += 1
            self.group = None
            self.write_entry()
            return 200
        if operation == 'open':
            if group['state'] == 'open':
                return 200
            if group['state'] != 'ready' or group['rank']:
                return 409
            self._orders += 1
            self._later(FORM_SECONDS, self._set_state, group, 'open')
            return 202
        if operation == 'close':
            self._orders += 1
            self._set_state(group, 'ready')
            return 200
        return 400

    def _later(self, seconds: float, work: Any, *details: Any) -> None:
        timer = threading.Timer(seconds, work, details)
        timer.daemon = True
        timer.start()

    def _set_staged(self, model: str) -> None:
        with self._engines.lock:
            self._staged = [model]
            self.write_entry()

    def _set_ready(self, group: dict[str, Any], model: str) -> None:
        with self._engines.lock:
            if self.group is not group:
                return
            self._last_model = model
            self._staged = [model]
            self._set_state(group, 'ready')

    def _set_state(self, group: dict[str, Any], state: str) -> None:
        with self._engines.lock:
            if self.group is group:
                group['state'] = state
                self._engines.note(f'{self.name} is {state} in {group}')
                self.write_entry()

    def _list_models(self) -> list[dict[str, Any]]:
        if self.group is None or self.group['state'] == 'joining':
            return []
        return [{'name': self._last_model, 'version': 1, 'adapters': []}]

    def _beat(self) -> None:
        while not self._is_closed.wait(HEARTBEAT_SECONDS):
            self.write_entry()


def _make_handler(engine: Engine) -> type[BaseHTTPRequestHandler]:
    class Handler(JsonHandler):
        def do_GET(self) -> None:
            if self._is_misdirected():
                return
            if self.path == '/api/report':
                self._send(200, engine.report())
            else:
                self.answer(200, b'', {'X-Replica-Id': engine.name})

        def do_POST(self) -> None:
            body = self.read_body()
            if self._is_misdirected():
                return
            if self.path == '/api/order':
                self._send(engine.take_order(json.loads(body)), {})
            else:
                self._run_request()

        def _send(self, status: int, body: Any) -> None:
            self.answer(
                status,
                json.dumps(body).encode(),
                {'Content-Type': 'application/json'},
            )

        def _is_misdirected(self) -> bool:
            wanted = self.headers.get('X-Expect-Replica', engine.name)
            if wanted != engine.name:
                self.answer(421, b'', {'X-Replica-Id': engine.name})
                return True
            return False

        def _run_request(self) -> None:
            group = engine.group
            if group is None or group['rank'] or group['state'] != 'open':
                self.answer(421, b'', {'X-Replica-Id': engine.name})
                return
            attempt = self.headers['X-Request-Attempt-Id']
            engine.runs.append((time.monotonic(), attempt))
            self.send_response(200)
            self.send_header('X-Request-Attempt-Id', attempt)
            self.send_header('X-Replica-Stamp', f'stamp-of-{engine.name}')
            self.send_header('Content-Type', 'text/event-stream')
            self.send_header('Transfer-Encoding', 'chunked')
            self.end_headers()
            first = int(self.headers.get('Last-Event-Id', 0)) + 1
            last = int(self.headers['X-Token-Count'].split(',')[1]) // 5
            for number in range(first, last + 1):
                time.sleep(0.04)
                event = b'id: %d\ndata: t%d\n\n' % (number, number)
                self.wfile.write(b'%x\r\n%s\r\n' % (len(event), event))
                self.wfile.flush()
            self.wfile.write(b'0\r\n\r\n')
            self.wfile.flush()

    return Handler
