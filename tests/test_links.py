"""Streams: of two with one peer, the one that lives is used."""

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


class HeldStream(PeerStream):
    """Keeps what is sent."""

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
        """Return the messages but for the first, which says who sends."""
        return len(self.sent) - 1


class HeldTransport(PeerTransport):
    """Opens streams that stand at once."""

    def __init__(self) -> None:
        self.dialled: list[HeldStream] = []

    def dial(
        self, host: str, port: int, listener: StreamListener
    ) -> PeerStream:
        stream = HeldStream(listener)
        self.dialled.append(stream)
        return stream


class Bench:
    """Links of one node with streams to others."""

    def __init__(self) -> None:
        self.transport = HeldTransport()
        self.links = PeerLinks(self.describe, self.transport)
        self.actor = Actor('taker')
        self.links.subscribe(
            self.actor, Heartbeat, PeerLinks.Opened, PeerLinks.Unreachable
        )

    def describe(self) -> NodeRecord:
        return make_record('a')

    def open(self, peer: str, *, dialled: bool = False) -> HeldStream:
        """Open a stream to a peer that says who it is."""
        if dialled:
            self.links.dial(peer, 1)
            stream = self.transport.dialled[-1]
        else:
            stream = HeldStream(self.links.make_listener())
        stream.listener.on_open(stream)
        stream.listener.on_message(Hello(make_record(peer)))
        return stream

    def take_words(self) -> list[object]:
        """Return what the subscribed task was told."""
        inbox = self.actor._inbox
        return [inbox.get_nowait() for _ in range(inbox.qsize())]


@in_loop
async def test_what_came_from_a_peer_goes_on_to_dialled_ones_only() -> None:
    bench = Bench()
    dialled = [bench.open(name, dialled=True) for name in 'bc']
    accepted = bench.open('d')
    bench.links.pass_on(BEAT, NodeId('b'))
    assert [stream.count_beats() for stream in dialled] == [0, 1]
    assert accepted.count_beats() == 0


@in_loop
async def test_stream_that_was_heard_last_is_used() -> None:
    bench = Bench()
    dead = [bench.open('b') for _ in range(3)]
    other = bench.open('c')
    await asyncio.sleep(0.001)
    alive = bench.open('b')
    bench.links.send(NodeId('b'), BEAT)
    bench.links.spread(BEAT)
    bench.links.spread(BEAT, skip=NodeId('c'))
    assert alive.count_beats() == 3
    assert other.count_beats() == 1
    assert [stream.count_beats() for stream in dead] == [0, 0, 0]
    bench.links.send(NodeId('nobody'), BEAT)


@in_loop
async def test_each_side_says_who_it_is_and_messages_come_with_a_name() -> (
    None
):
    bench = Bench()
    stream = bench.open('b')
    assert (
        msgspec.msgpack.decode(stream.sent[0], type=Hello).record.node == 'a'
    )
    stream.listener.on_message(BEAT)
    opened, received = bench.take_words()
    assert isinstance(opened, PeerLinks.Opened)
    assert received == PeerLinks.Received(NodeId('b'), BEAT)
    assert bench.links.dump()['received'] == 1


@in_loop
async def test_stream_that_begins_otherwise_is_closed() -> None:
    bench = Bench()
    stream = HeldStream(bench.links.make_listener())
    stream.listener.on_open(stream)
    stream.listener.on_message(BEAT)
    assert stream.is_closed
    assert not bench.take_words()


@in_loop
async def test_stream_whose_peer_says_nothing_is_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr('waywell.membership.links.HELLO_SECONDS', 0)
    bench = Bench()
    stream = HeldStream(bench.links.make_listener())
    stream.listener.on_open(stream)
    await wait_until(lambda: stream.is_closed)
    assert not bench.take_words()


@in_loop
async def test_end_of_a_dialled_stream_makes_its_peer_unreachable() -> None:
    bench = Bench()
    stream = bench.open('b', dialled=True)
    bench.take_words()
    bench.links.keep_dialled(set())
    assert stream.is_closed
    assert bench.links.list_peers() == set()
    assert bench.take_words() == [PeerLinks.Unreachable(NodeId('b'))]


@in_loop
async def test_address_that_does_not_answer_makes_its_peer_unreachable() -> (
    None
):
    bench = Bench()
    bench.links.dial('10.0.0.9', 1, NodeId('z'))
    bench.transport.dialled[-1].listener.on_close('refused')
    assert bench.take_words() == [PeerLinks.Unreachable(NodeId('z'))]
    bench.links.dial('10.0.0.9', 1, NodeId('z'))
    assert len(bench.transport.dialled) == 2


@in_loop
async def test_lost_peer_has_its_streams_closed() -> None:
    bench = Bench()
    streams = [bench.open('b'), bench.open('b')]
    bench.links.drop(NodeId('b'))
    assert [stream.is_closed for stream in streams] == [True, True]
    assert bench.links.list_peers() == set()
