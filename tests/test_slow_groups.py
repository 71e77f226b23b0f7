"""Groups with slow boxes give their fast boxes to each other."""

from __future__ import annotations

import msgspec

from tests.boxes import make_box, make_group, make_life
from tests.test_forming import BIG, CALLERS, SMALL, pick, plan
from waywell.ids import GroupId, ModelName
from waywell.version.box_report import BoxReport, TimedReport
from waywell.version.fleet import FleetBox, MemberState
from waywell.version.forming_memory import ORDER_TIMEOUT_SECONDS, FormingMemory
from waywell.version.orders import Close, Join, OrderReason

QUIET = {BIG: 2.0, SMALL: 4.0}
"""Places taken where one group of each model is enough."""


def make_memory(
    *slow: str,
    lasts: dict[str, ModelName] | None = None,
) -> FormingMemory:
    """Return a memory of some slow boxes, and of what others served last."""
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
    """Make a plan; return the groups that it closes."""
    orders = pick(plan(boxes, memory, now, CALLERS), Close)
    return {one.order.group for one in orders}


def test_two_groups_with_a_slow_box_each_become_a_fast_one() -> None:
    boxes = [
        *make_group('small.1', 'a', 'b'),
        *make_group('small.2', 'c', 'd'),
    ]
    assert close_groups(boxes, make_memory('b')) == set()
    assert close_groups(boxes, make_memory('b', 'd')) == set()
    third = [*boxes, *make_group('small.3', 'e', 'f')]
    fourth = [*third, *make_group('small.4', 'g', 'h')]
    assert len(close_groups(fourth, make_memory('b', 'd'))) == 2


def test_an_idle_fast_box_takes_the_place_of_a_slow_one() -> None:
    boxes = [
        *make_group('small.1', 'a', 'b'),
        *make_group('small.2', 'c', 'd'),
        make_box('spare', staged=('small',)),
    ]
    assert close_groups(boxes, make_memory('b')) == {'small.1'}
    orders = pick(plan(boxes, make_memory('b'), 1.0, CALLERS), Close)
    assert [one.reason for one in orders] == [OrderReason.SLOW_BOX]


def test_boxes_of_other_domains_do_not_help() -> None:
    boxes = [
        *make_group('small.1', 'a', 'b'),
        *make_group('small.2', 'c', 'd'),
        make_box('spare', 'd1', staged=('small',)),
    ]
    assert close_groups(boxes, make_memory('b')) == set()


def test_half_of_a_models_groups_go_on_serving() -> None:
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


def test_a_slow_group_of_the_big_model_takes_a_fast_box_of_a_slow_small_one() -> (
    None
):
    boxes = [
        *make_group('big.1', 'a', 'b', 'c', 'd'),
        *stage(make_group('small.2', 'e', 'f'), BIG),
        *make_group('big.3', 'g', 'h', 'i', 'j', domain='d1'),
        *make_group('small.4', 'k', 'l', domain='d1'),
    ]
    assert close_groups(boxes, make_memory('d', 'f')) == {'big.1', 'small.2'}


def test_a_new_group_is_made_of_fast_boxes_first() -> None:
    boxes = [make_box(name, staged=('small',)) for name in 'abcd']
    boxes += make_group('small.9', 'x', 'y')
    memory = make_memory('a', 'c', lasts=dict.fromkeys('abcd', SMALL))
    joins = pick(plan(boxes, memory, 1.0, QUIET), Join)
    assert {one.box.box for one in joins} == {'b', 'd'}


def test_slow_boxes_serve_where_a_model_is_short_of_places() -> None:
    boxes = [make_box(name, staged=('small',)) for name in 'ab']
    memory = make_memory('a', 'b', lasts=dict.fromkeys('ab', SMALL))
    joins = pick(plan(boxes, memory, 1.0, CALLERS), Join)
    assert {one.box.box for one in joins} == {'a', 'b'}


def test_a_group_that_is_closing_gives_nothing_yet() -> None:
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
    # Once the first is gone, the next may follow.
    assert close_groups(boxes[2:], make_memory('b', 'd')) == {'small.2'}


def test_an_order_to_close_that_was_lost_is_given_again() -> None:
    boxes = [
        *make_group('small.1', 'a', 'b'),
        *make_group('small.2', 'c', 'd'),
        make_box('spare', staged=('small',)),
    ]
    memory = make_memory('b')
    assert close_groups(boxes, memory, 1.0) == {'small.1'}
    assert close_groups(boxes, memory, 1.2) == set()
    # The head still says that it is open.
    assert close_groups(boxes, memory, 1.1 + ORDER_TIMEOUT_SECONDS) == {
        'small.1'
    }
