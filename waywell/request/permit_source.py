"""Interface to the permits for replicas with a rate limit."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

import attrs

from waywell.connection.limit_header import NO_LIMIT

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from waywell.ids import HallName
    from waywell.version.fleet import BoxLife, Replica


MAX_PERMIT_DENIALS = 3
"""Maximum number of replicas that may deny a request a permit.  After that it
goes only to replicas without a rate limit, or is refused at once."""


@attrs.frozen
class Permit:
    """Permission to send one request to one replica."""

    until: float = 0.0
    """Time at which it expires, in seconds; ignored without a rate limit."""


class PermitSource(abc.ABC):
    """Tracks rate limits of replicas and issues permits within them.

    All nodes share the permits of a replica.
    """

    @abc.abstractmethod
    def record_limit(
        self,
        life: BoxLife,
        hall: HallName,
        limit: float,
        sent_at: float,
    ) -> None:
        """Record the rate limit that an answer named.

        Parameters
        ----------
        life
            Box that answered, with its incarnation.
        hall
            Data hall of the box.
        limit
            Requests per second that the box accepts from all nodes.
        sent_at
            Time at which the request was sent, in seconds.
        """

    @abc.abstractmethod
    def get_limit(self, life: BoxLife) -> float:
        """Return the requests per second that a box accepts from all nodes."""

    @abc.abstractmethod
    def may_ask(self, life: BoxLife, denied: int, now: float) -> bool:
        """Return whether a box has no rate limit or may have a permit left.

        Parameters
        ----------
        life
            Box that the request may be sent to.
        denied
            Number of permits that the request was denied elsewhere.
        now
            Current time, in seconds.
        """

    @abc.abstractmethod
    async def acquire_permit(
        self,
        life: BoxLife,
        hall: HallName,
        rank: int,
    ) -> Permit | None:
        """Return a permit, or ``None`` if none is available now.

        Parameters
        ----------
        life
            Box that the request is to be sent to.
        hall
            Data hall of the box.
        rank
            Urgency of the request; lower values are served first.
        """

    @abc.abstractmethod
    def find_wait(self, lives: Iterable[BoxLife], now: float) -> float | None:
        """Return the seconds until the first of some boxes has a permit.

        Returns
        -------
        float or None
            ``None`` if one of them has no rate limit or no box is given.
        """

    @abc.abstractmethod
    def filter_available(
        self,
        replicas: Sequence[Replica],
        denied: int,
        now: float,
    ) -> Sequence[Replica]:
        """Return the replicas that have no rate limit or may have a permit."""

    def may_send(
        self, life: BoxLife, permit: Permit | None, now: float
    ) -> bool:
        """Return whether a request may be sent, right before the write.

        The replica may have named a rate limit, or the permit may have
        expired, while the request connected.
        """
        if self.get_limit(life) == NO_LIMIT:
            return True
        return permit is not None and now < permit.until
