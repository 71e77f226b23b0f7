"""Interface of targets: model engines and plain services."""

from __future__ import annotations

import abc
import enum
from typing import TYPE_CHECKING

import msgspec

from waywell.ids import BoxId, Epoch, GroupId
from waywell.version.roster import Member

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns.result import Result
    from twisted.internet.interfaces import IProtocol

GROUP_HEADER = 'waywell-group'
"""Header with the group that a request is meant for."""

EPOCH_HEADER = 'waywell-epoch'
"""Header with the epoch of that group."""

PRIORITY_HEADER = 'waywell-priority'
"""Header with the priority of the client account."""

FENCE_HEADER = 'waywell-fence'
"""Header of answers, set to ``refused`` by a target that refuses the epoch of
a request without running it."""

LOAD_HEADER = 'waywell-load'
"""Header of answers with the number of requests in flight at the target."""

FENCE_REFUSED = 'refused'
"""Value of the fence header on a refusal."""


class DispatchFault(enum.Enum):
    """Reason for which a dispatch got no answer."""

    NOT_SENT = 'not_sent'
    """No byte of the request was sent."""

    TOO_LATE = 'too_late'
    """The deadline or the claim expired just before the write; not sent."""

    BROKEN = 'broken'
    """The connection failed after the request was sent."""

    MALFORMED = 'malformed'
    """The head of the answer was malformed; the request may have run."""

    TIMED_OUT = 'timed_out'
    """The deadline passed after the request was sent."""

    RESTING = 'resting'
    """The target asked for a pause while the request connected; not sent."""

    GROUP_CHANGED = 'group_changed'
    """The group stopped serving while the request connected; not sent."""

    NO_PERMIT = 'no_turn'
    """The target reported a limit while the request connected; not sent."""

    FENCED = 'fenced'
    """The target refused the epoch and did not run the request."""


class Dispatch(msgspec.Struct, frozen=True):
    """A request to send to a target."""

    member: Member
    """Box that receives it."""

    group: GroupId
    """Group that it is meant for, sent in a header."""

    epoch: Epoch
    """Epoch of the group, sent in a header."""

    method: str
    """HTTP method."""

    path: str
    """Path with the query."""

    headers: tuple[tuple[bytes, bytes], ...]
    """Headers of the caller that are forwarded."""

    body: bytes
    """Unchanged body of the caller's request."""

    priority: int
    """Priority of the client account."""

    needs_new_connection: bool
    """Whether it must not be sent on a kept connection."""


class TargetAnswer(abc.ABC):
    """Answer of a target whose body has not been received yet."""

    status: int
    """HTTP status."""

    headers: list[tuple[bytes, bytes]]
    """Headers to forward to the caller."""

    length: int | None
    """Length of the body in bytes; ``None`` if the target did not send it."""

    load: int | None
    """Requests in flight at the target; ``None`` if it did not report them."""

    rest_seconds: float = 0.0
    """Seconds for which the target asks for no requests; 0 if it does not."""

    limit: float | None = None
    """Requests a second that the target accepts from all nodes together;
    ``None`` if the answer neither sets nor ends a limit."""

    @property
    @abc.abstractmethod
    def was_closed(self) -> bool:
        """Return whether the connection ended with an orderly close."""

    @abc.abstractmethod
    def deliver(self, receiver: IProtocol) -> None:
        """Deliver the body to a receiver, with back pressure."""

    @abc.abstractmethod
    def abandon(self) -> None:
        """Close the connection and discard the rest of the body."""


class GroupOrder(msgspec.Struct, frozen=True):
    """Order to a box to serve in a group."""

    group: GroupId
    """Group to serve in."""

    epoch: Epoch
    """Epoch of the group, which fences the order: a box refuses an order of a
    lower epoch than its own."""

    service: str
    """Service of the group."""

    model: str
    """Model to load."""

    boxes: tuple[BoxId, ...]
    """All boxes of the group; the first one receives the requests."""


class ProbeAnswer(msgspec.Struct, frozen=True):
    """State that a box reports when it is probed."""

    box: BoxId
    """Name of the box."""

    group: GroupId | None = None
    """Group that the box serves in; ``None`` for no group."""

    epoch: Epoch = Epoch(0)
    """Epoch of the last order that the box accepted."""

    ready: bool = True
    """Whether the box can serve requests now."""

    load: int = 0
    """Number of requests in flight at the box."""


class OrderOutcome(enum.Enum):
    """Outcome of an order to a box."""

    ACCEPTED = 'taken'
    """The box serves, or will serve once it has loaded the model."""

    FENCED = 'fenced'
    """The box refused the order, since it has a later one."""

    UNKNOWN = 'unknown'
    """No usable answer; the order must be repeated."""


class Target(abc.ABC):
    """Calls to targets, with one subclass per protocol."""

    @abc.abstractmethod
    async def dispatch(
        self,
        dispatch: Dispatch,
        seconds: float,
        may_send: Callable[[], bool],
    ) -> Result[TargetAnswer, DispatchFault]:
        """Send a request and return the answer, up to its body.

        Parameters
        ----------
        dispatch
            Request and the box that receives it.
        seconds
            Time within which the head of the answer must arrive, in seconds.
        may_send
            Called just before the first byte is written; the request is not
            sent if it returns ``False``.
        """

    @abc.abstractmethod
    async def order(
        self,
        member: Member,
        order: GroupOrder,
        seconds: float,
    ) -> OrderOutcome:
        """Send an order, which its epoch fences, to a box."""

    @abc.abstractmethod
    async def probe(
        self,
        member: Member,
        seconds: float,
    ) -> ProbeAnswer | None:
        """Return the state of a box, or ``None`` without a valid answer."""
