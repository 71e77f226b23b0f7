"""What entry boxes say to each other, over grpclib with msgpack.

The message classes are the schema; no code is generated.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Union

import msgspec
from grpclib.client import Channel, StreamStreamMethod, UnaryUnaryMethod
from grpclib.const import Cardinality, Handler
from grpclib.encoding.base import CodecBase
from grpclib.server import Server

from waywell.ids import BoxId, Epoch, GroupId, NodeId, RequestId
from waywell.process.health import Evidence
from waywell.process.membership import NodeRecord
from waywell.request.claim import ClaimState
from waywell.version.document import Change, Document, DocumentKind
from waywell.version.fleet import FleetBox
from waywell.version.routes import RouteTable

EXCHANGE_PATH = '/waywell.Peer/Exchange'
"""The stream between two neighbours."""

CLAIM_PATH = '/waywell.Peer/Claim'
"""The question to the home of a request id."""


class Hello(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """First message of a stream, from both sides."""

    record: NodeRecord
    """The sender."""


class Beat(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Liveness, with what the receiver may have missed."""

    configuration: int
    """Version of the configuration in force."""

    roster: int
    """Version of the roster in force."""

    digest: int
    """Digest of the sender's membership view."""

    platform_age: float
    """Seconds since a node is known to have reached the platform."""


