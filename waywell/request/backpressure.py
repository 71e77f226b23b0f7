"""What replicas have asked of this node: to rest.

Answers replicas that turn requests away and tell for how long they want
nothing more.  What a replica asks is kept apart from what this node believes
of its health: no answer to another request, no regrouping and no new box list
takes it back, only time and the end of the box's life.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from waywell.telemetry.events import log_event

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from waywell.request.ask import AnswerMark
    from waywell.version.fleet import BoxLife, Replica
    from waywell.version.lives import EndedLife

MOST_KEPT = 4096
"""Boxes whose wish is kept, some 200 bytes each: more than a fleet has."""


class Backpressure:
    """Keeps the wishes of replicas to one node, by the life of their box."""

    def __init__(self) -> None:
        """Know of no wish."""
        self._rests: dict[BoxLife, float] = {}

    def note(self, life: BoxLife, mark: AnswerMark, now: float) -> None:
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
        if not mark.rest_seconds:
            return
        ends_at = now + mark.rest_seconds
        self._rests[life] = max(ends_at, self._rests.get(life, ends_at))
        if len(self._rests) > MOST_KEPT:
            self._rests.pop(min(self._rests, key=self._rests.__getitem__))
        log_event(
            'rest_asked',
            box=life.box,
            seconds=mark.rest_seconds,
            left=round(self.find_rest(life, now), 3),
        )

    def find_rest(self, life: BoxLife, now: float) -> float:
        """Return for how long a box still wants nothing, in seconds."""
        return max(0.0, self._rests.get(life, now) - now)

    def may_send(self, life: BoxLife, now: float) -> bool:
        """Answer whether a box may get a request."""
        return not self.find_rest(life, now)

    def list_open(
        self,
        replicas: Sequence[Replica],
        now: float,
    ) -> Sequence[Replica]:
        """Return the replicas that may get a request."""
        if not self._rests:
            return replicas
        return [one for one in replicas if self.may_send(one.key.life, now)]

    def find_release(
        self,
        replicas: Sequence[Replica],
        now: float,
    ) -> float | None:
        """Return in how many seconds the first of some replicas is open.

        Returns
        -------
        float or None
            ``None`` when one of them is open, or none of them will be.
        """
        rests = [self.find_rest(one.key.life, now) for one in replicas]
        return min(rests, default=0.0) or None

    def forget_ended(self, ended: Iterable[EndedLife]) -> None:
        """Forget what boxes asked in lives that are over."""
        for one in ended:
            self._rests.pop(one.life, None)

    def forget_old(self, now: float) -> None:
        """Forget the rests that are over."""
        for life, ends_at in tuple(self._rests.items()):
            if ends_at <= now:
                self._rests.pop(life)

    def count(self, now: float) -> dict[str, float]:
        """Return how many boxes want nothing at the moment."""
        resting = sum(ends_at > now for ends_at in self._rests.values())
        return {'resting': float(resting)}

    def dump(self, now: float) -> dict[str, object]:
        """Return the wishes as plain values."""
        return {
            'resting': {
                life.box: round(ends_at - now, 2)
                for life, ends_at in self._rests.items()
                if ends_at > now
            },
        }
