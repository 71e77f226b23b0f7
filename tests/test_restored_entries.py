"""Tests of box lists after the store was restored from an older copy.

They guard against four faults caused by outdated entries:

- An ended incarnation counts as a later one, so that the requests of the box
  are aborted with 502 at the node that read the entry and at its followers.
- An entry written before the box was leaving makes it receive requests again.
- Boxes that the copy lacks are dropped at once, and callers are refused.
- A group whose head is listed in its state before it opened counts as ended:
  it gets no requests, and its members may be joined to others while it serves.
"""

from __future__ import annotations

import msgspec

from tests.boxes import make_box, make_fleet, make_group
from tests.test_feed import FeedHarness
from tests.test_fleet_watch import FleetWatchHarness
from waywell.connection.store_era import StoreEra
from waywell.ids import GroupId, Incarnation
from waywell.knowledge.cluster_view import ClusterView
from waywell.knowledge.restored_entries import (
    CORRECTION_SECONDS,
    REWRITE_SECONDS,
)
from waywell.process.front_settings import PromiseSettings
from waywell.version.fleet import FleetBox
from waywell.version.life_tracker import EndedLife


def make_incarnation(name: str, incarnation: int) -> FleetBox:
    return msgspec.structs.replace(
        make_box(name), incarnation=Incarnation(incarnation)
    )


class ViewHarness:
    """Cluster view of a node, and the ended lives it reported."""

    def __init__(self) -> None:
        self.cluster = ClusterView(PromiseSettings())
        self.ended: list[EndedLife] = []
        self.cluster.add_end_listener(self.ended.extend)

    def list(self, now: float, *boxes: FleetBox) -> dict[str, FleetBox]:
        self.cluster.update_fleet(make_fleet(*boxes), now, now)
        return dict(self.cluster.fleet.boxes)


def make_harness_with_restarted_box() -> ViewHarness:
    """Return a node that has seen box a in its second incarnation."""
    harness = ViewHarness()
    harness.list(1.0, make_incarnation('a', 1))
    harness.list(2.0, make_incarnation('a', 2))
    harness.ended.clear()
    return harness


def test_ended_incarnation_is_not_listed_again() -> None:
    harness = make_harness_with_restarted_box()
    harness.cluster.begin_recovery(3.0)
    assert harness.list(3.1, make_incarnation('a', 1))['a'].incarnation == 2
    # The box may be cut off from the store until its entry expires.
    later = 3.0 + CORRECTION_SECONDS - 0.1
    assert harness.list(later, make_incarnation('a', 1))['a'].incarnation == 2
    assert not harness.ended


def test_second_restore_extends_the_time_of_correction() -> None:
    harness = make_harness_with_restarted_box()
    harness.cluster.begin_recovery(3.0)
    harness.cluster.begin_recovery(9.0)
    later = 9.0 + CORRECTION_SECONDS - 0.1
    assert harness.list(later, make_incarnation('a', 1))['a'].incarnation == 2


def test_restart_after_the_restore_starts_a_new_incarnation() -> None:
    harness = make_harness_with_restarted_box()
    harness.cluster.begin_recovery(3.0)
    harness.list(3.1, make_incarnation('a', 1))
    assert harness.list(3.2, make_incarnation('a', 3))['a'].incarnation == 3
    assert [former.life.incarnation for former in harness.ended] == [2]


def test_ended_incarnation_of_a_removed_box_is_not_listed() -> None:
    harness = make_harness_with_restarted_box()
    harness.list(2.5)
    harness.cluster.begin_recovery(3.0)
    assert not harness.list(3.1, make_incarnation('a', 1))


def test_leaving_box_stays_leaving_in_its_incarnation() -> None:
    harness = ViewHarness()
    box = make_incarnation('a', 1)
    leaving = msgspec.structs.replace(box, leaving=True)
    harness.list(1.0, box)
    harness.list(2.0, leaving)
    harness.cluster.begin_recovery(3.0)
    assert harness.list(3.1, box)['a'].leaving
    assert harness.list(5.0, leaving)['a'].leaving
    # The next incarnation of the box is not leaving.
    assert not harness.list(5.1, make_incarnation('a', 2))['a'].leaving


def test_boxes_missing_in_the_copy_are_kept_until_rewritten() -> None:
    harness = ViewHarness()
    leaving = msgspec.structs.replace(make_incarnation('b', 1), leaving=True)
    harness.list(1.0, make_incarnation('a', 1), leaving)
    harness.cluster.begin_recovery(3.0)
    assert set(harness.list(3.1, make_incarnation('c', 1))) == {'a', 'c'}
    later = 3.0 + REWRITE_SECONDS
    assert set(harness.list(later, make_incarnation('c', 1))) == {'c'}


def test_group_listed_in_its_state_before_it_opened_keeps_serving() -> None:
    harness = ViewHarness()
    head, member = make_group('small.7', 'a', 'b')
    joining = msgspec.structs.replace(head, standing=None, entry_number=3)
    head = msgspec.structs.replace(head, entry_number=4)
    harness.list(1.0, joining, member)
    harness.list(2.0, head, member)
    harness.cluster.begin_recovery(3.0)
    assert harness.list(3.1, joining, member)['a'].standing == head.standing
    assert not harness.cluster.lives.has_group_ended(GroupId('small.7'))
    # A later entry shows that the box has left its group.
    left = msgspec.structs.replace(joining, entry_number=5)
    assert harness.list(3.2, left, member)['a'].standing is None


def test_watch_reports_retained_boxes_that_the_store_lacks() -> None:
    harness = FleetWatchHarness(make_box('a'), make_box('b'))
    harness.cluster.begin_recovery(3.0)
    assert harness.list(3.1, make_box('a')) == {'a', 'b'}
    assert harness.cluster.retained_boxes == {'b'}
    assert harness.list(3.5, make_box('a'), make_box('b')) == {'a', 'b'}
    assert not harness.cluster.retained_boxes


def test_list_from_an_outdated_peer_is_corrected_after_a_restore() -> None:
    harness = FeedHarness()
    harness.cluster.eras.observe(StoreEra(1))
    harness.cluster.eras.listen(
        lambda _change: harness.cluster.begin_recovery(harness.clock.now)
    )
    for incarnation in (1, 2):
        harness.clock.now += 1.0
        harness.answer(
            harness.ask(), boxes=(make_incarnation('a', incarnation),)
        )
    harness.clock.now += 1.0
    # The reader has restarted and does not know the second incarnation.
    harness.answer(
        harness.ask(), boxes=(make_incarnation('a', 1),), era=StoreEra(2)
    )
    assert harness.cluster.fleet.boxes['a'].incarnation == 2
