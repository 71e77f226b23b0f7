"""What an answer says about when its sender wants requests again."""

from __future__ import annotations

import math
from http import HTTPStatus

RETRY_AFTER_HEADER = 'retry-after'
"""HTTP header with the seconds; a date is not used between boxes."""

_RESTING_STATUSES = frozenset(
    (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS),
)
"""Answers that may ask for rest; on others the header means something else."""


def read_retry_after(status: int, text: str) -> float:
    """Return the seconds of rest that an answer asks for.

    Parameters
    ----------
    status
        HTTP status of the answer.
    text
        Value of its header; empty where there is none.

    Returns
    -------
    float
        Seconds; 0 for none, or for what can't be kept to.
    """
    if status not in _RESTING_STATUSES:
        return 0.0
    try:
        seconds = float(text)
    except ValueError:
        return 0.0
    return seconds if 0 < seconds < math.inf else 0.0
