"""Why no replica is left for a request."""

from __future__ import annotations

import attrs

from waywell.codes import Code
from waywell.request.return_advice import ReturnReason


@attrs.frozen
class Lack:
    """Why there is no replica to send a request to."""

    code: Code
    """What the caller is told."""

    reason: ReturnReason
    """What decides when the caller should come back."""

    rest: float = 0.0
    """Seconds until the first replica wants requests again, or has a turn."""


def explain_lack(
    release: float | None,
    turn: float | None,
    rejections: int,
) -> Lack:
    """Return why no replica is left.

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
        return Lack(Code.REPLICAS_REST, ReturnReason.RESTING, release)
    if turn is not None:
        return Lack(Code.REPLICAS_LIMITED, ReturnReason.LIMITED, turn)
    reason = ReturnReason.FULL if rejections else ReturnReason.NO_GROUP
    return Lack(Code.NO_WHOLE_GROUP, reason)
