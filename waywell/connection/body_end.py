"""How the body of a response ended."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from twisted.web.client import PotentialDataLoss, ResponseDone

if TYPE_CHECKING:
    from twisted.python.failure import Failure


class BodyEnd(enum.Enum):
    """What ended a body."""

    ANNOUNCED = 'announced'
    """Its length was reached, or its last chunk came."""

    CLOSED = 'closed'
    """An orderly close; it had neither a length nor chunks."""

    RESET = 'reset'
    """A broken connection; it had neither a length nor chunks."""

    CUT = 'cut'
    """The connection ended before the length or the last chunk."""


def read_body_end(reason: Failure, was_reset: bool) -> BodyEnd:
    """Return what ended a body.

    Parameters
    ----------
    reason
        What twisted's HTTP client gives as the reason.
    was_reset
        Whether the connection ended without an orderly close.
    """
    if reason.check(ResponseDone):
        return BodyEnd.ANNOUNCED
    if reason.check(PotentialDataLoss):
        return BodyEnd.RESET if was_reset else BodyEnd.CLOSED
    return BodyEnd.CUT
