"""Box on a socket that answers requests by a script, for entry daemons."""

from __future__ import annotations

import contextlib
import socket
import threading

from tests.broken_bodies import BodyScript, Ending, Framing, reset_connection
from tests.raw_heads import RawAnswer

PROBE_ANSWER = BodyScript(
    Framing.LENGTH,
    Ending.ANNOUNCED,
    b'{"box": "scripted"}',
    'application/json',
)
"""Answer of a healthy box to a probe."""


class ScriptedBox:
    """Box that answers requests by a script, and probes as a healthy one.

    Attributes
    ----------
    script
        Answer to each request.
    requests
        Number of requests that have arrived.
    port
        Port that the box listens on.
    """

    def __init__(self) -> None:
        """Start listening; requests get a plain answer."""
        self.script: BodyScript | RawAnswer = RawAnswer()
        self.requests = 0
        self._socket = socket.create_server(('127.0.0.1', 0))
        self.port = self._socket.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stop listening."""
        self._socket.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        # The daemon may abort a connection at any time.
        with contextlib.suppress(ConnectionError):
            request = _read_head(connection)
            if request:
                self._answer(connection, request)
        connection.close()

    def _answer(self, connection: socket.socket, request: bytes) -> None:
        script: BodyScript | RawAnswer = PROBE_ANSWER
        if b'/waywell/health' not in request:
            self.requests += 1
            script = self.script
        connection.sendall(script.encode_response())
        if isinstance(script, BodyScript) and script.ending is Ending.RESET:
            reset_connection(connection)


def _read_head(connection: socket.socket) -> bytes:
    """Return the head of a request; empty if it is incomplete."""
    request = b''
    while b'\r\n\r\n' not in request:
        received = connection.recv(65536)
        if not received:
            return b''
        request += received
    return request
