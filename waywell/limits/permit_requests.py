"""Permit requests to other nodes, and issuers that have stopped answering."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs

from waywell.connection.peer import LimitNotice, PermitAnswer, PermitRequest
from waywell.limits.permit_bucket import MIN_RETRY_SECONDS, PermitGrant
from waywell.telemetry.events import log_event
from waywell.version.fleet import BoxLife

if TYPE_CHECKING:
    from waywell.ids import NodeId
    from waywell.membership.links import PeerLinks

ANSWER_SECONDS = 0.06
"""Seconds that an issuer has to answer, some ten times the round trip.  A
request that waits for its permit is not tried elsewhere meanwhile."""

SILENCE_SECONDS = 1.0
"""Seconds for which an issuer that did not answer is not asked again."""

MAX_PENDING = 1024
"""Largest number of unanswered permit requests that are kept."""


@attrs.frozen
class LatePermits:
    """Permits that arrived after their request stopped waiting for them."""

    life: BoxLife
    """Life of the replica's box."""

    permits: int
    """Number of permits."""

    requested_at: float
    """Time at which they were requested, in seconds."""


@attrs.frozen
class _PendingRequest:
    """A permit request that has not been answered."""

    life: BoxLife
    requested_at: float
    answer: asyncio.Future[PermitGrant]


class PermitRequests:
    """Requests permits from other nodes.

    Parameters
    ----------
    links
        Streams to other nodes.
    """

    def __init__(self, links: PeerLinks) -> None:
        """Start without pending requests."""
        self._links = links
        self._serial = 0
        self._pending: OrderedDict[int, _PendingRequest] = OrderedDict()
        self._silent_until: dict[NodeId, float] = {}

    def may_ask(self, issuer: NodeId, now: float) -> bool:
        """Return whether an issuer is connected and has not timed out."""
        if not self._links.has_peer(issuer):
            return False
        return self._silent_until.get(issuer, 0) <= now

    async def ask(
        self,
        issuer: NodeId,
        told: LimitNotice,
        rank: int,
        now: float,
    ) -> PermitGrant:
        """Request a permit from an issuer; a timeout counts as a refusal.

        Parameters
        ----------
        issuer
            Node to ask.
        told
            The replica's limit as this node knows it.
        rank
            Priority of the request; 0 is the most urgent.
        now
            Current time, in seconds.
        """
        self._serial += 1
        answer: asyncio.Future[PermitGrant]
        answer = asyncio.get_running_loop().create_future()
        life = BoxLife(told.box, told.incarnation)
        self._pending[self._serial] = _PendingRequest(life, now, answer)
        while len(self._pending) > MAX_PENDING:
            self._pending.popitem(last=False)
        self._links.send(issuer, PermitRequest(self._serial, told, rank))
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                return await answer
        except TimeoutError:
            self._silent_until[issuer] = now + SILENCE_SECONDS
            log_event('dealer_silent', node=issuer, box=told.box)
            return PermitGrant(retry_after=MIN_RETRY_SECONDS)

    def handle_answer(self, answer: PermitAnswer) -> LatePermits | None:
        """Complete the answered request.

        Returns
        -------
        LatePermits or None
            The permits, if their request has timed out.
        """
        pending = self._pending.pop(answer.number, None)
        if pending is None:
            return None
        if not pending.answer.done():
            pending.answer.set_result(
                PermitGrant(answer.permits, answer.retry_after)
            )
            return None
        return LatePermits(pending.life, answer.permits, pending.requested_at)

    def forget_old(self, now: float) -> None:
        """Forget the timeouts after which an issuer may be asked again."""
        for node, until in tuple(self._silent_until.items()):
            if until <= now:
                self._silent_until.pop(node)

    def count_pending(self) -> int:
        """Return the number of unanswered permit requests."""
        return len(self._pending)
