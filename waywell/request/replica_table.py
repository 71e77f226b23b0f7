"""One node's records of replicas: requests in flight, failures, slowness."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from waywell.version.fleet import BoxLife, ReplicaKey

BACKOFF_SECONDS = 1.0
"""Seconds for which a replica that failed or fell silent gets no new requests.
Each further failure in a row doubles it.  The box list takes about three
heartbeats to drop a box that has ended."""

MAX_BACKOFF_SECONDS = 8.0
"""Longest backoff, in seconds, after which a failing replica is tried
again."""

MAX_STREAK = 8
"""Maximum counted failures in a row; the backoff reaches its maximum
before."""

SMOOTHING = 0.2
"""Weight of the newest value in the moving average of slowness."""


@attrs.define
class ReplicaRecord:
    """Load and failure history of one replica, as observed by this node."""

    in_flight: int = 0
    """Number of requests of this node that it runs."""

    heard_at: float = 0.0
    """Time at which it last sent anything, in seconds."""

    event_at: float = 0.0
    """Time at which it last sent a part of an answer, in seconds."""

    backoff_until: float = 0.0
    """Time until which it gets no new requests, in seconds."""

    streak: int = 0
    """Number of silences and failures in a row."""

    slowness: float = 1.0
    """Moving average of actual over expected time to the first event."""


class ReplicaTable:
    """Keeps one record for each replica."""

    def __init__(self) -> None:
        """Create a table without records."""
        self._records: dict[ReplicaKey, ReplicaRecord] = {}

    def get(self, key: ReplicaKey) -> ReplicaRecord:
        """Return the record of a replica, creating it on first use."""
        record = self._records.get(key)
        if record is None:
            record = ReplicaRecord()
            self._records[key] = record
        return record

    def list_loads(self) -> dict[BoxLife, int]:
        """Return this node's requests in flight by the box that runs them."""
        loads: Counter[BoxLife] = Counter()
        for key, record in self._records.items():
            if record.in_flight:
                loads[key.life] += record.in_flight
        return loads

    def forget_others(self, keys: Iterable[ReplicaKey]) -> None:
        """Remove the idle records of replicas other than the given ones."""
        present = set(keys)
        for key, record in tuple(self._records.items()):
            if key not in present and not record.in_flight:
                self._records.pop(key)

    def record_start(self, key: ReplicaKey) -> None:
        """Record that a request was sent to a replica."""
        self.get(key).in_flight += 1

    def record_end(self, key: ReplicaKey) -> None:
        """Record that a request to a replica ended."""
        self.get(key).in_flight -= 1

    def record_message(self, key: ReplicaKey, now: float) -> None:
        """Record that a replica sent something, which ends its backoff."""
        record = self.get(key)
        record.heard_at = now
        record.streak = 0
        record.backoff_until = 0.0

    def record_event(self, key: ReplicaKey, now: float) -> None:
        """Record that a replica sent a part of an answer."""
        self.record_message(key, now)
        self.get(key).event_at = now

    def retract_failure(self, key: ReplicaKey) -> None:
        """End a replica's backoff and uncount a failure found unfounded."""
        record = self.get(key)
        record.backoff_until = 0.0
        record.streak = max(0, record.streak - 1)

    def clear_backoffs(self) -> None:
        """End all backoffs, as the failures were of this node's links."""
        for record in self._records.values():
            record.backoff_until = 0.0
            record.streak = 0

    def record_first_event(self, key: ReplicaKey, ratio: float) -> None:
        """Record the time to the first event of an answer.

        Parameters
        ----------
        key
            Replica that answered.
        ratio
            Actual time divided by the expected time.
        """
        record = self.get(key)
        record.slowness += SMOOTHING * (ratio - record.slowness)

    def record_failure(self, key: ReplicaKey, now: float) -> None:
        """Put a replica in backoff that failed, refused or fell silent."""
        record = self.get(key)
        record.streak = min(MAX_STREAK, record.streak + 1)
        backoff = min(
            MAX_BACKOFF_SECONDS, BACKOFF_SECONDS * 2 ** (record.streak - 1)
        )
        record.backoff_until = now + backoff

    def is_silent(self, key: ReplicaKey, seconds: float, now: float) -> bool:
        """Return whether a replica with requests has sent nothing for a while.

        Parameters
        ----------
        key
            Replica to check.
        seconds
            Time without data after which it counts as silent.
        now
            Current time, in seconds.
        """
        record = self.get(key)
        return record.in_flight > 0 and now - record.heard_at > seconds
