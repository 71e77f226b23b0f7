"""Orders that form, open, close and dissolve groups."""

from __future__ import annotations

import math
from collections import Counter

import msgspec
import pytest

from tests.boxes import make_box, make_fleet, make_group, make_life
from waywell.ids import BoxId, GroupId, ModelName, ServiceName
from waywell.version.fleet import FleetBox, MemberState
from waywell.version.forming import FormingPlanner, FormingView
from waywell.version.forming_memory import FormingMemory
from waywell.version.orders import (
    Assignment,
    Close,
    Join,
    Leave,
    Open,
    OrderResult,
    Stage,
)
from waywell.version.regroup_planner import SEARCH_INTERVAL_SECONDS
from waywell.version.routes import Engine, EngineModel
from waywell.version.staging import SERVING_LOAD_SHARE

LLM = ServiceName('llm')
BIG, SMALL = ModelName('big'), ModelName('small')
ENGINE = Engine(
    places=9,
    models=(
        EngineModel(BIG, 4, 0.5, load_seconds=16.0, warm_seconds=1.6),
        EngineModel(SMALL, 2, 0.5, load_seconds=12.0, warm_seconds=1.1),
    ),
    loads_per_second=5.0,
    loads_at_once=7,
)
NO_DEMAND = {BIG: 0.0, SMALL: 0.0}
SOME_DEMAND = {BIG: 10.0, SMALL: 10.0}


def plan(
    boxes: list[FleetBox],
    memory: FormingMemory,
    now: float,
    demand: dict[ModelName, float] | None = None,
) -> list[Assignment]:
    view = FormingView(LLM, ENGINE, make_fleet(*boxes), demand or SOME_DEMAND)
    return FormingPlanner(view, memory, now).plan()


def make_small_groups(count: int) -> list[FleetBox]:
    """Return groups of the small model whose boxes hold the big one too."""
    return [
        msgspec.structs.replace(box, staged=(BIG,))
        for place in range(count)
        for box in make_group(f'small.{place + 1}', f'h{place}', f'm{place}')
    ]


def make_watching_memory(
    boxes: list[FleetBox],
    demand: dict[ModelName, float],
) -> FormingMemory:
    """Return the state of a holder that has watched demand for a while."""
    memory = FormingMemory(planned_since=0.0)
    plan([box for box in boxes if box.standing], memory, 0.0, NO_DEMAND)
    return memory


def make_memory_of_formed(*groups: str) -> FormingMemory:
    """Return the state of a holder that formed the given groups."""
    memory = FormingMemory()
    for group in groups:
        memory.openings.record_formed(GroupId(group), [])
    return memory


def select_orders(
    assignments: list[Assignment], kind: type
) -> list[Assignment]:
    return [
        assignment
        for assignment in assignments
        if isinstance(assignment.order, kind)
    ]


def apply_joins(assignments: list[Assignment], state: MemberState) -> list:
    """Return the boxes as they are listed after the ordered joins."""
    boxes = []
    for assignment in select_orders(assignments, Join):
        order = assignment.order
        standing = make_group(order.group, 'x')[0].standing
        rank = order.members.index(assignment.box.box)
        standing = msgspec.structs.replace(standing, rank=rank, state=state)
        boxes.append(
            msgspec.structs.replace(
                assignment.box, standing=standing, staged=(order.model,)
            ),
        )
    return boxes


def test_first_start_joins_all_empty_boxes() -> None:
    boxes = [make_box(f'b{number:02}') for number in range(10)]
    joins = select_orders(plan(boxes, FormingMemory(), 1.0, NO_DEMAND), Join)
    sizes = Counter(assignment.order.model for assignment in joins)
    assert sizes == {BIG: 4, SMALL: 6}
    assert len({assignment.box.box for assignment in joins}) == 10


