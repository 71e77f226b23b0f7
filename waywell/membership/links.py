"""Streams to other entry boxes, and dispatch of their messages."""

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

HELLO_TIMEOUT_SECONDS = 2.0
"""Seconds within which the first message of a new stream must arrive."""


class _Link(StreamListener):
    """One stream, opened by either side.

    Parameters
    ----------
    owner
        Actor that is notified of events on the stream.
    address
        Address that was dialled; ``None`` if the peer opened the stream.
    expected
        Name of the peer, if it is known before the peer's ``Hello``.
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
        self.received_at = 0.0
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

    def attach(self, stream: PeerStream) -> None:
        """Set the stream, which may not be established yet."""
        self._stream = stream

    def on_open(self, stream: PeerStream) -> None:
        self.attach(stream)
        self._owner.send_hello(self)

    def on_message(self, message: Any) -> None:
        self.received_at = asyncio.get_running_loop().time()
        if self.peer is None:
            self._handle_hello(message)
            return
        self.received += 1
        self._owner.dispatch(self.peer, message)

    def on_close(self, reason: str) -> None:
        self._owner.remove_link(self, reason)

    def _handle_hello(self, message: Any) -> None:
        """Process the first message, which identifies the peer."""
        if isinstance(message, Hello):
            self.peer = message.record.node
            self._owner.add_link(self, message.record)
        else:
            self.close()


class PeerLinks(Actor):
    """Owns the streams to other entry boxes.

    Parameters
    ----------
    describe
        Returns this node's current record, which the first message carries.
    transport
        Opens the streams.
    """

    class Opened(Message, frozen=True):
        """A stream is established and its peer is identified."""

        record: Any
        """Record that the peer sent of itself."""

    class Unreachable(Message, frozen=True):
        """A dialled stream to a peer has ended or could not be opened."""

        node: NodeId
        """Name of the peer."""

    class Received(Message, frozen=True):
        """A message was received from a peer."""

        node: NodeId
        """Name of the sender."""

        message: Any
        """Decoded message."""

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
        """Dispatch messages of the given classes to an actor."""
        for kind in kinds:
            self._subscribers.setdefault(kind, []).append(actor)

    def list_peers(self) -> set[NodeId]:
        """Return the peers with an established stream."""
        return set(self._links)

    def has_peer(self, node: NodeId) -> bool:
        """Return whether a stream to a node is established."""
        return node in self._links

    def list_dialled(self) -> set[NodeId]:
        """Return the identified peers of the streams this node dialled."""
        return {
            link.peer
            for link in self._dialled.values()
            if link.peer is not None
        }

    def count_pending_dials(self) -> int:
        """Return the number of dialled streams without a ``Hello`` yet."""
        return sum(link.peer is None for link in self._dialled.values())

    def send(self, node: NodeId, message: Any) -> None:
        """Send a message on one stream to a peer, if one is established."""
        if node in self._links:
            self._find_latest(node).send(pack(message))

    def broadcast(self, message: Any, skip: NodeId | None = None) -> None:
        """Send a message once to every peer except ``skip``."""
        self._send_to(message, self.list_peers() - {skip})

    def forward(self, message: Any, source: NodeId) -> None:
        """Forward a peer's message along the rings, except to ``source``.

        Each node dials its successor on each ring, so a message that every
        node forwards to the peers it dialled reaches all nodes, each a few
        times.
        """
        self._send_to(message, self.list_dialled() - {source})

    def dial(self, host: str, port: int, node: NodeId | None = None) -> None:
        """Open a stream to an address unless one has been dialled."""
        address = (host, port)
        if address in self._dialled:
            return
        link = _Link(self, address, node)
        self._dialled[address] = link
        link.attach(self._transport.dial(host, port, link))

    def close_dialled_except(self, wanted: set[tuple[str, int]]) -> None:
        """Close the dialled streams to all addresses not in ``wanted``."""
        for address, link in tuple(self._dialled.items()):
            if address not in wanted:
                link.close()

    def disconnect(self, node: NodeId) -> None:
        """Close all streams to a peer."""
        for link in tuple(self._links.get(node, ())):
            link.close()

    def make_listener(self) -> StreamListener:
        """Return a listener for a stream that a peer opens."""
        return _Link(self)

    def send_hello(self, link: _Link) -> None:
        """Send this node's record and start the timeout for the peer's."""
        link.send(pack(Hello(self._describe())))
        loop = asyncio.get_running_loop()
        loop.call_later(HELLO_TIMEOUT_SECONDS, _close_unknown, link)

    def add_link(self, link: _Link, record: NodeRecord) -> None:
        """Register a stream whose peer is identified."""
        self._links[record.node].add(link)
        self._publish(self.Opened(record))

    def dispatch(self, node: NodeId, message: Any) -> None:
        """Post a message to the actors subscribed to its class."""
        received = self.Received(node, message)
        for actor in self._subscribers.get(type(message), ()):
            actor.post(received)

    def remove_link(self, link: _Link, why: str) -> None:
        """Remove a closed stream."""
        self._closed_sent += link.sent
        self._closed_received += link.received
        if link.peer is not None:
            self._unregister(link, link.peer)
        if link.address is None:
            return
        self._dialled.pop(link.address, None)
        host, port = link.address
        log_detail('stream_ended', host=host, port=port, why=why)
        peer = link.peer or link.expected
        if peer is not None:
            self._publish(self.Unreachable(peer))

    async def stop(self) -> None:
        """Close all streams."""
        for link in (*self._dialled.values(), *self._list_links()):
            link.close()
        await super().stop()

    def dump(self) -> dict[str, object]:
        """Return the peers and traffic counts as plain values."""
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

    def _find_latest(self, node: NodeId) -> _Link:
        """Return the peer's stream that received a message most recently.

        There can be two streams, one opened by each side, and the peer may
        have abandoned one of them without this side noticing.
        """
        return max(self._links[node], key=_get_received_at)

    def _send_to(self, message: Any, nodes: set[NodeId]) -> None:
        packed = pack(message)
        for node in nodes & self._links.keys():
            self._find_latest(node).send(packed)

    def _unregister(self, link: _Link, peer: NodeId) -> None:
        links = self._links.get(peer, set())
        links.discard(link)
        if not links:
            self._links.pop(peer, None)

    def _publish(self, message: Message) -> None:
        for actor in self._subscribers.get(type(message), ()):
            actor.post(message)


def _get_received_at(link: _Link) -> float:
    return link.received_at


def _close_unknown(link: _Link) -> None:
    """Close a stream whose peer has not identified itself."""
    if link.peer is None:
        link.close()
