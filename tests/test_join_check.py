"""A join holds only for the state that its box told."""

from __future__ import annotations

import msgspec
import pytest

from tests.boxes import make_box, make_group
from tests.replicas import SimFleet
from waywell.ids import BoxId, Epoch, GroupId, ModelName
from waywell.platform.orders import encode_order
from waywell.version.box_report import BoxReport
from waywell.version.fleet import FleetBox, MemberState
from waywell.version.join_check import check_joins
from waywell.version.orders import Assignment, Join

GROUP = GroupId('small.9')


def make_joins(*boxes: FleetBox) -> tuple[Assignment, ...]:
    members = tuple(box.box for box in boxes)
    join = Join(GROUP, Epoch(9), ModelName('small'), members)
    return tuple(Assignment(box, join) for box in boxes)


def report_of(box: FleetBox, orders_begun: int = 3) -> BoxReport:
    return BoxReport(orders_begun=orders_begun, standing=box.standing)


def test_joins_carry_the_numbers_that_their_boxes_told() -> None:
    free, other = make_box('a'), make_box('b')
    reports = {free.life: report_of(free, 4), other.life: report_of(other, 7)}
    check = check_joins(make_joins(free, other), reports)
    assert not check.unfit
    assert [join.order.orders_begun for join in check.joins] == [4, 7]


def test_one_silent_box_keeps_all_joins_of_its_group_back() -> None:
    free, silent = make_box('a'), make_box('b')
    check = check_joins(make_joins(free, silent), {free.life: report_of(free)})
    assert check.unfit == (silent.life,)
    assert not check.joins


def test_a_box_that_its_entry_shows_as_free_may_stand_in_a_group() -> None:
    free = make_box('a')
    told = make_group('small.7', 'a', 'x')[0]
    check = check_joins(make_joins(free), {free.life: report_of(told)})
    assert check.unfit == (free.life,)


def test_a_box_may_have_left_the_group_that_its_entry_shows() -> None:
    listed = make_group('small.7', 'a', 'x', head_state=MemberState.BROKEN)[0]
    left = msgspec.structs.replace(listed, standing=None)
    check = check_joins(make_joins(listed), {listed.life: report_of(left)})
    assert len(check.joins) == 1


@pytest.mark.parametrize(
    ('state', 'fits'),
    [
        (MemberState.JOINING, True),
        (MemberState.READY, True),
        (MemberState.BROKEN, True),
        (MemberState.OPEN, False),
        (MemberState.CLOSING, False),
    ],
)
def test_a_head_that_serves_is_not_joined_elsewhere(
    state: MemberState,
    fits: bool,
) -> None:
    listed = make_group('small.7', 'a', 'x', head_state=MemberState.READY)[0]
    told = make_group('small.7', 'a', 'x', head_state=state)[0]
    check = check_joins(make_joins(listed), {listed.life: report_of(told)})
    assert bool(check.joins) is fits


def test_a_box_in_another_group_than_its_entry_shows_does_not_fit() -> None:
    listed = make_group('small.7', 'a', 'x', head_state=MemberState.BROKEN)[0]
    told = make_group('small.8', 'a', 'x')[0]
    check = check_joins(make_joins(listed), {listed.life: report_of(told)})
    assert check.unfit == (listed.life,)


def test_of_two_joins_for_one_state_a_box_takes_one() -> None:
    """Whichever comes first, also when it is the later one that does."""
    for order in ((8, 9), (9, 8)):
        box = SimFleet().add('a', ('small',))
        box.apply_order({'operation': 'stage', 'model': 'small'})
        members = (BoxId('a'),)
        listed = make_box('a')
        report = BoxReport(orders_begun=box.orders_begun)
        taken = []
        for epoch in order:
            group = GroupId(f'small.{epoch}')
            join = Join(group, Epoch(epoch), ModelName('small'), members)
            planned = (Assignment(listed, join),)
            (numbered,) = check_joins(planned, {listed.life: report}).joins
            status = box.apply_order(encode_order(numbered, 1))
            taken.append(status < 300)
        assert taken == [True, False]


def test_a_join_planned_for_a_former_life_is_sent_to_no_later_one() -> None:
    listed = msgspec.structs.replace(make_box('a'), incarnation=1)
    report = BoxReport(orders_begun=0, incarnation=2)
    check = check_joins(make_joins(listed), {listed.life: report})
    assert check.unfit == (listed.life,)
    told = BoxReport(orders_begun=0, incarnation=1)
    assert check_joins(make_joins(listed), {listed.life: told}).joins
