"""A box that starts again under its id is another one to all that is believed.

Symptom: a box that returned empty was joined to a new group while the head of
its former group still took requests; the members of a group whose head had
returned empty stayed idle until each of them had carried out an order.

Sequence: a group serves; one of its boxes starts again under its id, holding
and knowing nothing; the list shows it in no group.

Cause: beliefs were kept by the id alone, so a box that stood in no group was
free, and a head that stood in no group was one that had not told yet.
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
    """Return a holder before one open group of two, and callers for more."""
    started = Holder(SimFleet(), ENGINE)
    started.demand = {PAIR: 50.0}
    for name in 'ab':
        started.sim_fleet.add(name, ('pair',))
    started.refresh()
    started.plan()
    started.clock.now += SETTLE_SECONDS
    _take_a_step(started)
    for replica in started.sim_fleet.replicas.values():
        replica.finish_load()
    _take_a_step(started)
    assert _find_head(started).membership.state == 'open'
    # The order to open is seen, and what was ordered is over.
    started.clock.now += ORDER_TIMEOUT_SECONDS + 10.0
    started.refresh()
    started.plan()
    yield started
    started.close()


def _take_a_step(holder: Holder) -> None:
    """Let the holder plan by a true list, and all orders be carried out."""
    holder.clock.now += ORDER_TIMEOUT_SECONDS + 0.1
    holder.refresh()
    holder.plan()
    holder.carry_out_all()


def _find_head(holder: Holder) -> SimReplica:
    return next(
        one
        for one in holder.sim_fleet.replicas.values()
        if one.membership and not one.membership.rank
    )


def _find_member(holder: Holder) -> SimReplica:
    return next(
        one
        for one in holder.sim_fleet.replicas.values()
        if one.membership and one.membership.rank
    )


def test_a_member_that_returns_empty_waits_while_its_head_serves(
    holder: Holder,
) -> None:
    head, member = _find_head(holder), _find_member(holder)
    holder.sim_fleet.add('c', ('pair',))
    member.restart()
    holder.refresh()
    holder.plan()
    # The head is told to leave and does not hear it.
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


def test_a_member_waits_no_longer_than_a_head_can_stand_still(
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


def test_a_new_holder_that_saw_no_restart_waits_as_well(
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


def test_the_others_are_free_once_their_head_has_returned_empty(
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


def test_an_order_to_the_former_life_keeps_nothing_from_the_new_one(
    holder: Holder,
) -> None:
    """What is pending at a life, lost or slow ends with it."""
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
        in_flight.box
        for in_flight in holder.orders.in_flight
        if in_flight.body['operation'] == 'join' and in_flight is not pending
    }
    assert len(joined) == 2


def test_a_new_life_has_to_load_what_the_former_one_served(
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
    """Sequence: a box starts again while its join waits for other boxes."""
    head = _find_head(holder)
    entry = holder.find_entry(head.name)
    order = Leave(entry.standing.group, entry.standing.epoch)
    head.restart()
    holder.refresh()
    giving = holder.duty._give(Assignment(entry, order), holder.duty.epoch)
    holder.loop.run_until_complete(giving)
    assert not holder.orders.in_flight


def test_a_box_that_tells_another_life_than_the_list_counts_as_lost(
    holder: Holder,
) -> None:
    """The list lags by a heartbeat; what the box tells itself is newer."""
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
