"""The attempts of this node that run now, by the replica that has them.

Answers boxes that start again while requests run at them: what ran there is
lost, and a connection to a box that lost power tells nothing.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from waywell.connection.exchange import SendFault
from waywell.request.attempt import Attempt

if TYPE_CHECKING:
    from collections.abc import Iterable

    from waywell.ids import GroupId, Trait
    from waywell.version.fleet import Replica
    from waywell.version.lives import EndedLife


class RunningAttempts:
    """Tells attempts that the life which they depend on is over."""

    def __init__(self) -> None:
        """Know of no attempt."""
        self._attempts: set[Attempt] = set()

    def add(self, attempt: Attempt) -> None:
        """Count an attempt in."""
        self._attempts.add(attempt)

    def discard(self, attempt: Attempt) -> None:
        """Count an attempt out."""
        self._attempts.discard(attempt)

    def has_trait(self, trait: Trait) -> bool:
        """Answer whether an attempt with a trait runs."""
        return any(trait in attempt.traits for attempt in self._attempts)

    def fail_ended(self, ended: Iterable[EndedLife]) -> None:
        """Tell the attempts at lives that are over, or at their groups.

        A group that lost a member stands still, so its streams would wait for
        the silence that is borne, twice the pause that is in time.
        """
        lives = {one.life for one in ended}
        groups = {one.standing.group for one in ended if one.standing}
        for attempt in tuple(self._attempts):
            replica = attempt.replica
            if replica is None:
                continue
            if replica.key.life in lives or _is_in(replica, groups):
                fault = SendFault.REPLICA_ENDED
                attempt.post(Attempt.Fault(attempt, fault))

    def fail_quarantined(self, trait: Trait) -> None:
        """Break off the attempts with a trait that crashes what runs it.

        One that has brought a piece of its answer has not crashed its replica
        in beginning to run, and goes on.
        """
        for attempt in tuple(self._attempts):
            if trait in attempt.traits and not attempt.has_begun:
                fault = SendFault.HELD_BACK
                attempt.post(Attempt.Fault(attempt, fault))


def _is_in(replica: Replica, groups: set[GroupId]) -> bool:
    return bool(replica.group) and replica.group in groups
