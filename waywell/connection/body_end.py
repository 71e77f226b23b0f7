"""How the body of a response ended, and whether it is complete."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import msgspec
from twisted.web.client import PotentialDataLoss, ResponseDone

if TYPE_CHECKING:
    from twisted.python.failure import Failure


class BodyEnd(enum.Enum):
    """What ended the body of a response."""

    DELIMITED = 'announced'
    """The content length was reached, or the last chunk received."""

    CLOSED = 'closed'
    """Orderly close of a body with neither a length nor chunks."""

    RESET = 'reset'
    """Connection error in a body with neither a length nor chunks."""

    TRUNCATED = 'cut'
    """End of the connection before the content length or the last chunk."""


def classify_body_end(reason: Failure, was_closed: bool) -> BodyEnd:
    """Return what ended the body of a response.

    Parameters
    ----------
    reason
        Reason that twisted passes to ``connectionLost`` of the body's reader.
    was_closed
        Whether the connection ended with an orderly close.
    """
    if reason.check(ResponseDone):
        return BodyEnd.DELIMITED
    if reason.check(PotentialDataLoss):
        return BodyEnd.CLOSED if was_closed else BodyEnd.RESET
    return BodyEnd.TRUNCATED


class BodyOutcome(msgspec.Struct, frozen=True):
    """Whether a body is complete, decided by one rule for all readers."""

    end: BodyEnd = BodyEnd.DELIMITED
    """What ended the body."""

    unfinished_bytes: int = 0
    """Bytes of an incomplete last event; 0 for bodies without events."""

    has_events: bool = True
    """Whether an event stream had at least one complete event; true for
    bodies without events."""

    @property
    def is_complete(self) -> bool:
        """Return whether the body was received completely.

        An event stream that ends within an event is truncated, whatever
        ended it.  A stream that is closed before its first event holds no
        answer; only a content length or a last chunk shows that it is
        meant to be empty.
        """
        if self.unfinished_bytes:
            return False
        if self.end is BodyEnd.CLOSED:
            return self.has_events
        return self.end is BodyEnd.DELIMITED

    def describe(self) -> dict[str, object]:
        """Return the values for log lines."""
        return {
            'ended': self.end.value,
            'unfinished_bytes': self.unfinished_bytes,
        }
