"""Interface of the guard that holds back requests that crash replicas."""

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
        """Return the seconds for which a request is held; 0 if it is not."""

    @abc.abstractmethod
    def may_send(
        self,
        traits: RequestTraits,
        running: int,
        now: float,
    ) -> bool:
        """Return whether a request may be sent to one more replica.

        Parameters
        ----------
        traits
            Traits of the request by which crashes are attributed to it.
        running
            Number of its attempts that are running.
        now
            Current time, in seconds.
        """

    @abc.abstractmethod
    def record_broken_attempt(
        self,
        replica: Replica,
        traits: RequestTraits,
        *,
        has_begun: bool,
        has_ended: bool,
    ) -> None:
        """Record an attempt whose connection broke.

        Parameters
        ----------
        replica
            Replica that ran the attempt.
        traits
            Traits of the request by which crashes are attributed to it.
        has_begun
            Whether a part of the answer had arrived.
        has_ended
            Whether the replica is known to have ended.
        """

    @abc.abstractmethod
    def record_served(self, traits: RequestTraits) -> None:
        """Record that a request was answered completely."""

    def check(self, traits: RequestTraits, now: float) -> None:
        """Raise a refusal if a request is held back.

        Raises
        ------
        Refusal
            If the request is held back, with the seconds until its release.
        """
        seconds = self.get_hold_seconds(traits, now)
        if seconds > 0:
            raise Refusal(
                Code.REQUEST_HELD_BACK, retry_after=round(seconds, 3)
            )
