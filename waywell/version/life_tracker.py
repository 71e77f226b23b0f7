"""Detection of restarted boxes and of the groups of their former lives.

Boxes may crash and return under the same id within a second, alone or many at
once. A restarted box holds no weights and no state, but the head of its former
group does not notice: it takes requests until it breaks by itself. State about
a box is therefore stored by its life, and a new life ends all of it here; the
box itself waits until its former group serves nowhere.

Which of two lives is the later one follows from the order in which the box
lists showed them, never from a comparison of clocks. A list is only replaced
by a later one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from waywell.version.fleet import BoxLife, FleetBox, Standing

if TYPE_CHECKING:
    from waywell.ids import BoxId, GroupId
    from waywell.version.fleet import Fleet, FleetChange

DEFAULT_STALL_SECONDS = 6.0
"""Seconds for which a head continues without one of its members, unless the
deployment states another time."""

STALL_MARGIN = 1.0
"""Seconds by which the box list may show a new life after its beginning, or a
head may break after it should."""

ENDED_LIFE_SECONDS = 60.0
"""Seconds for which an ended incarnation is remembered.  After that no entry
of it is listed, even by a store restored from an older copy."""

GONE_BOX_SECONDS = 15.0
"""Seconds for which a box that is off the list is remembered.  It may return,
and after that time no earlier order to it is carried out."""


@attrs.frozen
class FormerStanding:
    """Place of a box in a group during its former life."""

    standing: Standing
    """Group, epoch, rank and state of the former life."""

    ended_at: float
    """When the box list first showed the new life, in seconds."""


@attrs.frozen
class EndedLife:
    """A life of a box that is over."""

    life: BoxLife
    """Box and its former incarnation."""

    standing: Standing | None
    """Place of the former life in a group, if any."""


@attrs.frozen
class _Gone:
    """A box that is off the list, as it was last listed."""

    box: FleetBox
    since: float


class LifeTracker:
    """Tracks places of boxes until their lives and groups have ended.

    Parameters
    ----------
    stall
        How long a head that has lost a member continues, in seconds.
    """

    def __init__(self, stall: float = DEFAULT_STALL_SECONDS) -> None:
        """Start without any known box."""
        self._stall_bound_seconds = stall + STALL_MARGIN
        self._listed: dict[BoxId, FleetBox] = {}
        self._gone: dict[BoxId, _Gone] = {}
        self._former: dict[BoxLife, FormerStanding] = {}
        self._ended_lives: dict[BoxLife, float] = {}
        self._ended_groups: dict[GroupId, float] = {}
        self._first_list_at: float | None = None

    def update(
        self,
        fleet: Fleet,
        change: FleetChange,
        now: float,
    ) -> tuple[EndedLife, ...]:
        """Apply a later box list; return the lives that it shows to be over.

        Parameters
        ----------
        fleet
            The new box list.
        change
            Differences from the previous list.
        now
            Current time, in seconds.
        """
        if self._first_list_at is None and fleet.boxes:
            self._first_list_at = now
        ended = []
        for name in change.gone:
            self._gone[name] = _Gone(self._listed.pop(name), now)
        for box in change.boxes:
            known = self._find_known(box.box)
            if known is not None:
                ended.extend(self._compare(known, box, now))
            self._gone.pop(box.box, None)
            self._listed[box.box] = box
        self._forget_old(fleet, now)
        return tuple(ended)

    def find_former_standing(self, box: FleetBox) -> Standing | None:
        """Return the place of a box's former life while it may matter."""
        former = self._former.get(box.life)
        return former.standing if former else None

    def has_ended_life(self, life: BoxLife) -> bool:
        """Return whether a later incarnation of the box has been listed."""
        return life in self._ended_lives

    def has_group_ended(self, group: GroupId) -> bool:
        """Return whether the head of a group has left it or restarted."""
        return group in self._ended_groups

    def may_have_missed_restart(self, now: float) -> bool:
        """Return whether a restart may have happened unseen by this node.

        After the stall time, any group that lost a member before the node's
        first list has broken.
        """
        if self._first_list_at is None:
            return True
        return now - self._first_list_at < self._stall_bound_seconds

    def _find_known(self, name: BoxId) -> FleetBox | None:
        """Return a box as it was last listed, if that is recent."""
        gone = self._gone.get(name)
        return gone.box if gone else self._listed.get(name)

    def _compare(
        self,
        known: FleetBox,
        box: FleetBox,
        now: float,
    ) -> list[EndedLife]:
        """Apply a newer entry of a box; return the life that is over."""
        standing = known.standing
        is_same_life = known.life == box.life
        current = box.standing
        if current is not None and current.rank == 0:
            # An outdated list may have shown the head outside this group. If
            # the group stayed marked as ended, its members would be joined
            # to other groups while it serves.
            self._ended_groups.pop(current.group, None)
        if standing is not None and standing.rank == 0:
            if not is_same_life or not _is_member_of(box, standing):
                self._ended_groups[standing.group] = now
        if is_same_life:
            return []
        self._ended_lives.pop(box.life, None)
        self._ended_lives[known.life] = now
        if standing is not None:
            self._former[box.life] = FormerStanding(standing, now)
        return [EndedLife(known.life, standing)]

    def _forget_old(self, fleet: Fleet, now: float) -> None:
        for name, gone in tuple(self._gone.items()):
            if now - gone.since > GONE_BOX_SECONDS:
                self._gone.pop(name)
        for life, ended_at in tuple(self._ended_lives.items()):
            if now - ended_at > ENDED_LIFE_SECONDS:
                self._ended_lives.pop(life)
        for life, former in tuple(self._former.items()):
            if now - former.ended_at > self._stall_bound_seconds:
                self._former.pop(life)
        for group, ended_at in tuple(self._ended_groups.items()):
            if now - ended_at > GONE_BOX_SECONDS and group not in fleet.groups:
                self._ended_groups.pop(group)


def _is_member_of(box: FleetBox, standing: Standing) -> bool:
    """Return whether a box is still in the same group."""
    current = box.standing
    if current is None:
        return False
    return (current.group, current.epoch) == (standing.group, standing.epoch)
