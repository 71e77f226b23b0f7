"""The links of one daemon to all replicas, which can be cut."""

from __future__ import annotations

import enum
import http.client
import json
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from threading import Thread
from typing import TYPE_CHECKING, Any

from tests.relay import Direction, Relay

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tests.front_bench import Front

CALL_SECONDS = 60
"""Longer than any watch of the store waits."""


class _Listener(ThreadingHTTPServer):
    def handle_error(self, *_words: object) -> None:
        """Write nothing: daemons hang up as they like."""


class Cut(enum.Enum):
    """What becomes of connections at a cut."""

    RESET = 'reset'
    """Those that stand are reset, new ones are refused."""

    HANG = 'hang'
    """Those that stand fall silent, new ones come up never."""

    KEPT = 'kept'
    """Those that stand live on, new ones are refused."""


class ReplicaRelays:
    """Relays between one daemon and each replica.

    Parameters
    ----------
    ports
        Ports of the replicas.
    """

    def __init__(self, ports: Iterable[int]) -> None:
        """Put a relay before each replica."""
        self._relays = {port: Relay(port) for port in ports}
        self._how: Cut | None = None

    @property
    def ports(self) -> dict[int, int]:
        """Return the relays' ports by those of the replicas."""
        return {port: relay.port for port, relay in self._relays.items()}

    def pass_resets(self) -> None:
        """Let a reset of one side reset the other."""
        for relay in self._relays.values():
            relay.passes_resets = True

    def add(self, port: int) -> None:
        """Put a relay before another replica; cut where the others are."""
        relay = Relay(port)
        relay.passes_resets = any(
            one.passes_resets for one in self._relays.values()
        )
        self._relays[port] = relay
        if self._how is not None:
            _cut(relay, self._how)

    def cut(self, how: Cut) -> None:
        """Take the daemon's links to all replicas away."""
        self._how = how
        cutters = [
            Thread(target=_cut, args=(relay, how))
            for relay in self._relays.values()
        ]
        for cutter in cutters:
            cutter.start()
        for cutter in cutters:
            cutter.join()

    def mend(self) -> None:
        """Give the links back."""
        self._how = None
        for relay in tuple(self._relays.values()):
            relay.restore()

    def close(self) -> None:
        """Forward nothing any more."""
        for relay in self._relays.values():
            relay.close()


class ReplicaPaths(ReplicaRelays):
    """Relays between one front daemon and each server.

    The daemon calls the store through a view that shows the relays' ports in
    place of the servers' own.

    Parameters
    ----------
    front
        The store and the servers; all servers must be there.
    """

    def __init__(self, front: Front) -> None:
        """Put a relay before each server."""
        addresses = [
            server.entry['address'] for server in front.servers.values()
        ]
        super().__init__(int(one.rpartition(':')[2]) for one in addresses)
        self._store = front.store.address
        self._shown = {
            address: f'127.0.0.1:{port}'
            for address, port in zip(
                addresses, self.ports.values(), strict=True
            )
        }
        self._view = _Listener(('127.0.0.1', 0), _make_handler(self))
        self._view.daemon_threads = True
        Thread(target=self._view.serve_forever, daemon=True).start()

    @property
    def store(self) -> str:
        """Return the address of the store's view."""
        return f'127.0.0.1:{self._view.server_address[1]}'

    def close(self) -> None:
        """Forward nothing any more."""
        super().close()
        self._view.shutdown()
        self._view.server_close()

    def call_store(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
    ) -> tuple[int, dict[str, str], bytes]:
        """Call the store; return status, headers and body of its answer."""
        line = http.client.HTTPConnection(self._store, timeout=CALL_SECONDS)
        line.request(method, path, body, headers)
        answer = line.getresponse()
        raw = answer.read()
        line.close()
        return answer.status, dict(answer.getheaders()), raw

    def show(self, raw: bytes) -> bytes:
        """Return an answer of the store with the relays' addresses."""
        found = json.loads(raw)
        if isinstance(found, dict):
            listed = [one['object'] for one in found.get('events', ())]
            for one in (*listed, *found.get('items', ()), found):
                self._show_object(one)
        return json.dumps(found).encode()

    def _show_object(self, found: dict[str, Any]) -> None:
        spec = found.get('spec')
        if not isinstance(spec, dict):
            return
        address = spec.get('address', '')
        if address in self._shown:
            found['spec'] = {**spec, 'address': self._shown[address]}


def _cut(relay: Relay, how: Cut) -> None:
    if how is Cut.HANG:
        relay.silence(*Direction)
        relay.stall_new()
        return
    relay.refuse_new()
    if how is Cut.RESET:
        relay.reset()


def _make_handler(paths: ReplicaPaths) -> type[BaseHTTPRequestHandler]:
    class Handler(BaseHTTPRequestHandler):
        protocol_version = 'HTTP/1.1'

        def log_message(self, *_words: object) -> None:
            """Write nothing."""

        def do_GET(self) -> None:
            self._forward()

        def do_PUT(self) -> None:
            self._forward()

        def do_POST(self) -> None:
            self._forward()

        def do_DELETE(self) -> None:
            self._forward()

        def _forward(self) -> None:
            body = self.rfile.read(int(self.headers.get('content-length', 0)))
            sent = {'content-type': 'application/json'}
            try:
                status, headers, raw = paths.call_store(
                    self.command, self.path, body, sent
                )
            except OSError:
                # The store has ended with its test.
                self.close_connection = True
                return
            shown = paths.show(raw)
            self.send_response(status)
            self.send_header('Store-Era', headers.get('Store-Era', '1'))
            self.send_header('content-type', 'application/json')
            self.send_header('content-length', str(len(shown)))
            self.end_headers()
            self.wfile.write(shown)

    return Handler
