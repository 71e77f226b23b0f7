"""Messages between entry boxes, encoded with MessagePack.

The classes are the schema; no code is generated.  Entry boxes of two releases
may run at the same time.  Fields are encoded by position, and a class by its
tag, which stays when the class is renamed.
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
    """First message that each side sends on a stream."""

    record: NodeRecord
    """Membership record of the sender."""


class Heartbeat(msgspec.Struct, frozen=True, tag='Beat', array_like=True):
    """Periodic sign of life, with the versions that the sender has."""

    configuration: int
    """Version of the configuration in force at the sender."""

    roster: int
    """Version of the roster in force at the sender."""

    digest: int
    """Digest of the sender's membership view."""

    platform_age: float
    """Seconds since any node is known to have reached the platform."""


class MembershipRecords(
    msgspec.Struct, frozen=True, tag='Records', array_like=True
):
    """Membership records that have changed, or all records of the sender."""

    records: tuple[NodeRecord, ...]

    is_complete: bool = False
    """Whether all records are included; the receiver then replies with those
    that the sender lacks."""


class ReplicaSuspected(
    msgspec.Struct, frozen=True, tag='ReplicaDoubt', array_like=True
):
    """Report of a replica that has requests but sends no data any more."""

    suspicion_id: str
    """Random id of the report.  Receivers recognise repeats by the replica,
    and not by this id."""

    group: GroupId
    """Group of the replica; empty for a plain service."""

    box: BoxId
    """Box that receives the requests of the replica."""

    epoch: Epoch
    """Epoch of the group."""

    incarnation: Incarnation = UNKNOWN_INCARNATION
    """Incarnation of the box."""


class ReplicaAlive(
    msgspec.Struct, frozen=True, tag='ReplicaHeard', array_like=True
):
    """Report that a suspected replica sends data again."""

    group: GroupId
    """Group of the replica; empty for a plain service."""

    box: BoxId
    """Box that receives the requests of the replica."""

    epoch: Epoch
    """Epoch of the group."""

    incarnation: Incarnation = UNKNOWN_INCARNATION
    """Incarnation of the box."""


class SuspectRun(msgspec.Struct, frozen=True, array_like=True):
    """A trait of a request that was running when its replica ended."""

    trait: Trait
    """Identifier of the request or of a part of its prompt."""

    has_begun: bool
    """Whether a part of the answer to such a request had arrived."""


