"""What the way of a request asks before it goes to a replica with a limit."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

import attrs

from waywell.connection.limit_header import NO_LIMIT

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from waywell.ids import HallName
    from waywell.version.fleet import BoxLife, Replica


MOST_MISSED = 3
"""Replicas with a limit at which a request asks for a turn; after that it only
goes to those without, or is refused at once."""


@attrs.frozen
class Turn:
    """The right to send one request to one replica."""

    until: float = 0.0
    """When it lapses, in seconds; it has no meaning without a limit."""


class TurnSource(abc.ABC):
    """Knows the limits of replicas, and has the turns that all nodes share."""

    @abc.abstractmethod
    def note_answer(
        self,
        life: BoxLife,
        hall: HallName,
        limit: float,
        sent_at: float,
    ) -> None:
        """Take in what an answer said of its replica's limit.

        Parameters
        ----------
        life
            The box that answered.
        hall
            Its data hall.
        limit
            Requests a second that it takes from all nodes.
        sent_at
            When the request left, in seconds.
        """

    @abc.abstractmethod
    def get_limit(self, life: BoxLife) -> float:
        """Return the requests a second that a box takes from all nodes."""

    @abc.abstractmethod
    def may_ask(self, life: BoxLife, missed: int, now: float) -> bool:
        """Answer whether a box has no limit, or may have a turn left.

        Parameters
        ----------
        life
            The box.
        missed
            Turns that the request did not get elsewhere.
        now
            The present time, in seconds.
        """

    @abc.abstractmethod
    async def take_turn(
        self,
        life: BoxLife,
        hall: HallName,
        rank: int,
    ) -> Turn | None:
        """Return a turn, or ``None`` where there is none now.

        Parameters
        ----------
        life
            The box that is to get a request.
        hall
            Its data hall.
        rank
            Urgency of the request, 0 first.
        """

    @abc.abstractmethod
    def find_wait(self, lives: Iterable[BoxLife], now: float) -> float | None:
        """Return in how many seconds the first of some boxes has a turn.

        Returns
        -------
        float or None
            ``None`` where one of them has no limit, or there are none.
        """

    @abc.abstractmethod
    def list_open(
        self,
        replicas: Sequence[Replica],
        missed: int,
        now: float,
    ) -> Sequence[Replica]:
        """Return the replicas that may be asked."""

    def may_send(self, life: BoxLife, turn: Turn | None, now: float) -> bool:
        """Answer, in the turn of the write, whether a request may go out."""
        if self.get_limit(life) == NO_LIMIT:
            return True
        return turn is not None and now < turn.until
