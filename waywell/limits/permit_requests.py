"""Questions to the dealers of turns that are open, and dealers gone silent."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs

from waywell.connection.peer import LimitTold, TurnAnswer, TurnAsk
from waywell.limits.permit_bucket import MIN_RETRY_SECONDS, PermitGrant
from waywell.telemetry.events import log_event
from waywell.version.fleet import BoxLife

if TYPE_CHECKING:
    from waywell.ids import NodeId
    from waywell.membership.links import PeerLinks

ANSWER_SECONDS = 0.06
"""For a dealer to answer: some ten times the way there and back; a request
that waits for its turn is not tried elsewhere meanwhile."""

SILENCE_SECONDS = 1.0
"""For which a dealer that did not answer is not asked."""

MAX_PENDING = 1024
"""Questions without an answer that are remembered."""


@attrs.frozen
class LatePermits:
    """Turns that came when their request no longer waited for them."""

    life: BoxLife
    """The replica's box."""

    turns: int
    """How many."""

    asked_at: float
    """When they were asked for, in seconds."""


@attrs.frozen
class _Asked:
    """A question that is open."""

    life: BoxLife
    at: float
    answered: asyncio.Future[PermitGrant]


class PermitRequests:
    """Asks other nodes for turns.

    Parameters
    ----------
    links
        Streams to other nodes.
    """

    def __init__(self, links: PeerLinks) -> None:
        """Ask nobody yet."""
        self._links = links
        self._serial = 0
        self._open: OrderedDict[int, _Asked] = OrderedDict()
        self._silent: dict[NodeId, float] = {}

    def may_ask(self, dealer: NodeId, now: float) -> bool:
        """Answer whether another node is likely to answer."""
        if not self._links.has_peer(dealer):
            return False
        return self._silent.get(dealer, 0) <= now

    async def ask(
        self,
        dealer: NodeId,
        told: LimitTold,
        rank: int,
        now: float,
    ) -> PermitGrant:
        """Ask a dealer for a turn; one that is silent counts as a refusal.

        Parameters
        ----------
        dealer
            The node to ask.
        told
            The limit, as this node knows it.
        rank
            Urgency of the request, 0 first.
        now
            The present time, in seconds.
        """
        self._serial += 1
        answered: asyncio.Future[PermitGrant]
        answered = asyncio.get_running_loop().create_future()
        life = BoxLife(told.box, told.incarnation)
        self._open[self._serial] = _Asked(life, now, answered)
        while len(self._open) > MAX_PENDING:
            self._open.popitem(last=False)
        self._links.send(dealer, TurnAsk(self._serial, told, rank))
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                return await answered
        except TimeoutError:
            self._silent[dealer] = now + SILENCE_SECONDS
            log_event('dealer_silent', node=dealer, box=told.box)
            return PermitGrant(retry_after=MIN_RETRY_SECONDS)

    def handle_answer(self, answer: TurnAnswer) -> LatePermits | None:
        """Take in an answer; return its turns where nobody waits for them."""
        asked = self._open.pop(answer.ask, None)
        if asked is None:
            return None
        if not asked.answered.done():
            asked.answered.set_result(PermitGrant(answer.turns, answer.wait))
            return None
        return LatePermits(asked.life, answer.turns, asked.at)

    def forget_old(self, now: float) -> None:
        """Ask those again that were silent for long enough."""
        for node, until in tuple(self._silent.items()):
            if until <= now:
                self._silent.pop(node)

    def count_pending(self) -> int:
        """Return how many questions are open."""
        return len(self._open)
