"""Orders to boxes: to load models, and to form and dissolve groups."""

from __future__ import annotations

import enum
from typing import Union

import msgspec

from waywell.ids import BoxId, Epoch, GroupId, ModelName
from waywell.version.fleet import FleetBox


class Join(msgspec.Struct, frozen=True):
    """Become a member of a group; replaces any earlier membership."""

    group: GroupId
    """Group to join."""

    epoch: Epoch
    """Epoch of the group; a box refuses one below the highest that it has
    seen."""

    model: ModelName
    """Model to load."""

    members: tuple[BoxId, ...]
    """All members; the first one is the head, which takes the requests."""

    orders_begun: int | None = None
    """Number of the box's state for which the join was planned; the box
    refuses the join in any later state. ``None`` until the box has reported
    that number."""


class Open(msgspec.Struct, frozen=True):
    """Begin to serve; sent to the head of a group that is ready."""

    group: GroupId
    """Group to open."""

    epoch: Epoch
    """Epoch of the group."""


class Close(msgspec.Struct, frozen=True):
    """Accept no new requests and finish running ones; sent to a head."""

    group: GroupId
    """Group to close."""

    epoch: Epoch
    """Epoch of the group."""


class Leave(msgspec.Struct, frozen=True):
    """Leave a group at once, whatever is running."""

    group: GroupId
    """Group to leave."""

    epoch: Epoch
    """Epoch of the group."""


class Stage(msgspec.Struct, frozen=True):
    """Load a model's weights into the memory of the box's host."""

    model: ModelName
    """Model whose weights are loaded."""


BoxOrder = Union[Join, Open, Close, Leave, Stage]  # noqa: UP007 - read by msgspec
"""Any order that can be sent to a box."""


class OrderResult(enum.Enum):
    """Outcome of sending an order."""

    ACCEPTED = 'taken'
    """The order has begun, is complete, or was in effect already."""

    CONFLICT = 'misfit'
    """The order doesn't fit the box's state, or the box accepted another one
    first."""

    OUTDATED = 'outdated'
    """The box has seen a higher epoch."""

    GONE = 'gone'
    """The box no longer exists: another one answers at its address."""

    ENDED = 'ended'
    """Not sent: the life of the box for which the order was planned is
    over."""

    UNKNOWN = 'unknown'
    """No answer: the order may have been accepted, or may still be, seconds
    later."""


class OrderReason(enum.Enum):
    """Reason for an order, for logs."""

    NEEDED = 'needed'
    """A model has more work for its places than others."""

    READY = 'ready'
    """Every member has reported that it is ready."""

    UNWANTED = 'unwanted'
    """A member is leaving, or the model is not requested any more."""

    MEMBER_LOST = 'member_lost'
    """A member is lost, or the group can't be opened safely."""

    SLOW_BOX = 'slow_box'
    """A member is slow, and fast boxes can form a whole group."""

    OTHER_MODEL_SHORT = 'other_is_short'
    """Another model is short of places."""

    NO_EFFECT = 'not_heard'
    """The same order was sent before and shows no effect."""

    SPARE = 'spare'
    """The box stores weights that it may need later."""


class Assignment(msgspec.Struct, frozen=True):
    """An order together with the box that is to receive it."""

    box: FleetBox
    """The box, as it was when the order was planned."""

    order: BoxOrder
    """Order to send."""

    reason: OrderReason = OrderReason.NEEDED
    """Reason for the order, for logs."""
