"""Choice of the peers that forward requests."""

from __future__ import annotations

from collections import Counter
from random import Random

import msgspec

from tests.test_membership import make_record
from waywell.ids import ServiceName
from waywell.membership.membership import (
    MembershipTable,
    NodeRecord,
    select_linked,
)
from waywell.request.peer_chooser import PeerChooser, make_peer_key
from waywell.request.replica_table import ReplicaTable

LLM = ServiceName('llm')
APP = ServiceName('app')


def make_node(name: str, *lost: ServiceName, **facts: object) -> NodeRecord:
    """Return a ready node that reports the services it has lost."""
    record = make_record(name)
    defaults = {'configuration': 1, 'lost_services': lost}
    return msgspec.structs.replace(record, **{**defaults, **facts})


class Bench:
    """Chooser of the node ``own`` that knows some other nodes."""

    def __init__(self, *others: NodeRecord) -> None:
        self.members = MembershipTable(make_node('own', LLM), 2.0)
        for record in others:
            self.members.merge(record, 0.0)
        self.replica_table = ReplicaTable()
        self.chooser = PeerChooser(self.members, self.replica_table, Random(1))

    def choose(self, *tried: NodeRecord, service: ServiceName = LLM) -> str:
        keys = frozenset(make_peer_key(record) for record in tried)
        peer = self.chooser.choose(service, keys, 10.0)
        return '' if peer is None else peer.node


def test_peers_that_reach_the_service_share_the_requests() -> None:
    bench = Bench(*(make_node(name) for name in 'abcd'))
    counts = Counter(bench.choose() for _draw in range(400))
    assert counts.keys() == set('abcd')
    assert min(counts.values()) > 50


def test_peer_with_more_requests_in_flight_gets_fewer() -> None:
    busy, idle = make_node('a'), make_node('b')
    bench = Bench(busy, idle)
    for _request in range(3):
        bench.replica_table.record_start(make_peer_key(busy))
    counts = Counter(bench.choose() for _draw in range(400))
    assert counts['b'] > 2 * counts['a']


def test_peer_that_lost_only_another_service_still_forwards() -> None:
    bench = Bench(make_node('a', APP), make_node('b', LLM))
    assert bench.choose() == 'a'
    assert bench.choose(service=APP) == 'b'


def test_peers_that_are_not_ready_or_report_no_links_get_no_requests() -> None:
    bench = Bench(
        make_node('a', lost_services=None), make_node('b', configuration=0)
    )
    assert not bench.choose()


def test_tried_or_recently_failed_peer_gets_no_requests() -> None:
    first, second = make_node('a'), make_node('b')
    bench = Bench(first, second)
    assert bench.choose(first) == 'b'
    bench.replica_table.record_failure(make_peer_key(second), 9.9)
    assert bench.choose() == 'a'
    assert not bench.choose(first)


def test_callers_are_not_all_sent_to_the_few_nodes_with_links() -> None:
    linked = [make_node(name) for name in 'abc']
    lost = [make_node(name, LLM) for name in 'xyzuvw']
    assert select_linked(linked + lost[:2]) == linked
    assert select_linked(linked + lost) == linked + lost
    assert select_linked(lost) == lost
