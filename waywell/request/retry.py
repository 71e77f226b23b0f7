"""Retries: only where safe, and within a budget for each account."""

from __future__ import annotations

DEPOSIT = 0.08
"""Part of a retry that each request earns for its account."""

MOST_SAVED = 5.0
"""Retries that an account can have saved up."""

MAX_ATTEMPTS = 3
"""Attempts at one request, the first counted."""


class RetryBudget:
    """Keeps the extra load of retries to a few per cent.

    An account may retry a share of its requests and a few more after a
    quiet time, whoever fails.
    """

    def __init__(self) -> None:
        """Start without savings."""
        self._saved: dict[str, float] = {}

    def earn(self, account: str) -> None:
        """Count a new request of an account."""
        saved = self._saved.get(account, 0)
        self._saved[account] = min(MOST_SAVED, saved + DEPOSIT)

    def spend(self, account: str) -> bool:
        """Take one retry from the budget, if it is there."""
        saved = self._saved.get(account, 0)
        if saved < 1:
            return False
        self._saved[account] = saved - 1
        return True
