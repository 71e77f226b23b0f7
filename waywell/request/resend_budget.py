"""Second sends: a share of the requests, over all entry boxes together."""

from __future__ import annotations

from collections import defaultdict, deque
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from waywell.ids import ServiceName

TRUSTED_SHARE = 0.8
"""Part of the budget that is spent; the rest covers requests in flight."""

STARTUP_SLACK_SHARE = 0.2
"""Part of its slack that a process takes in its first window: after all nodes
were killed at once, it was spent before."""


@attrs.frozen
class ResendLimits:
    """What all entry boxes together may send again."""

    ratio: float = 0.1
    """Second sends for each request."""

    slack: float = 10.0
    """Second sends beyond the ratio, over the window."""

    window: float = 10.0
    """Seconds over which both are counted."""


@attrs.define
class _Counts:
    requests: deque[float] = attrs.Factory(deque)
    resends: deque[float] = attrs.Factory(deque)

    def forget(self, before: float) -> None:
        for moments in (self.requests, self.resends):
            while moments and moments[0] < before:
                moments.popleft()


class ResendBudget:
    """One node's part of the budget, by service.

    The ratio is kept over this node's own requests; the slack is split
    evenly among the nodes.  A node that hears no others must be given the
    number of nodes that it last knew.

    Parameters
    ----------
    limits
        The budget of all nodes.
    started_at
        When this process started, in seconds.  What an earlier process of
        this node has spent of the slack is not known for one window.
    """

    def __init__(self, limits: ResendLimits, started_at: float) -> None:
        """Start without requests."""
        self._limits = limits
        self._started_at = started_at
        self._counts: dict[ServiceName, _Counts] = defaultdict(_Counts)

    def record_request(self, service: ServiceName, now: float) -> None:
        """Count a request of a caller."""
        self._counts[service].requests.append(now)

    def spend(self, service: ServiceName, nodes: int, now: float) -> bool:
        """Take one second send from the budget, if it is there.

        Parameters
        ----------
        service
            Service that gets it.
        nodes
            Entry boxes that share the budget, this one counted; 0 while
            that is not known, and then nothing of the slack is taken.
        now
            The present time, in seconds.
        """
        counts = self._counts[service]
        counts.forget(now - self._limits.window)
        earned = self._limits.ratio * len(counts.requests)
        part = earned + self._get_slack(nodes, now)
        if len(counts.resends) + 1 > part * TRUSTED_SHARE:
            return False
        counts.resends.append(now)
        return True

    def _get_slack(self, nodes: int, now: float) -> float:
        """Return this node's part of the slack."""
        if not nodes:
            return 0.0
        is_fresh = now - self._started_at < self._limits.window
        share = STARTUP_SLACK_SHARE if is_fresh else 1.0
        return self._limits.slack * share / nodes
