"""Record of which groups this holder may open or knows to be unopened.

Both sets hold only positive knowledge: a group that was forgotten, or formed
by another holder, is in neither. Such a group is not opened, and its head is
ordered to leave before its boxes are used again; that costs an order but is
always safe.
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
    """Groups whose members got no other order since their joins. Any other
    order may be carried out at any later time."""

    unopened: set[GroupId] = attrs.Factory(set)
    """Groups that were never ordered to open, so that none of them serves."""

    def record_formed(self, group: GroupId, boxes: Iterable[FleetBox]) -> None:
        """Record that boxes are ordered out of any former groups into one."""
        self.openable.add(group)
        self.unopened.add(group)
        for box in boxes:
            if box.standing is not None:
                self.record_ending(box.standing.group)

    def record_opening(self, group: GroupId) -> None:
        """Record that a group is ordered to open."""
        self.unopened.discard(group)

    def record_ending(self, group: GroupId) -> None:
        """Record that a member is ordered to leave, close or join another."""
        self.openable.discard(group)

    def keep_only(self, known: Set[GroupId]) -> None:
        """Forget groups that are neither listed nor being formed."""
        self.openable &= known
        self.unopened &= known
