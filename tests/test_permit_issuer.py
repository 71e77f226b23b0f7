"""Nodes that deal the turns of one replica, in any order of what may happen.

Whatever nodes know of each other, all together send no more to the replica
within 4 s than one and a half times its limit and five requests.
"""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from tests.limits import WINDOW_SECONDS, count_allowed, count_most
from waywell.bench.turn_fleet import HALL, LIFE, TurnFleet, TurnNode
from waywell.connection.named_limit import NO_LIMIT
from waywell.ids import HallName, Incarnation, NodeId
from waywell.limits.issuer_assignment import (
    ISSUERS_PER_REPLICA,
    IssuerAssignment,
    MembershipView,
)
from waywell.limits.permit_bucket import MAX_URGENT_PERMITS, PermitBucket
from waywell.limits.permit_issuer import HANDOVER_SECONDS, PermitIssuer
from waywell.limits.reported_limits import LimitReport, ReportedLimits
from waywell.version.fleet import BoxLife
from waywell.version.lives import EndedLife

HALLS = ('hall-0', 'hall-1')

VIEW_SECONDS = 1.5
"""After a change, by when every node of a part has seen it."""

SETTLED_SECONDS = 3.0
"""After a limit was named, from which on it binds."""

USED_WITHIN = 0.5
"""Seconds within which a turn that was dealt is used."""

PARTS = st.integers(min_value=0, max_value=1)


class TurnMachine(RuleBasedStateMachine):
    """Nodes come, go, part and meet while requests come and limits change."""

    @initialize(
        count=st.sampled_from((1, 2, 3, 9)),
        limit=st.sampled_from((0.0, 0.2, 1.0, 5.0, 50.0)),
    )
    def begin(self, count: int, limit: float) -> None:
        self.now = 100.0
        self.random = Random(count)
        self.fleet = TurnFleet(self.random)
        self.serial = 0
        self.arrivals: list[float] = []
        self.changed_at: dict[NodeId, float] = {}
        for _node in range(count):
            self.add_node()
        self.fleet.see_all()
        self.changed_at.clear()
        self.limit = limit
        self.named_at = self.now
        self.fleet.name_limit(limit, self.now)

    def add_node(self) -> TurnNode:
        self.serial += 1
        hall = HallName(HALLS[self.serial % len(HALLS)])
        node = self.fleet.add(f'n{self.serial}', hall)
        self.note_change()
        return node

    def note_change(self) -> None:
        for name in self.fleet.nodes:
            self.changed_at.setdefault(name, self.now)

    @rule(seconds=st.sampled_from((0.05, 0.3, 1.0, 2.0)))
    def pass_time(self, seconds: float) -> None:
        ends_at = self.now + seconds
        while self.now < ends_at:
            self.now += 0.05
            for name, changed_at in tuple(self.changed_at.items()):
                if self.now - changed_at >= VIEW_SECONDS:
                    self.let_see(name)
            self.fleet.tend(self.now)

    def let_see(self, name: NodeId) -> None:
        self.changed_at.pop(name, None)
        if name in self.fleet.nodes:
            self.fleet.see(self.fleet.nodes[name])

    @rule(which=st.integers(min_value=0))
    def see_early(self, which: int) -> None:
        if self.changed_at:
            names = sorted(self.changed_at)
            self.let_see(names[which % len(names)])

    @rule(
        count=st.integers(min_value=1, max_value=60),
        late=st.floats(min_value=0.0, max_value=USED_WITHIN),
    )
    def ask(self, count: int, late: float) -> None:
        names = sorted(self.fleet.nodes)
        for _request in range(count):
            name = self.random.choice(names)
            if self.fleet.ask(name, self.now, self.random.randrange(3)):
                self.arrivals.append(self.now + late)

    @rule(parts=st.lists(PARTS, min_size=9, max_size=9))
    def part(self, parts: list[int]) -> None:
        for node, part in zip(self.fleet.nodes.values(), parts, strict=False):
            node.part = part
        self.note_change()

    @rule()
    def meet(self) -> None:
        self.part([0] * len(self.fleet.nodes))

    @rule(which=st.integers(min_value=0))
    def lose(self, which: int) -> None:
        names = sorted(self.fleet.nodes)
        if len(names) > 1:
            self.fleet.nodes.pop(names[which % len(names)])
            self.note_change()

    @rule()
    def join(self) -> None:
        if len(self.fleet.nodes) < 9:
            node = self.add_node()
            word = LimitReport(
                self.limit, self.named_at, self.named_at, self.named_at, HALL
            )
            node.limits.record(LIFE, word, 'test')

    @rule(limit=st.sampled_from((0.0, 0.2, 1.0, 5.0, 50.0)))
    def name(self, limit: float) -> None:
        self.now += 0.1
        if limit != self.limit:
            self.limit = limit
            self.named_at = self.now
        self.fleet.name_limit(limit, self.now)

    @invariant()
    def all_together_keep_the_limit(self) -> None:
        if not hasattr(self, 'arrivals'):
            return
        binds_at = self.named_at + SETTLED_SECONDS
        self.arrivals = [
            at for at in self.arrivals if at > self.now - 3 * WINDOW_SECONDS
        ]
        settled = [at for at in self.arrivals if at >= binds_at]
        assert count_most(settled) <= count_allowed(self.limit)


