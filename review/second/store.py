"""Stand-in of the platform's metadata store.

It answers over HTTP/1.1 as the protocol page says: objects by kind and name,
one revision for the whole store, conditional writes, lists and watches.  A
store may listen at several ports; each port may show the servers' addresses
through a map, so that every machine has links of its own to the servers.  It
may be away for a while and come back from an older copy, in a new era.
"""

from __future__ import annotations

import json
import threading
import time
from dataclasses import dataclass
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit


class QuietServer(ThreadingHTTPServer):
    """HTTP server that ignores connections that break."""

    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, *_details: object) -> None:
        """Ignore the error: callers may close connections at any time."""


class JsonHandler(BaseHTTPRequestHandler):
    """Base of the handlers of all stand-ins."""

    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, *_details: object) -> None:
        """Log nothing."""

    def read_body(self) -> bytes:
        """Return the body of the request."""
        return self.rfile.read(int(self.headers.get('content-length', 0)))

    def answer(
        self,
        status: int,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
    ) -> None:
        """Send a whole answer."""
        self.send_response(status)
        for name, text in (headers or {}).items():
            self.send_header(name, text)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()


@dataclass(frozen=True)
class Copy:
    """Copy of a store's content."""

    taken_at: float
    """When it was taken, in seconds."""

    objects: dict[tuple[str, str], dict[str, Any]]
    """Objects by kind and name."""

    events: list[tuple[int, str, dict[str, Any], bool]]
    """Changes so far: revision, kind, object and whether it was removed."""

    revision: int
    """Revision of the store."""


