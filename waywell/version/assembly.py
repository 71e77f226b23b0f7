"""Group assembly: decides which boxes form which groups, without I/O.

The planner compares the roster with the box list and the configuration and
returns the groups to change.  A repair policy decides what happens after the
loss of a box: the group waits for it, takes a spare box, or takes boxes of a
group that is needed less.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Mapping
from typing import TYPE_CHECKING

import msgspec

from waywell.ids import BoxId, GroupId
from waywell.version.draft import RosterDraft, RosterPlan
from waywell.version.objects import Configuration, GroupSet
from waywell.version.repair import BrokenGroup, RepairPolicy
from waywell.version.roster import Box, BoxState, Group, GroupState, Member

if TYPE_CHECKING:
    from waywell.ids import DomainName
    from waywell.version.roster import Roster


MIN_AFFECTED = 2
"""Fewest groups with missing boxes that make a box list implausible."""


class AssemblyView(msgspec.Struct, frozen=True):
    """Input of the planner besides the roster."""

    boxes: Mapping[BoxId, Box]
    """Box list, by name."""

    configuration: Configuration
    """Configuration in force, which holds the group sets."""

    broken_since: Mapping[GroupId, float]
    """Time at which each broken group was first seen broken, in seconds."""

    released: frozenset[GroupId] = frozenset()
    """Leaving groups to which no node may route requests any more."""

    ready: frozenset[GroupId] = frozenset()
    """Forming groups whose boxes have all accepted their order."""

    with_stale_orders: frozenset[GroupId] = frozenset()
    """Groups with a box that has lost its order or has a later one."""


def plan_assembly(
    roster: Roster,
    view: AssemblyView,
    policy: RepairPolicy,
    now: float,
) -> RosterPlan:
    """Return the groups to change at ``now``, in seconds."""
    draft = RosterDraft(roster, view.boxes)
    sets = {
        group_set.name: group_set for group_set in view.configuration.group_set
    }
    _StateStep(draft, view, sets).run()
    _RepairStep(draft, view, sets, policy).run(now)
    _CountStep(draft, sets).run()
    return draft.make_plan()


def find_missing_members(
    group: Group,
    boxes: Mapping[BoxId, Box],
) -> tuple[BoxId, ...]:
    """Return the members that are lost or have restarted."""
    return tuple(
        member.box
        for member in group.members
        if _is_missing(member, boxes.get(member.box))
    )


def is_box_list_implausible(
    roster: Roster,
    boxes: Mapping[BoxId, Box],
    down: Collection[GroupId],
) -> bool:
    """Return whether a box list is too implausible to act on.

    A list that lacks boxes of most serving groups, while the probers report
    few of those groups as down, is more likely wrong than right.  Acting on
    it would stop groups that serve.

    Parameters
    ----------
    roster
        Roster in force.
    boxes
        Box list, by name.
    down
        Groups that the probers report as down.
    """
    serving = [group for group in roster if group.state is GroupState.SERVING]
    affected = [
        group for group in serving if find_missing_members(group, boxes)
    ]
    if len(affected) < MIN_AFFECTED or len(affected) * 2 <= len(serving):
        return False
    confirmed = sum(group.group in down for group in affected)
    return confirmed * 2 < len(affected)


def _is_missing(member: Member, box: Box | None) -> bool:
    if box is None or box.state is BoxState.LOST:
        return True
    return box.boot != member.boot


class _StateStep:
    """Sets the state of each group from its boxes and its group set."""

    def __init__(
        self,
        draft: RosterDraft,
        view: AssemblyView,
        sets: dict[str, GroupSet],
    ) -> None:
        self._draft = draft
        self._view = view
        self._sets = sets

    def run(self) -> None:
        for leaving in self._draft.list_by_state(GroupState.LEAVING):
            if leaving.group in self._view.released:
                self._draft.remove(leaving)
        for group in tuple(self._draft.groups.values()):
            if group.state is not GroupState.LEAVING:
                self._update(group)

    def _update(self, group: Group) -> None:
        group_set = self._sets.get(group.group_set)
        if group_set is None or not self._matches_set(group, group_set):
            self._draft.set_state(group, GroupState.LEAVING)
            return
        if group.labels != group_set.labels:
            self._draft.set_labels(group, group_set.labels)
            group = self._draft.groups[group.group]
        self._update_state(group)

    def _matches_set(self, group: Group, group_set: GroupSet) -> bool:
        if group_set.service != group.service:
            return False
        if len(group.members) != group_set.boxes_per_group:
            return False
        return all(
            self._may_stay(member, group_set) for member in group.members
        )

    def _may_stay(self, member: Member, group_set: GroupSet) -> bool:
        box = self._view.boxes.get(member.box)
        if box is None:
            return True
        if box.state is BoxState.LEAVING:
            return False
        return group_set.boxes.admits(box.selectable)

    def _update_state(self, group: Group) -> None:
        missing = find_missing_members(group, self._view.boxes)
        if missing and not self._are_live(missing):
            if missing != group.missing:
                self._draft.set_state(group, GroupState.BROKEN, missing)
        elif missing or self._must_form_again(group):
            # All boxes are live, but one has restarted or has no valid order.
            self._draft.form_again(group, self._list_boxes(group))
        elif self._may_serve(group):
            self._draft.set_state(group, GroupState.SERVING)

    def _must_form_again(self, group: Group) -> bool:
        half_formed = group.state is GroupState.BROKEN and not group.ordered
        return half_formed or group.group in self._view.with_stale_orders

    def _may_serve(self, group: Group) -> bool:
        """Return whether a complete group may start to serve.

        A box that was only paused still has its order.  If it has lost the
        order, the probers report that.
        """
        if group.state is GroupState.BROKEN:
            return True
        forming = group.state is GroupState.FORMING
        return forming and group.group in self._view.ready

    def _are_live(self, names: tuple[BoxId, ...]) -> bool:
        boxes = (self._view.boxes.get(name) for name in names)
        return all(
            box is not None and box.state is BoxState.LIVE for box in boxes
        )

    def _list_boxes(self, group: Group) -> list[Box]:
        return [self._view.boxes[member.box] for member in group.members]


class _RepairStep:
    """Repairs broken groups as the policy decides."""

    def __init__(
        self,
        draft: RosterDraft,
        view: AssemblyView,
        sets: dict[str, GroupSet],
        policy: RepairPolicy,
    ) -> None:
        self._draft = draft
        self._view = view
        self._sets = sets
        self._policy = policy
        self._fenced = {
            service.name: service.fenced
            for service in view.configuration.service
        }

    def run(self, now: float) -> None:
        broken = self._draft.list_by_state(GroupState.BROKEN)
        broken.sort(key=self._rank_repair)
        for group in broken:
            # An earlier repair may have taken the boxes of this group.
            if self._draft.groups.get(group.group) == group:
                self._repair(group, now)

    def _rank_repair(self, group: Group) -> tuple[float, int, GroupId]:
        need = self._sets[group.group_set].need
        return (-need, len(group.missing), group.group)

    def _repair(self, group: Group, now: float) -> None:
        spares = self._list_spares(group)
        donors = self._list_donors(group)
        intact = self._draft.list_intact(group)
        broken = BrokenGroup(
            since=self._view.broken_since.get(group.group, now),
            lost=len(group.missing),
            spares=len(spares),
            donors=sum(
                len(self._draft.list_intact(donor)) for donor in donors
            ),
            idle_accelerators=sum(box.accelerators for box in intact),
        )
        choice = self._policy.choose(broken, now)
        if choice.take_spares and not self._fenced.get(group.service, False):
            # Targets that check no fence could still get requests for this
            # group, so its boxes stay unused until no node routes to it.
            self._draft.set_state(group, GroupState.LEAVING)
        elif choice.take_spares and len(spares) >= broken.lost:
            self._replace_missing(group, spares)
        elif choice.take_donors:
            self._merge(group, spares, donors)

    def _list_spares(self, group: Group) -> list[Box]:
        group_set = self._sets[group.group_set]
        free = self._draft.list_free(group_set)
        domain = self._draft.find_domain(group)
        if not group_set.one_domain or domain is None:
            return free
        return [box for box in free if box.domain == domain]

    def _list_donors(self, group: Group) -> list[Group]:
        """Return broken groups of equal or lower need, least needed first."""
        donors = [
            donor
            for donor in self._draft.list_by_state(GroupState.BROKEN)
            if donor.group != group.group and self._can_donate(donor, group)
        ]
        return sorted(donors, key=self._rank_donor)

    def _can_donate(self, donor: Group, group: Group) -> bool:
        wanted = self._sets[group.group_set]
        if self._sets[donor.group_set].need > wanted.need:
            return False
        if not self._fenced.get(donor.service, False):
            return False
        domain = self._draft.find_domain(group)
        boxes = self._draft.list_intact(donor)
        return bool(boxes) and all(_fits(box, wanted, domain) for box in boxes)

    def _rank_donor(self, donor: Group) -> tuple[float, int, GroupId]:
        need = self._sets[donor.group_set].need
        return (need, -len(donor.missing), donor.group)

    def _merge(
        self,
        group: Group,
        spares: list[Box],
        donors: list[Group],
    ) -> None:
        """Complete a group with boxes of donors, if they have enough."""
        lacking = len(group.missing) - len(spares)
        chosen: list[Group] = []
        for candidate in donors:
            if lacking > 0:
                chosen.append(candidate)
                lacking -= len(self._draft.list_intact(candidate))
        if lacking > 0:
            return
        boxes = list(spares)
        for donor in chosen:
            boxes.extend(self._draft.list_intact(donor))
            self._draft.remove(donor)
        self._replace_missing(group, boxes)

    def _replace_missing(self, group: Group, boxes: list[Box]) -> None:
        replacements = iter(boxes)
        members = [
            next(replacements)
            if member.box in group.missing
            else self._view.boxes[member.box]
            for member in group.members
        ]
        self._draft.form_again(group, members)


class _CountStep:
    """Adds or removes groups until each set has its configured number."""

    def __init__(self, draft: RosterDraft, sets: dict[str, GroupSet]) -> None:
        self._draft = draft
        self._sets = sets

    def run(self) -> None:
        remaining = self._list_remaining()
        for group_set in sorted(self._sets.values(), key=_rank_set):
            groups = remaining[group_set.name]
            self._remove_surplus(groups, len(groups) - group_set.groups)
            self._add_groups(group_set, group_set.groups - len(groups))

    def _list_remaining(self) -> dict[str, list[Group]]:
        remaining: dict[str, list[Group]] = defaultdict(list)
        for group in self._draft.groups.values():
            if group.state is not GroupState.LEAVING:
                remaining[group.group_set].append(group)
        return remaining

    def _remove_surplus(self, groups: list[Group], surplus: int) -> None:
        groups.sort(key=_rank_surplus)
        for group in groups[: max(0, surplus)]:
            self._draft.set_state(group, GroupState.LEAVING)

    def _add_groups(self, group_set: GroupSet, count: int) -> None:
        size = group_set.boxes_per_group
        left = count
        for pool in self._list_pools(group_set):
            possible = min(max(0, left), len(pool) // size)
            left -= possible
            for index in range(possible):
                start = index * size
                self._draft.form_new(group_set, pool[start : start + size])

    def _list_pools(self, group_set: GroupSet) -> list[list[Box]]:
        """Return the free boxes of each domain, the largest domain first."""
        pools: dict[str, list[Box]] = defaultdict(list)
        for box in self._draft.list_free(group_set):
            key = box.domain if group_set.one_domain else ''
            pools[key].append(box)
        return sorted(pools.values(), key=len, reverse=True)


def _fits(box: Box, wanted: GroupSet, domain: DomainName | None) -> bool:
    if wanted.one_domain and box.domain != domain:
        return False
    return wanted.boxes.admits(box.selectable)


def _rank_set(group_set: GroupSet) -> tuple[float, str]:
    return (-group_set.need, group_set.name)


def _rank_surplus(group: Group) -> tuple[bool, GroupId]:
    """Return the sort key that puts groups that don't serve first."""
    return (group.state is GroupState.SERVING, group.group)
