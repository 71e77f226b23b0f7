"""What to do for a group that has lost a box, as a policy."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from waywell.version.objects import Goal


MAX_TYPICAL_PAUSES = 2.0
"""Typical pauses that a group waits for its own box."""


class BrokenGroup(msgspec.Struct, frozen=True):
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
    def choose(self, broken: BrokenGroup, now: float) -> RepairChoice:
        """Return what to do at ``now``, in seconds."""


class WaitOnly(RepairPolicy):
    """Waits for the lost box however long it takes; a baseline."""

    def choose(self, broken: BrokenGroup, now: float) -> RepairChoice:
        """Return the choice to wait."""
        return RepairChoice()


class SparesOnly(RepairPolicy):
    """Takes a spare at once and never breaks up a group; a baseline."""

    def choose(self, broken: BrokenGroup, now: float) -> RepairChoice:
        """Return the choice to take spares."""
        return RepairChoice(take_spares=True)


class CostPolicy(RepairPolicy):
    """Waits as long as the box may only have paused, then takes boxes.

    A box that pauses and returns costs its absence; a spare, like a box
    that was restarted, costs a load of the model.  Both weights of the
    goal run for as long as the group is out, so they don't change which
    of the two is cheaper, only how much it matters.

    Parameters
    ----------
    goal
        Typical times.
    """

    def __init__(self, goal: Goal) -> None:
        """Work out how long a pause is likelier than a loss."""
        self._patience = min(
            MAX_TYPICAL_PAUSES * goal.pause_seconds,
            goal.load_seconds,
        )

    def choose(self, broken: BrokenGroup, now: float) -> RepairChoice:
        """Return the cheapest choice at ``now``, in seconds."""
        if now - broken.since < self._patience:
            return RepairChoice()
        return RepairChoice(take_spares=True, take_donors=True)
