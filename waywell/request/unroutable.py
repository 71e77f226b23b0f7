"""Reasons a request can't be routed to any replica."""

from __future__ import annotations

import attrs

from waywell.codes import Code
from waywell.request.return_advice import ReturnReason


@attrs.frozen
class Unroutable:
    """Why no replica can take a request."""

    code: Code
    """What the caller is told."""

    reason: ReturnReason
    """What decides when the caller should come back."""

    rest: float = 0.0
    """Seconds until the first replica wants requests again, or has a turn."""


def explain_unroutable(
    release: float | None,
    turn: float | None,
    rejections: int,
) -> Unroutable:
    """Return why no replica can take a request.

    Parameters
    ----------
    release
        Seconds until the first replica wants requests again; ``None`` unless
        all have asked for rest.
    turn
        Seconds until the first replica has a turn; ``None`` unless all that
        want requests have a limit.
    rejections
        Replicas that have rejected the request.
    """
    if release is not None:
        return Unroutable(Code.REPLICAS_REST, ReturnReason.RESTING, release)
    if turn is not None:
        return Unroutable(Code.REPLICAS_LIMITED, ReturnReason.LIMITED, turn)
    reason = ReturnReason.FULL if rejections else ReturnReason.NO_GROUP
    return Unroutable(Code.NO_WHOLE_GROUP, reason)
