"""Tests of boxes that are retained after their entries have gone."""

from __future__ import annotations

import msgspec

from tests.boxes import make_box, make_fleet, make_group
from waywell.connection.platform import Changes, PlatformFault, Stored
from waywell.knowledge.cluster_view import ClusterView
from waywell.knowledge.fleet_watch import (
    MEMBER_RETENTION_SECONDS,
    RETURN_RETENTION_SECONDS,
    FleetWatch,
)
from waywell.knowledge.platform_watch import WatchContext
from waywell.knowledge.poll_intervals import make_poll_intervals
from waywell.process.front_settings import PromiseSettings
from waywell.version.fleet import FleetBox, MemberState

LEAVING = msgspec.structs.replace(make_box('away'), leaving=True)


class FleetWatchHarness:
    """Fleet watch whose answers are passed in by the test."""

    def __init__(
        self, *boxes: FleetBox, promises: PromiseSettings | None = None
    ) -> None:
        promises = promises or PromiseSettings()
        self.cluster = ClusterView(promises)
        context = WatchContext(
            None,
            self.cluster,
            None,
            lambda _now: True,
            lambda: True,
            lambda: 1,
            lambda: 0.5,
        )
        self.is_forming = False
        self.watch = FleetWatch(
            context, make_poll_intervals(promises), lambda: self.is_forming
        )
        self.list(1.0, *boxes)

    def list(self, now: float, *boxes: FleetBox) -> set[str]:
        """Apply a full list; return the names of the boxes in force."""
        stored = tuple(Stored('box', box.box, 1, box) for box in boxes)
        self.watch.apply_changes(Changes(9, stored, complete=True), now, now)
        return set(self.cluster.fleet.boxes)


def test_boxes_that_expired_in_an_outage_are_retained_until_listed() -> None:
    harness = FleetWatchHarness(make_box('a'), make_box('b'))
    harness.watch.handle_fault(PlatformFault.UNANSWERED, 5.0)
    assert harness.list(5.5, make_box('a')) == {'a', 'b'}
    assert harness.list(6.0, make_box('a'), make_box('b')) == {'a', 'b'}
    # Listed and missing again without an outage: not retained.
    assert harness.list(5.0 + RETURN_RETENTION_SECONDS + 1, make_box('a')) == {
        'a'
    }


def test_retained_box_that_stays_missing_is_dropped() -> None:
    harness = FleetWatchHarness(make_box('a'), make_box('b'))
    harness.watch.handle_fault(PlatformFault.UNANSWERED, 5.0)
    harness.list(5.5, make_box('a'))
    assert harness.list(5.4 + RETURN_RETENTION_SECONDS, make_box('a')) == {
        'a',
        'b',
    }
    assert harness.list(5.6 + RETURN_RETENTION_SECONDS, make_box('a')) == {'a'}


def test_leaving_box_is_not_retained_after_an_outage() -> None:
    harness = FleetWatchHarness(make_box('a'), LEAVING)
    harness.watch.handle_fault(PlatformFault.UNANSWERED, 5.0)
    assert harness.list(5.5, make_box('a')) == {'a'}


def test_no_box_is_retained_without_an_outage() -> None:
    harness = FleetWatchHarness(make_box('a'), make_box('b'))
    assert harness.list(5.5, make_box('a')) == {'a'}


def test_box_missing_after_the_return_is_retained_no_longer() -> None:
    """It may have left by order, which can't be distinguished from a loss."""
    harness = FleetWatchHarness(make_box('a'), make_box('b'))
    harness.watch.handle_fault(PlatformFault.UNANSWERED, 5.0)
    harness.list(5.5, make_box('a'), make_box('b'))
    assert harness.list(7.5, make_box('a')) == {'a', 'b'}
    assert harness.list(5.6 + RETURN_RETENTION_SECONDS, make_box('a')) == {'a'}


def test_missing_history_is_not_an_outage() -> None:
    harness = FleetWatchHarness(make_box('a'), make_box('b'))
    harness.watch.handle_fault(PlatformFault.HISTORY_GONE, 5.0)
    assert harness.list(5.1, make_box('a')) == {'a'}


