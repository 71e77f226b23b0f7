"""Admission control of one entry box: account limits, capacity and drain.

There is no shared store: each entry box enforces an equal share of every
account's limits, divided by the number of live entry boxes that it knows.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import attrs
from returns.result import Failure, Result, Success

from waywell.codes import Code, Refusal
from waywell.ids import NodeId
from waywell.telemetry.events import log_event

if TYPE_CHECKING:
    from waywell.request.submission import PendingRequest
    from waywell.version.objects import Account

BURST_SECONDS = 1.0
"""Burst size of an account, in seconds of its request rate."""

FAIR_SHARE_THRESHOLD = 0.8
"""Fraction of the node's limit above which accounts get equal shares."""

BUSY_RETRY_SECONDS = 1.0
"""Retry-after value, in seconds, for a limit on requests in flight."""


@attrs.frozen
class Drain:
    """Time in which a leaving node finishes its work."""

    node: NodeId
    """Node that leaves."""

    ends_at: float
    """Time at which requests are cut, by the node's clock, in seconds."""

    list_entries: Callable[[], dict[str, Any]]
    """Returns the entry list as callers get it."""

    def check(self, work: PendingRequest, now: float) -> None:
        """Check that a request ends within the drain by its deadline.

        Parameters
        ----------
        work
            Request that was just received.
        now
            Current time, in seconds.

        Raises
        ------
        Refusal
            If the deadline is after the end of the drain.
        """
        is_accepted = work.deadline_at <= self.ends_at
        log_event(
            'leaving_admission',
            request=work.facts.request_id or '',
            service=work.service.name,
            deadline=round(work.deadline_at - now, 3),
            left=round(self.ends_at - now, 3),
            accepted=is_accepted,
        )
        if not is_accepted:
            raise self.make_refusal()

    def make_refusal(self) -> Refusal:
        """Return a refusal with the addresses of the other entry boxes."""
        names = ' '.join(
            f'{entry["host"]}:{entry["port"]}'
            for entry in self.list_entries()['entries']
            if entry['node'] != self.node
        )
        return Refusal(Code.NODE_LEAVING, detail=names, retry_after=0)


class TokenBucket:
    """Token bucket whose rate is given with each call."""

    def __init__(self, now: float) -> None:
        """Create a full bucket; the first rate given limits it."""
        self._tokens = math.inf
        self._refilled_at = now

    def take(self, rate: float, now: float) -> float:
        """Take one token if the bucket has one.

        Parameters
        ----------
        rate
            Refill rate, in tokens per second.
        now
            Current time, in seconds.

        Returns
        -------
        float
            0 if a token was taken, otherwise the seconds until the next
            token is available.
        """
        burst = max(1.0, rate * BURST_SECONDS)
        added = max(0.0, now - self._refilled_at) * rate
        self._tokens = min(burst, self._tokens + added)
        self._refilled_at = now
        if self._tokens >= 1:
            self._tokens -= 1
            return 0
        return (1 - self._tokens) / rate if rate > 0 else math.inf


class Admission:
    """Counts requests in flight by account and admits new ones.

    Parameters
    ----------
    node_limit
        Maximum number of requests in flight on this node.
    """

    def __init__(self, node_limit: int) -> None:
        """Create an admission control without requests in flight."""
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
        """Admit and count a request, or return why it is refused.

        Parameters
        ----------
        account
            Client account of the request.
        nodes
            Number of live entry boxes, including this one.
        now
            Current time, in seconds.
        """
        used = self._in_flight.get(account.name, 0)
        sharing = max(1, nodes)
        if used >= math.ceil(account.in_flight / sharing):
            return Failure(_make_busy_refusal(Code.ACCOUNT_IN_FLIGHT))
        if self._exceeds_fair_share(used):
            return Failure(_make_busy_refusal(Code.NODE_BUSY))
        rate = account.requests_per_second / sharing
        wait = self._get_bucket(account.name, now).take(rate, now)
        if wait:
            return Failure(Refusal(Code.ACCOUNT_RATE, retry_after=wait))
        self.total += 1
        self._in_flight[account.name] = used + 1
        return Success(None)

    def release(self, account: str) -> None:
        """Release the slot of a request that has ended."""
        self.total -= 1
        remaining = self._in_flight[account] - 1
        if remaining:
            self._in_flight[account] = remaining
        else:
            self._in_flight.pop(account)

    def list_in_flight(self) -> dict[str, int]:
        """Return the number of requests in flight by account."""
        return dict(self._in_flight)

    def _exceeds_fair_share(self, used: int) -> bool:
        if self.total >= self._node_limit:
            return True
        if self.total < self._node_limit * FAIR_SHARE_THRESHOLD:
            return False
        # One share is kept free for an account without requests so far.
        shares = len(self._in_flight) + 1
        return used >= self._node_limit / shares

    def _get_bucket(self, account: str, now: float) -> TokenBucket:
        bucket = self._buckets.get(account)
        if bucket is None:
            bucket = TokenBucket(now)
            self._buckets[account] = bucket
        return bucket


def _make_busy_refusal(code: Code) -> Refusal:
    return Refusal(code, retry_after=BUSY_RETRY_SECONDS)