class ReplicaEnded(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Report of a replica that ended while it ran requests."""

    box: BoxId
    """Box that received the requests of the replica."""

    epoch: Epoch
    """Epoch of the group."""

    incarnation: Incarnation
    """Incarnation of the box."""

    age: float
    """Seconds since the end was detected."""

    runs: tuple[SuspectRun, ...]
    """Traits of the requests that the sender ran there or knows of."""

    domain: DomainName = DomainName('')
    """Fabric domain of the box; empty for a plain service."""


class RequestHeld(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Report of a request held back because it ended too many replicas."""

    trait: Trait
    """Identifier of the request or of a part of its prompt."""

    crashes: int
    """Number of replicas that ended."""

    age: float
    """Seconds since the last of them ended."""


class RequestCleared(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Report that a suspected request was answered completely."""

    trait: Trait
    """Identifier of the request or of a part of its prompt."""


class KnownCrashes(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """All crashes and held requests that a node knows.

    Sent to a peer when a stream opens, since the peer may have missed them.
    """

    ended: tuple[ReplicaEnded, ...]
    """Replicas that ended while they ran requests."""

    held: tuple[RequestHeld, ...]
    """Requests that other nodes or the platform reported as held back."""


class BoxLoad(msgspec.Struct, frozen=True, array_like=True):
    """Number of requests in flight at a replica."""

    box: BoxId
    """Box that receives the requests of the replica."""

    requests: int
    """Requests in flight, from the nodes that the sender adds up."""

    incarnation: Incarnation = UNKNOWN_INCARNATION
    """Incarnation of the box."""


class LimitNotice(
    msgspec.Struct, frozen=True, tag='LimitTold', array_like=True
):
    """Request limit that an answer of a replica reported."""

    box: BoxId
    """Box that receives the requests of the replica."""

    incarnation: Incarnation
    """Incarnation of the box."""

    hall: HallName
    """Data hall of the box."""

    limit: float | None
    """Requests a second from all nodes together; ``None`` for no limit."""

    sent_age: float
    """Seconds since the request was sent."""

    received_age: float
    """Seconds since the answer arrived."""

    limited_age: float
    """Seconds since the replica first reported a limit."""


class KnownLimits(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """All limits that a node knows.

    Sent to a peer when a stream opens, since the peer may have missed them.
    """

    notices: tuple[LimitNotice, ...]
    """Limits in force and limits that have ended recently."""


class PermitRequest(
    msgspec.Struct, frozen=True, tag='TurnAsk', array_like=True
):
    """Request for a permit to send one request to a limited replica."""

    number: int
    """Serial number of the request at the sender."""

    notice: LimitNotice
    """Limit of the replica as the sender knows it."""

    rank: int
    """Priority of the request; 0 is the most urgent."""


class PermitAnswer(
    msgspec.Struct, frozen=True, tag='TurnAnswer', array_like=True
):
    """Answer of a permit issuer to a permit request."""

    number: int
    """Number of the permit request."""

    permits: int
    """Number of requests that may be sent; 0 for a refusal."""

    retry_after: float
    """Seconds after which the next permit may be available."""


class ReachabilityQuery(
    msgspec.Struct, frozen=True, tag=True, array_like=True
):
    """Query which of some boxes the receiver can reach."""

    query: int
    """Serial number of the query at the sender."""

    boxes: tuple[BoxId, ...]
    """Boxes that the sender can't reach."""


class ReachabilityReport(
    msgspec.Struct, frozen=True, tag=True, array_like=True
):
    """Answer to a reachability query."""

    query: int
    """Serial number of the query at its sender."""

    reached: tuple[BoxId, ...]
    """Boxes that accepted a connection from the answering node."""


class FeedRequest(msgspec.Struct, frozen=True, tag='FeedAsk', array_like=True):
    """Query for routes, boxes and their ages."""

    number: int
    """Serial number of the query at the sender."""

    version: int
    """Version of the routes that the sender has."""

    incarnation: int
    """Incarnation of the node whose box list the sender holds; 0 for none."""

    serial: int
    """Serial number of that list at the node that sent it."""

    wants_routes: bool = False
    """Whether the answer is to include a newer version of the routes."""

    hall: str = ''
    """Data hall of the sender."""

    loads: tuple[BoxLoad, ...] | None = ()
    """Requests in flight from the sender, or from its whole hall if it is the
    reader of its hall and queries the reader of another.  ``None`` if it
    reports them to another node."""

    wants_boxes: bool = True
    """Whether the sender needs the box list and the requests in flight.  A
    reader that reaches the platform has its own list.  Full lists made up half
    of all bytes between halls."""

    era: StoreEra = UNREPORTED_ERA
    """Era of the platform's store as the sender knows it."""

    probes_store: bool = False
    """Whether the receiver is to call the platform's store before it answers,
    as a call of the sender has failed."""

    def wants_newer(self, version: int) -> bool:
        """Return whether the sender needs the routes of a version."""
        return self.wants_routes and version > self.version


class ExpiringBox(msgspec.Struct, frozen=True, array_like=True):
    """Box without an entry that may get requests for a while."""

    box: BoxId
    """Name of the box."""

    seconds: float
    """Seconds for which it may get requests, from the time of the answer."""


class FeedAnswer(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Answer to a feed request: routes and boxes, with their ages."""

    number: int
    """Serial number of the answered request."""

    version: int
    """Version of the routes in force."""

    routes_age: float
    """Seconds since that version was last known to be the newest."""

    incarnation: int
    """Incarnation of the answering node."""

    serial: int
    """Serial number of its box list."""

    boxes_age: float
    """Seconds since that list was last known to be the newest."""

    is_whole: bool
    """Whether all boxes are included, not only the changes."""

    boxes: tuple[FleetBox, ...] = ()
    """All boxes, or those that differ from the list of the request."""

    gone: tuple[BoxId, ...] = ()
    """Boxes that are no longer on the list."""

    routes: RouteTable | None = None
    """Routes, if they were requested and are newer."""

    loads: tuple[BoxLoad, ...] = ()
    """Requests in flight that the answering node knows of, except those that
    the requesting node reported."""

    era: StoreEra = UNREPORTED_ERA
    """Era of the platform's store as the answering node knows it."""

    reached_store: bool = False
    """Whether the store has answered the answering node since the request."""

    expiring: tuple[ExpiringBox, ...] = ()
    """Boxes of the whole list that have no entry."""


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
"""Any message between front daemons."""
