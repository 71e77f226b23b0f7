"""Permits of one replica under any order of events between nodes.

Whatever the nodes know of each other, all together send no more requests to
the replica within 4 s than one and a half times its limit plus five.
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
from waywell.bench.turn_fleet import BOX_LIFE, HALL, PermitFleet, PermitNode
from waywell.connection.limit_header import NO_LIMIT
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
from waywell.version.life_tracker import EndedLife

HALLS = ('hall-0', 'hall-1')

VIEW_SECONDS = 1.5
"""Seconds after which every node of a partition has seen a change."""

SETTLED_SECONDS = 3.0
"""Seconds after the first report of a limit until nodes must keep it."""

USED_WITHIN = 0.5
"""Longest time between the grant of a permit and its use, in seconds."""

PARTS = st.integers(min_value=0, max_value=1)


class PermitMachine(RuleBasedStateMachine):
    """Changes nodes, partitions and limits while requests arrive."""

    @initialize(
        count=st.sampled_from((1, 2, 3, 9)),
        limit=st.sampled_from((0.0, 0.2, 1.0, 5.0, 50.0)),
    )
    def start(self, count: int, limit: float) -> None:
        self.now = 100.0
        self.random = Random(count)
        self.fleet = PermitFleet(self.random)
        self.serial = 0
        self.arrivals: list[float] = []
        self.changed_at: dict[NodeId, float] = {}
        for _node in range(count):
            self.add_node()
        self.fleet.update_visible_nodes()
        self.changed_at.clear()
        self.limit = limit
        self.reported_at = self.now
        self.fleet.report_limit(limit, self.now)

    def add_node(self) -> PermitNode:
        self.serial += 1
        hall = HallName(HALLS[self.serial % len(HALLS)])
        node = self.fleet.add_node(f'n{self.serial}', hall)
        self.record_change()
        return node

    def record_change(self) -> None:
        for name in self.fleet.nodes:
            self.changed_at.setdefault(name, self.now)

    @rule(seconds=st.sampled_from((0.05, 0.3, 1.0, 2.0)))
    def pass_time(self, seconds: float) -> None:
        ends_at = self.now + seconds
        while self.now < ends_at:
            self.now += 0.05
            for name, changed_at in tuple(self.changed_at.items()):
                if self.now - changed_at >= VIEW_SECONDS:
                    self.update_view(name)
            self.fleet.update_issuers(self.now)

    def update_view(self, name: NodeId) -> None:
        self.changed_at.pop(name, None)
        if name in self.fleet.nodes:
            self.fleet.show_partition(self.fleet.nodes[name])

    @rule(which=st.integers(min_value=0))
    def update_view_early(self, which: int) -> None:
        if self.changed_at:
            names = sorted(self.changed_at)
            self.update_view(names[which % len(names)])

    @rule(
        count=st.integers(min_value=1, max_value=60),
        delay=st.floats(min_value=0.0, max_value=USED_WITHIN),
    )
    def send_requests(self, count: int, delay: float) -> None:
        names = sorted(self.fleet.nodes)
        for _request in range(count):
            name = self.random.choice(names)
            if self.fleet.request_permit(
                name, self.now, self.random.randrange(3)
            ):
                self.arrivals.append(self.now + delay)

    @rule(parts=st.lists(PARTS, min_size=9, max_size=9))
    def partition(self, parts: list[int]) -> None:
        for node, part in zip(self.fleet.nodes.values(), parts, strict=False):
            node.partition = part
        self.record_change()

    @rule()
    def heal(self) -> None:
        self.partition([0] * len(self.fleet.nodes))

    @rule(which=st.integers(min_value=0))
    def lose_node(self, which: int) -> None:
        names = sorted(self.fleet.nodes)
        if len(names) > 1:
            self.fleet.nodes.pop(names[which % len(names)])
            self.record_change()

    @rule()
    def add_late_node(self) -> None:
        if len(self.fleet.nodes) < 9:
            node = self.add_node()
            report = LimitReport(
                self.limit,
                self.reported_at,
                self.reported_at,
                self.reported_at,
                HALL,
            )
            node.limits.record(BOX_LIFE, report, 'test')

    @rule(limit=st.sampled_from((0.0, 0.2, 1.0, 5.0, 50.0)))
    def change_limit(self, limit: float) -> None:
        self.now += 0.1
        if limit != self.limit:
            self.limit = limit
            self.reported_at = self.now
        self.fleet.report_limit(limit, self.now)

    @invariant()
    def nodes_together_keep_the_limit(self) -> None:
        if not hasattr(self, 'arrivals'):
            return
        effective_at = self.reported_at + SETTLED_SECONDS
        self.arrivals = [
            at for at in self.arrivals if at > self.now - 3 * WINDOW_SECONDS
        ]
        settled = [at for at in self.arrivals if at >= effective_at]
        assert count_most(settled) <= count_allowed(self.limit)


TestPermits = PermitMachine.TestCase


def make_fleet(count: int) -> PermitFleet:
    fleet = PermitFleet(Random(1))
    for number in range(count):
        fleet.add_node(f'n{number}')
    fleet.update_visible_nodes()
    return fleet


def request_all(fleet: PermitFleet, now: float) -> int:
    """Request permits at every node until all are refused."""
    return sum(
        fleet.request_permit(name, now)
        for _round in range(20)
        for name in fleet.nodes
    )


@pytest.mark.parametrize('count', [1, 2, 9, 69, 350])
@pytest.mark.parametrize('limit', [0.0, 0.2, 1.0, 100.0])
def test_bursts_do_not_add_up_over_the_nodes(count: int, limit: float) -> None:
    fleet = make_fleet(count)
    fleet.report_limit(limit, 0.0)
    for step in range(1, 101):
        fleet.update_issuers(step * 0.1)
        request_all(fleet, step * 0.1)
    assert fleet.sent_at
    assert count_most(fleet.sent_at) <= count_allowed(limit)


def test_partitions_together_keep_the_limit() -> None:
    fleet = make_fleet(9)
    fleet.report_limit(1.0, 0.0)
    for number, node in enumerate(fleet.nodes.values()):
        node.partition = number % 3
    fleet.update_visible_nodes()
    for step in range(1, 401):
        fleet.update_issuers(step * 0.05)
        request_all(fleet, step * 0.05)
    late = [at for at in fleet.sent_at if at > 8]
    assert count_most(late) <= count_allowed(1.0)


def test_a_new_issuer_starts_with_an_empty_bucket() -> None:
    fleet = make_fleet(3)
    fleet.report_limit(1.0, 0.0)
    fleet.update_issuers(10.0)
    (lost, *_others) = fleet.nodes['n0'].assignment.choose(BOX_LIFE.box, HALL)
    fleet.nodes.pop(lost)
    fleet.update_visible_nodes()
    fleet.update_issuers(10.0)
    (new,) = (
        node.issuer
        for node in fleet.nodes.values()
        if not node.issuer.dump().get(BOX_LIFE.box, {}).get('turns')
    )
    assert not new.grant(BOX_LIFE, 0, 10.0 + HANDOVER_SECONDS).permits
    assert new.grant(BOX_LIFE, 0, 14.0 + HANDOVER_SECONDS).permits


def test_new_issuers_wait_until_other_nodes_know_them() -> None:
    limit = 20.0
    fleet = make_fleet(4)
    before = list(fleet.nodes.values())
    fleet.report_limit(limit, 0.0)
    for number in range(40):
        # Nodes that join together know the earlier nodes, not each other.
        node = fleet.add_node(f'joined{number}')
        node.limits.record(BOX_LIFE, LimitReport(limit, 0, 0, 0, HALL), 'test')
        node.set_visible_nodes(
            {seen.name: seen.hall for seen in (*before, node)}, 5
        )
    for step in range(1, 201):
        now = 6.0 + step * 0.05
        if step * 0.05 >= VIEW_SECONDS:
            fleet.update_visible_nodes()
        fleet.update_issuers(now)
        request_all(fleet, now)
    assert count_most(fleet.sent_at) <= count_allowed(limit)


def test_a_replica_with_limit_zero_is_probed_at_a_low_rate() -> None:
    fleet = make_fleet(3)
    fleet.report_limit(0.0, 0.0)
    for second in range(1, 61):
        fleet.update_issuers(second)
        request_all(fleet, second)
    assert 5 <= len(fleet.sent_at) <= 20


def test_less_urgent_requests_wait_but_are_not_starved() -> None:
    bucket = PermitBucket(1.0, 1.0, 0.0)
    granted_ranks = []
    for step in range(1, 401):
        for rank in (5, 0):
            if bucket.grant(rank, 1, step * 0.1).permits:
                granted_ranks.append(rank)
    assert granted_ranks.count(5) >= len(granted_ranks) / (
        MAX_URGENT_PERMITS + 2
    )
    assert granted_ranks.count(0) >= len(granted_ranks) / 2


def test_issuers_are_in_the_hall_of_the_replica_if_it_has_nodes() -> None:
    halls = {NodeId(f'n{number}'): HallName('far') for number in range(6)}
    local = {NodeId('near'): HALL}
    assignment = IssuerAssignment(
        MembershipView(NodeId('near'), halls | local, 7)
    )
    assert assignment.choose(BOX_LIFE.box, HALL) == ('near',)
    assignment = IssuerAssignment(MembershipView(NodeId('n0'), halls, 7))
    assert len(assignment.choose(BOX_LIFE.box, HALL)) == ISSUERS_PER_REPLICA


def test_a_limit_ends_with_the_life_of_its_box() -> None:
    limits = ReportedLimits()
    limits.record(BOX_LIFE, LimitReport(1.0, 0.0, 0.0, 0.0, HALL), 'own')
    issuer = PermitIssuer(limits)
    assignment = IssuerAssignment(
        MembershipView(NodeId('a'), {NodeId('a'): HALL}, 1)
    )
    issuer.update(assignment, 0.0)
    assert issuer.dump()
    limits.forget_ended([EndedLife(BOX_LIFE, None)])
    issuer.update(assignment, 0.1)
    assert not issuer.dump()
    later = BoxLife(BOX_LIFE.box, Incarnation(2))
    assert limits.get(later) == NO_LIMIT