def test_groups_lie_within_one_domain() -> None:
    boxes = [make_box(f'b{number}', f'd{number % 3}') for number in range(12)]
    joins = select_orders(plan(boxes, FormingMemory(), 1.0, NO_DEMAND), Join)
    domains: dict[GroupId, set[str]] = {}
    for assignment in joins:
        domains.setdefault(assignment.order.group, set()).add(
            assignment.box.domain
        )
    assert domains
    assert all(len(found) == 1 for found in domains.values())


def test_a_group_is_opened_when_every_member_is_ready() -> None:
    memory = FormingMemory()
    boxes = [make_box(f'b{number}') for number in range(2)]
    joined = plan(boxes, memory, 1.0, NO_DEMAND)
    loading = apply_joins(joined, MemberState.JOINING)
    ready = apply_joins(joined, MemberState.READY)
    mixed = [ready[0], loading[1]]
    assert not select_orders(plan(mixed, memory, 2.0), Open)
    opens = select_orders(plan(ready, memory, 3.0), Open)
    assert [assignment.box.box for assignment in opens] == ['b0']


def test_head_leaves_a_ready_group_of_another_holder_before_its_boxes_join() -> (
    None
):
    # An order of the other holder to open the group may be in flight.
    memory = FormingMemory(next_epoch=2_000_001)
    boxes = make_group('small.1000007', 'a', 'b', head_state=MemberState.READY)
    orders = plan(boxes, memory, 1.0)
    assert [
        assignment.box.box for assignment in select_orders(orders, Leave)
    ] == ['a']
    assert len(orders) == 1
    left = msgspec.structs.replace(boxes[0], standing=None)
    memory.groups_left_by_head.add(GroupId('small.1000007'))
    joins = select_orders(plan([left, boxes[1]], memory, 1.5), Join)
    assert {assignment.order.epoch for assignment in joins} == {2_000_001}


def test_group_that_may_have_opened_is_not_treated_as_closed() -> None:
    memory = make_memory_of_formed('small.7')
    boxes = make_group('small.7', 'a', 'b', head_state=MemberState.READY)
    assert select_orders(plan(boxes, memory, 1.0), Open)
    # A member is lost before the list shows that the group opened.
    spare = make_box('c', staged=('small',))
    memory.pending.clear()
    orders = plan([boxes[0], spare], memory, 1.3)
    assert [
        assignment.box.box for assignment in select_orders(orders, Leave)
    ] == ['a']
    assert not select_orders(orders, Join)


def test_open_group_of_another_holder_gets_no_orders() -> None:
    memory = FormingMemory(next_epoch=2_000_001)
    boxes = make_group('small.1000007', 'a', 'b')
    assert not plan(boxes, memory, 1.0)


def test_head_leaves_a_group_with_a_lost_member_before_its_boxes_join() -> (
    None
):
    memory = FormingMemory()
    head, _lost = make_group('small.7', 'a', 'b')
    spare = make_box('c', staged=('small',))
    orders = plan([head, spare], memory, 10.0)
    assert [
        assignment.box.box for assignment in select_orders(orders, Leave)
    ] == ['a']
    assert not select_orders(orders, Join)


def test_survivors_of_a_lost_head_leave_before_they_join_others() -> None:
    memory = FormingMemory()
    group = make_group('small.7', 'a', 'b')
    plan(group, memory, 9.0)
    spare = make_box('c', staged=('small',))
    orders = plan([group[1], spare], memory, 10.0)
    assert {
        assignment.box.box for assignment in select_orders(orders, Leave)
    } == {'a', 'b'}
    assert not select_orders(orders, Join)


def test_survivors_of_a_lost_head_join_nothing_until_they_have_left() -> None:
    memory = FormingMemory()
    group = make_group('small.7', 'a', 'b')
    plan(group, memory, 9.0)
    spare = make_box('c', staged=('small',))
    plan([group[1], spare], memory, 10.0)
    for now in (12.0, 16.1, 30.0, 100.0):
        memory.pending.clear()
        orders = plan([group[1], spare], memory, now)
        assert not select_orders(orders, Join)
        assert 'b' in {
            assignment.box.box for assignment in select_orders(orders, Leave)
        }
    memory.pending.clear()
    left = msgspec.structs.replace(group[1], standing=None)
    joins = select_orders(plan([left, spare], memory, 101.0), Join)
    assert {assignment.box.box for assignment in joins} == {'b', 'c'}


