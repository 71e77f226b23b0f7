"""Retry budget of each client account."""

from __future__ import annotations

RETRIES_PER_REQUEST = 0.08
"""Retries that each request adds to the balance of its account."""

MAX_BALANCE = 5.0
"""Maximum number of retries that an account can accumulate."""

ATTEMPT_LIMIT = 3
"""Maximum number of attempts at one request, including the first."""


class RetryBudget:
    """Limits the additional load of retries to a few percent.

    An account may retry a share of its requests, plus a few that it has
    accumulated, regardless of which target fails.
    """

    def __init__(self) -> None:
        """Create a budget in which all balances are 0."""
        self._balances: dict[str, float] = {}

    def earn(self, account: str) -> None:
        """Add the share of a retry that a new request earns."""
        balance = self._balances.get(account, 0)
        self._balances[account] = min(
            MAX_BALANCE, balance + RETRIES_PER_REQUEST
        )

    def spend(self, account: str) -> bool:
        """Spend one retry if the balance allows it; return whether it does."""
        balance = self._balances.get(account, 0)
        if balance < 1:
            return False
        self._balances[account] = balance - 1
        return True
