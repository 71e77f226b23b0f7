"""A box that restarts under its id is a different box to the holder.

A box of a serving group restarts under its id with no weights and no state,
and the list shows it in no group. While state was stored by id alone, such a
box counted as free and joined a new group although the head of its former
group still took requests; after a restart of the head, the members stayed idle
until each of them had carried out an order.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.holder import Holder
from tests.replicas import STALL_SECONDS, SimFleet
from waywell.duties.forming import SETTLE_SECONDS
from waywell.ids import ModelName
from waywell.version.forming_memory import ORDER_TIMEOUT_SECONDS
from waywell.version.orders import Assignment, Leave
from waywell.version.routes import Engine, EngineModel

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.replicas import SimReplica

PAIR = ModelName('pair')
ENGINE = Engine(
    9,
    (EngineModel(PAIR, 2, load_seconds=12.0, warm_seconds=1.1),),
    loads_per_second=5.0,
    loads_at_once=7,
)


@pytest.fixture
def holder() -> Iterator[Holder]:
    """Return a holder with one open group of two and demand for more."""
    started = Holder(SimFleet(), ENGINE)
    started.demand = {PAIR: 50.0}
    for name in 'ab':
        started.sim_fleet.add(name, ('pair',))
    started.refresh()
    started.plan()
    started.clock.now += SETTLE_SECONDS
    _run_step(started)
    for replica in started.sim_fleet.replicas.values():
        replica.finish_load()
    _run_step(started)
    assert _find_head(started).membership.state == 'open'
    # The effect of all orders is visible, and they are no longer pending.
    started.clock.now += ORDER_TIMEOUT_SECONDS + 10.0
    started.refresh()
    started.plan()
    yield started
    started.close()


def _run_step(holder: Holder) -> None:
    """Plan from an up-to-date list and carry out all orders."""
    holder.clock.now += ORDER_TIMEOUT_SECONDS + 0.1
    holder.refresh()
    holder.plan()
    holder.carry_out_all()


def _find_head(holder: Holder) -> SimReplica:
    return next(
        replica
        for replica in holder.sim_fleet.replicas.values()
        if replica.membership and not replica.membership.rank
    )


def _find_member(holder: Holder) -> SimReplica:
    return next(
        replica
        for replica in holder.sim_fleet.replicas.values()
        if replica.membership and replica.membership.rank
    )


def test_restarted_member_joins_nothing_while_its_former_head_serves(
    holder: Holder,
) -> None:
    head, member = _find_head(holder), _find_member(holder)
    holder.sim_fleet.add('c', ('pair',))
    member.restart()
    holder.refresh()
    holder.plan()
    # The head is ordered to leave, but the order has not arrived yet.
    assert not holder.find_in_flight(member.name, 'join')
    holder.carry_out(*holder.find_in_flight(head.name, 'leave'))
    holder.sim_fleet.replicas['c'].is_listed = False
    holder.refresh()
    holder.plan()
    holder.clock.now += SETTLE_SECONDS
    holder.plan()
    assert holder.find_in_flight(member.name, 'join')
    holder.carry_out_all()
    assert not holder.sim_fleet.violations


def test_restarted_member_may_join_after_the_stall_time_of_its_head(
    holder: Holder,
) -> None:
    head, member = _find_head(holder), _find_member(holder)
    holder.sim_fleet.add('c', ('pair',))
    head.is_listed = False
    head.is_reachable = False
    member.restart()
    holder.refresh()
    holder.plan()
    assert not holder.find_in_flight(member.name, 'join')
    holder.clock.now += STALL_SECONDS + 2.0
    holder.refresh()
    holder.plan()
    assert holder.find_in_flight(member.name, 'join')


def test_new_holder_that_saw_no_restart_does_not_join_the_member(
    holder: Holder,
) -> None:
    head, member = _find_head(holder), _find_member(holder)
    holder.sim_fleet.add('c', ('pair',))
    member.restart()
    holder.restart_node()
    holder.refresh()
    holder.plan()
    assert holder.find_in_flight(head.name, 'leave')
    assert not holder.find_in_flight(member.name, 'join')


def test_members_are_free_once_their_head_has_restarted(
    holder: Holder,
) -> None:
    head, member = _find_head(holder), _find_member(holder)
    head.restart()
    holder.refresh()
    holder.plan()
    assert holder.find_in_flight(member.name, 'join')
    assert holder.find_in_flight(head.name, 'join')
    holder.carry_out_all()
    assert not holder.sim_fleet.violations


def test_pending_order_to_a_former_life_does_not_block_the_new_one(
    holder: Holder,
) -> None:
    """Pending orders and lost or slow marks end with the life of a box."""
    head = _find_head(holder)
    holder.sim_fleet.add('c', ('pair',))
    holder.refresh()
    holder.plan()
    (pending,) = holder.find_in_flight('c', 'join') or [None]
    if pending is not None:
        holder.time_out(pending)
    head.restart()
    holder.sim_fleet.replicas['c'].restart()
    holder.refresh()
    holder.plan()
    joined = {
        order.box
        for order in holder.orders.in_flight
        if order.body['operation'] == 'join' and order is not pending
    }
    assert len(joined) == 2


def test_new_life_does_not_hold_the_model_of_the_former_one(
    holder: Holder,
) -> None:
    head = _find_head(holder)
    life = holder.find_entry(head.name).life
    assert holder.last_models[life] == PAIR
    head.restart()
    holder.refresh()
    assert holder.find_entry(head.name).life not in holder.last_models
    assert life not in holder.last_models


def test_an_order_planned_for_a_former_life_is_not_sent(
    holder: Holder,
) -> None:
    """A box restarts while its join waits for other boxes."""
    head = _find_head(holder)
    entry = holder.find_entry(head.name)
    order = Leave(entry.standing.group, entry.standing.epoch)
    head.restart()
    holder.refresh()
    giving = holder.duty._send_order(
        Assignment(entry, order), holder.duty.epoch
    )
    holder.loop.run_until_complete(giving)
    assert not holder.orders.in_flight


def test_box_that_reports_another_life_than_listed_counts_as_lost(
    holder: Holder,
) -> None:
    """The list lags by a heartbeat; the box's own report is newer."""
    member = _find_member(holder)
    former = holder.find_entry(member.name).life
    member.restart()
    holder.report_doubt('pair.1000001')
    holder.plan()
    assert holder.find_in_flight(_find_head(holder).name, 'leave')
    assert former in holder.duty._get_memory('llm').lost
    holder.refresh()
    holder.plan()
    assert not holder.duty._get_memory('llm').lost