def test_leaving_member_closes_its_group() -> None:
    boxes = make_group('small.7', 'a', 'b', leaving='b')
    orders = plan(boxes, FormingMemory(), 1.0)
    assert [type(assignment.order) for assignment in orders] == [Close]
    assert orders[0].box.box == 'a'


def test_members_of_an_unopened_group_join_others_without_their_head() -> None:
    memory = make_memory_of_formed('small.7')
    _head, member = make_group(
        'small.7', 'a', 'b', head_state=MemberState.READY
    )
    spare = make_box('c', staged=('small',))
    orders = plan([member, spare], memory, 10.0)
    assert {
        assignment.box.box for assignment in select_orders(orders, Join)
    } == {'b', 'c'}
    assert not select_orders(orders, Leave)


def test_pending_order_is_not_sent_twice() -> None:
    memory = make_memory_of_formed('small.7')
    boxes = make_group('small.7', 'a', 'b', head_state=MemberState.READY)
    assert select_orders(plan(boxes, memory, 1.0), Open)
    assert not select_orders(plan(boxes, memory, 1.2), Open)


def test_a_group_whose_members_were_ordered_elsewhere_is_never_opened() -> (
    None
):
    boxes = make_group('small.7', 'a', 'b', head_state=MemberState.READY)
    assert select_orders(
        plan(boxes, make_memory_of_formed('small.7'), 2.0), Open
    )
    memory = make_memory_of_formed('small.7')
    memory.openings.record_formed(GroupId('small.8'), [boxes[1]])
    for now in (2.0, 20.0, 200.0):
        assert not select_orders(plan(boxes, memory, now), Open)
        memory.pending.clear()


@pytest.mark.parametrize('order', [Leave, Close])
def test_a_group_is_never_opened_after_its_end_was_ordered(
    order: type,
) -> None:
    memory = make_memory_of_formed('small.7')
    boxes = make_group('small.7', 'a', 'b', head_state=MemberState.READY)
    standing = boxes[1].standing
    ending = order(standing.group, standing.epoch)
    assert memory.record_order(boxes[1], ending, 1.0)
    memory.pending.clear()
    assert not select_orders(plan(boxes, memory, 20.0), Open)


def test_head_leaves_a_forgotten_group_before_its_boxes_join() -> None:
    memory = make_memory_of_formed('small.7')
    boxes = make_group('small.7', 'a', 'b', head_state=MemberState.READY)
    plan([make_box('c')], memory, 1.0)
    orders = plan(boxes, memory, 2.0)
    assert [
        assignment.box.box for assignment in select_orders(orders, Leave)
    ] == ['a']
    assert len(orders) == 1


def test_epochs_rise_with_each_group() -> None:
    memory = FormingMemory(next_epoch=5)
    boxes = [make_box(f'b{number}') for number in range(10)]
    joins = select_orders(plan(boxes, memory, 1.0, NO_DEMAND), Join)
    epochs = {assignment.order.epoch for assignment in joins}
    assert min(epochs) == 5
    assert memory.next_epoch == max(epochs) + 1


def test_survivors_are_joined_with_a_spare_that_holds_their_model() -> None:
    memory = FormingMemory()
    group = make_group('big.7', 'a', 'b', 'c', 'd')
    plan(group, memory, 1.0)
    left = [msgspec.structs.replace(box, standing=None) for box in group[:3]]
    spare = make_box('s', staged=('big',))
    joins = select_orders(plan([*left, spare], memory, 2.0), Join)
    assert {assignment.box.box for assignment in joins} == {'a', 'b', 'c', 's'}
    assert {assignment.order.model for assignment in joins} == {BIG}


