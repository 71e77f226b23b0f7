"""The attempts of this node that are in progress.

When a box restarts, the requests that ran on it are lost.  Their connections
don't show this if the box lost power, so the attempts are failed as soon as
the restart is known.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from waywell.connection.exchange import SendFault
from waywell.request.attempt import Attempt

if TYPE_CHECKING:
    from collections.abc import Iterable

    from waywell.ids import GroupId, Trait
    from waywell.version.fleet import Replica
    from waywell.version.life_tracker import EndedLife


class RunningAttempts:
    """Fails attempts whose replica has ended or whose request is held back."""

    def __init__(self) -> None:
        """Create an empty set of attempts."""
        self._attempts: set[Attempt] = set()

    def add(self, attempt: Attempt) -> None:
        """Add an attempt when it starts."""
        self._attempts.add(attempt)

    def discard(self, attempt: Attempt) -> None:
        """Remove an attempt that has ended or was dropped."""
        self._attempts.discard(attempt)

    def has_trait(self, trait: Trait) -> bool:
        """Return whether an attempt with a trait is in progress."""
        return any(trait in attempt.traits for attempt in self._attempts)

    def fail_ended(self, ended: Iterable[EndedLife]) -> None:
        """Fail the attempts at ended lives of boxes, and at their groups.

        A group that lost a member makes no progress.  Its streams would
        otherwise wait for the silence timeout, which is twice the longest
        pause that counts as in time.
        """
        lives = {end.life for end in ended}
        groups = {end.standing.group for end in ended if end.standing}
        for attempt in tuple(self._attempts):
            replica = attempt.replica
            if replica is None:
                continue
            if replica.key.life in lives or _is_in(replica, groups):
                fault = SendFault.REPLICA_ENDED
                attempt.post(Attempt.Fault(attempt, fault))

    def fail_quarantined(self, trait: Trait) -> None:
        """Fail the attempts with a trait that crashes replicas.

        An attempt that has received a piece of its answer continues, as its
        replica survived the start of the request.
        """
        for attempt in tuple(self._attempts):
            if trait in attempt.traits and not attempt.has_begun:
                fault = SendFault.HELD_BACK
                attempt.post(Attempt.Fault(attempt, fault))


def _is_in(replica: Replica, groups: set[GroupId]) -> bool:
    return bool(replica.group) and replica.group in groups
