"""Choice of the replica for one request."""

from __future__ import annotations

from random import Random

from tests.boxes import make_box, make_life
from waywell.ids import Epoch, HallName, NodeId
from waywell.request.placement import ReplicaChooser
from waywell.request.replica_table import MAX_BACKOFF_SECONDS, ReplicaTable
from waywell.request.shared_loads import REPORT_LIFETIME_SECONDS, SharedLoads
from waywell.version.fleet import Replica, ReplicaKey

LOADS = SharedLoads()
CHOOSER = ReplicaChooser(HallName('port'), LOADS, Random(1))


def make_replica(name: str) -> Replica:
    box = make_box(name)
    return Replica(ReplicaKey(box.box, Epoch(1)), box)


A, B = make_replica('a'), make_replica('b')
NOTHING_TRIED = frozenset()


def test_less_loaded_replica_is_chosen() -> None:
    table = ReplicaTable()
    for loaded, free in ((A, B), (B, A)):
        for _request in range(3):
            table.record_start(loaded.key)
        assert CHOOSER.choose([A, B], NOTHING_TRIED, table, 1.0) is free
        for _request in range(3):
            table.record_end(loaded.key)


def test_tried_replica_is_not_chosen_again() -> None:
    table = ReplicaTable()
    assert CHOOSER.choose([A, B], frozenset((A.key,)), table, 1.0) is B
    assert CHOOSER.choose([A], frozenset((A.key,)), table, 1.0) is None


def test_message_ends_the_backoff_of_a_failed_replica() -> None:
    table = ReplicaTable()
    table.record_failure(A.key, 1.0)
    table.record_start(B.key)
    assert CHOOSER.choose([A, B], NOTHING_TRIED, table, 1.1) is B
    table.record_message(A.key, 1.2)
    assert CHOOSER.choose([A, B], NOTHING_TRIED, table, 1.2) is A


def test_backoff_grows_with_failures_up_to_a_maximum() -> None:
    table = ReplicaTable()
    for _failure in range(20):
        table.record_failure(A.key, 1.0)
    assert table.get(A.key).backoff_until == 1.0 + MAX_BACKOFF_SECONDS


def test_replica_in_backoff_is_chosen_if_no_other_is_left() -> None:
    table = ReplicaTable()
    table.record_failure(A.key, 1.0)
    assert CHOOSER.choose([A], NOTHING_TRIED, table, 1.1) is A


def test_slow_replica_is_avoided() -> None:
    table = ReplicaTable()
    for _answer in range(30):
        table.record_first_event(A.key, 8.0)
    assert CHOOSER.choose([A, B], NOTHING_TRIED, table, 1.0) is B


def test_requests_of_other_nodes_count_as_load() -> None:
    loads = SharedLoads()
    chooser = ReplicaChooser(HallName('port'), loads, Random(1))
    loads.update(NodeId('n2'), {A.key.life: 3}, 1.0)
    assert chooser.choose([A, B], NOTHING_TRIED, ReplicaTable(), 1.0) is B
    loads.update(NodeId('n2'), {B.key.life: 3}, 1.1)
    assert chooser.choose([A, B], NOTHING_TRIED, ReplicaTable(), 1.1) is A


def test_reports_of_silent_nodes_expire() -> None:
    loads = SharedLoads()
    loads.update(NodeId('n2'), {make_life('a'): 3}, 1.0)
    loads.update(
        NodeId('n3'), {make_life('a'): 1}, 1.0 + REPORT_LIFETIME_SECONDS * 1.1
    )
    assert loads.get(make_life('a')) == 1


def test_sum_excludes_the_reports_of_given_nodes() -> None:
    loads = SharedLoads()
    loads.update(NodeId('n2'), {make_life('a'): 3}, 1.0)
    loads.update(NodeId('n3'), {make_life('a'): 1}, 1.0)
    assert loads.sum_loads((NodeId('n2'),)) == {make_life('a'): 1}


def test_idle_records_of_removed_replicas_are_dropped() -> None:
    table = ReplicaTable()
    table.record_failure(A.key, 1.0)
    table.record_start(B.key)
    table.forget_others([])
    assert table.get(A.key).backoff_until == 0
    assert table.get(B.key).in_flight == 1
