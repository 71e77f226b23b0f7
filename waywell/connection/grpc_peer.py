"""gRPC transport for the messages between the product's entry daemons."""

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
"""Path of the bidirectional stream between two neighbours."""

CLAIM_PATH = '/waywell.Peer/Claim'
"""Path of the unary call to the home of a request id."""

MAX_QUEUED_MESSAGES = 2000
"""Number of messages queued for one peer at which its stream is closed."""

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
"""Any message of the exchange stream."""

ExchangeHandler = Callable[[Any], Awaitable[None]]
"""Serves one stream that a peer opened."""

ClaimHandler = Callable[[ClaimRequest], ClaimAnswer]
"""Answers a claim of a request id."""


class MsgpackCodec(CodecBase):
    """Encodes messages with MessagePack and decodes them by their type."""

    __content_subtype__ = 'msgpack'

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the bytes of a message, which may be encoded already."""
        raw = msgspec.msgpack.encode(message)
        PeerTraffic.sent += len(raw)
        return raw

    def decode(self, data: bytes, message_type: Any) -> Any:  # noqa: WPS110
        """Return the decoded message."""
        PeerTraffic.received += len(data)
        return msgspec.msgpack.decode(data, type=message_type)


class PeerService:
    """gRPC service that each entry box offers to the others."""

    def __init__(self, exchange: ExchangeHandler, claim: ClaimHandler) -> None:
        """Store the handlers of streams and claims."""
        self._exchange = exchange
        self._claim = claim

    def __mapping__(self) -> Mapping[str, Handler]:
        """Return the handlers by path, in the form that grpclib requires."""
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
        request = await stream.recv_message()
        await stream.send_message(self._claim(request))


class GrpcStream(PeerStream):
    """A grpclib stream that is served by its own task.

    Parameters
    ----------
    listener
        Receives the events of the stream.
    """

    def __init__(self, listener: StreamListener) -> None:
        """Create the outgoing queue; the stream is not open yet."""
        self.task: asyncio.Task[Any] | None = None
        self._listener = listener
        self._outgoing: asyncio.Queue[msgspec.Raw] = asyncio.Queue()

    def send(self, packed: msgspec.Raw) -> None:
        """Queue a message; close the stream if the queue is full."""
        if self._outgoing.qsize() >= MAX_QUEUED_MESSAGES:
            self.close()
            return
        self._outgoing.put_nowait(packed)

    def close(self) -> None:
        """Cancel the task of the stream."""
        if self.task is not None:
            self.task.cancel()

    async def run(self, stream: Any) -> None:
        """Send and receive messages until the stream ends."""
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
    """Opens and accepts grpclib streams."""

    def dial(
        self,
        host: str,
        port: int,
        listener: StreamListener,
    ) -> PeerStream:
        """Start opening a stream to a peer."""
        stream = GrpcStream(listener)
        stream.task = asyncio.get_running_loop().create_task(
            _run_dialled(stream, host, port)
        )
        # A task that is cancelled before it first runs executes none of its
        # code, so only a callback can report its end.
        stream.task.add_done_callback(partial(_report_end, listener))
        return stream

    async def accept(self, grpc_stream: Any, listener: StreamListener) -> None:
        """Serve a stream that a peer opened."""
        stream = GrpcStream(listener)
        stream.task = asyncio.current_task()
        reason = 'ended'
        try:
            await stream.run(grpc_stream)
        except Exception as error:
            reason = repr(error)
        finally:
            listener.on_close(reason)


def make_server(service: PeerService) -> Server:
    """Return a gRPC server that is not listening yet."""
    return Server([service], codec=MsgpackCodec())


def open_channel(host: str, port: int) -> Channel:
    """Return a channel to a peer, which connects on first use."""
    return Channel(host, port, codec=MsgpackCodec())


async def request_claim(
    channel: Channel, request: ClaimRequest, seconds: float
) -> Any:
    """Return the answer of a request id's home to a claim."""
    method = UnaryUnaryMethod(channel, CLAIM_PATH, ClaimRequest, ClaimAnswer)
    return await method(request, timeout=seconds)


async def _run_dialled(stream: GrpcStream, host: str, port: int) -> None:
    # grpclib annotates the type as a class; the codec accepts any type.
    message_type: Any = EntryMessage
    channel = open_channel(host, port)
    exchange = StreamStreamMethod(
        channel, EXCHANGE_PATH, message_type, message_type
    )
    try:
        async with exchange.open() as opened:
            await opened.send_request()
            await stream.run(opened)
    finally:
        channel.close()


def _report_end(listener: StreamListener, ended: asyncio.Task[None]) -> None:
    error = None if ended.cancelled() else ended.exception()
    listener.on_close(repr(error) if error else 'ended')
