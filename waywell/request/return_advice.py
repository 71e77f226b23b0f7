"""When a caller should come back whose request was refused unrun.

Answers the load of a model that has lost many groups: callers that all come
back after a quarter of a second meet the same full replicas and are refused a
second time, for good.
"""

from __future__ import annotations

import enum
from types import MappingProxyType

FULL_SECONDS = (0.4, 1.2)
"""From when to when a replica that was full has room again: streams take some
0.5 to 2 s, and each that ends gives a place."""

NO_GROUP_SECONDS = (0.8, 2.0)
"""From when to when a group is back that lost a box: silence is known after
half a second, its boxes are joined anew in 0.5 to 2 s."""

RESTED_SECONDS = (0.0, 0.8)
"""From when to when after the first rest has ended: a replica that is just
rested meets callers one after the other, not all that were refused."""

TURN_SECONDS = (0.0, 1.2)
"""From when to when after the next turn of a replica with a limit: one turn
is for one caller, so those that were refused come one after the other."""

MAX_SHARE_OF_TIME_LEFT = 0.3
"""Part of the time that the caller has left: the rest is for the answer."""


class ReturnReason(enum.Enum):
    """Why a request was refused."""

    FULL = 'full'
    """The replicas that it could go to rejected it."""

    NO_GROUP = 'no_group'
    """No replica can serve it."""

    RESTING = 'resting'
    """All replicas have asked for rest."""

    LIMITED = 'limited'
    """All replicas have a limit, and other requests have their turns."""


_SECONDS_BY_REASON = MappingProxyType(
    {
        ReturnReason.FULL: FULL_SECONDS,
        ReturnReason.NO_GROUP: NO_GROUP_SECONDS,
        ReturnReason.RESTING: RESTED_SECONDS,
        ReturnReason.LIMITED: TURN_SECONDS,
    },
)


def advise_return(
    reason: ReturnReason,
    seconds_left: float,
    draw: float,
    rest: float = 0.0,
) -> float:
    """Return after how many seconds a caller should come back.

    Callers that were refused at one moment come back spread out.

    Parameters
    ----------
    reason
        Why the request was refused.
    seconds_left
        Time that the caller has left.
    draw
        A number from 0 up to 1, drawn anew for each caller.
    rest
        Seconds until the first replica wants requests again, or has a turn.
    """
    soonest, latest = _SECONDS_BY_REASON[reason]
    seconds = rest + soonest + draw * (latest - soonest)
    return round(
        max(0.0, min(seconds, MAX_SHARE_OF_TIME_LEFT * seconds_left)), 3
    )
