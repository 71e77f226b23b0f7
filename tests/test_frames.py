"""Peer messages over TCP: whole, in order, and nothing made of broken bytes."""

from __future__ import annotations

import asyncio
from typing import Any, Union

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.loops import in_loop, wait_until
from waywell.connection.frames import (
    LENGTH_BYTES,
    MAX_FRAME_BYTES,
    FrameStream,
    FrameTransport,
)
from waywell.connection.peer import Beat, FeedAsk
from waywell.connection.peer_stream import PeerStream, StreamListener, pack

WIRE: Any = Union[Beat, FeedAsk]  # noqa: UP007


class Taker(StreamListener):
    """Keeps what it hears."""

    def __init__(self) -> None:
        self.streams: list[PeerStream] = []
        self.messages: list[Any] = []
        self.ends: list[str] = []

    def on_open(self, stream: PeerStream) -> None:
        self.streams.append(stream)

    def on_message(self, message: Any) -> None:
        self.messages.append(message)

    def on_close(self, why: str) -> None:
        self.ends.append(why)


class Wire:
    """Stands in for the connection of one stream."""

    def __init__(self) -> None:
        self.written = b''
        self.waiting = 0
        self.is_aborted = False

    def write(self, raw: bytes) -> None:
        self.written += raw

    def get_write_buffer_size(self) -> int:
        return self.waiting

    def is_closing(self) -> bool:
        return self.is_aborted

    def get_extra_info(self, _name: str) -> str:
        return 'peer'

    def abort(self) -> None:
        self.is_aborted = True


def open_held() -> tuple[FrameStream, Taker, Any]:
    """Return a stream on a connection that is no socket."""
    taker, wire = Taker(), Wire()
    stream = FrameStream(msgspec.msgpack.Decoder(WIRE), taker)
    stream.connection_made(wire)  # type: ignore[arg-type]
    return stream, taker, wire


def frame(message: Any) -> bytes:
    raw = bytes(pack(message))
    return len(raw).to_bytes(LENGTH_BYTES, 'big') + raw


@given(
    st.lists(st.integers(0, 2**40), max_size=12),
    st.lists(st.integers(1, 60), min_size=1, max_size=40),
)
def test_messages_come_whole_and_in_order_however_they_are_cut(
    numbers: list[int], cuts: list[int]
) -> None:
    messages = [Beat(number, 0, 0, 0.5) for number in numbers]
    rest = b''.join(frame(message) for message in messages)
    stream, taker, _wire = open_held()
    while rest:
        for cut in cuts:
            if rest[:cut]:
                stream.data_received(rest[:cut])
            rest = rest[cut:]
    assert taker.messages == messages


@given(st.binary(min_size=1, max_size=200))
def test_bytes_that_are_no_message_end_the_stream(raw: bytes) -> None:
    stream, taker, wire = open_held()
    stream.data_received(len(raw).to_bytes(LENGTH_BYTES, 'big') + raw)
    good = bool(taker.messages)
    assert wire.is_aborted is not good
    stream.data_received(frame(Beat(1, 1, 1, 0)))
    assert len(taker.messages) == 2 * good


def test_message_that_is_too_long_ends_the_stream() -> None:
    stream, taker, wire = open_held()
    length = MAX_FRAME_BYTES + 1
    stream.data_received(length.to_bytes(LENGTH_BYTES, 'big'))
    assert wire.is_aborted
    assert not taker.messages


def test_peer_that_does_not_read_loses_its_stream() -> None:
    stream, _taker, wire = open_held()
    stream.send(pack(Beat(1, 1, 1, 0)))
    assert wire.written == frame(Beat(1, 1, 1, 0))
    wire.waiting = MAX_FRAME_BYTES
    stream.send(pack(Beat(2, 1, 1, 0)))
    assert wire.is_aborted
    stream.send(pack(Beat(3, 1, 1, 0)))
    assert wire.written == frame(Beat(1, 1, 1, 0))


@in_loop
async def test_messages_go_both_ways_over_sockets() -> None:
    transport, taken, dialled = FrameTransport(WIRE), Taker(), Taker()
    port = await transport.listen('127.0.0.1', 0, lambda: taken)
    stream = transport.dial('127.0.0.1', port, dialled)
    await wait_until(lambda: bool(dialled.streams and taken.streams))
    large = FeedAsk(1, 2, 3, 4, hall='h' * 300_000)
    for message in (Beat(1, 2, 3, 0.5), large, Beat(2, 2, 3, 0.5)):
        stream.send(pack(message))
        taken.streams[0].send(pack(message))
    await wait_until(lambda: len(taken.messages) + len(dialled.messages) == 6)
    assert taken.messages == dialled.messages
    assert taken.messages[1] == large
    stream.close()
    await wait_until(lambda: bool(taken.ends and dialled.ends))
    assert len(taken.ends) == len(dialled.ends) == 1
    transport.close()


@in_loop
async def test_dialled_address_that_refuses_is_told_once() -> None:
    transport, taken, dialled = FrameTransport(WIRE), Taker(), Taker()
    port = await transport.listen('127.0.0.1', 0, lambda: taken)
    transport.close()
    await asyncio.sleep(0)
    transport.dial('127.0.0.1', port, dialled)
    await wait_until(lambda: bool(dialled.ends))
    assert not dialled.streams
    assert len(dialled.ends) == 1


@in_loop
async def test_stream_given_up_while_it_opens_is_told_once() -> None:
    transport, taken, dialled = FrameTransport(WIRE), Taker(), Taker()
    port = await transport.listen('127.0.0.1', 0, lambda: taken)
    transport.dial('127.0.0.1', port, dialled).close()
    await wait_until(lambda: bool(dialled.ends))
    await asyncio.sleep(0.01)
    assert len(dialled.ends) == 1
    transport.close()


@in_loop
async def test_no_stream_is_taken_before_the_node_has_started() -> None:
    transport, dialled = FrameTransport(WIRE), Taker()
    port = await transport.listen('127.0.0.1', 0, lambda: None)
    transport.dial('127.0.0.1', port, dialled)
    await wait_until(lambda: bool(dialled.ends))
    transport.close()


@pytest.mark.parametrize('raw', [b'', b'\x00\x00\x00'])
def test_part_of_a_length_waits_for_the_rest(raw: bytes) -> None:
    stream, taker, wire = open_held()
    stream.data_received(raw)
    assert not taker.messages
    assert not wire.is_aborted
