"""Draft of a roster: its groups, the free boxes and the next epoch."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from waywell.ids import BoxId, DomainName, Epoch, GroupId
from waywell.version.roster import Box, BoxState, Group, GroupState, Member

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from waywell.version.objects import GroupSet
    from waywell.version.roster import Roster


class RosterPlan(msgspec.Struct, frozen=True):
    """Changes to write to the roster; false if there are none."""

    changed: tuple[Group, ...] = ()
    """Groups that are new or different."""

    removed: tuple[GroupId, ...] = ()
    """Names of groups that are removed."""

    def __bool__(self) -> bool:
        """Return whether there is anything to write."""
        return bool(self.changed or self.removed)


class RosterDraft:
    """Collects changes to a roster before they are written.

    Parameters
    ----------
    roster
        Roster that the changes apply to.
    boxes
        Box list, by name.
    """

    def __init__(self, roster: Roster, boxes: Mapping[BoxId, Box]) -> None:
        """Start with the groups of the roster and the unused live boxes."""
        self.boxes = boxes
        self.groups: dict[GroupId, Group] = dict(roster.groups)
        self.free = {
            name: box
            for name, box in boxes.items()
            if box.state is BoxState.LIVE and roster.find_holder(name) is None
        }
        self._roster = roster
        self._removed: list[GroupId] = []
        self._epoch = roster.number + 1

    def make_plan(self) -> RosterPlan:
        """Return the differences from the roster."""
        changed = tuple(
            group
            for name, group in self.groups.items()
            if self._roster.groups.get(name) != group
        )
        return RosterPlan(changed, tuple(self._removed))

    def list_by_state(self, *states: GroupState) -> list[Group]:
        """Return the groups that are in one of the states."""
        return [
            group for group in self.groups.values() if group.state in states
        ]

    def list_intact(self, group: Group) -> list[Box]:
        """Return the boxes of a group that are not missing."""
        return [
            self.boxes[member.box]
            for member in group.members
            if member.box not in group.missing
        ]

    def find_domain(self, group: Group) -> DomainName | None:
        """Return the fabric domain of a group's first intact box, if any."""
        intact = self.list_intact(group)
        return intact[0].domain if intact else None

    def list_free(self, group_set: GroupSet) -> list[Box]:
        """Return the free boxes that a group set may take, sorted by name."""
        return [
            self.free[name]
            for name in sorted(self.free)
            if group_set.boxes.admits(self.free[name].selectable)
        ]

    def set_state(
        self,
        group: Group,
        state: GroupState,
        missing: tuple[BoxId, ...] = (),
    ) -> None:
        """Set the state and the missing boxes of a group."""
        self.groups[group.group] = msgspec.structs.replace(
            group,
            state=state,
            missing=missing,
            changed=self._epoch,
            ordered=group.ordered or state is GroupState.SERVING,
        )

    def set_labels(self, group: Group, labels: dict[str, str]) -> None:
        """Set the labels of a group."""
        self.groups[group.group] = msgspec.structs.replace(
            group,
            labels=labels,
        )

    def form_again(self, group: Group, boxes: Iterable[Box]) -> None:
        """Form a group again from these boxes, with a higher epoch."""
        members = tuple(make_member(box) for box in boxes)
        for member in members:
            self.free.pop(member.box, None)
        self.groups[group.group] = msgspec.structs.replace(
            group,
            state=GroupState.FORMING,
            epoch=Epoch(self._epoch),
            members=members,
            missing=(),
            changed=self._epoch,
            ordered=False,
        )

    def form_new(self, group_set: GroupSet, boxes: list[Box]) -> None:
        """Form a new group of a set from free boxes."""
        members = tuple(make_member(box) for box in boxes)
        for member in members:
            self.free.pop(member.box)
        name = self._find_new_name(group_set)
        self.groups[name] = Group(
            group=name,
            group_set=group_set.name,
            service=group_set.service,
            epoch=Epoch(self._epoch),
            state=GroupState.FORMING,
            hall=boxes[0].hall,
            members=members,
            labels=group_set.labels,
            changed=self._epoch,
        )

    def remove(self, group: Group) -> None:
        """Remove a group and free its live boxes."""
        self.groups.pop(group.group)
        self._removed.append(group.group)
        for member in group.members:
            box = self.boxes.get(member.box)
            if box is not None and box.state is BoxState.LIVE:
                self.free[member.box] = box

    def _find_new_name(self, group_set: GroupSet) -> GroupId:
        """Return a name that no group ever had, as epochs only rise."""
        count = len(self.groups)
        suffixes = range(count + 1)
        names = (
            GroupId(f'{group_set.name}.{self._epoch}.{suffix}')
            for suffix in suffixes
        )
        return next(name for name in names if name not in self.groups)


def make_member(box: Box) -> Member:
    """Return a box as a group member, with its current boot number."""
    return Member(box.box, box.host, box.port, box.boot)