def test_loads_stay_within_the_concurrent_limit() -> None:
    memory = FormingMemory()
    serving = make_group('small.7', 'a', 'b')
    empty = [make_box(f'n{number:02}', 'd1') for number in range(20)]
    loads = 0
    for step in range(100):
        loads += len(
            select_orders(plan([*serving, *empty], memory, step * 0.1), Stage)
        )
    assert 0 < loads <= ENGINE.loads_at_once


def test_boxes_get_a_second_model_before_callers_come() -> None:
    memory = FormingMemory()
    boxes = [make_box(f'b{number}') for number in range(4)]
    joined = plan(boxes, memory, 1.0, NO_DEMAND)
    loaded = apply_joins(joined, MemberState.READY)
    stages = select_orders(plan(loaded, memory, 3.0, NO_DEMAND), Stage)
    # The heads have a pending order until the list shows its effect.
    serving = apply_joins(joined, MemberState.OPEN)
    stages += select_orders(plan(serving, memory, 4.0, NO_DEMAND), Stage)
    assert {assignment.box.box for assignment in stages} == {
        BoxId(f'b{n}') for n in range(4)
    }


def test_a_model_without_places_gets_boxes_of_one_with_room() -> None:
    memory = FormingMemory()
    boxes = make_small_groups(4)
    boxes += make_group('big.9', 'w', 'x', 'y', 'z', domain='d1')
    demand = {BIG: 9.0, SMALL: 2.0}
    memory = make_watching_memory(boxes, demand)
    orders = plan(boxes, memory, 5.0, demand)
    assert [type(assignment.order) for assignment in orders] == [Close, Close]
    assert not plan(boxes, memory, 5.2, demand)
    closed = {assignment.box.box for assignment in orders}
    mates = {BoxId(name.replace('h', 'm')) for name in closed}
    # Once these boxes have left, they form the group.
    boxes = [
        msgspec.structs.replace(box, standing=None)
        if box.box in closed | mates
        else box
        for box in boxes
    ]
    joined = select_orders(plan(boxes, memory, 6.0, demand), Join)
    assert {assignment.box.box for assignment in joined} == closed | mates
    assert {assignment.order.model for assignment in joined} == {BIG}


def test_no_group_is_closed_before_demand_was_watched_long_enough() -> None:
    boxes = make_small_groups(4)
    orders = plan(boxes, FormingMemory(), 5.0, {BIG: 9.0, SMALL: 2.0})
    assert not select_orders(orders, Close)


def test_reserved_boxes_are_freed_when_one_is_lost() -> None:
    boxes = [
        *make_group('big.9', 'w', 'x', 'y', 'z', domain='d1'),
        *make_small_groups(2),
        *(make_box(name, staged=('big',)) for name in ('i', 'j')),
    ]
    demand = {BIG: 9.0, SMALL: 1.0}
    memory = make_watching_memory(boxes, demand)
    closes = select_orders(plan(boxes, memory, 5.0, demand), Close)
    assert len(closes) == 1
    (kept,) = memory.intended
    assert {make_life('i'), make_life('j')} < set(kept.members)
    rest = [box for box in boxes if box.box != 'i']
    plan(rest, memory, 5.2, demand)
    assert not any('i' in intended.members for intended in memory.intended)


def test_model_short_of_places_gives_up_no_boxes() -> None:
    boxes = [
        msgspec.structs.replace(box, staged=(BIG,))
        for box in make_group('small.1', 'a', 'b')
        + make_group('small.2', 'c', 'd')
    ]
    boxes += make_group('big.9', 'w', 'x', 'y', 'z', domain='d1')
    orders = plan(boxes, FormingMemory(), 1.0, {BIG: 9.0, SMALL: 17.0})
    assert not orders