class Store:
    """The platform's store, in memory."""

    def __init__(self) -> None:
        """Start empty and without a port."""
        self.era = 1
        self.is_away = False
        self.read_at: dict[str, float] = {}
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._revision = 1
        self._changed = threading.Condition()
        self._servers: list[QuietServer] = []

    def listen(self, addresses: dict[str, str] | None = None) -> str:
        """Listen at a free port and return its address.

        Parameters
        ----------
        addresses
            Addresses of servers to replace in what this port shows.
        """
        server = QuietServer(
            ('127.0.0.1', 0), _make_handler(self, addresses or {})
        )
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self._servers.append(server)
        return f'127.0.0.1:{server.server_address[1]}'

    def close(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.shutdown()
            server.server_close()

    def copy(self) -> Copy:
        """Return a copy of the content."""
        with self._changed:
            return Copy(
                time.monotonic(),
                dict(self._objects),
                list(self._events),
                self._revision,
            )

    def restore(self, copy: Copy) -> None:
        """Come back from a copy: a new era, in which later writes lack."""
        with self._changed:
            self._objects = dict(copy.objects)
            self._events = list(copy.events)
            self._revision = copy.revision
            self.era += 1
            self.is_away = False
            self._changed.notify_all()

    def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Write an object, as the operator and the servers do."""
        with self._changed:
            self._revision += 1
            known = self._objects.get((kind, name))
            created = self._revision
            if known is not None:
                created = known['metadata']['created']
            found = {
                'metadata': {
                    'name': name,
                    'revision': self._revision,
                    'created': created,
                    'finalizers': [],
                    'deleting': False,
                },
                'spec': spec,
                'status': None,
            }
            self._objects[kind, name] = found
            self._events.append((self._revision, kind, found, False))
            self._changed.notify_all()
            return found

    def remove(self, kind: str, name: str) -> bool:
        """Remove an object; return whether there was one."""
        with self._changed:
            found = self._objects.pop((kind, name), None)
            if found is None:
                return False
            self._revision += 1
            self._events.append((self._revision, kind, found, True))
            self._changed.notify_all()
            return True

    def find(self, kind: str, name: str) -> dict[str, Any] | None:
        """Return an object, or ``None``."""
        with self._changed:
            return self._objects.get((kind, name))

    def list_kind(self, kind: str, after: str) -> dict[str, Any]:
        """Return the objects of a kind whose names follow one."""
        with self._changed:
            items = [
                found
                for (stored_kind, name), found in sorted(self._objects.items())
                if stored_kind == kind and name > after
            ]
            return {
                'items': items,
                'has_more': False,
                'current_rev': self._revision,
            }

    def watch(
        self, kind: str, after: int, seconds: float
    ) -> tuple[int, dict[str, Any]]:
        """Return the changes after a revision, as soon as there is one.

        The status is 410 if the store does not have that revision.
        """
        ends_at = time.monotonic() + seconds
        with self._changed:
            era = self.era
            while True:
                if after > self._revision or self.era != era:
                    return 410, {}
                events = [
                    {'removed': removed, 'object': found}
                    for revision, stored_kind, found, removed in self._events
                    if revision > after and stored_kind == kind
                ]
                left = ends_at - time.monotonic()
                if events or left <= 0:
                    found = {'events': events, 'current_rev': self._revision}
                    return 200, found
                self._changed.wait(left)

    def write(
        self, kind: str, body: dict[str, Any], creates: bool
    ) -> tuple[int, Any]:
        """Create or replace an object if its condition holds."""
        meta = body['metadata']
        with self._changed:
            found = self._objects.get((kind, meta['name']))
            if creates and found is not None:
                return 409, found
            if not creates and found is None:
                return 404, {}
            wanted = meta.get('revision')
            if found is not None and wanted is not None:
                if wanted != found['metadata']['revision']:
                    return 409, found
            if found is not None and found['spec'] == body['spec']:
                return 200, found
            return 200, self.put(kind, meta['name'], body['spec'])


def _make_handler(
    store: Store, addresses: dict[str, str]
) -> type[JsonHandler]:
    def show(found: Any) -> Any:
        """Return an object with the addresses of this port."""
        if not isinstance(found, dict) or not addresses:
            return found
        for part in ('items', 'events'):
            if part in found:
                return {**found, part: [show(item) for item in found[part]]}
        if 'object' in found:
            return {**found, 'object': show(found['object'])}
        spec = found.get('spec')
        if isinstance(spec, dict) and spec.get('address') in addresses:
            own = {**spec, 'address': addresses[spec['address']]}
            return {**found, 'spec': own}
        return found

    class Handler(JsonHandler):
        def parse_request(self) -> bool:
            """Refuse calls while the store is away."""
            is_parsed = super().parse_request()
            if is_parsed and store.is_away:
                self.read_body()
                self.answer(503)
                return False
            return is_parsed

        def _send(self, status: int, body: Any) -> None:
            self.answer(
                status,
                json.dumps(show(body)).encode(),
                {
                    'Content-Type': 'application/json',
                    'Store-Era': str(store.era),
                },
            )

        def _split(self) -> tuple[str, str, dict[str, str]]:
            parts = urlsplit(self.path)
            words = parts.path.strip('/').split('/')
            query = {
                key: texts[-1] for key, texts in parse_qs(parts.query).items()
            }
            name = unquote(words[3]) if len(words) > 3 else ''
            return words[2], name, query

        def do_GET(self) -> None:
            kind, name, query = self._split()
            if kind == 'config':
                host, port = self.connection.getsockname()
                store.read_at[f'{host}:{port}'] = time.monotonic()
            if name:
                found = store.find(kind, name)
                self._send(200 if found else 404, found or {})
            elif 'watch' in query:
                seconds = int(query.get('wait_ms', '0')) / 1000
                self._send(*store.watch(kind, int(query['watch']), seconds))
            else:
                after = query.get('since_rev', '')
                self._send(200, store.list_kind(kind, after))

        def do_POST(self) -> None:
            kind, _name, _query = self._split()
            body = json.loads(self.read_body())
            self._send(*store.write(kind, body, creates=True))

        def do_PUT(self) -> None:
            kind, _name, _query = self._split()
            body = json.loads(self.read_body())
            self._send(*store.write(kind, body, creates=False))

        def do_DELETE(self) -> None:
            kind, name, _query = self._split()
            self._send(200 if store.remove(kind, name) else 404, {})

    return Handler
