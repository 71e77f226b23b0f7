"""Header in which a replica asks for a pause without requests."""

from __future__ import annotations

import math
from http import HTTPStatus

RETRY_AFTER_HEADER = 'retry-after'
"""HTTP header with the seconds of the pause.  The variant with a date is not
used between boxes."""

_PAUSE_STATUSES = frozenset(
    (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS),
)
"""Statuses of answers that may ask for a pause.  On others the header has
another meaning."""


def read_retry_after(status: int, text: str) -> float:
    """Return the length of the pause that an answer asks for.

    Parameters
    ----------
    status
        HTTP status of the answer.
    text
        Value of the header; empty if it is missing.

    Returns
    -------
    float
        Seconds; 0 if no pause is asked for or the value is invalid.
    """
    if status not in _PAUSE_STATUSES:
        return 0.0
    try:
        seconds = float(text)
    except ValueError:
        return 0.0
    return seconds if 0 < seconds < math.inf else 0.0
