"""What an answer says about how many requests its sender takes."""

from __future__ import annotations

import math

LIMIT_HEADER = 'server-limit'
"""HTTP header with the requests a second that a replica takes from all."""

NO_LIMIT = math.inf
"""Limit of a replica that names none."""


def read_limit(text: str | None) -> float | None:
    """Return the limit that an answer names.

    Parameters
    ----------
    text
        Value of its header; ``None`` where there is none.

    Returns
    -------
    float or None
        Requests a second, ``NO_LIMIT`` where the answer names none, or
        ``None`` for a text that is no limit: it neither names nor ends one.
    """
    if text is None:
        return NO_LIMIT
    try:
        limit = float(text)
    except ValueError:
        return None
    return limit if 0 <= limit < math.inf else None
