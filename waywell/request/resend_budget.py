"""Budget of resends, limited over all entry boxes together."""

from __future__ import annotations

from collections import defaultdict, deque
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from waywell.ids import ServiceName

SPENDABLE_SHARE = 0.8
"""Fraction of the budget that is spent; the rest covers requests in flight."""

STARTUP_SLACK_SHARE = 0.2
"""Fraction of its slack that a process may spend in its first window.  After a
simultaneous restart of all nodes, the previous processes may have spent the
slack of that window already."""


@attrs.frozen
class ResendLimits:
    """Limits on the resends of all entry boxes together."""

    ratio: float = 0.1
    """Resends allowed per request."""

    slack: float = 10.0
    """Resends allowed in addition to the ratio, per window."""

    window: float = 10.0
    """Length of the sliding window over which both are counted, in seconds."""


@attrs.define
class _Timestamps:
    requests: deque[float] = attrs.Factory(deque)
    resends: deque[float] = attrs.Factory(deque)

    def remove_before(self, start: float) -> None:
        for timestamps in (self.requests, self.resends):
            while timestamps and timestamps[0] < start:
                timestamps.popleft()


class ResendBudget:
    """One node's share of the resend budget, by service.

    The ratio applies to this node's own requests; the slack is split evenly
    among the nodes.  For a node that has lost contact with all others, callers
    must pass the number of nodes that it last knew.

    Parameters
    ----------
    limits
        Limits over all nodes.
    started_at
        Time at which this process started, in seconds.  For one window after
        it, the slack that an earlier process of this node has spent is not
        known.
    """

    def __init__(self, limits: ResendLimits, started_at: float) -> None:
        """Create a budget without requests."""
        self._limits = limits
        self._started_at = started_at
        self._sent: dict[ServiceName, _Timestamps] = defaultdict(_Timestamps)

    def record_request(self, service: ServiceName, now: float) -> None:
        """Record a request of a caller, which adds to the budget."""
        self._sent[service].requests.append(now)

    def spend(self, service: ServiceName, nodes: int, now: float) -> bool:
        """Spend one resend if the budget allows it.

        Parameters
        ----------
        service
            Service that gets the request again.
        nodes
            Number of entry boxes that share the budget, including this one;
            0 while it is unknown, in which case no slack is available.
        now
            Current time, in seconds.

        Returns
        -------
        bool
            Whether the request may be sent again.
        """
        sent = self._sent[service]
        sent.remove_before(now - self._limits.window)
        earned = self._limits.ratio * len(sent.requests)
        allowed = earned + self._get_slack(nodes, now)
        if len(sent.resends) + 1 > allowed * SPENDABLE_SHARE:
            return False
        sent.resends.append(now)
        return True

    def _get_slack(self, nodes: int, now: float) -> float:
        """Return this node's share of the slack, in resends."""
        if not nodes:
            return 0.0
        has_just_started = now - self._started_at < self._limits.window
        share = STARTUP_SLACK_SHARE if has_just_started else 1.0
        return self._limits.slack * share / nodes
