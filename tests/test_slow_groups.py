"""Groups with slow boxes are closed so that their fast boxes form others."""

from __future__ import annotations

import msgspec

from tests.boxes import make_box, make_group, make_life
from tests.test_forming import BIG, SMALL, SOME_DEMAND, plan, select_orders
from waywell.ids import GroupId, ModelName
from waywell.version.box_report import BoxReport, TimedReport
from waywell.version.fleet import FleetBox, MemberState
from waywell.version.forming_memory import ORDER_TIMEOUT_SECONDS, FormingMemory
from waywell.version.orders import Close, Join, OrderReason

LOW_DEMAND = {BIG: 2.0, SMALL: 4.0}
"""Occupied places for which one group of each model is enough."""


def make_memory(
    *slow: str,
    lasts: dict[str, ModelName] | None = None,
) -> FormingMemory:
    """Return a state with some slow boxes and the last models of others."""
    memory = FormingMemory()
    memory.last_models = {
        make_life(name): model for name, model in (lasts or {}).items()
    }
    for name in slow:
        memory.reports[make_life(name)] = TimedReport(BoxReport(5.0), 0.0)
    return memory


def stage(boxes: list[FleetBox], model: ModelName) -> list[FleetBox]:
    """Return boxes whose hosts hold the weights of one more model."""
    return [
        msgspec.structs.replace(box, staged=(*box.staged, model))
        for box in boxes
    ]


def close_groups(
    boxes: list[FleetBox],
    memory: FormingMemory,
    now: float = 1.0,
) -> set[GroupId]:
    """Make a plan and return the groups that it closes."""
    orders = select_orders(plan(boxes, memory, now, SOME_DEMAND), Close)
    return {assignment.order.group for assignment in orders}


def test_two_groups_with_one_slow_box_each_are_closed_for_a_fast_one() -> None:
    boxes = [
        *make_group('small.1', 'a', 'b'),
        *make_group('small.2', 'c', 'd'),
    ]
    assert close_groups(boxes, make_memory('b')) == set()
    assert close_groups(boxes, make_memory('b', 'd')) == set()
    third = [*boxes, *make_group('small.3', 'e', 'f')]
    fourth = [*third, *make_group('small.4', 'g', 'h')]
    assert len(close_groups(fourth, make_memory('b', 'd'))) == 2


def test_idle_fast_box_replaces_a_slow_one() -> None:
    boxes = [
        *make_group('small.1', 'a', 'b'),
        *make_group('small.2', 'c', 'd'),
        make_box('spare', staged=('small',)),
    ]
    assert close_groups(boxes, make_memory('b')) == {'small.1'}
    orders = select_orders(
        plan(boxes, make_memory('b'), 1.0, SOME_DEMAND), Close
    )
    assert [assignment.reason for assignment in orders] == [
        OrderReason.SLOW_BOX
    ]


def test_idle_boxes_of_other_domains_do_not_replace_slow_ones() -> None:
    boxes = [
        *make_group('small.1', 'a', 'b'),
        *make_group('small.2', 'c', 'd'),
        make_box('spare', 'd1', staged=('small',)),
    ]
    assert close_groups(boxes, make_memory('b')) == set()


def test_half_of_the_groups_of_a_model_keep_serving() -> None:
    boxes = [
        box
        for number in range(6)
        for box in make_group(
            f'small.{number + 1}',
            f'a{number}',
            f'b{number}',
            domain=f'd{number}',
        )
    ]
    spares = [make_box(f's{n}', f'd{n}', ('small',)) for n in range(6)]
    memory = make_memory(*(f'b{number}' for number in range(6)))
    first = close_groups([*boxes, *spares], memory)
    assert len(first) == 3
    assert close_groups([*boxes, *spares], memory, 1.2) == set()


def test_slow_big_group_gets_a_fast_box_of_a_slow_small_group() -> None:
    boxes = [
        *make_group('big.1', 'a', 'b', 'c', 'd'),
        *stage(make_group('small.2', 'e', 'f'), BIG),
        *make_group('big.3', 'g', 'h', 'i', 'j', domain='d1'),
        *make_group('small.4', 'k', 'l', domain='d1'),
    ]
    assert close_groups(boxes, make_memory('d', 'f')) == {'big.1', 'small.2'}


def test_new_group_prefers_fast_boxes() -> None:
    boxes = [make_box(name, staged=('small',)) for name in 'abcd']
    boxes += make_group('small.9', 'x', 'y')
    memory = make_memory('a', 'c', lasts=dict.fromkeys('abcd', SMALL))
    joins = select_orders(plan(boxes, memory, 1.0, LOW_DEMAND), Join)
    assert {assignment.box.box for assignment in joins} == {'b', 'd'}


def test_slow_boxes_serve_where_a_model_is_short_of_places() -> None:
    boxes = [make_box(name, staged=('small',)) for name in 'ab']
    memory = make_memory('a', 'b', lasts=dict.fromkeys('ab', SMALL))
    joins = select_orders(plan(boxes, memory, 1.0, SOME_DEMAND), Join)
    assert {assignment.box.box for assignment in joins} == {'a', 'b'}


def test_no_slow_group_is_closed_while_another_of_the_domain_is_closing() -> (
    None
):
    boxes = [
        *make_group('small.1', 'a', 'b', head_state=MemberState.CLOSING),
        *make_group('small.2', 'c', 'd'),
        make_box('spare', staged=('small',)),
    ]
    for number in range(3, 7):
        names = (f'e{number}', f'f{number}')
        boxes += make_group(f'small.{number}', *names, domain='d1')
    memory = make_memory('b', 'd')
    memory.abandoned[boxes[0].standing.group] = 0.5
    assert close_groups(boxes, memory) == set()
    # The next group may close once the first one is gone.
    assert close_groups(boxes[2:], make_memory('b', 'd')) == {'small.2'}


def test_lost_close_order_is_sent_again() -> None:
    boxes = [
        *make_group('small.1', 'a', 'b'),
        *make_group('small.2', 'c', 'd'),
        make_box('spare', staged=('small',)),
    ]
    memory = make_memory('b')
    assert close_groups(boxes, memory, 1.0) == {'small.1'}
    assert close_groups(boxes, memory, 1.2) == set()
    # The head still reports that it is open.
    assert close_groups(boxes, memory, 1.1 + ORDER_TIMEOUT_SECONDS) == {
        'small.1'
    }
