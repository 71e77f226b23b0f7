"""Box lists of a store that came back from an older copy.

A box's earlier entry counted as a later incarnation: its requests were broken
off with 502, at the node that read it and at all that it told.  An entry of
before the box said that it leaves took that back, and it got requests again.
Boxes that the copy lacked were dropped at once, and callers were refused.  A
group whose head the copy showed before it opened was taken for ended: it got no
requests, and its members could be joined to others while it served.
"""

from __future__ import annotations

import msgspec

from tests.boxes import make_box, make_fleet, make_group
from tests.test_feed import FeedHarness as FeedBench
from tests.test_fleet_watch import FleetWatchHarness as WatchBench
from waywell.connection.store_era import StoreEra
from waywell.ids import GroupId, Incarnation
from waywell.knowledge.cluster_view import ClusterView
from waywell.knowledge.restored_entries import COPY_SECONDS, REWRITE_SECONDS
from waywell.process.front_settings import PromiseSettings
from waywell.version.fleet import FleetBox
from waywell.version.life_tracker import EndedLife


def make_run(name: str, incarnation: int) -> FleetBox:
    return msgspec.structs.replace(
        make_box(name), incarnation=Incarnation(incarnation)
    )


class Bench:
    """What a node knows of boxes, and which incarnations it heard to end."""

    def __init__(self) -> None:
        self.cluster = ClusterView(PromiseSettings())
        self.ended: list[EndedLife] = []
        self.cluster.add_end_listener(self.ended.extend)

    def list(self, now: float, *boxes: FleetBox) -> dict[str, FleetBox]:
        self.cluster.update_fleet(make_fleet(*boxes), now, now)
        return dict(self.cluster.fleet.boxes)


def make_restarted() -> Bench:
    """Return a node that saw box a begin its second run."""
    bench = Bench()
    bench.list(1.0, make_run('a', 1))
    bench.list(2.0, make_run('a', 2))
    bench.ended.clear()
    return bench


def test_an_ended_incarnation_does_not_begin_again() -> None:
    bench = make_restarted()
    bench.cluster.begin_recovery(3.0)
    assert bench.list(3.1, make_run('a', 1))['a'].incarnation == 2
    # The box may be cut off from the store, until its entry lapses.
    later = 3.0 + COPY_SECONDS - 0.1
    assert bench.list(later, make_run('a', 1))['a'].incarnation == 2
    assert not bench.ended


def test_a_store_that_comes_back_twice_is_held_against_from_the_later() -> (
    None
):
    bench = make_restarted()
    bench.cluster.begin_recovery(3.0)
    bench.cluster.begin_recovery(9.0)
    later = 9.0 + COPY_SECONDS - 0.1
    assert bench.list(later, make_run('a', 1))['a'].incarnation == 2


def test_a_box_that_restarts_after_the_return_has_a_new_incarnation() -> None:
    bench = make_restarted()
    bench.cluster.begin_recovery(3.0)
    bench.list(3.1, make_run('a', 1))
    assert bench.list(3.2, make_run('a', 3))['a'].incarnation == 3
    assert [one.life.incarnation for one in bench.ended] == [2]


def test_an_ended_incarnation_of_a_box_that_is_gone_is_no_box() -> None:
    bench = make_restarted()
    bench.list(2.5)
    bench.cluster.begin_recovery(3.0)
    assert not bench.list(3.1, make_run('a', 1))


def test_a_box_that_leaves_goes_on_to_leave() -> None:
    bench = Bench()
    box = make_run('a', 1)
    leaving = msgspec.structs.replace(box, leaving=True)
    bench.list(1.0, box)
    bench.list(2.0, leaving)
    bench.cluster.begin_recovery(3.0)
    assert bench.list(3.1, box)['a'].leaving
    assert bench.list(5.0, leaving)['a'].leaving
    # The next run of the box is another one.
    assert not bench.list(5.1, make_run('a', 2))['a'].leaving


def test_boxes_that_the_copy_lacks_are_held_until_they_have_written() -> None:
    bench = Bench()
    leaving = msgspec.structs.replace(make_run('b', 1), leaving=True)
    bench.list(1.0, make_run('a', 1), leaving)
    bench.cluster.begin_recovery(3.0)
    assert set(bench.list(3.1, make_run('c', 1))) == {'a', 'c'}
    later = 3.0 + REWRITE_SECONDS
    assert set(bench.list(later, make_run('c', 1))) == {'c'}


def test_a_group_that_the_copy_shows_before_it_opened_serves_on() -> None:
    bench = Bench()
    head, member = make_group('small.7', 'a', 'b')
    joining = msgspec.structs.replace(head, standing=None, entry_number=3)
    head = msgspec.structs.replace(head, entry_number=4)
    bench.list(1.0, joining, member)
    bench.list(2.0, head, member)
    bench.cluster.begin_recovery(3.0)
    assert bench.list(3.1, joining, member)['a'].standing == head.standing
    assert not bench.cluster.lives.has_group_ended(GroupId('small.7'))
    # The box has left its group since, and says so.
    left = msgspec.structs.replace(joining, entry_number=5)
    assert bench.list(3.2, left, member)['a'].standing is None


def test_a_watch_tells_which_boxes_the_store_does_not_list() -> None:
    bench = WatchBench(make_box('a'), make_box('b'))
    bench.cluster.begin_recovery(3.0)
    assert bench.list(3.1, make_box('a')) == {'a', 'b'}
    assert bench.cluster.retained_boxes == {'b'}
    assert bench.list(3.5, make_box('a'), make_box('b')) == {'a', 'b'}
    assert not bench.cluster.retained_boxes


def test_a_node_that_is_told_by_another_one_holds_what_it_knows() -> None:
    bench = FeedBench()
    bench.cluster.eras.observe(StoreEra(1))
    bench.cluster.eras.listen(
        lambda _change: bench.cluster.begin_recovery(bench.clock.now)
    )
    for run in (1, 2):
        bench.clock.now += 1.0
        bench.answer(bench.ask(), boxes=(make_run('a', run),))
    bench.clock.now += 1.0
    # The reader has started since, and knows of no second run.
    bench.answer(bench.ask(), boxes=(make_run('a', 1),), era=StoreEra(2))
    assert bench.cluster.fleet.boxes['a'].incarnation == 2
