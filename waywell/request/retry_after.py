"""Retry-after values for requests that were refused without having run.

When a model has lost many groups, callers that all retry after a quarter of a
second meet the same full replicas, are refused again and give up.  The values
are therefore randomized over the time in which capacity returns.
"""

from __future__ import annotations

import enum
from types import MappingProxyType

FULL_SECONDS = (0.4, 1.2)
"""Range in seconds in which a full replica has a free place again: streams
take some 0.5 to 2 s, and each that ends frees a place."""

NO_GROUP_SECONDS = (0.8, 2.0)
"""Range in seconds in which a group that lost a box is formed again: the loss
is detected after half a second, and joining the boxes takes 0.5 to 2 s."""

RESTING_SECONDS = (0.0, 0.8)
"""Range in seconds after the first rest period ends, so that the replica gets
the refused callers one after the other instead of all at once."""

LIMITED_SECONDS = (0.0, 1.2)
"""Range in seconds after the next permit of a replica with a rate limit.  A
permit admits one caller, so the refused callers are spread."""

MAX_SHARE_OF_TIME_LEFT = 0.3
"""Maximum delay as a fraction of the time that the caller has left, so that
enough time remains for the answer."""


class RefusalReason(enum.Enum):
    """Why a request was refused, which decides when to retry it."""

    FULL = 'full'
    """All replicas that could serve it rejected it."""

    NO_GROUP = 'no_group'
    """No replica can serve it."""

    RESTING = 'resting'
    """All replicas have asked for a rest period."""

    LIMITED = 'limited'
    """All replicas have a rate limit, and no permit is available."""


_SECONDS_BY_REASON = MappingProxyType(
    {
        RefusalReason.FULL: FULL_SECONDS,
        RefusalReason.NO_GROUP: NO_GROUP_SECONDS,
        RefusalReason.RESTING: RESTING_SECONDS,
        RefusalReason.LIMITED: LIMITED_SECONDS,
    },
)


def compute_retry_after(
    reason: RefusalReason,
    seconds_left: float,
    draw: float,
    wait: float = 0.0,
) -> float:
    """Return the seconds after which a caller should retry.

    The results of callers that are refused at the same time are spread out.

    Parameters
    ----------
    reason
        Why the request was refused.
    seconds_left
        Seconds until the caller's deadline.
    draw
        Random number in [0, 1), drawn for each caller.
    wait
        Seconds until the first replica ends its rest period or has a permit.
    """
    earliest, latest = _SECONDS_BY_REASON[reason]
    seconds = wait + earliest + draw * (latest - earliest)
    return round(
        max(0.0, min(seconds, MAX_SHARE_OF_TIME_LEFT * seconds_left)), 3
    )