@pytest.mark.parametrize('state', [MemberState.OPEN, MemberState.CLOSING])
def test_no_box_of_a_group_that_may_serve_is_joined_elsewhere(
    state: MemberState,
) -> None:
    boxes = make_group('small.7', 'a', 'b', head_state=state)
    for taken in (boxes[:1], boxes[1:], boxes):
        orders = plan(
            [*taken, make_box('c', staged=('small',))], FormingMemory(), 1.0
        )
        names = {
            assignment.box.box for assignment in select_orders(orders, Join)
        }
        assert not names & {'a', 'b'}


def test_idle_boxes_load_the_model_that_is_short_of_places() -> None:
    boxes = [
        *make_group('small.1', 'a', 'b'),
        *make_group('big.2', 'w', 'x', 'y', 'z'),
        *(make_box(name, staged=('small',)) for name in ('i', 'j', 'k')),
    ]
    stages = select_orders(
        plan(boxes, FormingMemory(), 1.0, {BIG: 27.0, SMALL: 1.0}), Stage
    )
    assert {
        (assignment.box.box, assignment.order.model) for assignment in stages
    } == {
        ('i', BIG),
        ('j', BIG),
        ('k', BIG),
    }


def test_serving_boxes_load_the_model_with_little_room() -> None:
    boxes = [
        *make_group('small.1', 'a', 'b'),
        *make_group('small.2', 'c', 'd'),
    ]
    boxes += make_group('big.3', 'w', 'x', 'y', 'z', domain='d1')
    memory = FormingMemory(
        last_models={make_life(name): SMALL for name in 'abcd'}
        | {make_life(name): BIG for name in 'wxyz'},
    )
    stages = select_orders(
        plan(boxes, memory, 1.0, {BIG: 4.0, SMALL: 4.0}), Stage
    )
    most = math.ceil(SERVING_LOAD_SHARE * ENGINE.loads_at_once)
    assert [assignment.order.model for assignment in stages] == [BIG] * most
    assert {assignment.box.box for assignment in stages} <= {
        'a',
        'b',
        'c',
        'd',
    }
    # The other loads of the weight store are left to idle boxes.
    boxes += [make_box(f'i{number}') for number in range(4)]
    later = select_orders(
        plan(boxes, memory, 2.1, {BIG: 4.0, SMALL: 4.0}), Stage
    )
    assert len(later) == ENGINE.loads_at_once - most
    assert {assignment.box.box for assignment in later} <= {
        'i0',
        'i1',
        'i2',
        'i3',
    }


def test_boxes_that_hold_two_models_load_nothing() -> None:
    boxes = [
        msgspec.structs.replace(box, staged=(BIG,))
        for box in make_group('small.1', 'a', 'b')
        + make_group('small.2', 'c', 'd')
    ]
    boxes += [
        msgspec.structs.replace(box, staged=(SMALL,))
        for box in make_group('big.3', 'w', 'x', 'y', 'z', domain='d1')
    ]
    memory = FormingMemory(
        last_models={make_life(name): SMALL for name in 'abcd'}
        | {make_life(name): BIG for name in 'wxyz'},
    )
    orders = plan(boxes, memory, 1.0, {BIG: 9.0, SMALL: 3.0})
    assert not select_orders(orders, Stage)


def test_load_evicts_no_model_that_is_as_short() -> None:
    boxes = [
        *make_group('small.1', 'a', 'b'),
        *make_group('big.2', 'w', 'x', 'y', 'z'),
        *(make_box(name, staged=('small',)) for name in ('i', 'j', 'k')),
    ]
    demand = {BIG: 4.0, SMALL: 9.0}
    stages = select_orders(plan(boxes, FormingMemory(), 1.0, demand), Stage)
    assert not {assignment.box.box for assignment in stages} & {'i', 'j', 'k'}


