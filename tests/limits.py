"""Checks of request rates against a replica's limit."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

WINDOW_SECONDS = 4.0
"""Length of the window in which arrivals are counted, in seconds."""

KNOWN_SECONDS = 3.0
"""Seconds after the first report of a limit until nodes must keep it."""


def count_allowed(limit: float) -> float:
    """Return the number of requests that may arrive within one window."""
    return 1.5 * limit * WINDOW_SECONDS + 5


def count_most(arrivals: Sequence[float]) -> int:
    """Return the largest number of arrivals within one window.

    Parameters
    ----------
    arrivals
        Arrival times, in seconds.
    """
    ordered = sorted(arrivals)
    return max(
        (
            sum(first <= at <= first + WINDOW_SECONDS for at in ordered)
            for first in ordered
        ),
        default=0,
    )
