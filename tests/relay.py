"""A small relay that forwards connections and spoils them on request."""

from __future__ import annotations

import contextlib
import enum
import socket
import struct
import threading
import time

RESET_ON_CLOSE = struct.pack('ii', 1, 0)
"""Makes a close of a socket a reset."""


FILL_SECONDS = 0.2
"""After which a connection that does not stand met a full queue."""


class Direction(enum.Enum):
    """Direction in which a piece goes."""

    TO_TARGET = 'there'
    """From the side that connected."""

    FROM_TARGET = 'back'
    """To the side that connected."""


class Relay:
    """Listens on a port of its own and forwards to another.

    A cut breaks what stands and refuses what comes, until it is mended; a
    silenced direction holds its bytes without a word.  A reset of one side
    resets the other where resets are passed on, and closes it otherwise.
    """

    def __init__(self, target: int = 0) -> None:
        """Listen; forward to a port, or to a free one that is to be used."""
        # Only a port that is named is kept while nothing listens on it.
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
        """Break all connections and let none stand."""
        self.is_cut = True
        for connection in tuple(self._open):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def reset(self) -> None:
        """Reset all connections; new ones may stand."""
        for connection in tuple(self._open):
            with contextlib.suppress(OSError):
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
                connection.shutdown(socket.SHUT_RD)

    def refuse_new(self) -> None:
        """Refuse new connections; what stands goes on."""
        self._is_listening = False
        self._socket.shutdown(socket.SHUT_RDWR)
        self._accepting.join()

    def stall_new(self) -> None:
        """Let new connections neither stand nor fail; what stands goes on."""
        self.refuse_new()
        # A queue without room drops the packets that open a connection.
        self._socket.listen(0)
        while self._add_unaccepted():
            continue

    def silence(self, *ways: Direction) -> None:
        """Hold what goes in some directions."""
        with self._changed:
            self._silenced |= set(ways)

    def restore(self) -> None:
        """Forward all again, at once."""
        self.is_cut = False
        self.delay = 0.0
        with self._changed:
            self._silenced.clear()
            self._changed.notify_all()
        if not self._is_listening:
            self._listen_again()

    def close(self) -> None:
        """Forward nothing any more."""
        self.cut()
        self.restore()
        self.is_cut = True
        # Closing alone does not wake the thread that accepts.
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()

    def _add_unaccepted(self) -> bool:
        """Fill the queue of connections by one; answer whether it had room."""
        filler = socket.socket()
        self._unaccepted.append(filler)
        filler.settimeout(FILL_SECONDS)
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
            for way, pair in (
                (Direction.TO_TARGET, (near, far)),
                (Direction.FROM_TARGET, (far, near)),
            ):
                threading.Thread(
                    target=self._forward,
                    args=(way, *pair),
                    daemon=True,
                ).start()

    def _forward(
        self,
        way: Direction,
        source: socket.socket,
        sink: socket.socket,
    ) -> None:
        was_reset = False
        try:
            while piece := source.recv(65536):
                self._hold(way)
                sink.sendall(piece)
        except OSError as error:
            was_reset = isinstance(error, ConnectionResetError)
        self._hold(way)
        self._open -= {source, sink}
        if was_reset and self.passes_resets:
            self._pass_reset_on(sink)
        for connection in {source, sink} - self._reset_sides:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def _pass_reset_on(self, sink: socket.socket) -> None:
        """Reset one side because the other was reset."""
        # An orderly close would come before the reset.
        self._reset_sides.add(sink)
        with contextlib.suppress(OSError):
            sink.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
            sink.shutdown(socket.SHUT_RD)
        sink.close()

    def _hold(self, way: Direction) -> None:
        """Wait as long as a direction is silenced, and for the delay."""
        with self._changed:
            self._changed.wait_for(lambda: way not in self._silenced)
        if self.delay:
            time.sleep(self.delay)


def reserve_port() -> int:
    """Return a port that is free now."""
    with socket.create_server(('127.0.0.1', 0)) as probe:
        return int(probe.getsockname()[1])
