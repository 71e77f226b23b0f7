"""What a limit named by a replica allows, for tests."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

WINDOW_SECONDS = 4.0
"""For which arrivals are added up."""

KNOWN_SECONDS = 3.0
"""After the first word of a limit, from which on it binds."""


def count_allowed(limit: float) -> float:
    """Return how many requests may come within the window."""
    return 1.5 * limit * WINDOW_SECONDS + 5


def count_most(arrivals: Sequence[float]) -> int:
    """Return the most arrivals within one window.

    Parameters
    ----------
    arrivals
        Times, in seconds.
    """
    ordered = sorted(arrivals)
    return max(
        (
            sum(first <= one <= first + WINDOW_SECONDS for one in ordered)
            for first in ordered
        ),
        default=0,
    )
