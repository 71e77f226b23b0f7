"""The relay of the soak test disturbs connections as requested."""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Iterator

import pytest

from tests.broken_bodies import reset_connection
from tests.relay import Direction, Relay
from waywell.standins.harness import wait_until

SILENCE_SECONDS = 0.3
"""Seconds without a byte after which a connection counts as silent."""


@pytest.fixture
def echo() -> Iterator[int]:
    """Run an echo server and return its port."""
    listener = socket.create_server(('127.0.0.1', 0))
    threading.Thread(target=_accept_all, args=(listener,), daemon=True).start()
    yield listener.getsockname()[1]
    listener.close()


def _accept_all(listener: socket.socket) -> None:
    while True:
        try:
            connection, _ = listener.accept()
        except OSError:
            return
        threading.Thread(target=_echo, args=(connection,), daemon=True).start()


def _echo(connection: socket.socket) -> None:
    with contextlib.suppress(OSError):
        while chunk := connection.recv(100):
            connection.sendall(chunk)
    connection.close()


@pytest.fixture
def relay(echo: int) -> Iterator[Relay]:
    """Return a relay in front of the echo server."""
    echo_relay = Relay(echo)
    yield echo_relay
    echo_relay.close()


def _connect(relay: Relay) -> socket.socket:
    connection = socket.create_connection(('127.0.0.1', relay.port), 20)
    connection.sendall(b'a')
    assert connection.recv(1) == b'a'
    return connection


@pytest.mark.parametrize('direction', list(Direction))
def test_a_silenced_direction_holds_its_bytes_until_it_is_restored(
    relay: Relay,
    direction: Direction,
) -> None:
    connection = _connect(relay)
    relay.silence(direction)
    connection.sendall(b'b')
    connection.settimeout(SILENCE_SECONDS)
    with pytest.raises(TimeoutError):
        connection.recv(1)
    relay.restore()
    connection.settimeout(20)
    assert connection.recv(1) == b'b'


def test_a_reset_breaks_connections_but_accepts_new_ones(
    relay: Relay,
) -> None:
    connection = _connect(relay)
    relay.reset()
    try:
        assert connection.recv(1) == b''
    except ConnectionResetError:
        pass
    _connect(relay).close()


def test_a_cut_allows_no_connection_until_it_is_restored(relay: Relay) -> None:
    _connect(relay)
    relay.cut()
    with pytest.raises((OSError, AssertionError)):
        _connect(relay)
    relay.restore()
    wait_until(lambda: _connect(relay), 'a connection')


def test_a_reset_of_one_side_resets_the_other() -> None:
    listener = socket.create_server(('127.0.0.1', 0))
    relay = Relay(listener.getsockname()[1])
    relay.passes_resets = True
    client = socket.create_connection(('127.0.0.1', relay.port))
    server, _ = listener.accept()
    server.sendall(b'a part')
    assert client.recv(100) == b'a part'
    reset_connection(server)
    with pytest.raises(ConnectionResetError):
        client.recv(100)
    relay.close()
    listener.close()