TestTurns = TurnMachine.TestCase


def make_fleet(count: int) -> TurnFleet:
    fleet = TurnFleet(Random(1))
    for number in range(count):
        fleet.add(f'n{number}')
    fleet.see_all()
    return fleet


def ask_all(fleet: TurnFleet, now: float) -> int:
    """Let every node ask until all are refused."""
    return sum(
        fleet.ask(name, now) for _round in range(20) for name in fleet.nodes
    )


@pytest.mark.parametrize('count', [1, 2, 9, 69, 350])
@pytest.mark.parametrize('limit', [0.0, 0.2, 1.0, 100.0])
def test_bursts_do_not_add_up_over_the_nodes(count: int, limit: float) -> None:
    fleet = make_fleet(count)
    fleet.name_limit(limit, 0.0)
    for step in range(1, 101):
        fleet.tend(step * 0.1)
        ask_all(fleet, step * 0.1)
    assert fleet.sent
    assert count_most(fleet.sent) <= count_allowed(limit)


def test_parts_of_a_cut_deal_no_more_than_the_limit_together() -> None:
    fleet = make_fleet(9)
    fleet.name_limit(1.0, 0.0)
    for number, node in enumerate(fleet.nodes.values()):
        node.part = number % 3
    fleet.see_all()
    for step in range(1, 401):
        fleet.tend(step * 0.05)
        ask_all(fleet, step * 0.05)
    late = [at for at in fleet.sent if at > 8]
    assert count_most(late) <= count_allowed(1.0)


def test_a_new_dealer_begins_with_nothing() -> None:
    fleet = make_fleet(3)
    fleet.name_limit(1.0, 0.0)
    fleet.tend(10.0)
    (gone, *_others) = fleet.nodes['n0'].choice.choose(LIFE.box, HALL)
    fleet.nodes.pop(gone)
    fleet.see_all()
    fleet.tend(10.0)
    (new,) = (
        node.dealer
        for node in fleet.nodes.values()
        if not node.dealer.dump().get(LIFE.box, {}).get('turns')
    )
    assert not new.grant(LIFE, 0, 10.0 + HANDOVER_SECONDS).permits
    assert new.grant(LIFE, 0, 14.0 + HANDOVER_SECONDS).permits


def test_new_dealers_wait_while_others_do_not_know_of_them() -> None:
    limit = 20.0
    fleet = make_fleet(4)
    before = list(fleet.nodes.values())
    fleet.name_limit(limit, 0.0)
    for number in range(40):
        # Those that join at one moment know those of before, not each other.
        node = fleet.add(f'joined{number}')
        node.limits.record(LIFE, LimitReport(limit, 0, 0, 0, HALL), 'test')
        node.see({one.name: one.hall for one in (*before, node)}, 5)
    for step in range(1, 201):
        now = 6.0 + step * 0.05
        if step * 0.05 >= VIEW_SECONDS:
            fleet.see_all()
        fleet.tend(now)
        ask_all(fleet, now)
    assert count_most(fleet.sent) <= count_allowed(limit)


def test_a_replica_that_takes_nothing_is_tried_now_and_then() -> None:
    fleet = make_fleet(3)
    fleet.name_limit(0.0, 0.0)
    for second in range(1, 61):
        fleet.tend(second)
        ask_all(fleet, second)
    assert 5 <= len(fleet.sent) <= 20


def test_less_urgent_requests_come_behind_and_are_not_starved() -> None:
    bucket = PermitBucket(1.0, 1.0, 0.0)
    dealt = []
    for step in range(1, 401):
        for rank in (5, 0):
            if bucket.grant(rank, 1, step * 0.1).permits:
                dealt.append(rank)
    assert dealt.count(5) >= len(dealt) / (MAX_URGENT_PERMITS + 2)
    assert dealt.count(0) >= len(dealt) / 2


def test_nodes_of_the_replicas_hall_deal_where_there_are_some() -> None:
    halls = {NodeId(f'n{number}'): HallName('far') for number in range(6)}
    near = {NodeId('near'): HALL}
    choice = IssuerAssignment(MembershipView(NodeId('near'), halls | near, 7))
    assert choice.choose(LIFE.box, HALL) == ('near',)
    choice = IssuerAssignment(MembershipView(NodeId('n0'), halls, 7))
    assert len(choice.choose(LIFE.box, HALL)) == ISSUERS_PER_REPLICA


def test_a_limit_ends_with_the_life_of_its_box() -> None:
    limits = ReportedLimits()
    limits.record(LIFE, LimitReport(1.0, 0.0, 0.0, 0.0, HALL), 'own')
    dealer = PermitIssuer(limits)
    choice = IssuerAssignment(
        MembershipView(NodeId('a'), {NodeId('a'): HALL}, 1)
    )
    dealer.update(choice, 0.0)
    assert dealer.dump()
    limits.forget_ended([EndedLife(LIFE, None)])
    dealer.update(choice, 0.1)
    assert not dealer.dump()
    later = BoxLife(LIFE.box, Incarnation(2))
    assert limits.get(later) == NO_LIMIT
