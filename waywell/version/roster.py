"""The roster: replica groups with their boxes and states.

One object in the platform holds the whole roster, so that a single conditional
update resolves every race for a box, even between fabric domains.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import msgspec

from waywell.bounded_types import Count, Port, SmallCount
from waywell.ids import BoxId, DomainName, Epoch, GroupId, HallName

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from waywell.version.document import Document, Entry

GROUP_PREFIX = 'group/'
"""Prefix of the keys of groups in the roster document."""


class BoxState(enum.Enum):
    """State of a box in the platform's box list."""

    LIVE = 'live'
    LEAVING = 'leaving'
    LOST = 'lost'


class Box(msgspec.Struct, frozen=True):
    """A target box as the platform's box list shows it."""

    box: BoxId
    """Name of the box."""

    hall: HallName
    """Data hall of the box."""

    domain: DomainName
    """Fabric domain of the box."""

    host: str
    """IP address of its engine or service."""

    port: Port
    """TCP port of its engine or service."""

    state: BoxState = BoxState.LIVE
    """State that the platform reports."""

    accelerators: SmallCount = 1
    """Number of accelerators in the box."""

    labels: dict[str, str] = {}
    """Labels that operators set."""

    boot: Count = 0
    """Boot number, which rises with each restart of the box."""

    @property
    def selectable(self) -> dict[str, str]:
        """Return the labels that selectors match against."""
        return {
            **self.labels,
            'hall': self.hall,
            'domain': self.domain,
        }


class Member(msgspec.Struct, frozen=True):
    """A box as the member of a group."""

    box: BoxId
    """Name of the box."""

    host: str
    """IP address of its engine or service."""

    port: int
    """TCP port of its engine or service."""

    boot: int
    """Boot number of the box when the group was formed."""


class GroupState(enum.Enum):
    """State of a replica group."""

    FORMING = 'forming'
    """Its boxes are reserved and are being sent their orders."""

    SERVING = 'serving'
    """All boxes have accepted the order, so it may get requests."""

    BROKEN = 'broken'
    """A box is missing, so it gets no requests."""

    LEAVING = 'leaving'
    """It gets no new requests and releases its boxes when drained."""


class Group(msgspec.Struct, frozen=True):
    """A replica group, whose first member receives the requests."""

    group: GroupId
    """Name of the group."""

    group_set: str
    """Name of the group set that it belongs to."""

    service: str
    """Name of the service that it provides."""

    epoch: Epoch
    """Fencing epoch, which rises each time the group is formed."""

    state: GroupState
    """Current state of the group."""

    hall: HallName
    """Data hall of its first member."""

    members: tuple[Member, ...]
    """Its boxes; the first one receives the requests."""

    labels: dict[str, str] = {}
    """Labels that its group set gives it."""

    missing: tuple[BoxId, ...] = ()
    """Names of the missing members of a broken group."""

    changed: int = 0
    """Number of the roster version in which its state last changed."""

    ordered: bool = False
    """Whether all its boxes have accepted the order of this epoch."""

    @property
    def head(self) -> Member:
        """Return the member that receives the requests."""
        return self.members[0]

    @property
    def selectable(self) -> dict[str, str]:
        """Return the labels that serving rules match against."""
        return {
            **self.labels,
            'group_set': self.group_set,
            'service': self.service,
            'hall': self.hall,
        }


class SharedBoxError(Exception):
    """Two groups of a roster contain the same box."""


class Roster:
    """All groups of one roster version, which share no box.

    Parameters
    ----------
    number
        Version number of the roster document.
    groups
        Its groups.

    Raises
    ------
    SharedBoxError
        If two groups contain the same box.
    """

    def __init__(self, number: int, groups: Iterable[Group] = ()) -> None:
        """Index the groups by name and by box."""
        self.number = number
        self.groups = {group.group: group for group in groups}
        self._group_by_box: dict[BoxId, GroupId] = {}
        for group in self.groups.values():
            self._add_members(group)

    def __iter__(self) -> Iterator[Group]:
        """Iterate over the groups, sorted by name."""
        return iter(sorted(self.groups.values(), key=_get_name))

    def find_holder(self, box: BoxId) -> GroupId | None:
        """Return the name of the group that contains a box, if any."""
        return self._group_by_box.get(box)

    def replace(
        self,
        number: int,
        changed: Iterable[Group],
        removed: Iterable[GroupId] = (),
    ) -> Roster:
        """Return a roster of another number with groups changed or removed."""
        groups = dict(self.groups)
        for name in removed:
            groups.pop(name, None)
        groups.update((group.group, group) for group in changed)
        return Roster(number, groups.values())

    def to_entries(self) -> dict[str, Entry]:
        """Return the groups as the entries of a document."""
        return {
            f'{GROUP_PREFIX}{group.group}': msgspec.to_builtins(group)
            for group in self.groups.values()
        }

    def _add_members(self, group: Group) -> None:
        for member in group.members:
            holder = self._group_by_box.setdefault(member.box, group.group)
            if holder != group.group:
                raise SharedBoxError(member.box, holder, group.group)


def _get_name(group: Group) -> GroupId:
    return group.group


def parse_roster(document: Document) -> Roster:
    """Return the roster that a document contains.

    Raises
    ------
    SharedBoxError
        If two groups contain the same box.
    msgspec.MsgspecError
        If an entry is not a valid group.
    """
    groups = [
        msgspec.convert(entry, Group)
        for key, entry in document.entries.items()
        if key.startswith(GROUP_PREFIX)
    ]
    return Roster(document.number, groups)
