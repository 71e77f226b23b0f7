"""What one node has seen of each replica: its own load, silence, failures."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from waywell.version.fleet import BoxLife, ReplicaKey

BACKOFF_SECONDS = 1.0
"""For which a replica that fell silent or failed gets nothing new; a streak
of failures doubles it.  The list lapses after about three heartbeats."""

MAX_BACKOFF_SECONDS = 8.0
"""Longest rest, in seconds; a replica that fails for longer is tried anew."""

MAX_STREAK = 8
"""Failures in a row that are counted; the rest is at its longest before."""

SMOOTHING = 0.2
"""Weight of the newest reading in a running mean."""


@attrs.define
class ReplicaRecord:
    """One replica, as this node has seen it."""

    in_flight: int = 0
    """Requests of this node."""

    heard_at: float = 0.0
    """When it last sent something, in seconds."""

    event_at: float = 0.0
    """When it last sent a piece of an answer, in seconds."""

    backoff_until: float = 0.0
    """Until when it gets nothing new."""

    streak: int = 0
    """Silences and failures in a row."""

    slowness: float = 1.0
    """Running mean of how much slower than expected its answers begin."""


class ReplicaBook:
    """Keeps one record for each replica."""

    def __init__(self) -> None:
        """Start without records."""
        self._records: dict[ReplicaKey, ReplicaRecord] = {}

    def get(self, key: ReplicaKey) -> ReplicaRecord:
        """Return the record of a replica."""
        record = self._records.get(key)
        if record is None:
            record = ReplicaRecord()
            self._records[key] = record
        return record

    def list_loads(self) -> dict[BoxLife, int]:
        """Return this node's requests in flight by the box that has them."""
        loads: Counter[BoxLife] = Counter()
        for key, record in self._records.items():
            if record.in_flight:
                loads[key.life] += record.in_flight
        return loads

    def forget_others(self, keys: Iterable[ReplicaKey]) -> None:
        """Drop the idle records of replicas that are gone."""
        present = set(keys)
        for key, record in tuple(self._records.items()):
            if key not in present and not record.in_flight:
                self._records.pop(key)

    def record_start(self, key: ReplicaKey) -> None:
        """Count a request in."""
        self.get(key).in_flight += 1

    def record_end(self, key: ReplicaKey) -> None:
        """Count a request out."""
        self.get(key).in_flight -= 1

    def record_message(self, key: ReplicaKey, now: float) -> None:
        """Note that something came."""
        record = self.get(key)
        record.heard_at = now
        record.streak = 0
        record.backoff_until = 0.0

    def record_event(self, key: ReplicaKey, now: float) -> None:
        """Note that a piece of an answer came."""
        self.record_message(key, now)
        self.get(key).event_at = now

    def retract_failure(self, key: ReplicaKey) -> None:
        """Let a replica rest no longer that was doubted for nothing."""
        record = self.get(key)
        record.backoff_until = 0.0
        record.streak = max(0, record.streak - 1)

    def clear_backoffs(self) -> None:
        """Let no replica rest any longer: the failures were this node's."""
        for record in self._records.values():
            record.backoff_until = 0.0
            record.streak = 0

    def record_first_event(self, key: ReplicaKey, ratio: float) -> None:
        """Note how long an answer's beginning took.

        Parameters
        ----------
        key
            The replica.
        ratio
            The time, as a part of what was expected.
        """
        record = self.get(key)
        record.slowness += SMOOTHING * (ratio - record.slowness)

    def record_failure(self, key: ReplicaKey, now: float) -> None:
        """Let a replica rest that failed, refused or fell silent."""
        record = self.get(key)
        record.streak = min(MAX_STREAK, record.streak + 1)
        rest = min(
            MAX_BACKOFF_SECONDS, BACKOFF_SECONDS * 2 ** (record.streak - 1)
        )
        record.backoff_until = now + rest

    def is_silent(self, key: ReplicaKey, since: float, now: float) -> bool:
        """Answer whether nothing came for a while although work is there."""
        record = self.get(key)
        return record.in_flight > 0 and now - record.heard_at > since
