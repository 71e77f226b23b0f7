"""The choice of a replica."""

from __future__ import annotations

from random import Random

from tests.boxes import make_box, make_life
from waywell.ids import Epoch, HallName, NodeId
from waywell.request.placement import ReplicaChooser
from waywell.request.replica_table import MAX_BACKOFF_SECONDS, ReplicaTable
from waywell.request.shared_loads import REPORT_TTL_SECONDS, SharedLoads
from waywell.version.fleet import Replica, ReplicaKey

LOADS = SharedLoads()
CHOOSER = ReplicaChooser(HallName('port'), LOADS, Random(1))


def make_replica(name: str) -> Replica:
    box = make_box(name)
    return Replica(ReplicaKey(box.box, Epoch(1)), box)


A, B = make_replica('a'), make_replica('b')
NONE = frozenset()


def test_the_less_loaded_is_chosen() -> None:
    book = ReplicaTable()
    for loaded, free in ((A, B), (B, A)):
        for _request in range(3):
            book.record_start(loaded.key)
        assert CHOOSER.choose([A, B], NONE, book, 1.0) is free
        for _request in range(3):
            book.record_end(loaded.key)


def test_one_that_was_tried_is_not_chosen_again() -> None:
    book = ReplicaTable()
    assert CHOOSER.choose([A, B], frozenset((A.key,)), book, 1.0) is B
    assert CHOOSER.choose([A], frozenset((A.key,)), book, 1.0) is None


def test_one_that_fell_silent_rests_and_comes_back_when_heard() -> None:
    book = ReplicaTable()
    book.record_failure(A.key, 1.0)
    book.record_start(B.key)
    assert CHOOSER.choose([A, B], NONE, book, 1.1) is B
    book.record_message(A.key, 1.2)
    assert CHOOSER.choose([A, B], NONE, book, 1.2) is A


def test_rest_grows_with_failures_up_to_a_bound() -> None:
    book = ReplicaTable()
    for _failure in range(20):
        book.record_failure(A.key, 1.0)
    assert book.get(A.key).backoff_until == 1.0 + MAX_BACKOFF_SECONDS


def test_one_that_rests_is_better_than_none() -> None:
    book = ReplicaTable()
    book.record_failure(A.key, 1.0)
    assert CHOOSER.choose([A], NONE, book, 1.1) is A


def test_a_slow_one_gets_less() -> None:
    book = ReplicaTable()
    for _answer in range(30):
        book.record_first_event(A.key, 8.0)
    assert CHOOSER.choose([A, B], NONE, book, 1.0) is B


def test_requests_of_other_nodes_count() -> None:
    loads = SharedLoads()
    chooser = ReplicaChooser(HallName('port'), loads, Random(1))
    loads.update(NodeId('n2'), {A.key.life: 3}, 1.0)
    assert chooser.choose([A, B], NONE, ReplicaTable(), 1.0) is B
    loads.update(NodeId('n2'), {B.key.life: 3}, 1.1)
    assert chooser.choose([A, B], NONE, ReplicaTable(), 1.1) is A


def test_what_a_silent_node_told_is_forgotten() -> None:
    loads = SharedLoads()
    loads.update(NodeId('n2'), {make_life('a'): 3}, 1.0)
    loads.update(
        NodeId('n3'), {make_life('a'): 1}, 1.0 + REPORT_TTL_SECONDS * 1.1
    )
    assert loads.get(make_life('a')) == 1


def test_a_node_is_not_told_what_it_told() -> None:
    loads = SharedLoads()
    loads.update(NodeId('n2'), {make_life('a'): 3}, 1.0)
    loads.update(NodeId('n3'), {make_life('a'): 1}, 1.0)
    assert loads.sum_loads((NodeId('n2'),)) == {make_life('a'): 1}


def test_records_of_replicas_that_are_gone_are_dropped() -> None:
    book = ReplicaTable()
    book.record_failure(A.key, 1.0)
    book.record_start(B.key)
    book.forget_others([])
    assert book.get(A.key).backoff_until == 0
    assert book.get(B.key).in_flight == 1
