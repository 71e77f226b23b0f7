"""What to do for a group that has lost a box, as a policy."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from waywell.version.objects import Goal


class Repair(msgspec.Struct, frozen=True):
    """What a policy knows about one broken group."""

    since: float
    """When it was first seen broken, in seconds."""

    lost: int
    """Boxes that it misses."""

    spares: int
    """Free boxes that it could take."""

    donors: int
    """Boxes that broken groups of no higher need could give."""

    idle_accelerators: int
    """Accelerators that stand idle while it is broken."""


class RepairChoice(msgspec.Struct, frozen=True):
    """What to do for a broken group now."""

    take_spares: bool = False
    """Fill the missing places with free boxes."""

    take_donors: bool = False
    """Fill them with boxes of other broken groups."""


class RepairPolicy(abc.ABC):
    """Decides how long a broken group waits for its own boxes."""

    @abc.abstractmethod
    def choose(self, repair: Repair, now: float) -> RepairChoice:
        """Return what to do at ``now``, in seconds."""


class WaitOnly(RepairPolicy):
    """Waits for the lost box however long it takes; a baseline."""

    def choose(self, repair: Repair, now: float) -> RepairChoice:
        """Return the choice to wait."""
        return RepairChoice()


class SparesOnly(RepairPolicy):
    """Takes a spare at once and never breaks up a group; a baseline."""

    def choose(self, repair: Repair, now: float) -> RepairChoice:
        """Return the choice to take spares."""
        return RepairChoice(take_spares=True)


class CostPolicy(RepairPolicy):
    """Takes what costs least by the goal's weights.

    Waiting for a restarting box costs the rest of its return time; a
    spare costs a load of the model.  While the box is younger in its
    absence than ``return_seconds`` the restart is the likelier case, so
    the group waits as long as that is cheaper than a load.

    Parameters
    ----------
    goal
        Weights and typical times.
    """

    def __init__(self, goal: Goal) -> None:
        """Keep the weights."""
        self._goal = goal

    def choose(self, repair: Repair, now: float) -> RepairChoice:
        """Return the cheapest choice at ``now``, in seconds."""
        if now - repair.since < self._get_patience():
            return RepairChoice()
        return RepairChoice(take_spares=True, take_donors=True)

    def _get_patience(self) -> float:
        if self._goal.load_seconds <= self._goal.return_seconds:
            return 0
        return self._goal.return_seconds
