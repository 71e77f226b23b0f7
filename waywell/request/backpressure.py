"""What replicas have asked of this node: to rest, or nothing more.

Answers replicas that turn requests away and tell for how long they want
nothing more, and replicas that say in their answers that they leave, before
the box list shows it.  What a replica asks is kept apart from what this node
believes of its health: no answer to another request, no regrouping and no new
box list takes it back, only time and the end of the box's life.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from waywell.telemetry.events import log_event

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from waywell.request.ask import AnswerMark
    from waywell.version.fleet import BoxLife, Replica
    from waywell.version.lives import EndedLife

LEAVING_SECONDS = 3600.0
"""For which a box that said that it leaves gets nothing: it is to end within
a minute, and a word that was wrong costs a box no longer than this."""

MAX_BOXES = 4096
"""Boxes whose wish is kept, some 200 bytes each: more than a fleet has."""


class Backpressure:
    """Keeps the wishes of replicas to one node, by the life of their box."""

    def __init__(self) -> None:
        """Know of no wish."""
        self._rests: dict[BoxLife, float] = {}
        self._leaving: dict[BoxLife, float] = {}

    def record(self, life: BoxLife, mark: AnswerMark, now: float) -> None:
        """Take in what an answer asks.

        Parameters
        ----------
        life
            The box that answered.
        mark
            What it says of its answer.
        now
            The present time, in seconds.
        """
        if mark.is_leaving:
            self._note_leaving(life, now)
        if mark.rest_seconds:
            self._note_rest(life, mark.rest_seconds, now)

    def get_remaining_rest(self, life: BoxLife, now: float) -> float:
        """Return for how long a box still wants nothing, in seconds."""
        return max(0.0, self._rests.get(life, now) - now)

    def may_send(self, life: BoxLife, now: float) -> bool:
        """Answer whether a box may get a request."""
        return life not in self._leaving and not self.get_remaining_rest(
            life, now
        )

    def filter_available(
        self,
        replicas: Sequence[Replica],
        now: float,
    ) -> Sequence[Replica]:
        """Return the replicas that may get a request."""
        if not self._rests and not self._leaving:
            return replicas
        return [one for one in replicas if self.may_send(one.key.life, now)]

    def get_shortest_rest(
        self,
        lives: Iterable[BoxLife],
        now: float,
    ) -> float | None:
        """Return in how many seconds the first of some boxes is open.

        Returns
        -------
        float or None
            ``None`` when one of them is open, or none of them will be.
        """
        rests = [
            self.get_remaining_rest(life, now)
            for life in lives
            if life not in self._leaving
        ]
        return min(rests, default=0.0) or None

    def forget_ended(self, ended: Iterable[EndedLife]) -> None:
        """Forget what boxes asked in lives that are over."""
        for one in ended:
            self._rests.pop(one.life, None)
            self._leaving.pop(one.life, None)

    def forget_expired(self, now: float) -> None:
        """Forget the wishes whose time is over."""
        for wishes in (self._rests, self._leaving):
            for life, ends_at in tuple(wishes.items()):
                if ends_at <= now:
                    wishes.pop(life)

    def count(self, now: float) -> dict[str, float]:
        """Return how many boxes want nothing at the moment."""
        resting = sum(ends_at > now for ends_at in self._rests.values())
        return {
            'resting': float(resting),
            'leaving': float(len(self._leaving)),
        }

    def dump(self, now: float) -> dict[str, object]:
        """Return the wishes as plain values."""
        return {
            'resting': {
                life.box: round(ends_at - now, 2)
                for life, ends_at in self._rests.items()
                if ends_at > now
            },
            'leaving': [life.box for life in self._leaving],
        }

    def _note_leaving(self, life: BoxLife, now: float) -> None:
        if life not in self._leaving:
            log_event('leaving_told', box=life.box)
        self._leaving[life] = now + LEAVING_SECONDS
        _drop_first_to_end(self._leaving)

    def _note_rest(self, life: BoxLife, seconds: float, now: float) -> None:
        ends_at = now + seconds
        self._rests[life] = max(ends_at, self._rests.get(life, ends_at))
        _drop_first_to_end(self._rests)
        left = round(self.get_remaining_rest(life, now), 3)
        log_event('rest_asked', box=life.box, seconds=seconds, left=left)


def _drop_first_to_end(wishes: dict[BoxLife, float]) -> None:
    """Keep no more wishes than are allowed."""
    if len(wishes) > MAX_BOXES:
        wishes.pop(min(wishes, key=wishes.__getitem__))