@pytest.mark.parametrize(
    # The box is loading for an earlier holder, or the order may be lost.
    ('result', 'is_free_at_once'),
    [(OrderResult.CONFLICT, True), (OrderResult.UNKNOWN, False)],
)
def test_load_that_a_box_did_not_accept_is_ordered_again(
    result: OrderResult,
    is_free_at_once: bool,
) -> None:
    boxes = [make_box(f'i{number}') for number in range(9)]
    boxes += make_group('small.1', 'a', 'b', domain='d1')
    boxes += make_group('big.2', 'w', 'x', 'y', 'z', domain='d1')
    memory = FormingMemory()
    demand = {BIG: 4.0, SMALL: 4.0}
    first = select_orders(plan(boxes, memory, 1.0, demand), Stage)
    assert first
    for assignment in first:
        memory.record_result(assignment, result, 1.1)
    asked = {assignment.box.box for assignment in first}
    others = select_orders(plan(boxes, memory, 1.2, demand), Stage)
    assert bool(others) is is_free_at_once
    assert not asked & {assignment.box.box for assignment in others}
    again = select_orders(plan(boxes, memory, 7.0, demand), Stage)
    assert asked & {assignment.box.box for assignment in again}


def test_a_load_that_may_have_begun_counts_for_the_pace() -> None:
    boxes = [make_box(f'i{number:02}') for number in range(20)]
    boxes += make_group('small.1', 'a', 'b', domain='d1')
    boxes += make_group('big.2', 'w', 'x', 'y', 'z', domain='d1')
    memory = FormingMemory()
    begun = 0
    for tick in range(40):
        now = 1.0 + tick * 0.1
        orders = plan(boxes, memory, now, {BIG: 4.0, SMALL: 4.0})
        for assignment in select_orders(orders, Stage):
            begun += 1
            memory.record_result(assignment, OrderResult.UNKNOWN, now)
    assert begun <= ENGINE.loads_at_once


def test_loads_stay_within_the_rate_of_the_weight_store() -> None:
    engine = msgspec.structs.replace(
        ENGINE, loads_per_second=2.0, loads_at_once=20
    )
    boxes = [make_box(f'i{number}') for number in range(8)]
    boxes += make_group('small.1', 'a', 'b', domain='d1')
    memory = FormingMemory()
    begun = []
    for now in (1.0, 1.5, 2.1):
        view = FormingView(LLM, engine, make_fleet(*boxes), SOME_DEMAND)
        orders = FormingPlanner(view, memory, now).plan()
        begun.append(len(select_orders(orders, Stage)))
    assert begun == [2, 0, 2]


def test_no_serving_group_is_closed_for_one_while_others_only_form() -> None:
    """A group that is forming may lose a box before it serves."""
    boxes = make_small_groups(4)
    joining = MemberState.JOINING
    for place in range(4, 12):
        boxes += make_group(
            f'small.{place + 1}',
            f'h{place}',
            f'm{place}',
            head_state=joining,
            member_state=joining,
            domain='d2',
        )
    boxes += make_group('big.99', 'w', 'x', 'y', 'z', domain='d1')
    demand = {BIG: 9.0, SMALL: 30.0}
    memory = make_watching_memory(boxes, demand)
    assert not select_orders(plan(boxes, memory, 5.0, demand), Close)


def test_unchanged_boxes_are_searched_again_only_after_the_interval() -> None:
    boxes = make_small_groups(4)
    boxes += make_group('big.9', 'w', 'x', 'y', 'z', domain='d1')
    calm = {BIG: 2.0, SMALL: 8.0}
    memory = make_watching_memory(boxes, calm)
    assert not select_orders(plan(boxes, memory, 5.0, calm), Close)
    short = {BIG: 9.0, SMALL: 2.0}
    assert not select_orders(plan(boxes, memory, 5.1, short), Close)
    assert select_orders(
        plan(boxes, memory, 5.01 + SEARCH_INTERVAL_SECONDS, short), Close
    )


def test_no_group_closes_if_no_box_is_idle_and_models_are_balanced() -> None:
    boxes = make_small_groups(4)
    boxes += make_group('big.9', 'w', 'x', 'y', 'z', domain='d1')
    full = {BIG: 9.0, SMALL: 36.0}
    memory = make_watching_memory(boxes, full)
    assert not select_orders(plan(boxes, memory, 5.0, full), Close)
