"""Peer messages over plain TCP, each behind its length.

A message of 20 bytes costs 13 us of processor time, both sides together, in
place of 78 to 112 us as an HTTP/2 frame of grpclib (2,000 messages, one at a
time, three runs).  Heartbeats and questions to readers are most of what a
node of a large fleet does, so they go this way.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec

from waywell.connection.peer_stream import (
    PeerStream,
    PeerTraffic,
    PeerTransport,
    StreamListener,
)
from waywell.telemetry.events import log_warning

LENGTH_BYTES = 4
"""Bytes of the length before each message."""

MAX_FRAME_BYTES = 16_777_216
"""Bytes of the longest message that is read: some ten times the list of the
2,400 boxes that the largest fleet has."""

MAX_BUFFERED_BYTES = 4_194_304
"""Bytes that wait for a peer before its stream is given up: more than the
whole list of boxes, a small part of a node's memory."""

CONNECT_TIMEOUT_SECONDS = 2.0
"""For a connection to come up: beyond the longest way and one lost packet."""

ListenerFactory = Callable[[], StreamListener | None]
"""Returns the listener of a stream that a peer opened, or ``None`` while none
is taken."""


class FrameStream(asyncio.Protocol, PeerStream):
    """A stream over one TCP connection.

    Parameters
    ----------
    decoder
        Decodes messages.
    listener
        Takes in what happens.
    """

    def __init__(
        self,
        decoder: msgspec.msgpack.Decoder[Any],
        listener: StreamListener | None,
    ) -> None:
        """Wait for the connection."""
        self._dialling: asyncio.Task[None] | None = None
        self._decoder = decoder
        self._listener = listener
        self._transport: Any = None
        self._rest = b''

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin, unless nobody takes streams yet."""
        self._transport = transport
        if self._listener is None:
            self._transport.abort()
        else:
            self._listener.on_open(self)

    def data_received(self, data: bytes) -> None:  # noqa: WPS110
        """Take in the whole messages among the bytes."""
        received = self._rest + data if self._rest else data
        start = 0
        while len(received) - start >= LENGTH_BYTES:
            begin = start + LENGTH_BYTES
            length = int.from_bytes(received[start:begin], 'big')
            if length > MAX_FRAME_BYTES:
                self._give_up(f'message of {length} bytes')
                return
            if len(received) - begin < length:
                break
            start = begin + length
            self._take(received[begin:start])
        self._rest = received[start:]

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the listener."""
        if self._listener is not None:
            self._listener.on_close(repr(exc) if exc else 'closed')

    def send(self, packed: msgspec.Raw) -> None:
        """Write a message at once."""
        if self._transport is None or self._transport.is_closing():
            return
        if self._transport.get_write_buffer_size() > MAX_BUFFERED_BYTES:
            self._give_up('the peer does not read')
            return
        raw = bytes(packed)
        PeerTraffic.sent += len(raw)
        self._transport.write(len(raw).to_bytes(LENGTH_BYTES, 'big') + raw)

    def close(self) -> None:
        """Break the connection, or give up opening it."""
        if self._transport is not None:
            self._transport.abort()
        elif self._dialling is not None:
            self._dialling.cancel()

    def start_connecting(self, work: Coroutine[Any, Any, None]) -> None:
        """Open the connection; the listener hears of it if that fails."""
        self._dialling = asyncio.get_running_loop().create_task(work)
        # A task that is cancelled before its first turn runs nothing at all.
        self._dialling.add_done_callback(self._note_dialled)

    def _note_dialled(self, dialling: asyncio.Task[None]) -> None:
        error = None if dialling.cancelled() else dialling.exception()
        if self._transport is None and self._listener is not None:
            self._listener.on_close(repr(error) if error else 'given up')

    def _take(self, raw: bytes) -> None:
        if self._listener is None or self._transport.is_closing():
            return
        PeerTraffic.received += len(raw)
        try:
            message = self._decoder.decode(raw)
        except msgspec.MsgspecError as error:
            self._give_up(str(error))
            return
        self._listener.on_message(message)

    def _give_up(self, why: str) -> None:
        peer = self._transport.get_extra_info('peername')
        log_warning('peer_stream_given_up', peer=peer, why=why)
        self._transport.abort()


class FrameTransport(PeerTransport):
    """Opens and accepts streams of one union of message classes.

    Parameters
    ----------
    messages
        The union.
    """

    def __init__(self, messages: Any) -> None:
        """Open nothing yet."""
        self._decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(
            messages
        )
        self._server: asyncio.Server | None = None

    def dial(
        self,
        host: str,
        port: int,
        listener: StreamListener,
    ) -> PeerStream:
        """Begin to connect."""
        stream = FrameStream(self._decoder, listener)
        stream.start_connecting(_connect(stream, host, port))
        return stream

    async def listen(
        self, host: str, port: int, accept: ListenerFactory
    ) -> int:
        """Take streams at a port; return which port it is.

        Raises
        ------
        OSError
            When the port can't be had.
        """
        self._server = await asyncio.get_running_loop().create_server(
            lambda: FrameStream(self._decoder, accept()), host, port
        )
        return int(self._server.sockets[0].getsockname()[1])

    def close(self) -> None:
        """Take no more streams."""
        if self._server is not None:
            self._server.close()


async def _connect(stream: FrameStream, host: str, port: int) -> None:
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
        await loop.create_connection(lambda: stream, host, port)
