"""A join is bound to the state that its box reported."""

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


def make_report(box: FleetBox, orders_begun: int = 3) -> BoxReport:
    return BoxReport(orders_begun=orders_begun, standing=box.standing)


def test_joins_carry_the_order_counts_that_their_boxes_reported() -> None:
    free, other = make_box('a'), make_box('b')
    reports = {
        free.life: make_report(free, 4),
        other.life: make_report(other, 7),
    }
    check = check_joins(make_joins(free, other), reports)
    assert not check.unfit
    assert [join.order.orders_begun for join in check.joins] == [4, 7]


def test_one_silent_box_prevents_all_joins_of_its_group() -> None:
    free, silent = make_box('a'), make_box('b')
    check = check_joins(
        make_joins(free, silent), {free.life: make_report(free)}
    )
    assert check.unfit == (silent.life,)
    assert not check.joins


def test_box_that_reports_a_group_does_not_fit_although_listed_as_free() -> (
    None
):
    free = make_box('a')
    reported = make_group('small.7', 'a', 'x')[0]
    check = check_joins(make_joins(free), {free.life: make_report(reported)})
    assert check.unfit == (free.life,)


def test_box_that_left_its_listed_group_may_join() -> None:
    listed = make_group('small.7', 'a', 'x', head_state=MemberState.BROKEN)[0]
    left = msgspec.structs.replace(listed, standing=None)
    check = check_joins(make_joins(listed), {listed.life: make_report(left)})
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
def test_serving_head_does_not_join_another_group(
    state: MemberState,
    fits: bool,
) -> None:
    listed = make_group('small.7', 'a', 'x', head_state=MemberState.READY)[0]
    reported = make_group('small.7', 'a', 'x', head_state=state)[0]
    check = check_joins(
        make_joins(listed), {listed.life: make_report(reported)}
    )
    assert bool(check.joins) is fits


def test_a_box_in_another_group_than_its_entry_shows_does_not_fit() -> None:
    listed = make_group('small.7', 'a', 'x', head_state=MemberState.BROKEN)[0]
    reported = make_group('small.8', 'a', 'x')[0]
    check = check_joins(
        make_joins(listed), {listed.life: make_report(reported)}
    )
    assert check.unfit == (listed.life,)


def test_box_accepts_only_one_of_two_joins_for_the_same_state() -> None:
    """The first join to arrive is accepted, even if it was sent later."""
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


def test_join_planned_for_a_former_life_is_not_sent_to_a_later_one() -> None:
    listed = msgspec.structs.replace(make_box('a'), incarnation=1)
    report = BoxReport(orders_begun=0, incarnation=2)
    check = check_joins(make_joins(listed), {listed.life: report})
    assert check.unfit == (listed.life,)
    reported = BoxReport(orders_begun=0, incarnation=1)
    assert check_joins(make_joins(listed), {listed.life: reported}).joins
