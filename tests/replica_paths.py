"""Relays on the links of one daemon to all replicas, which tests can cut."""

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

    from tests.front_harness import FrontHarness

CALL_SECONDS = 60
"""Timeout in seconds of a store call, longer than the store delays a watch."""


class _Listener(ThreadingHTTPServer):
    def handle_error(self, *_details: object) -> None:
        """Ignore errors, as daemons may close connections at any time."""


class Cut(enum.Enum):
    """Effect of a cut on connections."""

    RESET = 'reset'
    """Existing connections are reset, new ones are refused."""

    HANG = 'hang'
    """Existing connections fall silent, new ones are never established."""

    KEPT = 'kept'
    """Existing connections stay usable, new ones are refused."""


class ReplicaRelays:
    """Relays between one daemon and each replica.

    Parameters
    ----------
    ports
        Ports that the replicas listen on.
    """

    def __init__(self, ports: Iterable[int]) -> None:
        """Start a relay in front of each replica."""
        self._relays = {port: Relay(port) for port in ports}
        self._how: Cut | None = None

    @property
    def ports(self) -> dict[int, int]:
        """Return the relays' ports by the replicas' ports."""
        return {port: relay.port for port, relay in self._relays.items()}

    def pass_resets(self) -> None:
        """Forward a connection reset from one side to the other."""
        for relay in self._relays.values():
            relay.passes_resets = True

    def add(self, port: int) -> None:
        """Start a relay for another replica, cut if the others are cut."""
        relay = Relay(port)
        relay.passes_resets = any(
            known.passes_resets for known in self._relays.values()
        )
        self._relays[port] = relay
        if self._how is not None:
            _cut(relay, self._how)

    def cut(self, how: Cut) -> None:
        """Cut the daemon's links to all replicas."""
        self._how = how
        threads = [
            Thread(target=_cut, args=(relay, how))
            for relay in self._relays.values()
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def restore(self) -> None:
        """Restore the links."""
        self._how = None
        for relay in tuple(self._relays.values()):
            relay.restore()

    def close(self) -> None:
        """Stop forwarding."""
        for relay in self._relays.values():
            relay.close()


class ReplicaPaths(ReplicaRelays):
    """Relays between one front daemon and each server.

    The daemon calls the store through a proxy that replaces the servers' ports
    by those of the relays.

    Parameters
    ----------
    front
        Store and servers; all servers must have been started.
    """

    def __init__(self, front: FrontHarness) -> None:
        """Start the proxy and a relay in front of each server."""
        addresses = [
            server.entry['address'] for server in front.servers.values()
        ]
        super().__init__(
            int(address.rpartition(':')[2]) for address in addresses
        )
        self._store = front.store.address
        self._relay_addresses = {
            address: f'127.0.0.1:{port}'
            for address, port in zip(
                addresses, self.ports.values(), strict=True
            )
        }
        self._proxy = _Listener(('127.0.0.1', 0), _make_handler(self))
        self._proxy.daemon_threads = True
        Thread(target=self._proxy.serve_forever, daemon=True).start()

    @property
    def store(self) -> str:
        """Return the address of the store's proxy."""
        return f'127.0.0.1:{self._proxy.server_address[1]}'

    def close(self) -> None:
        """Stop forwarding."""
        super().close()
        self._proxy.shutdown()
        self._proxy.server_close()

    def call_store(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
    ) -> tuple[int, dict[str, str], bytes]:
        """Call the store; return the status, headers and body of its answer."""
        connection = http.client.HTTPConnection(
            self._store, timeout=CALL_SECONDS
        )
        connection.request(method, path, body, headers)
        answer = connection.getresponse()
        raw = answer.read()
        connection.close()
        return answer.status, dict(answer.getheaders()), raw

    def replace_addresses(self, raw: bytes) -> bytes:
        """Return an answer of the store with the addresses of the relays."""
        found = json.loads(raw)
        if isinstance(found, dict):
            listed = [event['object'] for event in found.get('events', ())]
            for stored in (*listed, *found.get('items', ()), found):
                self._replace_address(stored)
        return json.dumps(found).encode()

    def _replace_address(self, found: dict[str, Any]) -> None:
        spec = found.get('spec')
        if not isinstance(spec, dict):
            return
        address = spec.get('address', '')
        if address in self._relay_addresses:
            found['spec'] = {**spec, 'address': self._relay_addresses[address]}


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

        def log_message(self, *_details: object) -> None:
            """Log nothing."""

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
                # The store was stopped at the end of the test.
                self.close_connection = True
                return
            rewritten = paths.replace_addresses(raw)
            self.send_response(status)
            self.send_header('Store-Era', headers.get('Store-Era', '1'))
            self.send_header('content-type', 'application/json')
            self.send_header('content-length', str(len(rewritten)))
            self.end_headers()
            self.wfile.write(rewritten)

    return Handler
