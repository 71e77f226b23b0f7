"""Targets: model engines and plain services, as the system needs them."""

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
"""Group that a request is meant for."""

EPOCH_HEADER = 'waywell-epoch'
"""Epoch that a request is meant for."""

PRIORITY_HEADER = 'waywell-priority'
"""Priority of the client account."""

FENCE_HEADER = 'waywell-fence'
"""Set to ``refused`` by a target that refuses an epoch, having run nothing."""

LOAD_HEADER = 'waywell-load'
"""Requests in flight at a target, with its answers."""

FENCE_REFUSED = 'refused'
"""Value of the fence header."""


class DispatchFault(enum.Enum):
    """Why a target gave no answer."""

    NOT_SENT = 'not_sent'
    """No byte of the request left."""

    TOO_LATE = 'too_late'
    """The deadline or the claim had passed right before the write."""

    BROKEN = 'broken'
    """The request left, and the answer did not come."""

    TIMED_OUT = 'timed_out'
    """The request left, and the deadline passed."""

    RESTING = 'resting'
    """The target asked for rest while the request connected; not sent."""

    NO_PERMIT = 'no_turn'
    """The target named a limit while the request connected; not sent."""

    FENCED = 'fenced'
    """The target refused the epoch and ran nothing."""


class Dispatch(msgspec.Struct, frozen=True):
    """A request on its way to a target."""

    member: Member
    """Box that takes it."""

    group: GroupId
    """Group that it is meant for."""

    epoch: Epoch
    """Epoch that it is meant for."""

    method: str
    """HTTP method."""

    path: str
    """Path and query."""

    headers: tuple[tuple[bytes, bytes], ...]
    """Headers of the caller that are passed on."""

    body: bytes
    """Body, untouched."""

    priority: int
    """Priority of the client account."""

    needs_new_connection: bool
    """Whether it must go out on a connection of its own."""


class TargetAnswer(abc.ABC):
    """An answer whose body is still to come."""

    status: int
    """HTTP status."""

    headers: list[tuple[bytes, bytes]]
    """Headers to pass on."""

    length: int | None
    """Length of the body, when the target says it."""

    load: int | None
    """Requests in flight at the target, when it says so."""

    rest_seconds: float = 0.0
    """For which the target wants nothing more; 0 for no wish."""

    limit: float | None = None
    """Requests a second that it takes from all nodes together; ``None``
    where the answer says nothing of it."""

    @property
    @abc.abstractmethod
    def was_closed(self) -> bool:
        """Return whether the connection ended with an orderly close."""

    @abc.abstractmethod
    def deliver(self, receiver: IProtocol) -> None:
        """Deliver the body to a receiver, with back pressure."""

    @abc.abstractmethod
    def abandon(self) -> None:
        """Break the connection: the rest of the body is not wanted."""


class GroupOrder(msgspec.Struct, frozen=True):
    """An order to a box to serve in a group."""

    group: GroupId
    """Group to serve in."""

    epoch: Epoch
    """Fence: a box refuses an order below the epoch it has."""

    service: str
    """Service of the group."""

    model: str
    """Model to load."""

    boxes: tuple[BoxId, ...]
    """All boxes of the group; the first takes the requests."""


class ProbeAnswer(msgspec.Struct, frozen=True):
    """What a box says of itself."""

    box: BoxId
    """Its name."""

    group: GroupId | None = None
    """Group that it serves in."""

    epoch: Epoch = Epoch(0)
    """Epoch of its last order."""

    ready: bool = True
    """Whether it can serve now."""

    load: int = 0
    """Requests in flight."""


class OrderOutcome(enum.Enum):
    """What came of an order."""

    ACCEPTED = 'taken'
    """The box serves, or will when it has loaded the model."""

    FENCED = 'fenced'
    """The box has a later order."""

    UNKNOWN = 'unknown'
    """No answer: the order is to be repeated."""


class Target(abc.ABC):
    """The calls to targets; another protocol is another subclass."""

    @abc.abstractmethod
    async def dispatch(
        self,
        dispatch: Dispatch,
        seconds: float,
        may_send: Callable[[], bool],
    ) -> Result[TargetAnswer, DispatchFault]:
        """Send a request and return its answer's head.

        Parameters
        ----------
        dispatch
            Request and box.
        seconds
            Seconds until the head of the answer must be there.
        may_send
            Asked right before the first byte is written.
        """

    @abc.abstractmethod
    async def order(
        self,
        member: Member,
        order: GroupOrder,
        seconds: float,
    ) -> OrderOutcome:
        """Send a fenced order to a box."""

    @abc.abstractmethod
    async def probe(
        self,
        member: Member,
        seconds: float,
    ) -> ProbeAnswer | None:
        """Ask a box how it is; ``None`` when it doesn't answer."""
