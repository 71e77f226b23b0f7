"""Release of boxes, and nodes that must stop routing on their own."""

from __future__ import annotations

import msgspec
import pytest

from tests.test_membership import make_record
from waywell.ids import BoxId, Epoch, GroupId, HallName
from waywell.membership.membership import NodeRecord, NodeState
from waywell.process.release import (
    ReleaseTracker,
    may_route_unfenced,
    sees_majority,
)
from waywell.version.roster import Group, GroupState, Member

TERM = 10.0
DRAIN = 5.0

LEAVING = Group(
    GroupId('g'),
    's',
    'app',
    Epoch(1),
    GroupState.LEAVING,
    HallName('h'),
    (Member(BoxId('b'), 'h', 1, 0),),
    changed=7,
)


def make_node(name: str, roster: int, state: NodeState) -> NodeRecord:
    return msgspec.structs.replace(
        make_record(name),
        roster=roster,
        state=state,
    )


def is_released(
    tracker: ReleaseTracker,
    records: tuple[NodeRecord, ...],
    now: float,
    load: int | None = 0,
    fenced: bool = False,
) -> bool:
    tracker.update_lost_nodes(records, now)
    return tracker.is_released(LEAVING, fenced, records, load, now)


def test_a_release_waits_for_each_present_node() -> None:
    tracker = ReleaseTracker(TERM, DRAIN)
    behind = (
        make_node('a', 7, NodeState.LIVE),
        make_node('b', 6, NodeState.SUSPECT),
    )
    assert not is_released(tracker, behind, 100)
    current = (
        make_node('a', 7, NodeState.LIVE),
        make_node('b', 7, NodeState.LIVE),
    )
    assert is_released(tracker, current, 100)


def test_fenced_boxes_too_wait_for_a_present_node_that_is_behind() -> None:
    # Targets would refuse the requests of the node that is behind.
    behind = (
        make_node('a', 7, NodeState.LIVE),
        make_node('b', 6, NodeState.LIVE),
    )
    tracker = ReleaseTracker(TERM, DRAIN)
    assert not is_released(tracker, behind, 100, fenced=True)
    assert not is_released(tracker, behind, 100 + TERM * 9, fenced=True)
    lost = (
        make_node('a', 7, NodeState.LIVE),
        make_node('b', 6, NodeState.LOST),
    )
    assert is_released(tracker, lost, 200 + TERM * 9, fenced=True)


def test_a_release_waits_for_requests_in_flight_up_to_a_limit() -> None:
    tracker = ReleaseTracker(TERM, DRAIN)
    current = (make_node('a', 7, NodeState.LIVE),)
    assert not is_released(tracker, current, 0, load=3)
    assert not is_released(tracker, current, 4.9, load=None)
    assert is_released(tracker, current, 5, load=3)


@pytest.mark.parametrize('fenced', [True, False])
def test_a_lost_node_delays_the_release_of_unfenced_boxes_for_the_term(
    fenced: bool,
) -> None:
    tracker = ReleaseTracker(TERM, DRAIN)
    records = (
        make_node('a', 7, NodeState.LIVE),
        make_node('b', 7, NodeState.LIVE),
        make_node('c', 6, NodeState.LOST),
    )
    assert is_released(tracker, records, 0, fenced=fenced) is fenced
    assert is_released(tracker, records, 14.9, fenced=fenced) is fenced
    assert is_released(tracker, records, 15, fenced=fenced)


def test_a_minority_releases_no_unfenced_boxes() -> None:
    tracker = ReleaseTracker(TERM, DRAIN)
    records = (
        make_node('a', 7, NodeState.LIVE),
        make_node('b', 6, NodeState.LOST),
    )
    is_released(tracker, records, 0)
    assert not is_released(tracker, records, 1000)


@pytest.mark.parametrize('lost', range(5))
def test_at_most_one_of_two_partitions_continues(lost: int) -> None:
    """Each partition sees the nodes of the other one as lost."""
    states = [NodeState.LOST] * lost + [NodeState.LIVE] * (4 - lost)
    one = [
        make_node(f'n{index}', 0, state) for index, state in enumerate(states)
    ]
    other = [
        make_node(
            f'n{index}',
            0,
            NodeState.LIVE if state is NodeState.LOST else NodeState.LOST,
        )
        for index, state in enumerate(states)
    ]
    assert not (sees_majority(one) and sees_majority(other))


def test_a_platform_outage_alone_does_not_stop_routing() -> None:
    records = [make_node(f'n{n}', 0, NodeState.LIVE) for n in range(3)]
    assert may_route_unfenced(records, 1e9, TERM)


def test_an_isolated_node_stops_routing_after_the_term() -> None:
    records = [
        make_node('a', 0, NodeState.LIVE),
        make_node('b', 0, NodeState.LOST),
        make_node('c', 0, NodeState.LOST),
    ]
    assert may_route_unfenced(records, TERM - 1, TERM)
    assert not may_route_unfenced(records, TERM + 1, TERM)
