"""Streams to neighbours: opened, kept, closed; their messages passed on."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from typing import TYPE_CHECKING, Any

from waywell.connection.peer import Hello
from waywell.connection.peer_stream import (
    PeerStream,
    PeerTraffic,
    StreamListener,
    pack,
)
from waywell.ids import NodeId
from waywell.process.actor import Actor, Message
from waywell.telemetry.events import log_detail

if TYPE_CHECKING:
    from collections.abc import Callable

    from msgspec import Raw

    from waywell.connection.peer_stream import PeerTransport
    from waywell.membership.membership import NodeRecord

HELLO_SECONDS = 2.0
"""Seconds for a new stream's first message."""


class _Link(StreamListener):
    """One stream, in either direction.

    Parameters
    ----------
    owner
        Where what happens is told.
    address
        Where it was dialled; ``None`` for one that the peer opened.
    expected
        The peer, where it is known before it has said so.
    """

    def __init__(
        self,
        owner: PeerLinks,
        address: tuple[str, int] | None = None,
        expected: NodeId | None = None,
    ) -> None:
        self.address = address
        self.expected = expected
        self.peer: NodeId | None = None
        self.heard_at = 0.0
        self.sent = 0
        self.received = 0
        self._owner = owner
        self._stream: PeerStream | None = None

    def send(self, packed: Raw) -> None:
        if self._stream is not None:
            self.sent += 1
            self._stream.send(packed)

    def close(self) -> None:
        if self._stream is not None:
            self._stream.close()

    def keep(self, stream: PeerStream) -> None:
        """Note the stream, which may not stand yet."""
        self._stream = stream

    def on_open(self, stream: PeerStream) -> None:
        self.keep(stream)
        self._owner.greet(self)

    def on_message(self, message: Any) -> None:
        self.heard_at = asyncio.get_running_loop().time()
        if self.peer is None:
            self._meet(message)
            return
        self.received += 1
        self._owner.receive(self.peer, message)

    def on_close(self, reason: str) -> None:
        self._owner.end(self, reason)

    def _meet(self, message: Any) -> None:
        """Take in the first message, which says who the peer is."""
        if isinstance(message, Hello):
            self.peer = message.record.node
            self._owner.add(self, message.record)
        else:
            self.close()


