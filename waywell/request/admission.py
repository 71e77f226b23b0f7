"""Limits: what one entry box admits of the accounts' requests.

There is no shared store: each entry box holds an equal part of an
account's limits, by the number of live entry boxes it knows.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from waywell.codes import Code, Refusal

if TYPE_CHECKING:
    from waywell.version.objects import Account

BURST_SECONDS = 1.0
"""Seconds of its rate that an account may use at once."""

CROWDED_SHARE = 0.8
"""Share of the node's limit above which fair shares are enforced."""

BUSY_RETRY_SECONDS = 1.0
"""Advice to callers while the node is at its limit."""


class TokenBucket:
    """Tokens that flow in at a rate up to a burst."""

    def __init__(self, now: float) -> None:
        """Start full at the first use."""
        self._tokens = math.inf
        self._filled_at = now

    def take(self, rate: float, now: float) -> float:
        """Take one token.

        Parameters
        ----------
        rate
            Tokens a second.
        now
            Present time, in seconds.

        Returns
        -------
        float
            0 when a token was taken, else seconds until one is there.
        """
        burst = max(1.0, rate * BURST_SECONDS)
        flown = max(0.0, now - self._filled_at) * rate
        self._tokens = min(burst, self._tokens + flown)
        self._filled_at = now
        if self._tokens >= 1:
            self._tokens -= 1
            return 0
        return (1 - self._tokens) / rate if rate > 0 else math.inf


class Admission:
    """Counts requests in flight and admits new ones.

    Parameters
    ----------
    node_limit
        Requests that this node carries at once.
    """

    def __init__(self, node_limit: int) -> None:
        """Start with nothing in flight."""
        self.total = 0
        self._node_limit = node_limit
        self._in_flight: dict[str, int] = {}
        self._buckets: dict[str, TokenBucket] = {}

    def admit(
        self,
        account: Account,
        nodes: int,
        now: float,
    ) -> Result[None, Refusal]:
        """Count a request in, or refuse it at once.

        Parameters
        ----------
        account
            Client account.
        nodes
            Live entry boxes, this one counted.
        now
            Present time, in seconds.
        """
        used = self._in_flight.get(account.name, 0)
        part = max(1, nodes)
        if used >= math.ceil(account.in_flight / part):
            return Failure(_refuse_busy(Code.ACCOUNT_IN_FLIGHT))
        if self._is_crowded_out(used):
            return Failure(_refuse_busy(Code.NODE_BUSY))
        rate = account.requests_per_second / part
        wait = self._get_bucket(account.name, now).take(rate, now)
        if wait:
            return Failure(Refusal(Code.ACCOUNT_RATE, retry_after=wait))
        self.total += 1
        self._in_flight[account.name] = used + 1
        return Success(None)

    def release(self, account: str) -> None:
        """Count a request out."""
        self.total -= 1
        left = self._in_flight[account] - 1
        if left:
            self._in_flight[account] = left
        else:
            self._in_flight.pop(account)

    def list_in_flight(self) -> dict[str, int]:
        """Return the requests in flight by account."""
        return dict(self._in_flight)

    def _is_crowded_out(self, used: int) -> bool:
        if self.total >= self._node_limit:
            return True
        if self.total < self._node_limit * CROWDED_SHARE:
            return False
        # One share more than there are accounts, for the next newcomer.
        shares = len(self._in_flight) + 1
        return used >= self._node_limit / shares

    def _get_bucket(self, account: str, now: float) -> TokenBucket:
        bucket = self._buckets.get(account)
        if bucket is None:
            bucket = TokenBucket(now)
            self._buckets[account] = bucket
        return bucket


def _refuse_busy(code: Code) -> Refusal:
    return Refusal(code, retry_after=BUSY_RETRY_SECONDS)
