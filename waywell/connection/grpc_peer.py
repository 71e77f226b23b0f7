"""Peer messages over grpclib, for the product's own entry daemons."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from functools import partial
from typing import TYPE_CHECKING, Any, Union

import msgspec
from grpclib.client import Channel, StreamStreamMethod, UnaryUnaryMethod
from grpclib.const import Cardinality, Handler
from grpclib.encoding.base import CodecBase
from grpclib.server import Server

from waywell.connection.entry_peer import (
    ClaimAnswer,
    ClaimRequest,
    DocumentRequest,
    DocumentUpdate,
    HealthUpdate,
    LoadUpdate,
)
from waywell.connection.peer import (
    Heartbeat,
    Hello,
    KnownCrashes,
    KnownLimits,
    LimitNotice,
    MembershipRecords,
    PermitAnswer,
    PermitRequest,
    ReachabilityQuery,
    ReachabilityReport,
    ReplicaEnded,
    RequestCleared,
    RequestHeld,
)
from waywell.connection.peer_stream import (
    PeerStream,
    PeerTraffic,
    PeerTransport,
    StreamListener,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

EXCHANGE_PATH = '/waywell.Peer/Exchange'
"""The stream between two neighbours."""

CLAIM_PATH = '/waywell.Peer/Claim'
"""The question to the home of a request id."""

MAX_QUEUED_MESSAGES = 2000
"""Messages waiting for one peer before its stream is given up."""

EntryMessage = Union[  # noqa: UP007 - evaluated by the decoder
    Hello,
    Heartbeat,
    MembershipRecords,
    DocumentUpdate,
    DocumentRequest,
    HealthUpdate,
    LoadUpdate,
    ReplicaEnded,
    RequestHeld,
    RequestCleared,
    KnownCrashes,
    LimitNotice,
    KnownLimits,
    PermitRequest,
    PermitAnswer,
    ReachabilityQuery,
    ReachabilityReport,
]
"""All messages of the exchange stream."""

ExchangeHandler = Callable[[Any], Awaitable[None]]
"""Serves one stream of a peer."""

ClaimHandler = Callable[[ClaimRequest], ClaimAnswer]
"""Answers a question about a request id."""


class MsgpackCodec(CodecBase):
    """Encodes messages as msgpack, typed by their classes."""

    __content_subtype__ = 'msgpack'

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the bytes of a message, which may be packed already."""
        raw = msgspec.msgpack.encode(message)
        PeerTraffic.sent += len(raw)
        return raw

    def decode(self, data: bytes, message_type: Any) -> Any:  # noqa: WPS110
        """Return the message of some bytes."""
        PeerTraffic.received += len(data)
        return msgspec.msgpack.decode(data, type=message_type)


class PeerService:
    """The service that each entry box offers to the others."""

    def __init__(self, exchange: ExchangeHandler, claim: ClaimHandler) -> None:
        """Serve with these handlers."""
        self._exchange = exchange
        self._claim = claim

    def __mapping__(self) -> Mapping[str, Handler]:
        """Return the handlers by path, as grpclib wants them."""
        return {
            EXCHANGE_PATH: Handler(
                self._exchange,
                Cardinality.STREAM_STREAM,
                EntryMessage,
                EntryMessage,
            ),
            CLAIM_PATH: Handler(
                self._answer_claim,
                Cardinality.UNARY_UNARY,
                ClaimRequest,
                ClaimAnswer,
            ),
        }

    async def _answer_claim(self, stream: Any) -> None:
        ask = await stream.recv_message()
        await stream.send_message(self._claim(ask))


class GrpcStream(PeerStream):
    """A stream of grpclib, with a task of its own.

    Parameters
    ----------
    listener
        Takes in what happens.
    """

    def __init__(self, listener: StreamListener) -> None:
        """Wait for the stream to stand."""
        self.task: asyncio.Task[Any] | None = None
        self._listener = listener
        self._outgoing: asyncio.Queue[msgspec.Raw] = asyncio.Queue()

    def send(self, packed: msgspec.Raw) -> None:
        """Put a message into the queue."""
        if self._outgoing.qsize() >= MAX_QUEUED_MESSAGES:
            self.close()
            return
        self._outgoing.put_nowait(packed)

    def close(self) -> None:
        """End the stream's task."""
        if self.task is not None:
            self.task.cancel()

    async def run(self, stream: Any) -> None:
        """Carry messages until the stream ends."""
        self._listener.on_open(self)
        sending = asyncio.get_running_loop().create_task(
            self._send_all(stream)
        )
        try:
            while True:
                message = await stream.recv_message()
                if message is None:
                    return
                self._listener.on_message(message)
        finally:
            sending.cancel()

    async def _send_all(self, stream: Any) -> None:
        with contextlib.suppress(Exception):
            while True:
                await stream.send_message(await self._outgoing.get())
        self.close()


class GrpcTransport(PeerTransport):
    """Opens and accepts streams of grpclib."""

    def dial(
        self,
        host: str,
        port: int,
        listener: StreamListener,
    ) -> PeerStream:
        """Begin to open a stream."""
        stream = GrpcStream(listener)
        stream.task = asyncio.get_running_loop().create_task(
            _run_dialled(stream, host, port)
        )
        # A task that is cancelled before its first turn runs nothing at all.
        stream.task.add_done_callback(partial(_note_end, listener))
        return stream

    async def accept(self, grpc_stream: Any, listener: StreamListener) -> None:
        """Serve a stream that a peer opened."""
        stream = GrpcStream(listener)
        stream.task = asyncio.current_task()
        why = 'ended'
        try:
            await stream.run(grpc_stream)
        except Exception as error:
            why = repr(error)
        finally:
            listener.on_close(why)


def make_server(service: PeerService) -> Server:
    """Return a server that is not listening yet."""
    return Server([service], codec=MsgpackCodec())


def open_channel(host: str, port: int) -> Channel:
    """Return a channel; it connects at its first use."""
    return Channel(host, port, codec=MsgpackCodec())


async def request_claim(
    channel: Channel, ask: ClaimRequest, seconds: float
) -> Any:
    """Return the home's answer to a question about a request id."""
    method = UnaryUnaryMethod(channel, CLAIM_PATH, ClaimRequest, ClaimAnswer)
    return await method(ask, timeout=seconds)


async def _run_dialled(stream: GrpcStream, host: str, port: int) -> None:
    # grpclib wants a class where the codec takes any type.
    wire: Any = EntryMessage
    channel = open_channel(host, port)
    exchange = StreamStreamMethod(channel, EXCHANGE_PATH, wire, wire)
    try:
        async with exchange.open() as opened:
            await opened.send_request()
            await stream.run(opened)
    finally:
        channel.close()


def _note_end(listener: StreamListener, ended: asyncio.Task[None]) -> None:
    error = None if ended.cancelled() else ended.exception()
    listener.on_close(repr(error) if error else 'ended')