def test_forming_node_polls_as_often_as_it_plans() -> None:
    harness = FleetWatchHarness(make_box('a'))
    assert harness.watch.get_interval() == 0.4
    harness.is_forming = True
    assert harness.watch.get_interval() == 0.15


def test_member_whose_entry_expired_is_retained_for_a_while() -> None:
    """Guards against treating a box whose entry has gone as lost.

    When 26 of 222 boxes were cut off from the platform for 5 s, their entries
    expired and returned 2 s later. Four of five groups of sixteen were broken
    up although all of their boxes were alive and answered, and a third of the
    large model's requests were late or refused for the 10 s of forming again.
    """
    head, member = make_group('big.7', 'a', 'b')
    harness = FleetWatchHarness(head, member)
    assert harness.list(5.0, head) == {'a', 'b'}
    assert harness.cluster.retained_boxes == {'b'}
    assert harness.list(4.9 + MEMBER_RETENTION_SECONDS, head) == {'a', 'b'}
    assert harness.list(5.1 + MEMBER_RETENTION_SECONDS, head) == {'a'}


def test_missing_head_is_dropped_within_the_bound_for_leaving() -> None:
    """It may have left unannounced; after 2 s it must receive nothing."""
    head, member = make_group('big.7', 'a', 'b')
    harness = FleetWatchHarness(head, member)
    assert harness.list(5.0, member) == {'a', 'b'}
    assert harness.list(6.2, member) == {'b'}


def test_head_is_retained_longer_if_the_bound_for_leaving_is_wider() -> None:
    head, member = make_group('big.7', 'a', 'b')
    harness = FleetWatchHarness(
        head, member, promises=PromiseSettings(leaving_within_ms=4e3)
    )
    assert harness.list(5.0, member) == {'a', 'b'}
    assert harness.list(7.5, member) == {'a', 'b'}
    assert harness.list(8.0, member) == {'b'}


def test_box_of_a_group_that_does_not_serve_is_not_retained() -> None:
    group = make_group('big.7', 'a', 'b', head_state=MemberState.READY)
    harness = FleetWatchHarness(*group, make_box('c'))
    assert harness.list(5.0, group[0]) == {'a'}


def test_leaving_member_of_a_serving_group_is_not_retained() -> None:
    head, member = make_group('big.7', 'a', 'b', leaving='b')
    harness = FleetWatchHarness(head, member)
    assert harness.list(5.0, head) == {'a'}


def test_member_that_is_listed_again_is_not_retained() -> None:
    head, member = make_group('big.7', 'a', 'b')
    harness = FleetWatchHarness(head, member)
    harness.list(5.0, head)
    assert harness.list(6.0, head, member) == {'a', 'b'}
    assert not harness.cluster.retained_boxes


def test_list_requested_earlier_does_not_replace_a_later_one() -> None:
    """Guards against a box's current life being treated as ended.

    The node queries a slow platform. A later list from its reader arrives
    first and shows a box in a new life, then the platform's answer arrives. It
    must not be put in force, or the former life would appear to be the new
    one.
    """
    old = msgspec.structs.replace(make_box('a'), incarnation=1)
    new = msgspec.structs.replace(make_box('a'), incarnation=2)
    harness = FleetWatchHarness(old)
    harness.cluster.apply_fleet(make_fleet(new), 5.3)
    stored = (Stored('box', old.box, 1, old),)
    harness.watch.apply_changes(Changes(9, stored, complete=True), 5.0, 5.4)
    assert harness.cluster.fleet.boxes[old.box].incarnation == 2


def test_new_entries_of_an_ignored_answer_come_with_the_next_poll() -> None:
    harness = FleetWatchHarness(make_box('a'))
    harness.cluster.apply_fleet(make_fleet(make_box('a'), make_box('b')), 5.3)
    changes = (make_box('a'), make_box('b'), make_box('c'))
    stored = tuple(Stored('box', box.box, 1, box) for box in changes)
    harness.watch.apply_changes(Changes(9, stored, complete=True), 5.0, 5.4)
    assert set(harness.cluster.fleet.boxes) == {'a', 'b'}
    harness.watch.apply_changes(Changes(9, ()), 5.5, 5.5)
    assert set(harness.cluster.fleet.boxes) == {'a', 'b', 'c'}
