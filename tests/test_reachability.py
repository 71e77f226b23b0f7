"""Outcomes of a node's latest connections to boxes."""

from __future__ import annotations

from tests.boxes import make_box
from waywell.health.reachability import RECENT_SECONDS, ReachabilityTable


def test_unreachable_boxes_are_counted_until_a_connection_succeeds() -> None:
    table = ReachabilityTable()
    first, second = make_box('a'), make_box('b')
    for box in (first, second):
        table.record(box, 10.0, is_connected=False)
    assert table.count_unreachable(10.0) == {first.service: 2.0}
    table.record(first, 10.5, is_connected=True)
    assert table.count_unreachable(10.5) == {first.service: 1.0}
    assert not table.count_unreachable(10.0 + RECENT_SECONDS)


def test_outcomes_of_removed_boxes_are_dropped() -> None:
    table = ReachabilityTable()
    first, second = make_box('a'), make_box('b')
    for box in (first, second):
        table.record(box, 10.0, is_connected=False)
    table.retain([second.life])
    assert table.count_unreachable(10.0) == {second.service: 1.0}
