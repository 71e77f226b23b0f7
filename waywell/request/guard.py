"""What the way of a request asks before it puts a replica at risk."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

from waywell.codes import Code, Refusal

if TYPE_CHECKING:
    from waywell.request.traits import RequestTraits
    from waywell.version.fleet import Replica


class RequestGuard(abc.ABC):
    """Knows which requests crash the replicas that run them."""

    @abc.abstractmethod
    def get_hold_seconds(self, traits: RequestTraits, now: float) -> float:
        """Return in how many seconds a request may be sent on; 0 for now."""

    @abc.abstractmethod
    def may_send(
        self,
        traits: RequestTraits,
        running: int,
        now: float,
    ) -> bool:
        """Answer whether one more replica may be put at risk.

        Parameters
        ----------
        traits
            What the request may be blamed by.
        running
            Attempts at it that run already.
        now
            The present time, in seconds.
        """

    @abc.abstractmethod
    def record_broken_attempt(
        self,
        replica: Replica,
        traits: RequestTraits,
        *,
        has_begun: bool,
        is_over: bool,
    ) -> None:
        """Take in that an attempt broke.

        Parameters
        ----------
        replica
            Where.
        traits
            What the request may be blamed by.
        has_begun
            Whether it had brought a piece of the answer.
        is_over
            Whether the replica is known to have ended.
        """

    @abc.abstractmethod
    def record_served(self, traits: RequestTraits) -> None:
        """Take in that a request was answered whole."""

    def check(self, traits: RequestTraits, now: float) -> None:
        """Refuse a request that is held back.

        Raises
        ------
        Refusal
            With the time at which it may come back.
        """
        seconds = self.get_hold_seconds(traits, now)
        if seconds > 0:
            raise Refusal(
                Code.REQUEST_HELD_BACK, retry_after=round(seconds, 3)
            )
