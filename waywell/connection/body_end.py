"""How the body of a response ended, and whether all of it came."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import msgspec
from twisted.web.client import PotentialDataLoss, ResponseDone

if TYPE_CHECKING:
    from twisted.python.failure import Failure


class BodyEnd(enum.Enum):
    """What ended a body."""

    DELIMITED = 'announced'
    """Its length was reached, or its last chunk came."""

    CLOSED = 'closed'
    """An orderly close; it had neither a length nor chunks."""

    RESET = 'reset'
    """A broken connection; it had neither a length nor chunks."""

    TRUNCATED = 'cut'
    """The connection ended before the length or the last chunk."""


def classify_body_end(reason: Failure, was_closed: bool) -> BodyEnd:
    """Return what ended a body.

    Parameters
    ----------
    reason
        What twisted's HTTP client gives as the reason.
    was_closed
        Whether the connection ended with an orderly close.
    """
    if reason.check(ResponseDone):
        return BodyEnd.DELIMITED
    if reason.check(PotentialDataLoss):
        return BodyEnd.CLOSED if was_closed else BodyEnd.RESET
    return BodyEnd.TRUNCATED


class BodyOutcome(msgspec.Struct, frozen=True):
    """Whether a body is complete: the one verdict for every reader."""

    end: BodyEnd = BodyEnd.DELIMITED
    """What ended it."""

    unfinished_bytes: int = 0
    """Bytes of an event that had begun; 0 outside of event streams."""

    has_events: bool = True
    """Whether an event has come, of an event stream."""

    @property
    def is_complete(self) -> bool:
        """Return whether all of it came.

        A stream that ends within an event was broken off, however it ends.
        One that closes without any event holds no answer; only a length or
        a last chunk says that there is none.
        """
        if self.unfinished_bytes:
            return False
        if self.end is BodyEnd.CLOSED:
            return self.has_events
        return self.end is BodyEnd.DELIMITED

    def describe(self) -> dict[str, object]:
        """Return what log lines tell of it."""
        return {
            'ended': self.end.value,
            'unfinished_bytes': self.unfinished_bytes,
        }
