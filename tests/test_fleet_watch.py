"""Boxes that vanish around an outage of the platform are kept for a while."""

from __future__ import annotations

import msgspec

from tests.boxes import make_box
from waywell.connection.platform import Changes, PlatformFault, Stored
from waywell.process.fleet_watch import KEEP_SECONDS, FleetWatch
from waywell.process.front_settings import PromiseSettings
from waywell.process.outlook import Outlook
from waywell.process.platform_watch import WatchParts
from waywell.version.fleet import FleetBox

AWAY = msgspec.structs.replace(make_box('away'), leaving=True)


class Bench:
    """A watch that is told what its calls brought."""

    def __init__(self, *boxes: FleetBox) -> None:
        self.outlook = Outlook(PromiseSettings())
        parts = WatchParts(
            None,
            self.outlook,
            None,
            lambda _now: True,
            lambda: True,
            lambda: 0.5,
        )
        self.is_quick = False
        self.watch = FleetWatch(parts, 0.4, lambda: self.is_quick)
        self.list(1.0, *boxes)

    def list(self, now: float, *boxes: FleetBox) -> set[str]:
        """Take in a whole list; return the boxes in force."""
        stored = tuple(Stored('box', box.box, 1, box) for box in boxes)
        self.watch.take(Changes(9, stored, complete=True), now, now)
        return set(self.outlook.fleet.boxes)


def test_boxes_that_lapsed_in_an_outage_are_kept_until_they_are_back() -> None:
    bench = Bench(make_box('a'), make_box('b'))
    bench.watch.take_fault(PlatformFault.UNANSWERED, 5.0)
    assert bench.list(5.5, make_box('a')) == {'a', 'b'}
    assert bench.list(6.0, make_box('a'), make_box('b')) == {'a', 'b'}
    # Back and gone once more, with the platform well: not kept again.
    assert bench.list(5.0 + KEEP_SECONDS + 1, make_box('a')) == {'a'}


def test_one_that_stays_away_is_given_up() -> None:
    bench = Bench(make_box('a'), make_box('b'))
    bench.watch.take_fault(PlatformFault.UNANSWERED, 5.0)
    bench.list(5.5, make_box('a'))
    assert bench.list(5.4 + KEEP_SECONDS, make_box('a')) == {'a', 'b'}
    assert bench.list(5.6 + KEEP_SECONDS, make_box('a')) == {'a'}


def test_one_that_said_that_it_leaves_is_not_kept() -> None:
    bench = Bench(make_box('a'), AWAY)
    bench.watch.take_fault(PlatformFault.UNANSWERED, 5.0)
    assert bench.list(5.5, make_box('a')) == {'a'}


def test_nothing_is_kept_while_the_platform_is_well() -> None:
    bench = Bench(make_box('a'), make_box('b'))
    assert bench.list(5.5, make_box('a')) == {'a'}


def test_one_that_vanishes_after_the_return_is_kept_no_longer() -> None:
    """It may have left in good order; the others can't be told apart."""
    bench = Bench(make_box('a'), make_box('b'))
    bench.watch.take_fault(PlatformFault.UNANSWERED, 5.0)
    bench.list(5.5, make_box('a'), make_box('b'))
    assert bench.list(7.5, make_box('a')) == {'a', 'b'}
    assert bench.list(5.6 + KEEP_SECONDS, make_box('a')) == {'a'}


def test_a_history_that_is_gone_is_no_outage() -> None:
    bench = Bench(make_box('a'), make_box('b'))
    bench.watch.take_fault(PlatformFault.HISTORY_GONE, 5.0)
    assert bench.list(5.1, make_box('a')) == {'a'}


def test_the_node_that_forms_groups_looks_as_often_as_it_plans() -> None:
    bench = Bench(make_box('a'))
    assert bench.watch.get_pace() == 0.4
    bench.is_quick = True
    assert bench.watch.get_pace() == 0.15
