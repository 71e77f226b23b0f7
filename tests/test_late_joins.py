"""A box must not join another group while its group serves.

Within one term of a holder, a join to box ``b`` got no answer. 2.5 s later the
list still showed the box's former group, so the holder considered it free and
ordered it into a second group, again without an answer. The first join was
then carried out: its group became ready in all members and was opened. The
second join was carried out 11 s after it was sent, while the first group
served.

Without the number of the state for which it was planned, a join is accepted in
any state, so what the holder assumed at the time of the plan need not hold
when the box acts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.holder import Holder
from tests.replicas import SimFleet
from waywell.duties.forming import SETTLE_SECONDS
from waywell.ids import ModelName
from waywell.version.forming_memory import (
    JOIN_TIMEOUT_SECONDS,
    ORDER_TIMEOUT_SECONDS,
)
from waywell.version.routes import Engine, EngineModel

if TYPE_CHECKING:
    from collections.abc import Iterator

SMALL = ModelName('small')
ENGINE = Engine(
    9,
    (EngineModel(SMALL, 2, load_seconds=12.0, warm_seconds=1.1),),
    loads_per_second=5.0,
    loads_at_once=7,
)
TRIPLE = ModelName('triple')
TRIPLE_ENGINE = Engine(
    9,
    (EngineModel(TRIPLE, 3, load_seconds=16.0, warm_seconds=1.6),),
    loads_per_second=5.0,
    loads_at_once=7,
)


@pytest.fixture
def holder() -> Iterator[Holder]:
    """Return a holder with more demand than there are places."""
    started = Holder(SimFleet(), ENGINE)
    started.demand = {SMALL: 50.0}
    yield started
    started.close()


def _join_elsewhere(holder: Holder) -> None:
    """Keep the second join of ``b`` in flight while its group opens."""
    sim_fleet = holder.sim_fleet
    for name in 'ab':
        sim_fleet.add(name, ('small',))
    # The former group of b is broken because its other member is gone.
    sim_fleet.replicas['b'].apply_order(
        {
            'operation': 'join',
            'group': 'small.1',
            'epoch': 1,
            'model': 'small',
            'members': ['b', 'x'],
        },
    )
    sim_fleet.replicas['b'].set_state('broken')
    holder.refresh()
    holder.clock.now += 2.0
    holder.plan()
    holder.carry_out(*holder.find_in_flight('a', 'join'))
    (first,) = holder.find_in_flight('b', 'join')
    holder.time_out(first)
    sim_fleet.replicas['a'].set_state('ready')
    sim_fleet.add('c', ('small',))
    holder.clock.now += ORDER_TIMEOUT_SECONDS + 0.1
    holder.refresh()
    holder.plan()
    holder.carry_out(*holder.find_in_flight('c', 'join'))
    (_first, second) = holder.find_in_flight('b', 'join')
    assert second.body['members'] != first.body['members']
    holder.time_out(second)
    holder.carry_out(first)
    sim_fleet.replicas['b'].set_state('ready')
    holder.clock.now += ORDER_TIMEOUT_SECONDS + 0.1
    holder.refresh()
    holder.plan()


def test_join_planned_for_an_earlier_state_is_refused(
    holder: Holder,
) -> None:
    _join_elsewhere(holder)
    for opening in (
        *holder.find_in_flight('a', 'open'),
        *holder.find_in_flight('b', 'open'),
    ):
        holder.carry_out(opening)
    states = {
        replica.membership.state
        for replica in holder.sim_fleet.replicas.values()
        if replica.membership
    }
    assert 'open' in states
    holder.carry_out_all()
    assert not holder.sim_fleet.violations


def test_group_that_was_off_the_list_may_still_be_open() -> None:
    """An order to open a group must outlast the group's list entries.

    The three boxes of a group are off the list for one plan, just after the
    order to open it was carried out; then two return with entries from before.
    If the holder forgets the order while the group is not listed, it considers
    the boxes free.
    """
    holder = Holder(SimFleet(), TRIPLE_ENGINE)
    holder.demand = {TRIPLE: 50.0}
    sim_fleet = holder.sim_fleet
    for name in 'abc':
        sim_fleet.add(name, ('triple',))
    holder.refresh()
    holder.plan()
    holder.clock.now += SETTLE_SECONDS
    holder.plan()
    holder.carry_out_all()
    for name in 'abc':
        sim_fleet.replicas[name].finish_load()
    holder.refresh()
    holder.clock.now += ORDER_TIMEOUT_SECONDS + 0.1
    holder.plan()
    holder.carry_out_all()
    head = next(
        replica
        for replica in sim_fleet.replicas.values()
        if not replica.membership.rank
    )
    assert head.membership.state == 'open'
    holder.clock.now += JOIN_TIMEOUT_SECONDS
    for name in 'de':
        sim_fleet.add(name, ('triple',))
        holder.refresh_one(name)
    before = holder.hide(*'abc')
    holder.plan()
    holder.clock.now += SETTLE_SECONDS
    holder.plan()
    lost = next(name for name in 'abc' if name != head.name)
    holder.relist(*(entry for entry in before if entry.box != lost))
    holder.plan()
    holder.carry_out_all()
    holder.close()
    assert not sim_fleet.violations
