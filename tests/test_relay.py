"""The relay spoils connections as the soak asks it to."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Iterator

import pytest

from tests.broken_bodies import reset
from tests.relay import Direction, Relay
from waywell.standins.harness import wait_until

SHORT = 0.3
"""Seconds without a byte after which a connection is taken as silent."""


@pytest.fixture
def echo() -> Iterator[int]:
    """Listen and send back what comes; give the port."""
    listening = socket.create_server(('127.0.0.1', 0))
    threading.Thread(target=_serve, args=(listening,), daemon=True).start()
    yield listening.getsockname()[1]
    listening.close()


def _serve(listening: socket.socket) -> None:
    while True:
        try:
            line, _ = listening.accept()
        except OSError:
            return
        threading.Thread(target=_send_back, args=(line,), daemon=True).start()


def _send_back(line: socket.socket) -> None:
    with contextlib.suppress(OSError):
        while piece := line.recv(100):
            line.sendall(piece)
    line.close()


@pytest.fixture
def relay(echo: int) -> Iterator[Relay]:
    """Give a relay before the echo."""
    made = Relay(echo)
    yield made
    made.close()


def _connect(relay: Relay) -> socket.socket:
    line = socket.create_connection(('127.0.0.1', relay.port), 20)
    line.sendall(b'a')
    assert line.recv(1) == b'a'
    return line


@pytest.mark.parametrize('way', list(Direction))
def test_a_silenced_direction_holds_its_bytes_until_it_is_mended(
    relay: Relay,
    way: Direction,
) -> None:
    line = _connect(relay)
    relay.silence(way)
    line.sendall(b'b')
    line.settimeout(SHORT)
    with pytest.raises(TimeoutError):
        line.recv(1)
    relay.restore()
    line.settimeout(20)
    assert line.recv(1) == b'b'


def test_a_reset_breaks_connections_and_lets_new_ones_stand(
    relay: Relay,
) -> None:
    line = _connect(relay)
    relay.reset()
    try:
        assert line.recv(1) == b''
    except ConnectionResetError:
        pass
    _connect(relay).close()


def test_a_cut_lets_nothing_stand_until_it_is_mended(relay: Relay) -> None:
    _connect(relay)
    relay.cut()
    with pytest.raises((OSError, AssertionError)):
        _connect(relay)
    relay.restore()
    wait_until(lambda: _connect(relay), 'a connection')


def test_a_reset_of_one_side_resets_the_other() -> None:
    listening = socket.create_server(('127.0.0.1', 0))
    relay = Relay(listening.getsockname()[1])
    relay.passes_resets = True
    near = socket.create_connection(('127.0.0.1', relay.port))
    far, _ = listening.accept()
    far.sendall(b'a part')
    assert near.recv(100) == b'a part'
    reset(far)
    with pytest.raises(ConnectionResetError):
        near.recv(100)
    relay.close()
    listening.close()
