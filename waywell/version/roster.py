"""The roster: which boxes form which replica group, in which state.

One object in the platform holds the whole roster, so one conditional
update decides every race over a box, also between fabric domains.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import msgspec

from waywell.ids import BoxId, DomainName, Epoch, GroupId, HallName

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from waywell.version.document import Document, Entry

GROUP_PREFIX = 'group/'
"""Keys of groups in the roster document start with this."""


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
    """Data hall it stands in."""

    domain: DomainName
    """Fabric domain it belongs to."""

    host: str
    """IP number of its engine or service."""

    port: int
    """Port of its engine or service."""

    state: BoxState = BoxState.LIVE
    """Live, leaving or lost."""

    accelerators: int = 1
    """Accelerators in the box."""

    labels: dict[str, str] = {}
    """Labels that operators set."""

    boot: int = 0
    """Number of its start: a box that came back has a higher one."""

    @property
    def selectable(self) -> dict[str, str]:
        """Return the labels that selectors see."""
        return {
            **self.labels,
            'hall': self.hall,
            'domain': self.domain,
        }


class Member(msgspec.Struct, frozen=True):
    """A box in a group."""

    box: BoxId
    """Name of the box."""

    host: str
    """IP number."""

    port: int
    """Port."""

    boot: int
    """Start of the box that the group was formed with."""


class GroupState(enum.Enum):
    """State of a replica group."""

    FORMING = 'forming'
    """Its boxes are taken; orders to them are under way."""

    SERVING = 'serving'
    """Every box has taken the order: it may get requests."""

    BROKEN = 'broken'
    """A box is missing: it gets no requests."""

    LEAVING = 'leaving'
    """It gets no new requests and gives its boxes up when drained."""


class Group(msgspec.Struct, frozen=True):
    """A replica group; its first member takes the requests."""

    group: GroupId
    """Name of the group."""

    group_set: str
    """Group set that it belongs to."""

    service: str
    """Service that it answers for."""

    epoch: Epoch
    """Fence; each forming has a higher one."""

    state: GroupState
    """What it may do now."""

    hall: HallName
    """Data hall of its first member."""

    members: tuple[Member, ...]
    """Its boxes; the first takes the requests."""

    labels: dict[str, str] = {}
    """Labels from its group set."""

    missing: tuple[BoxId, ...] = ()
    """Members that are lost, when it is broken."""

    changed: int = 0
    """Roster number at which its state last changed."""

    ordered: bool = False
    """Whether all its boxes have taken the order of this epoch."""

    @property
    def head(self) -> Member:
        """Return the member that takes the requests."""
        return self.members[0]

    @property
    def selectable(self) -> dict[str, str]:
        """Return the labels that serving rules see."""
        return {
            **self.labels,
            'group_set': self.group_set,
            'service': self.service,
            'hall': self.hall,
        }


class SharedBoxError(Exception):
    """A roster would hold one box in two groups."""


class Roster:
    """All groups of one version; no box is in two of them.

    Parameters
    ----------
    number
        Version of the roster document.
    groups
        Its groups.

    Raises
    ------
    SharedBoxError
        When two groups hold one box.
    """

    def __init__(self, number: int, groups: Iterable[Group] = ()) -> None:
        """Index the groups by name and by box."""
        self.number = number
        self.groups = {group.group: group for group in groups}
        self._holder: dict[BoxId, GroupId] = {}
        for group in self.groups.values():
            self._hold(group)

    def __iter__(self) -> Iterator[Group]:
        """Go through the groups in order of their names."""
        return iter(sorted(self.groups.values(), key=_get_name))

    def find_holder(self, box: BoxId) -> GroupId | None:
        """Return the group that holds a box."""
        return self._holder.get(box)

    def replace(
        self,
        number: int,
        changed: Iterable[Group],
        removed: Iterable[GroupId] = (),
    ) -> Roster:
        """Return a later roster with some groups changed or removed."""
        groups = dict(self.groups)
        for gone in removed:
            groups.pop(gone, None)
        groups.update((group.group, group) for group in changed)
        return Roster(number, groups.values())

    def to_entries(self) -> dict[str, Entry]:
        """Return the groups as entries of a document."""
        return {
            f'{GROUP_PREFIX}{group.group}': msgspec.to_builtins(group)
            for group in self.groups.values()
        }

    def _hold(self, group: Group) -> None:
        for member in group.members:
            holder = self._holder.setdefault(member.box, group.group)
            if holder != group.group:
                raise SharedBoxError(member.box, holder, group.group)


def _get_name(group: Group) -> GroupId:
    return group.group


def parse_roster(document: Document) -> Roster:
    """Return the roster that a document's entries make up.

    Raises
    ------
    SharedBoxError
        When two groups hold one box.
    msgspec.MsgspecError
        When an entry is no group.
    """
    groups = [
        msgspec.convert(entry, Group)
        for key, entry in document.entries.items()
        if key.startswith(GROUP_PREFIX)
    ]
    return Roster(document.number, groups)
