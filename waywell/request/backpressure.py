"""Backpressure signals that replicas send to this node with their answers.

A replica that rejects requests may name a rest period in which it wants no
new ones, and a replica that is shutting down announces it in its answers
before the box list shows it.  These signals are kept apart from this node's
view of a replica's health: answers to other requests, regrouping and new box
lists do not revoke them, only time and the end of the box's incarnation do.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from waywell.telemetry.events import log_event

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from waywell.request.decoded_request import AnswerMetadata
    from waywell.version.fleet import BoxLife, Replica
    from waywell.version.life_tracker import EndedLife

LEAVING_SECONDS = 3600.0
"""Seconds for which a box that announced its shutdown gets no requests.  The
box should end within a minute; the limit bounds the cost of a false
announcement."""

MAX_BOXES = 4096
"""Maximum number of boxes kept for each kind of signal, at about 200 bytes
each; more than a fleet has."""


class Backpressure:
    """Keeps the backpressure signals of replicas, by incarnation of the box.

    Both kinds of signals map a box to the time at which they expire.
    """

    def __init__(self) -> None:
        """Create a table without signals."""
        self._rests: dict[BoxLife, float] = {}
        self._leaving: dict[BoxLife, float] = {}

    def record(
        self, life: BoxLife, metadata: AnswerMetadata, now: float
    ) -> None:
        """Record the backpressure signals of an answer.

        Parameters
        ----------
        life
            Box that answered, with its incarnation.
        metadata
            Metadata of the answer.
        now
            Current time, in seconds.
        """
        if metadata.is_leaving:
            self._record_leaving(life, now)
        if metadata.rest_seconds:
            self._record_rest(life, metadata.rest_seconds, now)

    def get_remaining_rest(self, life: BoxLife, now: float) -> float:
        """Return the seconds until a box's rest period ends; 0 without one."""
        return max(0.0, self._rests.get(life, now) - now)

    def may_send(self, life: BoxLife, now: float) -> bool:
        """Return whether a box accepts new requests."""
        return life not in self._leaving and not self.get_remaining_rest(
            life, now
        )

    def filter_available(
        self,
        replicas: Sequence[Replica],
        now: float,
    ) -> Sequence[Replica]:
        """Return the replicas that accept new requests."""
        if not self._rests and not self._leaving:
            return replicas
        return [
            replica
            for replica in replicas
            if self.may_send(replica.key.life, now)
        ]

    def get_shortest_rest(
        self,
        lives: Iterable[BoxLife],
        now: float,
    ) -> float | None:
        """Return the seconds until the first of some boxes ends its rest.

        Returns
        -------
        float or None
            ``None`` if one of them accepts requests now or if all of them
            are leaving.
        """
        rests = [
            self.get_remaining_rest(life, now)
            for life in lives
            if life not in self._leaving
        ]
        return min(rests, default=0.0) or None

    def forget_ended(self, ended: Iterable[EndedLife]) -> None:
        """Remove the signals of box incarnations that have ended."""
        for entry in ended:
            self._rests.pop(entry.life, None)
            self._leaving.pop(entry.life, None)

    def forget_expired(self, now: float) -> None:
        """Remove the signals that have expired."""
        for signals in (self._rests, self._leaving):
            for life, ends_at in tuple(signals.items()):
                if ends_at <= now:
                    signals.pop(life)

    def count(self, now: float) -> dict[str, float]:
        """Return the number of boxes that accept no requests, by signal."""
        resting = sum(ends_at > now for ends_at in self._rests.values())
        return {
            'resting': float(resting),
            'leaving': float(len(self._leaving)),
        }

    def dump(self, now: float) -> dict[str, object]:
        """Return the signals as plain values for the state dump."""
        return {
            'resting': {
                life.box: round(ends_at - now, 2)
                for life, ends_at in self._rests.items()
                if ends_at > now
            },
            'leaving': [life.box for life in self._leaving],
        }

    def _record_leaving(self, life: BoxLife, now: float) -> None:
        if life not in self._leaving:
            log_event('leaving_told', box=life.box)
        self._leaving[life] = now + LEAVING_SECONDS
        _evict_first_to_expire(self._leaving)

    def _record_rest(self, life: BoxLife, seconds: float, now: float) -> None:
        ends_at = now + seconds
        self._rests[life] = max(ends_at, self._rests.get(life, ends_at))
        _evict_first_to_expire(self._rests)
        left = round(self.get_remaining_rest(life, now), 3)
        log_event('rest_asked', box=life.box, seconds=seconds, left=left)


def _evict_first_to_expire(signals: dict[BoxLife, float]) -> None:
    """Remove the signal that expires first if there are too many."""
    if len(signals) > MAX_BOXES:
        signals.pop(min(signals, key=signals.__getitem__))