class PeerLinks(Actor):
    """Owns the streams to other entry boxes.

    Parameters
    ----------
    describe
        Returns this node's present record, for the first message.
    transport
        Opens the streams.
    """

    class Opened(Message, frozen=True):
        """A stream stands and the peer has said who it is."""

        record: Any
        """Record of the peer."""

    class Unreachable(Message, frozen=True):
        """A neighbour can't be reached."""

        node: NodeId
        """The neighbour."""

    class Received(Message, frozen=True):
        """A message came."""

        node: NodeId
        """Who sent it."""

        message: Any
        """What it says."""

    def __init__(
        self,
        describe: Callable[[], NodeRecord],
        transport: PeerTransport,
    ) -> None:
        """Start without streams."""
        super().__init__('links')
        self._describe = describe
        self._transport = transport
        self._links: dict[NodeId, set[_Link]] = defaultdict(set)
        self._dialled: dict[tuple[str, int], _Link] = {}
        self._subscribers: dict[type, list[Actor]] = {}
        self._closed_sent = 0
        self._closed_received = 0

    def subscribe(self, actor: Actor, *kinds: type) -> None:
        """Pass messages of some classes on to an actor."""
        for kind in kinds:
            self._subscribers.setdefault(kind, []).append(actor)

    def list_peers(self) -> set[NodeId]:
        """Return the peers with a stream that stands."""
        return set(self._links)

    def has_peer(self, node: NodeId) -> bool:
        """Answer whether a stream to a node stands."""
        return node in self._links

    def list_dialled(self) -> set[NodeId]:
        """Return the peers that this node opened a stream to."""
        return {
            link.peer
            for link in self._dialled.values()
            if link.peer is not None
        }

    def count_open_calls(self) -> int:
        """Return the streams whose peer was dialled and has not answered."""
        return sum(link.peer is None for link in self._dialled.values())

    def send(self, node: NodeId, message: Any) -> None:
        """Send a message on one stream to a peer, if one stands."""
        if node in self._links:
            self._find_best(node).send(pack(message))

    def spread(self, message: Any, skip: NodeId | None = None) -> None:
        """Send a message to every peer once, but for one."""
        self._send_each(message, self.list_peers() - {skip})

    def pass_on(self, message: Any, source: NodeId) -> None:
        """Send a message that came from a peer along the rings.

        Each node dials the next one on each ring, so what everyone passes on
        to those that it dialled reaches all, each a few times.
        """
        self._send_each(message, self.list_dialled() - {source})

    def dial(self, host: str, port: int, node: NodeId | None = None) -> None:
        """Open a stream to an address, unless there is one."""
        address = (host, port)
        if address in self._dialled:
            return
        link = _Link(self, address, node)
        self._dialled[address] = link
        link.keep(self._transport.dial(host, port, link))

    def keep_dialled(self, wanted: set[tuple[str, int]]) -> None:
        """Close the streams to addresses that are not wanted any more."""
        for address, link in tuple(self._dialled.items()):
            if address not in wanted:
                link.close()

    def drop(self, node: NodeId) -> None:
        """Close the streams with a peer."""
        for link in tuple(self._links.get(node, ())):
            link.close()

    def make_listener(self) -> StreamListener:
        """Return the listener of a stream that a peer opens."""
        return _Link(self)

    def greet(self, link: _Link) -> None:
        """Say who this node is; wait for the peer to do so."""
        link.send(pack(Hello(self._describe())))
        loop = asyncio.get_running_loop()
        loop.call_later(HELLO_SECONDS, _close_unknown, link)

    def add(self, link: _Link, record: NodeRecord) -> None:
        """Use a stream whose peer has said who it is."""
        self._links[record.node].add(link)
        self._publish(self.Opened(record))

    def receive(self, node: NodeId, message: Any) -> None:
        """Pass a message on to the tasks that want its class."""
        received = self.Received(node, message)
        for actor in self._subscribers.get(type(message), ()):
            actor.post(received)

    def end(self, link: _Link, why: str) -> None:
        """Forget a stream that is closed."""
        self._closed_sent += link.sent
        self._closed_received += link.received
        if link.peer is not None:
            self._forget(link, link.peer)
        if link.address is None:
            return
        self._dialled.pop(link.address, None)
        host, port = link.address
        log_detail('stream_ended', host=host, port=port, why=why)
        gone = link.peer or link.expected
        if gone is not None:
            self._publish(self.Unreachable(gone))

    async def stop(self) -> None:
        """Close all streams."""
        for link in (*self._dialled.values(), *self._list_links()):
            link.close()
        await super().stop()

    def dump(self) -> dict[str, object]:
        """Return the streams as plain values."""
        sent = sum(link.sent for link in self._list_links())
        received = sum(link.received for link in self._list_links())
        return {
            'peers': sorted(self.list_peers()),
            'dialled': sorted(self.list_dialled()),
            'sent': sent + self._closed_sent,
            'received': received + self._closed_received,
            'sent_bytes': PeerTraffic.sent,
            'received_bytes': PeerTraffic.received,
        }

    def _list_links(self) -> list[_Link]:
        return [link for links in self._links.values() for link in links]

    def _find_best(self, node: NodeId) -> _Link:
        """Return the stream with a peer that was heard last.

        There can be two, one from each side, and of these one that the
        peer has given up without this side noticing.
        """
        return max(self._links[node], key=_get_heard_at)

    def _send_each(self, message: Any, nodes: set[NodeId]) -> None:
        packed = pack(message)
        for node in nodes & self._links.keys():
            self._find_best(node).send(packed)

    def _forget(self, link: _Link, peer: NodeId) -> None:
        links = self._links.get(peer, set())
        links.discard(link)
        if not links:
            self._links.pop(peer, None)

    def _publish(self, message: Message) -> None:
        for actor in self._subscribers.get(type(message), ()):
            actor.post(message)


def _get_heard_at(link: _Link) -> float:
    return link.heard_at


def _close_unknown(link: _Link) -> None:
    """Close a stream whose peer has not said who it is."""
    if link.peer is None:
        link.close()
