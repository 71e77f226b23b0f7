"""A box that was ordered elsewhere stays in a group that serves.

Symptom: a replica took a join of another group while the group in which it
stood, and which it had not left, served.

Sequence: one holder, one term.  A join to box ``b`` got no answer.  2.5 s later
the holder took the box for free, as the list still showed its former group, and
ordered it into a second group, again without an answer.  The first join was
then carried out: its group showed ready in all members, and was opened.  The
second join was carried out 11 s after it was sent.

Cause: an order says nothing of the state in which it may be taken, so what the
holder believed of the box when it planned need not hold when the box acts.

Log lines that settled it, of a played day with the same outcome; no line tells
that ``b`` left the first group::

    15.39  order=join box=b group=gole.2000005 result=unknown
    17.95  order=join box=b group=fixa.2000008 result=unknown
    17.95  order=open box=a group=gole.2000005 why=ready result=taken
    29.30  b was joined to fixa.2000008 while gole.2000005 was open
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
    """Return a holder whose callers ask for more than there is."""
    started = Holder(SimFleet(), ENGINE)
    started.demand = {SMALL: 50.0}
    yield started
    started.close()


def _join_elsewhere(holder: Holder) -> None:
    """Let the second join of ``b`` be under way while its group opens."""
    sim_fleet = holder.sim_fleet
    for name in 'ab':
        sim_fleet.add(name, ('small',))
    # The former group of b is broken: its other member is gone.
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


def test_a_join_planned_for_an_earlier_state_is_not_taken(
    holder: Holder,
) -> None:
    _join_elsewhere(holder)
    for opening in (
        *holder.find_in_flight('a', 'open'),
        *holder.find_in_flight('b', 'open'),
    ):
        holder.carry_out(opening)
    states = {
        one.membership.state
        for one in holder.sim_fleet.replicas.values()
        if one.membership
    }
    assert 'open' in states
    holder.carry_out_all()
    assert not holder.sim_fleet.violations


def test_a_group_that_was_off_the_list_may_still_have_been_opened() -> None:
    """What was ordered to open is not forgotten with its entries.

    Sequence: the three boxes of a group are off the list for one plan, just
    after the order to open it was carried out; then two are back, with entries
    from before.  Cause: the holder forgot the order as the group was not
    listed, and took its boxes for free.  Found by reading.
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
        one for one in sim_fleet.replicas.values() if not one.membership.rank
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
