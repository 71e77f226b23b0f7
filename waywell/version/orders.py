"""Orders to boxes: to load models, and to form and dissolve groups."""

from __future__ import annotations

import enum
from typing import Union

import msgspec

from waywell.ids import BoxId, Epoch, GroupId, ModelName
from waywell.version.fleet import FleetBox


class Join(msgspec.Struct, frozen=True):
    """Become a member of a group; replaces an older membership."""

    group: GroupId
    """The group."""

    epoch: Epoch
    """Its epoch; a box refuses one below the highest that it has seen."""

    model: ModelName
    """Model to load."""

    members: tuple[BoxId, ...]
    """All members; the first takes the requests."""

    orders_begun: int | None = None
    """Number of the box's state for which it was planned; the box refuses it
    in any later one.  ``None`` until the box has told that number."""


class Open(msgspec.Struct, frozen=True):
    """Begin to serve; to the head of a group that is ready."""

    group: GroupId
    """The group."""

    epoch: Epoch
    """Its epoch."""


class Close(msgspec.Struct, frozen=True):
    """Take nothing new and finish what runs; to a head."""

    group: GroupId
    """The group."""

    epoch: Epoch
    """Its epoch."""


class Leave(msgspec.Struct, frozen=True):
    """Leave a group at once, whatever runs."""

    group: GroupId
    """The group."""

    epoch: Epoch
    """Its epoch."""


class Stage(msgspec.Struct, frozen=True):
    """Load a model's weights into the box's own memory."""

    model: ModelName
    """The model."""


BoxOrder = Union[Join, Open, Close, Leave, Stage]  # noqa: UP007 - read by msgspec
"""All orders."""


class OrderResult(enum.Enum):
    """What came of an order."""

    ACCEPTED = 'taken'
    """It has begun, is done, or held already."""

    CONFLICT = 'misfit'
    """It does not fit the box's state, or the box took another one before."""

    OUTDATED = 'outdated'
    """The box has seen a higher epoch."""

    GONE = 'gone'
    """No such box is there any more: another one answers at its address."""

    ENDED = 'ended'
    """Not sent: the life of the box for which it was planned is over."""

    UNKNOWN = 'unknown'
    """No answer: it may have been taken, or may still be, seconds later."""


class OrderReason(enum.Enum):
    """Why an order is given, for logs."""

    NEEDED = 'needed'
    """A model has more work for its places than others."""

    READY = 'ready'
    """Every member has told that it is ready."""

    UNWANTED = 'unwanted'
    """A member leaves, or nobody asks for the model any more."""

    MEMBER_LOST = 'member_lost'
    """A member is lost, or the group can't be opened safely."""

    SLOW_BOX = 'slow_box'
    """A member is slow, and fast boxes make up a whole group."""

    OTHER_MODEL_SHORT = 'other_is_short'
    """Another model is short of places."""

    NO_EFFECT = 'not_heard'
    """The order was given before and shows no effect."""

    SPARE = 'spare'
    """The box is to hold weights that it may need."""


class Assignment(msgspec.Struct, frozen=True):
    """An order and the box that it is for."""

    box: FleetBox
    """The box, as it was when the order was planned."""

    order: BoxOrder
    """The order."""

    reason: OrderReason = OrderReason.NEEDED
    """Why it is given."""
