"""Policies for the repair of a group that has lost a box."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from waywell.version.objects import Goal


MAX_TYPICAL_PAUSES = 2.0
"""Longest wait for a group's own box, in multiples of a typical pause."""


class BrokenGroup(msgspec.Struct, frozen=True):
    """Facts about one broken group that a policy decides by."""

    since: float
    """Time at which it was first seen broken, in seconds."""

    lost: int
    """Number of its boxes that are missing."""

    spares: int
    """Number of free boxes that it could take."""

    donors: int
    """Number of boxes that broken groups of no higher need could give."""

    idle_accelerators: int
    """Number of accelerators that are idle while it is broken."""


class RepairChoice(msgspec.Struct, frozen=True):
    """Measures to take for a broken group now; none means to wait."""

    take_spares: bool = False
    """Whether to replace the missing boxes by free boxes."""

    take_donors: bool = False
    """Whether to replace them by boxes of other broken groups."""


class RepairPolicy(abc.ABC):
    """Decides how long a broken group waits for its own boxes."""

    @abc.abstractmethod
    def choose(self, broken: BrokenGroup, now: float) -> RepairChoice:
        """Return the measures to take at ``now``, in seconds."""


class WaitOnly(RepairPolicy):
    """Waits for the lost box without a time limit; a baseline."""

    def choose(self, broken: BrokenGroup, now: float) -> RepairChoice:
        """Return the choice to wait."""
        return RepairChoice()


class SparesOnly(RepairPolicy):
    """Takes spares immediately and never splits a group; a baseline."""

    def choose(self, broken: BrokenGroup, now: float) -> RepairChoice:
        """Return the choice to take spares."""
        return RepairChoice(take_spares=True)


class CostPolicy(RepairPolicy):
    """Waits as long as the box may only be paused, then takes other boxes.

    A box that pauses and returns costs the time of its absence.  A spare, like
    a restarted box, costs the time to load the model.  Both weights of the
    goal apply for as long as the group is out of service, so they don't change
    which choice is cheaper, only by how much.

    Parameters
    ----------
    goal
        Typical durations of a pause and of a model load.
    """

    def __init__(self, goal: Goal) -> None:
        """Compute how long a pause is more likely than a loss."""
        self._max_wait = min(
            MAX_TYPICAL_PAUSES * goal.pause_seconds,
            goal.load_seconds,
        )

    def choose(self, broken: BrokenGroup, now: float) -> RepairChoice:
        """Return the cheapest choice at ``now``, in seconds."""
        if now - broken.since < self._max_wait:
            return RepairChoice()
        return RepairChoice(take_spares=True, take_donors=True)
