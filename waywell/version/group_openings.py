"""What the holder of the forming duty may do with groups that it formed.

Both sets are positive knowledge: what was forgotten, or formed by another
holder, is in neither.  Such a group is not opened, and its head is told to
leave before its boxes are used again; that costs an order and no promise.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from waywell.ids import GroupId

if TYPE_CHECKING:
    from collections.abc import Iterable, Set

    from waywell.version.fleet import FleetBox


@attrs.define
class GroupOpenings:
    """Which groups may be opened, and which are known to serve nowhere."""

    openable: set[GroupId] = attrs.Factory(set)
    """Groups whose members were ordered nothing else since they were joined.
    Another order may be carried out at any later time."""

    unopened: set[GroupId] = attrs.Factory(set)
    """Groups that were never ordered to open, so that none of them serves."""

    def record_formed(self, group: GroupId, boxes: Iterable[FleetBox]) -> None:
        """Take in that boxes, perhaps of former groups, are joined to one."""
        self.openable.add(group)
        self.unopened.add(group)
        for box in boxes:
            if box.standing is not None:
                self.record_ending(box.standing.group)

    def record_opening(self, group: GroupId) -> None:
        """Take in that a group is ordered to open."""
        self.unopened.discard(group)

    def record_ending(self, group: GroupId) -> None:
        """Take in that a member is ordered to leave, to close or elsewhere."""
        self.openable.discard(group)

    def keep_only(self, known: Set[GroupId]) -> None:
        """Forget groups that are neither listed nor being formed."""
        self.openable &= known
        self.unopened &= known
