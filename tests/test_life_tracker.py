"""Which groups have ended, as later lists and lists that go back tell it.

A node that gives orders reads the box list itself and hears its reader's; the
reader's can be asked for later and yet be read earlier, so the list goes back
for a moment.  One that showed a head from before it had joined marked its
group as ended, for as long as the group was there.  Four seconds later that
head went off the list while it served on, and its members were joined to
another group at once, without an order to leave.  The log told it by what it
lacked, a line order=leave of that group between these two:

    12.0290 order=open group=vode895cfe.1000023 result=taken
    16.1096 order=join group=vode895cfe.1000029 shown=vode895cfe.1000023.ready
"""

from __future__ import annotations

import msgspec

from tests.boxes import make_fleet, make_group
from waywell.ids import GroupId
from waywell.version.fleet import Fleet, compare_fleets
from waywell.version.life_tracker import LifeTracker

GROUP = GroupId('notes.7')
HEAD, MEMBER = make_group(GROUP, 'a', 'b')
BEFORE = msgspec.structs.replace(HEAD, standing=None)


class ListSequence:
    """Lists in the order in which they are put in force."""

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


def test_a_list_that_goes_back_ends_no_group_for_good() -> None:
    lists = ListSequence()
    lists.show(HEAD, MEMBER)
    lists.show(BEFORE, MEMBER)
    lists.show(HEAD, MEMBER)
    # Off the list it may well serve on.
    lists.show(MEMBER)
    assert not lists.book.has_group_ended(GROUP)


def test_a_group_whose_head_has_left_has_ended() -> None:
    lists = ListSequence()
    lists.show(HEAD, MEMBER)
    lists.show(BEFORE, MEMBER)
    lists.show(MEMBER)
    assert lists.book.has_group_ended(GROUP)
