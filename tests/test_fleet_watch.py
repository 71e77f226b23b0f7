"""Tests of boxes that are retained after their entries have gone."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import msgspec
import pytest
from returns.result import Result, Success

from tests.boxes import make_box, make_fleet, make_group
from waywell.connection.platform import Changes, Kind, PlatformFault, Stored
from waywell.knowledge import fleet_watch
from waywell.knowledge.cluster_view import ClusterView
from waywell.knowledge.fleet_watch import (
    MEMBER_RETENTION_SECONDS,
    RETURN_RETENTION_SECONDS,
    FleetWatch,
)
from waywell.knowledge.platform_watch import WatchContext
from waywell.knowledge.poll_intervals import make_poll_intervals
from waywell.knowledge.store_outage import SHORTEST_OUTAGE
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
        self.reads_for_others = True
        self.probes = 0
        context = WatchContext(
            SimpleNamespace(),
            self.cluster,
            None,
            lambda _now: True,
            lambda: self.reads_for_others,
            lambda: 1,
            lambda: 0.5,
        )
        self.is_forming = False
        self.watch = FleetWatch(
            context,
            make_poll_intervals(promises),
            lambda: self.is_forming,
            self._count_probe,
        )
        self.list(1.0, *boxes)

    def list(self, now: float, *boxes: FleetBox) -> set[str]:
        """Apply a full list; return the names of the boxes in force."""
        stored = tuple(Stored('box', box.box, 1, box) for box in boxes)
        self.watch.apply_changes(Changes(9, stored, complete=True), now, now)
        return set(self.cluster.fleet.boxes)

    def fail(self, now: float, *, is_reached_by_peer: bool = False) -> None:
        """Let a call fail; a peer may reach the store right after it."""
        self.watch.handle_fault(PlatformFault.UNANSWERED, now)
        if is_reached_by_peer:
            self.cluster.outage.record_sighting(now, now + 0.01)

    def _count_probe(self) -> None:
        self.probes += 1


def test_box_that_leaves_while_only_its_reader_is_cut_off_is_dropped() -> None:
    """The reader must not put it in force again at nodes that follow it.

    A replica whose entry had gone during a reader's cut of 0.25 s got requests
    for up to 2.4 s, where 2 s are allowed, and ended with some of them.
    """
    harness = FleetWatchHarness(make_box('a'), make_box('b'))
    harness.fail(1.4, is_reached_by_peer=True)
    assert harness.list(1.65, make_box('a')) == {'a'}


def test_box_that_leaves_during_a_long_cut_of_its_reader_is_dropped() -> None:
    harness = FleetWatchHarness(make_box('a'), make_box('b'))
    for number in range(8):
        harness.fail(1.4 + 0.6 * number, is_reached_by_peer=True)
    assert harness.list(6.2, make_box('a')) == {'a'}


def test_boxes_are_retained_after_an_outage_that_follows_a_cut() -> None:
    harness = FleetWatchHarness(make_box('a'), make_box('b'))
    harness.fail(1.4, is_reached_by_peer=True)
    for number in range(1, 8):
        harness.fail(1.4 + 0.6 * number)
    assert harness.list(6.9, make_box('a')) == {'a', 'b'}
    until = 6.9 + RETURN_RETENTION_SECONDS
    assert harness.list(until - 0.1, make_box('a')) == {'a', 'b'}
    assert harness.list(until + 0.1, make_box('a')) == {'a'}


def test_a_cut_right_after_an_outage_does_not_drop_retained_boxes() -> None:
    """A store that has just returned may turn single nodes away."""
    harness = FleetWatchHarness(make_box('a'), make_box('b'))
    for number in range(3):
        harness.fail(1.4 + 0.6 * number)
    assert harness.list(3.0, make_box('a')) == {'a', 'b'}
    harness.fail(3.4, is_reached_by_peer=True)
    assert harness.list(3.7, make_box('a')) == {'a', 'b'}
    until = 3.0 + RETURN_RETENTION_SECONDS
    assert harness.list(until - 0.1, make_box('a')) == {'a', 'b'}
    assert harness.list(until + 0.1, make_box('a')) == {'a'}


def test_a_probe_without_an_answer_to_the_last_failure_is_no_outage() -> None:
    harness = FleetWatchHarness(make_box('a'), make_box('b'))
    harness.fail(1.4, is_reached_by_peer=True)
    harness.fail(2.0)
    assert harness.list(2.1, make_box('a')) == {'a'}


def test_a_short_time_of_failures_is_no_outage() -> None:
    """No entry of a box that lives expires in it, whatever peers report."""
    harness = FleetWatchHarness(make_box('a'), make_box('b'))
    harness.fail(1.4)
    assert harness.list(0.9 + SHORTEST_OUTAGE, make_box('a')) == {'a'}


def test_a_peer_that_is_asked_as_the_store_returns_is_no_witness() -> None:
    harness = FleetWatchHarness(make_box('a'), make_box('b'))
    for number in range(4):
        harness.fail(1.4 + 0.6 * number)
    harness.fail(3.8, is_reached_by_peer=True)
    assert harness.list(4.1, make_box('a')) == {'a', 'b'}
    assert harness.list(6.2, make_box('a')) == {'a', 'b'}


def test_a_peer_that_reached_the_store_before_is_no_witness() -> None:
    harness = FleetWatchHarness(make_box('a'), make_box('b'))
    harness.cluster.outage.record_sighting(1.3, 1.31)
    harness.fail(1.4)
    until = 1.4 + SHORTEST_OUTAGE
    assert harness.list(until, make_box('a')) == {'a', 'b'}


def test_only_nodes_that_read_for_others_ask_for_probes() -> None:
    """Otherwise each node would cause calls to a store that is down."""
    harness = FleetWatchHarness(make_box('a'))
    harness.fail(1.4)
    assert harness.probes == 1
    harness.watch.handle_fault(PlatformFault.HISTORY_GONE, 1.5)
    assert harness.probes == 1
    harness.reads_for_others = False
    harness.fail(1.6)
    assert harness.probes == 1


def test_failures_before_a_time_without_reading_are_no_outage() -> None:
    """The node followed its reader meanwhile."""
    harness = FleetWatchHarness(make_box('a'), make_box('b'))
    harness.fail(1.4)
    harness.watch.handle_idle()
    harness.cluster.confirm_fleet(60.0)
    assert harness.list(60.4, make_box('a')) == {'a'}


def test_box_that_leaves_while_its_reader_is_suspended_is_dropped() -> None:
    """A reader that did not run knows nothing of an outage."""
    harness = FleetWatchHarness(make_box('a'), make_box('b'))
    harness.watch.resume_reading(1.1)
    harness.watch.resume_reading(5.0)
    harness.fail(5.1)
    assert harness.list(5.4, make_box('a')) == {'a'}


def test_head_that_leaves_during_a_cut_is_dropped_within_the_bound() -> None:
    """Its entry may have gone right after the last list that had it."""
    head, member = make_group('big.7', 'a', 'b')
    harness = FleetWatchHarness(head, member)
    harness.fail(1.4, is_reached_by_peer=True)
    assert harness.list(2.0, member) == {'a', 'b'}
    assert harness.list(2.4, member) == {'b'}


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
    harness.list(4.6, head, member)
    assert harness.list(5.0, member) == {'a', 'b'}
    assert harness.list(6.2, member) == {'b'}


def test_head_is_retained_longer_if_the_bound_for_leaving_is_wider() -> None:
    head, member = make_group('big.7', 'a', 'b')
    harness = FleetWatchHarness(
        head, member, promises=PromiseSettings(leaving_within_ms=4e3)
    )
    harness.list(4.6, head, member)
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


def test_other_nodes_are_asked_while_an_answer_is_overdue(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A link that holds its bytes shows as a failed call seconds later."""
    monkeypatch.setattr(fleet_watch, 'OVERDUE_SECONDS', 0.001)
    monkeypatch.setattr(fleet_watch, 'PROBE_INTERVAL', 0.001)
    harness = FleetWatchHarness(make_box('a'))
    answer = asyncio.Event()

    async def fetch_all(_kind: Kind) -> Result:
        await answer.wait()
        return Success(Changes(9, (), complete=True))

    async def play() -> None:
        harness.watch._context.platform.fetch_all = fetch_all
        harness.watch.forget_revision()
        reading = asyncio.create_task(harness.watch.read())
        while harness.probes < 3:
            await asyncio.sleep(0)
        answer.set()
        changes = (await reading).unwrap()
        harness.watch.apply_changes(changes, 2.0, 2.1)
        probes = harness.probes
        await asyncio.sleep(0.01)
        assert harness.probes == probes

    asyncio.run(play())
