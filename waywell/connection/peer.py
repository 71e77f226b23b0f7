"""What entry boxes say to each other, as msgpack.

The message classes are the schema; no code is generated.
"""

from __future__ import annotations

from typing import Union

import msgspec

from waywell.connection.store_era import UNREPORTED_ERA, StoreEra
from waywell.ids import (
    BoxId,
    DomainName,
    Epoch,
    GroupId,
    HallName,
    Incarnation,
    Trait,
)
from waywell.membership.membership import NodeRecord
from waywell.version.fleet import UNKNOWN_INCARNATION, FleetBox
from waywell.version.routes import RouteTable


class Hello(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """First message of a stream, from both sides."""

    record: NodeRecord
    """The sender."""


class Heartbeat(msgspec.Struct, frozen=True, tag='Beat', array_like=True):
    """Liveness, with what the receiver may have missed."""

    configuration: int
    """Version of the configuration in force."""

    roster: int
    """Version of the roster in force."""

    digest: int
    """Digest of the sender's membership view."""

    platform_age: float
    """Seconds since a node is known to have reached the platform."""


class MembershipRecords(
    msgspec.Struct, frozen=True, tag='Records', array_like=True
):
    """Membership records that changed, or all of them."""

    records: tuple[NodeRecord, ...]
    """Records."""

    is_complete: bool = False
    """Whether these are all, so that the receiver answers with its own."""


class ReplicaSuspected(
    msgspec.Struct, frozen=True, tag='ReplicaDoubt', array_like=True
):
    """A replica from which nothing comes any more although it has work."""

    suspicion_id: str
    """Id of the doubt, so that it is passed on once."""

    group: GroupId
    """Group of the replica; empty for a plain service."""

    box: BoxId
    """Box that takes its requests."""

    epoch: Epoch
    """Epoch of its group."""

    incarnation: Incarnation = UNKNOWN_INCARNATION
    """Incarnation of that box."""


class ReplicaAlive(
    msgspec.Struct, frozen=True, tag='ReplicaHeard', array_like=True
):
    """A replica that was doubted goes on."""

    group: GroupId
    """Group of the replica; empty for a plain service."""

    box: BoxId
    """Box that takes its requests."""

    epoch: Epoch
    """Epoch of its group."""

    incarnation: Incarnation = UNKNOWN_INCARNATION
    """Incarnation of that box."""


class SuspectRun(msgspec.Struct, frozen=True, array_like=True):
    """A trait of a request that ran at a replica when that ended."""

    trait: Trait
    """The request, or a part of its prompt."""

    has_begun: bool
    """Whether an answer with it had brought a piece."""


class ReplicaEnded(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """A replica has ended while requests ran there."""

    box: BoxId
    """Box that took its requests."""

    epoch: Epoch
    """Epoch of its group."""

    incarnation: Incarnation
    """Incarnation of that box."""

    age: float
    """Seconds since the end was noticed."""

    runs: tuple[SuspectRun, ...]
    """Traits of the sender's requests, or all that it knows of."""

    domain: DomainName = DomainName('')
    """Fabric domain of that box; empty for a plain service."""


class RequestHeld(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Enough replicas have ended under a request: it is held back."""

    trait: Trait
    """The request, or a part of its prompt."""

    crashes: int
    """Replicas that ended."""

    age: float
    """Seconds since the last of them did."""


class RequestCleared(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """A request that was suspected was served whole."""

    trait: Trait
    """The request, or a part of its prompt."""


class KnownCrashes(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """All that a node knows of such requests, for a peer that may not."""

    ended: tuple[ReplicaEnded, ...]
    """Ends of replicas."""

    held: tuple[RequestHeld, ...]
    """Requests that others hold back."""


class BoxLoad(msgspec.Struct, frozen=True, array_like=True):
    """Requests in flight at a replica."""

    box: BoxId
    """Box that takes its requests."""

    requests: int
    """Requests of the nodes that are counted."""

    incarnation: Incarnation = UNKNOWN_INCARNATION
    """Incarnation of that box."""


class LimitNotice(
    msgspec.Struct, frozen=True, tag='LimitTold', array_like=True
):
    """What an answer of a replica said of its limit."""

    box: BoxId
    """Box that takes its requests."""

    incarnation: Incarnation
    """Which of the box's lives."""

    hall: HallName
    """Its data hall."""

    limit: float | None
    """Requests a second from all nodes; ``None`` where it has no limit."""

    sent_age: float
    """Seconds since the request left."""

    received_age: float
    """Seconds since the answer came."""

    limited_age: float
    """Seconds since the replica was first heard to have a limit."""


class KnownLimits(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """All limits that the sender knows, for a peer that may lack them."""

    notices: tuple[LimitNotice, ...]
    """Limits, and those that have ended not long ago."""


class PermitRequest(
    msgspec.Struct, frozen=True, tag='TurnAsk', array_like=True
):
    """May the sender send a request to a replica that has a limit?"""

    number: int
    """Number of the question."""

    notice: LimitNotice
    """The limit, as the sender knows it."""

    rank: int
    """Urgency of the request, 0 first."""


class PermitAnswer(
    msgspec.Struct, frozen=True, tag='TurnAnswer', array_like=True
):
    """A dealer's answer."""

    number: int
    """Number of the question."""

    permits: int
    """Requests that may be sent; 0 for a refusal."""

    retry_after: float
    """Seconds after which it is worth asking again."""


class ReachabilityQuery(
    msgspec.Struct, frozen=True, tag=True, array_like=True
):
    """Which of these boxes does the receiver reach?"""

    query: int
    """Number of the query at the sender."""

    boxes: tuple[BoxId, ...]
    """Boxes that the sender does not reach."""


class ReachabilityReport(
    msgspec.Struct, frozen=True, tag=True, array_like=True
):
    """Answer to a query."""

    query: int
    """Number of the query at its sender."""

    reached: tuple[BoxId, ...]
    """Boxes that took a connection of the answerer."""


class FeedRequest(msgspec.Struct, frozen=True, tag='FeedAsk', array_like=True):
    """What do you know of routes and boxes, and how old is it?"""

    number: int
    """Number of the question at the asker."""

    version: int
    """Version of the routes that the asker has."""

    incarnation: int
    """Incarnation whose box list the asker holds; 0 for none."""

    serial: int
    """Number of that list at the answerer."""

    wants_routes: bool = False
    """Whether a newer version of the routes is to come with the answer."""

    hall: str = ''
    """Data hall of the asker."""

    loads: tuple[BoxLoad, ...] | None = ()
    """Requests in flight of the asker, or of its hall where it is the reader
    of one and asks that of another; ``None`` where another node is told."""

    wants_boxes: bool = True
    """Whether the asker needs box list and loads; a reader that reaches the
    platform has its own, and whole lists were half of all bytes between
    halls."""

    era: StoreEra = UNREPORTED_ERA
    """Era of the platform's store, as the asker knows it."""

    def wants_newer(self, version: int) -> bool:
        """Answer whether the asker needs the routes of a version."""
        return self.wants_routes and version > self.version


class FeedAnswer(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """What a node knows, and how old it is."""

    number: int
    """Number of the question."""

    version: int
    """Version of the routes in force."""

    routes_age: float
    """Seconds since that version was known to be the newest."""

    incarnation: int
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

    era: StoreEra = UNREPORTED_ERA
    """Era of the platform's store, as the answerer knows it."""


FrontMessage = Union[  # noqa: UP007 - evaluated by the decoder
    Hello,
    Heartbeat,
    MembershipRecords,
    ReplicaSuspected,
    ReplicaAlive,
    ReplicaEnded,
    RequestHeld,
    RequestCleared,
    KnownCrashes,
    LimitNotice,
    KnownLimits,
    PermitRequest,
    PermitAnswer,
    FeedRequest,
    FeedAnswer,
    ReachabilityQuery,
    ReachabilityReport,
]
"""All messages between front daemons."""
