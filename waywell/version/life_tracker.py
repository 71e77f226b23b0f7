"""Which boxes have started again, and what their former lives leave behind.

Answers boxes that crash and return under their id within a second, alone or
many at once.  A box that starts again holds and knows nothing of before, but
the head of its former group does not notice: it takes requests until it
breaks by itself.  So what is believed of a box is kept by its life, and a new
life ends all of it here; the box itself waits until its former group serves
nowhere.

Which of two lives is the later one is told by the order in which the list
showed them, never by comparing clocks.  Lists are only replaced by later ones.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from waywell.version.fleet import BoxLife, FleetBox, Standing

if TYPE_CHECKING:
    from waywell.ids import BoxId, GroupId
    from waywell.version.fleet import Fleet, FleetChange

DEFAULT_STALL_SECONDS = 6.0
"""Seconds for which a head goes on without one of its members, where the
deployment does not tell."""

STALL_MARGIN = 1.0
"""Seconds by which the list may show a new life later than it began, and a
head may break later than it should."""

ENDED_LIFE_SECONDS = 60.0
"""Seconds for which an incarnation that has ended is remembered: no entry of
it is shown later, also by a store that came back from an older copy."""

GONE_BOX_SECONDS = 15.0
"""For which a box that is off the list is remembered: it may return, and no
order to it is carried out later than that."""


@attrs.frozen
class FormerStanding:
    """Where a box stood in its former life."""

    standing: Standing
    """Its place in a group."""

    ended_at: float
    """When the list first showed the new life, in seconds."""


@attrs.frozen
class EndedLife:
    """A life of a box that is over."""

    life: BoxLife
    """The box and its former incarnation."""

    standing: Standing | None
    """Where it stood."""


@attrs.frozen
class _Gone:
    """A box that is off the list, as it was last listed."""

    box: FleetBox
    since: float


class LifeTracker:
    """Remembers where boxes stood, until their lives and groups have ended.

    Parameters
    ----------
    stall
        Seconds for which a head goes on that has lost a member.
    """

    def __init__(self, stall: float = DEFAULT_STALL_SECONDS) -> None:
        """Know no box yet."""
        self._bound_seconds = stall + STALL_MARGIN
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
        """Take in a later list; return the lives that it shows to be over.

        Parameters
        ----------
        fleet
            The list.
        change
            What differs from the list before.
        now
            The present time, in seconds.
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
        """Return where a box stood in its former life, if that may matter."""
        former = self._former.get(box.life)
        return former.standing if former else None

    def has_ended_life(self, life: BoxLife) -> bool:
        """Return whether a later incarnation of the box has been listed."""
        return life in self._ended_lives

    def has_group_ended(self, group: GroupId) -> bool:
        """Answer whether the head of a group has left it, or started anew."""
        return group in self._ended_groups

    def may_have_missed_restart(self, now: float) -> bool:
        """Answer whether a restart may have passed that this node did not see.

        What was lost before the first list has broken after that time.
        """
        if self._first_list_at is None:
            return True
        return now - self._first_list_at < self._bound_seconds

    def _find_known(self, name: BoxId) -> FleetBox | None:
        """Return a box as it was last listed, if that is not long ago."""
        gone = self._gone.get(name)
        return gone.box if gone else self._listed.get(name)

    def _compare(
        self,
        known: FleetBox,
        box: FleetBox,
        now: float,
    ) -> list[EndedLife]:
        """Note what a newer entry tells; return the life that is over."""
        standing = known.standing
        is_same = known.life == box.life
        own = box.standing
        if own is not None and own.rank == 0:
            # A list that went back may have shown it elsewhere; members of its
            # group were joined to others while it served.
            self._ended_groups.pop(own.group, None)
        if standing is not None and standing.rank == 0:
            if not is_same or not _stands_in(box, standing):
                self._ended_groups[standing.group] = now
        if is_same:
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
            if now - former.ended_at > self._bound_seconds:
                self._former.pop(life)
        for group, ended_at in tuple(self._ended_groups.items()):
            if now - ended_at > GONE_BOX_SECONDS and group not in fleet.groups:
                self._ended_groups.pop(group)


def _stands_in(box: FleetBox, standing: Standing) -> bool:
    """Answer whether a box stands in the same group as before."""
    own = box.standing
    if own is None:
        return False
    return (own.group, own.epoch) == (standing.group, standing.epoch)
