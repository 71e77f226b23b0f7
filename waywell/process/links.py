"""Streams to neighbours: opened, kept, closed; their messages passed on."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any

from waywell.connection.peer import (
    Hello,
    PeerTraffic,
    Wire,
    open_channel,
    open_exchange,
)
from waywell.ids import NodeId
from waywell.process.actor import Actor, Message
from waywell.process.events import log_detail

if TYPE_CHECKING:
    from collections.abc import Callable

    from waywell.process.membership import NodeRecord

MOST_QUEUED = 2000
"""Messages waiting for one peer before its stream is given up."""

HELLO_SECONDS = 2.0
"""Seconds for a new stream's first message."""


class _Link:
    """One stream, in either direction."""

    def __init__(self, dialled: bool) -> None:
        self.dialled = dialled
        self.peer: NodeId | None = None
        self.address = ('', 0)
        self.outgoing: asyncio.Queue[Wire] = asyncio.Queue()
        self.task: asyncio.Task[None] | None = None
        self.sent = 0
        self.received = 0
        self.heard_at = 0.0

    def close(self) -> None:
        if self.task is not None:
            self.task.cancel()


class PeerLinks(Actor):
    """Owns the streams to other entry boxes.

    Parameters
    ----------
    describe
        Returns this node's present record, for the first message.
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

    def __init__(self, describe: Callable[[], NodeRecord]) -> None:
        """Start without streams."""
        super().__init__('links')
        self._describe = describe
        self._links: set[_Link] = set()
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
        return {link.peer for link in self._links if link.peer is not None}

    def list_dialled(self) -> set[NodeId]:
        """Return the peers that this node opened a stream to."""
        return {
            link.peer
            for link in self._links
            if link.dialled and link.peer is not None
        }

    def send(self, node: NodeId, message: Wire) -> None:
        """Send a message on one stream to a peer, if one stands."""
        link = self._find_best().get(node)
        if link is not None:
            self._put(link, message)

    def spread(self, message: Wire, skip: NodeId | None = None) -> None:
        """Send a message to every peer once, but for one."""
        for peer, link in self._find_best().items():
            if peer != skip:
                self._put(link, message)

    def pass_on(self, message: Wire, source: NodeId) -> None:
        """Send a message that came from a peer along the rings.

        Each node dials the next one on each ring, so what everyone passes on
        to those that it dialled reaches all, each a few times.
        """
        dialled = self.list_dialled() - {source}
        for peer, link in self._find_best().items():
            if peer in dialled:
                self._put(link, message)

    def dial(self, host: str, port: int, node: NodeId | None = None) -> None:
        """Open a stream to an address, unless there is one."""
        address = (host, port)
        if address in self._dialled:
            return
        link = _Link(dialled=True)
        link.address = address
        self._dialled[address] = link
        link.task = self.spawn(self._run_dialled(link, node))

    def keep_dialled(self, wanted: set[tuple[str, int]]) -> None:
        """Close the streams to addresses that are not wanted any more."""
        for address, link in tuple(self._dialled.items()):
            if address not in wanted:
                link.close()

    def drop(self, node: NodeId) -> None:
        """Close the streams with a lost peer."""
        for link in tuple(self._links):
            if link.peer == node:
                link.close()

    async def accept(self, stream: Any) -> None:
        """Serve a stream that a peer opened."""
        link = _Link(dialled=False)
        link.task = asyncio.current_task()
        await self._run_link(link, stream)

    def dump(self) -> dict[str, object]:
        """Return the streams as plain values."""
        sent = sum(link.sent for link in self._links)
        received = sum(link.received for link in self._links)
        return {
            'peers': sorted(self.list_peers()),
            'dialled': sorted(self.list_dialled()),
            'sent': sent + self._closed_sent,
            'received': received + self._closed_received,
            'sent_bytes': PeerTraffic.sent,
            'received_bytes': PeerTraffic.received,
        }

    def _find_best(self) -> dict[NodeId, _Link]:
        """Return for each peer the stream that was heard last.

        There can be two, one from each side, and of these one that the
        peer has given up without this side noticing.
        """
        best: dict[NodeId, _Link] = {}
        for link in sorted(self._links, key=_get_heard_at):
            if link.peer is not None:
                best[link.peer] = link
        return best

    def _put(self, link: _Link, message: Wire) -> None:
        if link.outgoing.qsize() >= MOST_QUEUED:
            link.close()
            return
        link.outgoing.put_nowait(message)

    async def _run_dialled(self, link: _Link, node: NodeId | None) -> None:
        host, port = link.address
        channel = open_channel(host, port)
        try:
            async with open_exchange(channel) as stream:
                await self._run_link(link, stream)
        except Exception as error:
            log_detail(
                'stream_failed', host=host, port=port, error=repr(error)
            )
        finally:
            channel.close()
            self._dialled.pop(link.address, None)
        gone = link.peer or node
        if gone is not None:
            self._publish(self.Unreachable(gone))

    async def _run_link(self, link: _Link, stream: Any) -> None:
        await stream.send_message(Hello(self._describe()))
        hello = await asyncio.wait_for(stream.recv_message(), HELLO_SECONDS)
        if not isinstance(hello, Hello):
            return
        link.peer = hello.record.node
        link.heard_at = asyncio.get_running_loop().time()
        self._links.add(link)
        sending = self.spawn(_send_all(link, stream))
        try:
            self._publish(self.Opened(hello.record))
            await self._receive_all(link, stream)
        finally:
            sending.cancel()
            self._forget(link)

    def _forget(self, link: _Link) -> None:
        self._links.discard(link)
        self._closed_sent += link.sent
        self._closed_received += link.received

    async def _receive_all(self, link: _Link, stream: Any) -> None:
        while True:
            message = await stream.recv_message()
            if message is None or link.peer is None:
                return
            link.received += 1
            link.heard_at = asyncio.get_running_loop().time()
            received = self.Received(link.peer, message)
            for actor in self._subscribers.get(type(message), ()):
                actor.post(received)

    def _publish(self, message: Message) -> None:
        for actor in self._subscribers.get(type(message), ()):
            actor.post(message)


def _get_heard_at(link: _Link) -> float:
    return link.heard_at


async def _send_all(link: _Link, stream: Any) -> None:
    with contextlib.suppress(Exception):
        while True:
            message = await link.outgoing.get()
            await stream.send_message(message)
            link.sent += 1
    link.close()
