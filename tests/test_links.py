"""Streams between entry boxes, and the choice between several to one peer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import msgspec
import pytest

from tests.loops import in_loop, wait_until
from tests.test_membership import make_record
from waywell.connection.peer import Heartbeat, Hello
from waywell.connection.peer_stream import (
    PeerStream,
    PeerTransport,
    StreamListener,
)
from waywell.ids import NodeId
from waywell.membership.links import PeerLinks
from waywell.process.actor import Actor

if TYPE_CHECKING:
    from waywell.membership.membership import NodeRecord

BEAT = Heartbeat(1, 1, 1, 0)


class RecordingStream(PeerStream):
    """Stream that records what is sent."""

    def __init__(self, listener: StreamListener) -> None:
        self.listener = listener
        self.sent: list[Any] = []
        self.is_closed = False

    def send(self, packed: msgspec.Raw) -> None:
        self.sent.append(bytes(packed))

    def close(self) -> None:
        if not self.is_closed:
            self.is_closed = True
            self.listener.on_close('closed here')

    def count_beats(self) -> int:
        """Return the number of messages sent after the ``Hello``."""
        return len(self.sent) - 1


class RecordingTransport(PeerTransport):
    """Transport whose streams are established at once."""

    def __init__(self) -> None:
        self.dialled: list[RecordingStream] = []

    def dial(
        self, host: str, port: int, listener: StreamListener
    ) -> PeerStream:
        stream = RecordingStream(listener)
        self.dialled.append(stream)
        return stream


class Bench:
    """Links of one node, with streams to other nodes."""

    def __init__(self) -> None:
        self.transport = RecordingTransport()
        self.links = PeerLinks(self.describe, self.transport)
        self.actor = Actor('subscriber')
        self.links.subscribe(
            self.actor, Heartbeat, PeerLinks.Opened, PeerLinks.Unreachable
        )

    def describe(self) -> NodeRecord:
        return make_record('a')

    def open(self, peer: str, *, dialled: bool = False) -> RecordingStream:
        """Open a stream to a peer that identifies itself."""
        if dialled:
            self.links.dial(peer, 1)
            stream = self.transport.dialled[-1]
        else:
            stream = RecordingStream(self.links.make_listener())
        stream.listener.on_open(stream)
        stream.listener.on_message(Hello(make_record(peer)))
        return stream

    def take_messages(self) -> list[object]:
        """Return and clear the messages posted to the subscribed actor."""
        inbox = self.actor._inbox
        return [inbox.get_nowait() for _ in range(inbox.qsize())]


@in_loop
async def test_forwarded_message_goes_to_dialled_peers_except_its_source() -> (
    None
):
    bench = Bench()
    dialled = [bench.open(name, dialled=True) for name in 'bc']
    accepted = bench.open('d')
    bench.links.forward(BEAT, NodeId('b'))
    assert [stream.count_beats() for stream in dialled] == [0, 1]
    assert accepted.count_beats() == 0


@in_loop
async def test_stream_that_received_a_message_last_is_used() -> None:
    bench = Bench()
    dead = [bench.open('b') for _ in range(3)]
    other = bench.open('c')
    await asyncio.sleep(0.001)
    alive = bench.open('b')
    bench.links.send(NodeId('b'), BEAT)
    bench.links.broadcast(BEAT)
    bench.links.broadcast(BEAT, skip=NodeId('c'))
    assert alive.count_beats() == 3
    assert other.count_beats() == 1
    assert [stream.count_beats() for stream in dead] == [0, 0, 0]
    bench.links.send(NodeId('nobody'), BEAT)


@in_loop
async def test_each_side_sends_hello_and_messages_carry_their_sender() -> None:
    bench = Bench()
    stream = bench.open('b')
    assert (
        msgspec.msgpack.decode(stream.sent[0], type=Hello).record.node == 'a'
    )
    stream.listener.on_message(BEAT)
    opened, received = bench.take_messages()
    assert isinstance(opened, PeerLinks.Opened)
    assert received == PeerLinks.Received(NodeId('b'), BEAT)
    assert bench.links.dump()['received'] == 1


@in_loop
async def test_stream_that_does_not_start_with_hello_is_closed() -> None:
    bench = Bench()
    stream = RecordingStream(bench.links.make_listener())
    stream.listener.on_open(stream)
    stream.listener.on_message(BEAT)
    assert stream.is_closed
    assert not bench.take_messages()


@in_loop
async def test_stream_whose_peer_sends_no_hello_is_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr('waywell.membership.links.HELLO_TIMEOUT_SECONDS', 0)
    bench = Bench()
    stream = RecordingStream(bench.links.make_listener())
    stream.listener.on_open(stream)
    await wait_until(lambda: stream.is_closed)
    assert not bench.take_messages()


@in_loop
async def test_end_of_a_dialled_stream_reports_its_peer_as_unreachable() -> (
    None
):
    bench = Bench()
    stream = bench.open('b', dialled=True)
    bench.take_messages()
    bench.links.close_dialled_except(set())
    assert stream.is_closed
    assert bench.links.list_peers() == set()
    assert bench.take_messages() == [PeerLinks.Unreachable(NodeId('b'))]


@in_loop
async def test_failed_dial_reports_its_peer_as_unreachable() -> None:
    bench = Bench()
    bench.links.dial('10.0.0.9', 1, NodeId('z'))
    bench.transport.dialled[-1].listener.on_close('refused')
    assert bench.take_messages() == [PeerLinks.Unreachable(NodeId('z'))]
    bench.links.dial('10.0.0.9', 1, NodeId('z'))
    assert len(bench.transport.dialled) == 2


@in_loop
async def test_disconnect_closes_all_streams_to_a_peer() -> None:
    bench = Bench()
    streams = [bench.open('b'), bench.open('b')]
    bench.links.disconnect(NodeId('b'))
    assert [stream.is_closed for stream in streams] == [True, True]
    assert bench.links.list_peers() == set()
