"""When boxes may be given away, and when a node must stop by itself."""

from __future__ import annotations

import msgspec
import pytest

from tests.test_membership import make_record
from waywell.ids import BoxId, Epoch, GroupId, HallName
from waywell.membership.membership import NodeRecord, NodeState
from waywell.process.release import (
    ReleaseTracker,
    may_route_unfenced,
    sees_most,
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


def make(name: str, roster: int, state: NodeState) -> NodeRecord:
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
    tracker.note_nodes(records, now)
    return tracker.is_released(LEAVING, fenced, records, load, now)


def test_waits_for_each_present_node() -> None:
    tracker = ReleaseTracker(TERM, DRAIN)
    behind = (make('a', 7, NodeState.LIVE), make('b', 6, NodeState.SUSPECT))
    assert not is_released(tracker, behind, 100)
    told = (make('a', 7, NodeState.LIVE), make('b', 7, NodeState.LIVE))
    assert is_released(tracker, told, 100)


def test_a_fence_does_not_excuse_a_present_node_that_is_behind() -> None:
    # Its requests would be refused by their targets instead of served.
    behind = (make('a', 7, NodeState.LIVE), make('b', 6, NodeState.LIVE))
    tracker = ReleaseTracker(TERM, DRAIN)
    assert not is_released(tracker, behind, 100, fenced=True)
    assert not is_released(tracker, behind, 100 + TERM * 9, fenced=True)
    lost = (make('a', 7, NodeState.LIVE), make('b', 6, NodeState.LOST))
    assert is_released(tracker, lost, 200 + TERM * 9, fenced=True)


def test_waits_for_work_in_flight_up_to_the_bound() -> None:
    tracker = ReleaseTracker(TERM, DRAIN)
    told = (make('a', 7, NodeState.LIVE),)
    assert not is_released(tracker, told, 0, load=3)
    assert not is_released(tracker, told, 4.9, load=None)
    assert is_released(tracker, told, 5, load=3)


@pytest.mark.parametrize('fenced', [True, False])
def test_lost_node_holds_unfenced_targets_for_the_term(fenced: bool) -> None:
    tracker = ReleaseTracker(TERM, DRAIN)
    records = (
        make('a', 7, NodeState.LIVE),
        make('b', 7, NodeState.LIVE),
        make('c', 6, NodeState.LOST),
    )
    assert is_released(tracker, records, 0, fenced=fenced) is fenced
    assert is_released(tracker, records, 14.9, fenced=fenced) is fenced
    assert is_released(tracker, records, 15, fenced=fenced)


def test_minority_releases_nothing_unfenced() -> None:
    tracker = ReleaseTracker(TERM, DRAIN)
    records = (
        make('a', 7, NodeState.LIVE),
        make('b', 6, NodeState.LOST),
    )
    is_released(tracker, records, 0)
    assert not is_released(tracker, records, 1000)


@pytest.mark.parametrize('lost', range(5))
def test_of_two_parts_at_most_one_goes_on(lost: int) -> None:
    """What one part sees as lost, the other sees as present."""
    states = [NodeState.LOST] * lost + [NodeState.LIVE] * (4 - lost)
    one = [make(f'n{place}', 0, state) for place, state in enumerate(states)]
    other = [
        make(
            f'n{place}',
            0,
            NodeState.LIVE if state is NodeState.LOST else NodeState.LOST,
        )
        for place, state in enumerate(states)
    ]
    assert not (sees_most(one) and sees_most(other))


def test_outage_alone_stops_nothing() -> None:
    records = [make(f'n{n}', 0, NodeState.LIVE) for n in range(3)]
    assert may_route_unfenced(records, 1e9, TERM)


def test_node_cut_from_everything_stops_after_the_term() -> None:
    records = [
        make('a', 0, NodeState.LIVE),
        make('b', 0, NodeState.LOST),
        make('c', 0, NodeState.LOST),
    ]
    assert may_route_unfenced(records, TERM - 1, TERM)
    assert not may_route_unfenced(records, TERM + 1, TERM)
