"""A TCP relay that disturbs connections on request."""

from __future__ import annotations

import contextlib
import enum
import socket
import struct
import threading
import time

RESET_ON_CLOSE = struct.pack('ii', 1, 0)
"""Value of ``SO_LINGER`` with which closing a socket resets its connection."""


CONNECT_SECONDS = 0.2
"""Seconds after which an unaccepted connection shows that the accept queue is
full."""


class Direction(enum.Enum):
    """Direction in which bytes flow."""

    TO_TARGET = 'there'
    """From the side that connected to the relay."""

    FROM_TARGET = 'back'
    """Back to the side that connected to the relay."""


class Relay:
    """Listens on its own port and forwards connections to another one.

    A cut breaks open connections and refuses new ones until the relay is
    restored.  A silenced direction holds its bytes and stays open.  A reset of
    one side resets the other side if ``passes_resets`` is set, and closes it
    otherwise.
    """

    def __init__(self, target: int = 0) -> None:
        """Listen, and forward to a port or, without one, to a reserved port."""
        # Only an explicitly given port stays bound while nothing listens on it.
        self.port = reserve_port()
        self._socket = socket.create_server(('127.0.0.1', self.port))
        self.target = target or reserve_port()
        self.is_cut = False
        self.delay = 0.0
        self.passes_resets = False
        self._silenced: set[Direction] = set()
        self._changed = threading.Condition()
        self._open: set[socket.socket] = set()
        self._reset_sides: set[socket.socket] = set()
        self._is_listening = True
        self._unaccepted: list[socket.socket] = []
        self._accepting = self._start_accepting()

    def cut(self) -> None:
        """Break all connections and refuse new ones."""
        self.is_cut = True
        for connection in tuple(self._open):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def reset(self) -> None:
        """Reset all connections; new ones are accepted."""
        for connection in tuple(self._open):
            with contextlib.suppress(OSError):
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
                connection.shutdown(socket.SHUT_RD)

    def refuse_new(self) -> None:
        """Refuse new connections; open ones continue."""
        self._is_listening = False
        self._socket.shutdown(socket.SHUT_RDWR)
        self._accepting.join()

    def stall_new(self) -> None:
        """Let new connections time out; open ones continue."""
        self.refuse_new()
        # With a full accept queue the kernel drops the SYN packets of new
        # connections.
        self._socket.listen(0)
        while self._fill_accept_queue():
            continue

    def silence(self, *directions: Direction) -> None:
        """Hold the bytes of some directions."""
        with self._changed:
            self._silenced |= set(directions)

    def restore(self) -> None:
        """Forward all bytes and accept connections again."""
        self.is_cut = False
        self.delay = 0.0
        with self._changed:
            self._silenced.clear()
            self._changed.notify_all()
        if not self._is_listening:
            self._listen_again()

    def close(self) -> None:
        """Close all connections and stop listening."""
        self.cut()
        self.restore()
        self.is_cut = True
        # Closing alone does not wake the thread blocked in accept().
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()

    def _fill_accept_queue(self) -> bool:
        """Add a connection to the accept queue; return whether it had room."""
        filler = socket.socket()
        self._unaccepted.append(filler)
        filler.settimeout(CONNECT_SECONDS)
        try:
            filler.connect(('127.0.0.1', self.port))
        except TimeoutError:
            return False
        return True

    def _listen_again(self) -> None:
        if self._unaccepted:
            self._socket.shutdown(socket.SHUT_RDWR)
        for filler in self._unaccepted:
            filler.close()
        self._unaccepted.clear()
        self._is_listening = True
        self._socket.listen()
        self._accepting = self._start_accepting()

    def _start_accepting(self) -> threading.Thread:
        thread = threading.Thread(target=self._accept, daemon=True)
        thread.start()
        return thread

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self._socket.accept()
            except OSError:
                return
            try:
                server = socket.create_connection(('127.0.0.1', self.target))
            except OSError:
                client.close()
                continue
            if self.is_cut:
                client.close()
                server.close()
                continue
            self._open |= {client, server}
            for direction, sockets in (
                (Direction.TO_TARGET, (client, server)),
                (Direction.FROM_TARGET, (server, client)),
            ):
                threading.Thread(
                    target=self._forward,
                    args=(direction, *sockets),
                    daemon=True,
                ).start()

    def _forward(
        self,
        direction: Direction,
        source: socket.socket,
        sink: socket.socket,
    ) -> None:
        was_reset = False
        try:
            while chunk := source.recv(65536):
                self._hold(direction)
                sink.sendall(chunk)
        except OSError as error:
            was_reset = isinstance(error, ConnectionResetError)
        self._hold(direction)
        self._open -= {source, sink}
        if was_reset and self.passes_resets:
            self._forward_reset(sink)
        for connection in {source, sink} - self._reset_sides:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def _forward_reset(self, sink: socket.socket) -> None:
        """Reset one side after the other side was reset."""
        # Excluded from the shutdown in ``_forward``: an orderly close would be
        # sent before the reset.
        self._reset_sides.add(sink)
        with contextlib.suppress(OSError):
            sink.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
            sink.shutdown(socket.SHUT_RD)
        sink.close()

    def _hold(self, direction: Direction) -> None:
        """Wait while a direction is silenced, then for the delay."""
        with self._changed:
            self._changed.wait_for(lambda: direction not in self._silenced)
        if self.delay:
            time.sleep(self.delay)


def reserve_port() -> int:
    """Return a port that is free at present."""
    with socket.create_server(('127.0.0.1', 0)) as probe:
        return int(probe.getsockname()[1])
