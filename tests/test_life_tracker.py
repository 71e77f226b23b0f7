"""Detection of ended groups from later and from outdated box lists.

A node that gives orders reads the box list itself and also gets the list of
its reader. The reader's list may be requested later and yet be older, so the
list may go back for a moment. If such a list shows a head from before its
join, its group must not stay marked as ended: when the head is later off the
list while it still serves, the members would be joined to another group
without an order to leave.
"""

from __future__ import annotations

import msgspec

from tests.boxes import make_fleet, make_group
from waywell.ids import GroupId
from waywell.version.fleet import Fleet, compare_fleets
from waywell.version.life_tracker import LifeTracker

GROUP = GroupId('notes.7')
HEAD, MEMBER = make_group(GROUP, 'a', 'b')
HEAD_BEFORE_JOIN = msgspec.structs.replace(HEAD, standing=None)


class ListSequence:
    """Box lists in the order in which they take effect."""

    def __init__(self) -> None:
        self.book = LifeTracker()
        self.now = 100.0
        self._fleet = Fleet({})

    def show(self, *boxes: object) -> None:
        fleet = make_fleet(*boxes)
        self.now += 0.2
        change = compare_fleets(self._fleet, fleet)
        self.book.update(fleet, change, self.now)
        self._fleet = fleet


def test_outdated_list_does_not_mark_a_group_as_ended_for_good() -> None:
    lists = ListSequence()
    lists.show(HEAD, MEMBER)
    lists.show(HEAD_BEFORE_JOIN, MEMBER)
    lists.show(HEAD, MEMBER)
    # A head that is off the list may still serve.
    lists.show(MEMBER)
    assert not lists.book.has_group_ended(GROUP)


def test_a_group_whose_head_has_left_has_ended() -> None:
    lists = ListSequence()
    lists.show(HEAD, MEMBER)
    lists.show(HEAD_BEFORE_JOIN, MEMBER)
    lists.show(MEMBER)
    assert lists.book.has_group_ended(GROUP)