class Records(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Membership records that changed, or all of them."""

    records: tuple[NodeRecord, ...]
    """Records."""

    whole: bool = False
    """Whether these are all, so that the receiver answers with its own."""


class DocumentNews(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """A document's new version, as a change or whole."""

    kind: DocumentKind
    """Which document."""

    change: Change | None = None
    """What changed, for holders of its base."""

    document: Document | None = None
    """The whole version."""


class DocumentWanted(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """A request for a document's version in force."""

    kind: DocumentKind
    """Which document."""

    have: int
    """Version that the sender has."""


class HealthNews(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Words of probers about groups."""

    words: tuple[Evidence, ...]
    """Words that are news."""


class LoadNews(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Requests in flight at groups, as their probers saw them."""

    loads: tuple[tuple[GroupId, int, int], ...]
    """Group, sequence of the word, requests in flight."""


class ReplicaDoubt(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """A replica from which nothing comes any more although it has work."""

    doubt: str
    """Id of the doubt, so that it is passed on once."""

    group: GroupId
    """Group of the replica; empty for a plain service."""

    box: BoxId
    """Box that takes its requests."""

    epoch: Epoch
    """Epoch of its group."""


class BoxLoad(msgspec.Struct, frozen=True, array_like=True):
    """Requests in flight at a replica."""

    box: BoxId
    """Box that takes its requests."""

    requests: int
    """Requests of the nodes that are counted."""


class FeedAsk(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """What do you know of routes and boxes, and how old is it?"""

    ask: int
    """Number of the question at the asker."""

    version: int
    """Version of the routes that the asker has."""

    run: int
    """Incarnation whose box list the asker holds; 0 for none."""

    serial: int
    """Number of that list at the answerer."""

    wants_routes: bool = False
    """Whether the asker can't read a newer version of the routes itself."""

    hall: str = ''
    """Data hall of the asker."""

    loads: tuple[BoxLoad, ...] = ()
    """Requests in flight of the asker, or of its hall where it is the reader
    of one and asks that of another."""

    wants_boxes: bool = True
    """Whether the asker needs box list and loads; a reader that reaches the
    platform has its own, and whole lists were half of all bytes between
    halls."""

    def wants_newer(self, version: int) -> bool:
        """Answer whether the asker needs the routes of a version."""
        return self.wants_routes and version > self.version


class FeedAnswer(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """What a node knows, and how old it is."""

    ask: int
    """Number of the question."""

    version: int
    """Version of the routes in force."""

    routes_age: float
    """Seconds since that version was known to be the newest."""

    run: int
    """Incarnation of the answerer."""

    serial: int
    """Number of its box list."""

    boxes_age: float
    """Seconds since that list was known to be the newest."""

    is_whole: bool
    """Whether all boxes are told, not only what differs."""

    boxes: tuple[FleetBox, ...] = ()
    """Boxes, all or those that differ."""

    gone: tuple[BoxId, ...] = ()
    """Boxes that are not on the list any more."""

    routes: RouteTable | None = None
    """The routes, where the asker wants them and they are newer."""

    loads: tuple[BoxLoad, ...] = ()
    """Requests in flight of all nodes that the answerer knows of but those
    that the asker has told."""


Wire = Union[  # noqa: UP007 - evaluated by the decoder
    Hello,
    Beat,
    Records,
    DocumentNews,
    DocumentWanted,
    HealthNews,
    LoadNews,
    ReplicaDoubt,
    FeedAsk,
    FeedAnswer,
]
"""All messages of the exchange stream."""


class ClaimAsk(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """May the asker run this request?"""

    account: str
    """Client account."""

    request_id: RequestId
    """Request id."""

    holder: NodeId
    """Asker."""

    holder_incarnation: int
    """Its incarnation."""

    settle: ClaimState | None = None
    """How a run that was granted before has ended."""


class ClaimAnswer(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """The home's answer."""

    state: ClaimState
    """What it knows of the id."""


class PeerTraffic:
    """Bytes of peer messages, before framing, of this process."""

    sent = 0
    received = 0


class MsgpackCodec(CodecBase):
    """Encodes messages as msgpack, typed by their classes."""

    __content_subtype__ = 'msgpack'

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Return the bytes of a message."""
        raw = msgspec.msgpack.encode(message)
        PeerTraffic.sent += len(raw)
        return raw

    def decode(self, data: bytes, message_type: Any) -> Any:  # noqa: WPS110
        """Return the message of some bytes."""
        PeerTraffic.received += len(data)
        return msgspec.msgpack.decode(data, type=message_type)


ExchangeHandler = Callable[[Any], Awaitable[None]]
"""Serves one stream of a peer."""

ClaimHandler = Callable[[ClaimAsk], ClaimAnswer]
"""Answers a question about a request id."""


class PeerService:
    """The service that each entry box offers to the others."""

    def __init__(self, exchange: ExchangeHandler, claim: ClaimHandler) -> None:
        """Serve with these handlers."""
        self._exchange = exchange
        self._claim = claim

    def __mapping__(self) -> dict[str, Handler]:
        """Return the handlers by path, as grpclib wants them."""
        return {
            EXCHANGE_PATH: Handler(
                self._exchange,
                Cardinality.STREAM_STREAM,
                Wire,
                Wire,
            ),
            CLAIM_PATH: Handler(
                self._answer_claim,
                Cardinality.UNARY_UNARY,
                ClaimAsk,
                ClaimAnswer,
            ),
        }

    async def _answer_claim(self, stream: Any) -> None:
        ask = await stream.recv_message()
        await stream.send_message(self._claim(ask))


def make_server(service: PeerService) -> Server:
    """Return a server that is not listening yet."""
    return Server([service], codec=MsgpackCodec())


def open_channel(host: str, port: int) -> Channel:
    """Return a channel; it connects at its first use."""
    return Channel(host, port, codec=MsgpackCodec())


def open_exchange(channel: Channel) -> Any:
    """Return the context of an exchange stream on a channel."""
    # grpclib wants a class where the codec takes any type.
    wire: Any = Wire
    return StreamStreamMethod(channel, EXCHANGE_PATH, wire, wire).open()


async def ask_claim(channel: Channel, ask: ClaimAsk, seconds: float) -> Any:
    """Return the home's answer to a question about a request id."""
    method = UnaryUnaryMethod(channel, CLAIM_PATH, ClaimAsk, ClaimAnswer)
    return await method(ask, timeout=seconds)
