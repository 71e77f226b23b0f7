"""Reasons why a request can't be routed to any replica."""

from __future__ import annotations

import attrs

from waywell.codes import Code
from waywell.request.retry_after import RefusalReason


@attrs.frozen
class Unroutable:
    """Why no replica can take a request."""

    code: Code
    """Refusal code that the caller gets."""

    reason: RefusalReason
    """Reason that decides when the caller should retry."""

    wait: float = 0.0
    """Seconds until the first replica ends its rest period or has a permit."""


def explain_unroutable(
    rest: float | None,
    permit_wait: float | None,
    rejections: int,
) -> Unroutable:
    """Return why no replica can take a request.

    Parameters
    ----------
    rest
        Seconds until the first rest period ends; ``None`` unless all replicas
        have asked for one.
    permit_wait
        Seconds until the first replica has a permit; ``None`` unless all
        replicas that accept requests have a rate limit.
    rejections
        Number of replicas that have rejected the request.
    """
    if rest is not None:
        return Unroutable(Code.REPLICAS_REST, RefusalReason.RESTING, rest)
    if permit_wait is not None:
        return Unroutable(
            Code.REPLICAS_LIMITED, RefusalReason.LIMITED, permit_wait
        )
    reason = RefusalReason.FULL if rejections else RefusalReason.NO_GROUP
    return Unroutable(Code.NO_WHOLE_GROUP, reason)
