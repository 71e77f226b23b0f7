"""Tests of the framing of peer messages over TCP."""

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
from waywell.connection.peer import FeedRequest, Heartbeat
from waywell.connection.peer_stream import PeerStream, StreamListener, pack

MESSAGES: Any = Union[Heartbeat, FeedRequest]  # noqa: UP007


class RecordingListener(StreamListener):
    """Records the events of a stream."""

    def __init__(self) -> None:
        self.streams: list[PeerStream] = []
        self.messages: list[Any] = []
        self.ends: list[str] = []

    def on_open(self, stream: PeerStream) -> None:
        self.streams.append(stream)

    def on_message(self, message: Any) -> None:
        self.messages.append(message)

    def on_close(self, reason: str) -> None:
        self.ends.append(reason)


class FakeTransport:
    """Transport that records what a stream writes."""

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


def open_stream() -> tuple[FrameStream, RecordingListener, Any]:
    """Return a stream on a fake transport, with its listener."""
    listener, transport = RecordingListener(), FakeTransport()
    stream = FrameStream(msgspec.msgpack.Decoder(MESSAGES), listener)
    stream.connection_made(transport)  # type: ignore[arg-type]
    return stream, listener, transport


def frame(message: Any) -> bytes:
    raw = bytes(pack(message))
    return len(raw).to_bytes(LENGTH_BYTES, 'big') + raw


@given(
    st.lists(st.integers(0, 2**40), max_size=12),
    st.lists(st.integers(1, 60), min_size=1, max_size=40),
)
def test_messages_arrive_complete_and_in_order_however_bytes_are_split(
    numbers: list[int], sizes: list[int]
) -> None:
    messages = [Heartbeat(number, 0, 0, 0.5) for number in numbers]
    unsent = b''.join(frame(message) for message in messages)
    stream, listener, _transport = open_stream()
    while unsent:
        for size in sizes:
            if unsent[:size]:
                stream.data_received(unsent[:size])
            unsent = unsent[size:]
    assert listener.messages == messages


@given(st.binary(min_size=1, max_size=200))
def test_an_undecodable_message_closes_the_stream(raw: bytes) -> None:
    stream, listener, transport = open_stream()
    stream.data_received(len(raw).to_bytes(LENGTH_BYTES, 'big') + raw)
    is_decodable = bool(listener.messages)
    assert transport.is_aborted is not is_decodable
    stream.data_received(frame(Heartbeat(1, 1, 1, 0)))
    assert len(listener.messages) == 2 * is_decodable


def test_an_oversized_message_closes_the_stream() -> None:
    stream, listener, transport = open_stream()
    length = MAX_FRAME_BYTES + 1
    stream.data_received(length.to_bytes(LENGTH_BYTES, 'big'))
    assert transport.is_aborted
    assert not listener.messages


def test_the_stream_of_a_peer_that_stops_reading_is_closed() -> None:
    stream, _listener, transport = open_stream()
    stream.send(pack(Heartbeat(1, 1, 1, 0)))
    assert transport.written == frame(Heartbeat(1, 1, 1, 0))
    transport.waiting = MAX_FRAME_BYTES
    stream.send(pack(Heartbeat(2, 1, 1, 0)))
    assert transport.is_aborted
    stream.send(pack(Heartbeat(3, 1, 1, 0)))
    assert transport.written == frame(Heartbeat(1, 1, 1, 0))


@in_loop
async def test_sockets_carry_messages_in_both_directions() -> None:
    transport, accepted, dialed = (
        FrameTransport(MESSAGES),
        RecordingListener(),
        RecordingListener(),
    )
    port = await transport.listen('127.0.0.1', 0, lambda: accepted)
    stream = transport.dial('127.0.0.1', port, dialed)
    await wait_until(lambda: bool(dialed.streams and accepted.streams))
    large = FeedRequest(1, 2, 3, 4, hall='h' * 300_000)
    for message in (Heartbeat(1, 2, 3, 0.5), large, Heartbeat(2, 2, 3, 0.5)):
        stream.send(pack(message))
        accepted.streams[0].send(pack(message))
    await wait_until(
        lambda: len(accepted.messages) + len(dialed.messages) == 6
    )
    assert accepted.messages == dialed.messages
    assert accepted.messages[1] == large
    stream.close()
    await wait_until(lambda: bool(accepted.ends and dialed.ends))
    assert len(accepted.ends) == len(dialed.ends) == 1
    transport.close()


@in_loop
async def test_a_refused_connection_is_reported_once() -> None:
    transport, accepted, dialed = (
        FrameTransport(MESSAGES),
        RecordingListener(),
        RecordingListener(),
    )
    port = await transport.listen('127.0.0.1', 0, lambda: accepted)
    transport.close()
    await asyncio.sleep(0)
    transport.dial('127.0.0.1', port, dialed)
    await wait_until(lambda: bool(dialed.ends))
    assert not dialed.streams
    assert len(dialed.ends) == 1


@in_loop
async def test_a_stream_closed_while_connecting_is_reported_once() -> None:
    transport, accepted, dialed = (
        FrameTransport(MESSAGES),
        RecordingListener(),
        RecordingListener(),
    )
    port = await transport.listen('127.0.0.1', 0, lambda: accepted)
    transport.dial('127.0.0.1', port, dialed).close()
    await wait_until(lambda: bool(dialed.ends))
    await asyncio.sleep(0.01)
    assert len(dialed.ends) == 1
    transport.close()


@in_loop
async def test_no_stream_is_accepted_without_a_listener() -> None:
    transport, dialed = FrameTransport(MESSAGES), RecordingListener()
    port = await transport.listen('127.0.0.1', 0, lambda: None)
    transport.dial('127.0.0.1', port, dialed)
    await wait_until(lambda: bool(dialed.ends))
    transport.close()


@pytest.mark.parametrize('raw', [b'', b'\x00\x00\x00'])
def test_an_incomplete_length_prefix_waits_for_more_bytes(raw: bytes) -> None:
    stream, listener, transport = open_stream()
    stream.data_received(raw)
    assert not listener.messages
    assert not transport.is_aborted
