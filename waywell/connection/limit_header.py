"""Header in which a replica reports its request limit."""

from __future__ import annotations

import math

LIMIT_HEADER = 'server-limit'
"""HTTP header with the requests a second that a replica accepts from all nodes
together."""

NO_LIMIT = math.inf
"""Limit of a replica that reports none."""


def read_limit(text: str | None) -> float | None:
    """Return the limit that an answer reports.

    Parameters
    ----------
    text
        Value of the header; ``None`` if it is missing.

    Returns
    -------
    float or None
        Requests a second; ``NO_LIMIT`` if the header is missing; ``None`` if
        its value is invalid, which neither sets nor ends a limit.
    """
    if text is None:
        return NO_LIMIT
    try:
        limit = float(text)
    except ValueError:
        return None
    return limit if 0 <= limit < math.inf else None
