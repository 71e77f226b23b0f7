"""Stand-in of a plain replica, which records what it runs."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING, Any

from review.second.store import JsonHandler, QuietServer

if TYPE_CHECKING:
    from collections.abc import Callable

    from review.second.store import Store

HEARTBEAT_SECONDS = 1.2
"""Seconds between two writes of a replica's entry."""


class Replica:
    """A replica of a service without models.

    Parameters
    ----------
    store
        Store in which it records itself.
    name
        Its id.
    service
        Its service.
    zone
        Its zone.
    serve
        Handles a request, given the handler and the replica; by default it
        answers at once.
    """

    def __init__(
        self,
        store: Store,
        name: str,
        service: str,
        zone: str,
        serve: Callable[[JsonHandler, Replica, bytes], None] | None = None,
    ) -> None:
        """Listen at a free port and write the entry."""
        self.name = name
        self.is_leaving = False
        self.runs: list[tuple[float, str, dict[str, str]]] = []
        self.lock = threading.Lock()
        self._serve = serve or answer_at_once
        self._server = QuietServer(('127.0.0.1', 0), _make_handler(self))
        threading.Thread(
            target=self._server.serve_forever, daemon=True
        ).start()
        self.address = f'127.0.0.1:{self._server.server_address[1]}'
        self._store = store
        self._beats = 0
        self._stops_writing = threading.Event()
        self.entry: dict[str, Any] = {
            'service': service,
            'address': self.address,
            'zone': zone,
            'version': 'v1',
            'slots': 9,
            'state': 'ready',
            'cold_left_ms': 0,
            'born': int(time.time() * 1000),
        }
        self._write_entry()
        threading.Thread(target=self._beat, daemon=True).start()

    def begin_run(self, headers: Any) -> str:
        """Record that work on a request begins; return the attempt's id."""
        attempt = headers.get('X-Request-Attempt-Id', '')
        with self.lock:
            self.runs.append((time.monotonic(), attempt, dict(headers)))
        return attempt

    def make_headers(self, attempt: str) -> dict[str, str]:
        """Return the headers of an answer."""
        headers = {
            'X-Request-Attempt-Id': attempt,
            'X-Replica-Stamp': f'stamp-of-{self.name}',
            'Content-Type': 'application/json',
        }
        if self.is_leaving:
            headers['Server-Leaving'] = '1'
        return headers

    def leave_unannounced(self) -> float:
        """Leave without a report; return when its entry disappeared."""
        self.is_leaving = True
        self._stops_writing.set()
        self._store.remove('servers', self.name)
        return time.monotonic()

    def close(self) -> None:
        """Stop; the entry stays, as after a crash."""
        self._stops_writing.set()
        self._server.shutdown()
        self._server.server_close()

    def handle(self, handler: JsonHandler) -> None:
        """Serve one request."""
        body = handler.read_body()
        wanted = handler.headers.get('X-Expect-Replica', self.name)
        if wanted != self.name:
            handler.answer(421, b'', {'X-Replica-Id': self.name})
            return
        if handler.path == '/health':
            status = 503 if self.is_leaving else 200
            headers = {'X-Replica-Id': self.name}
            if self.is_leaving:
                headers['Server-Leaving'] = '1'
            handler.answer(status, b'', headers)
            return
        self._serve(handler, self, body)

    def _write_entry(self) -> None:
        self._beats += 1
        self._store.put(
            'servers', self.name, {**self.entry, 'seq_no': self._beats}
        )

    def _beat(self) -> None:
        while not self._stops_writing.wait(HEARTBEAT_SECONDS):
            self._write_entry()


def answer_at_once(
    handler: JsonHandler, replica: Replica, _body: bytes
) -> None:
    """Run a request and answer it."""
    attempt = replica.begin_run(handler.headers)
    handler.answer(200, b'{"done": true}', replica.make_headers(attempt))


def _make_handler(replica: Replica) -> type[JsonHandler]:
    class Handler(JsonHandler):
        def do_GET(self) -> None:
            replica.handle(self)

        def do_POST(self) -> None:
            replica.handle(self)

    return Handler
