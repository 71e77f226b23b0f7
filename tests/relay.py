"""A small relay that forwards connections and can be cut."""

from __future__ import annotations

import contextlib
import socket
import threading


class Relay:
    """Listens on a port of its own and forwards to another.

    A cut breaks what stands and refuses what comes, until it is mended.
    """

    def __init__(self) -> None:
        self._socket = socket.create_server(('127.0.0.1', 0))
        self.port = self._socket.getsockname()[1]
        self.target = reserve_port()
        self.is_cut = False
        self._open: set[socket.socket] = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self) -> None:
        self.is_cut = True
        for connection in tuple(self._open):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def mend(self) -> None:
        self.is_cut = False

    def close(self) -> None:
        self.cut()
        self._socket.close()

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._socket.accept()
            except OSError:
                return
            try:
                far = socket.create_connection(('127.0.0.1', self.target))
            except OSError:
                near.close()
                continue
            if self.is_cut:
                near.close()
                far.close()
                continue
            self._open |= {near, far}
            for pair in ((near, far), (far, near)):
                threading.Thread(
                    target=self._forward,
                    args=pair,
                    daemon=True,
                ).start()

    def _forward(self, source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while piece := source.recv(65536):
                sink.sendall(piece)
        for connection in (source, sink):
            self._open.discard(connection)
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)


def reserve_port() -> int:
    """Return a port that is free now."""
    with socket.create_server(('127.0.0.1', 0)) as probe:
        return int(probe.getsockname()[1])
