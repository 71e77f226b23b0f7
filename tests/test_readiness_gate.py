"""When a node that has started may serve by the routes that it has read."""

from __future__ import annotations

import pytest

from tests.test_feed import FeedHarness as Bench
from tests.test_membership import make_record
from waywell.codes import Code, Refusal
from waywell.connection.peer import FeedAsk
from waywell.ids import NodeId
from waywell.knowledge.cluster_view import ClusterView
from waywell.knowledge.readiness_gate import (
    NODE_LIST_TIMEOUT,
    PEER_ANSWER_TIMEOUT,
    RESTART_TIMEOUT,
    ReadinessGate,
    StartupState,
)
from waywell.membership.links import PeerLinks
from waywell.membership.presence import PeerContacts
from waywell.process.front_settings import PromiseSettings
from waywell.version.routes import RouteTable

B = NodeId('b')
C = NodeId('c')
D = NodeId('d')
NOW = 100.0


def view(
    *peers: NodeId,
    version: int = 1,
    latest: int = 1,
    is_first_start: bool = False,
    has_looked: bool = True,
    open_calls: int = 0,
) -> StartupState:
    return StartupState(
        version=version,
        latest_version=latest,
        is_first_start=is_first_start,
        contacts=PeerContacts(has_looked, open_calls, frozenset(peers)),
    )


def is_open(gate: ReadinessGate, seen: StartupState, now: float = NOW) -> bool:
    gate.update(seen, now)
    return gate.is_open


def test_a_node_alone_serves_once_it_has_routes_and_has_looked() -> None:
    gate = ReadinessGate(is_strict=True)
    assert not is_open(gate, view(version=0, latest=0))
    assert not is_open(gate, view(has_looked=False))
    assert is_open(gate, view())


def test_a_node_waits_for_nobody_where_keys_are_not_strict() -> None:
    assert ReadinessGate(is_strict=False).is_open


def test_at_the_first_start_of_all_a_node_waits_for_nobody() -> None:
    gate = ReadinessGate(is_strict=True)
    assert is_open(gate, view(B, is_first_start=True, has_looked=False))


def test_a_later_version_keeps_a_node_from_serving_until_it_is_here() -> None:
    gate = ReadinessGate(is_strict=True)
    gate.record_answer(B, is_ready=True)
    behind = view(B, version=1, latest=2)
    assert not is_open(gate, behind)
    assert not is_open(gate, behind, NOW + 100 * PEER_ANSWER_TIMEOUT)
    assert is_open(gate, view(B, version=2, latest=2))


def test_the_same_version_of_a_peer_that_serves_is_enough() -> None:
    gate = ReadinessGate(is_strict=True)
    gate.record_answer(B, is_ready=True)
    assert is_open(gate, view(B, C, open_calls=3))


def test_nodes_that_all_start_serve_once_each_has_answered() -> None:
    gate = ReadinessGate(is_strict=True)
    gate.record_answer(B, is_ready=False)
    assert not is_open(gate, view(B, C))
    gate.record_answer(C, is_ready=False)
    assert not is_open(gate, view(B, C, open_calls=1))
    assert is_open(gate, view(B, C))


def test_silent_peers_are_waited_for_no_longer_than_the_bound() -> None:
    gate = ReadinessGate(is_strict=True)
    assert not is_open(gate, view(version=0, latest=0), NOW - 50)
    silent = view(B, open_calls=1)
    assert not is_open(gate, silent)
    assert not is_open(gate, silent, NOW + PEER_ANSWER_TIMEOUT - 0.01)
    assert is_open(gate, silent, NOW + PEER_ANSWER_TIMEOUT)


def test_after_a_stop_of_all_a_node_that_is_gone_holds_up_nobody() -> None:
    gate = ReadinessGate(is_strict=True)
    gate.record_answer(B, is_ready=False)
    gate.record_answer(C, is_ready=False)
    most_start = view(B, C, D, open_calls=1)
    assert not is_open(gate, most_start)
    assert not is_open(gate, most_start, NOW + RESTART_TIMEOUT - 0.01)
    assert is_open(gate, most_start, NOW + RESTART_TIMEOUT)


def test_half_of_the_peers_starting_is_no_stop_of_all() -> None:
    gate = ReadinessGate(is_strict=True)
    gate.record_answer(B, is_ready=False)
    half = view(B, C, open_calls=1)
    assert not is_open(gate, half)
    assert not is_open(gate, half, NOW + PEER_ANSWER_TIMEOUT - 0.01)


def test_a_later_version_keeps_a_node_closed_while_most_start() -> None:
    gate = ReadinessGate(is_strict=True)
    gate.record_answer(B, is_ready=False)
    gate.record_answer(C, is_ready=False)
    behind = view(B, C, D, latest=2, open_calls=1)
    assert not is_open(gate, behind)
    assert not is_open(gate, behind, NOW + RESTART_TIMEOUT)


def test_the_list_of_nodes_is_waited_for_no_longer_than_the_bound() -> None:
    gate = ReadinessGate(is_strict=True)
    unknown = view(has_looked=False)
    assert not is_open(gate, unknown)
    assert not is_open(gate, unknown, NOW + NODE_LIST_TIMEOUT - 0.01)
    assert is_open(gate, unknown, NOW + NODE_LIST_TIMEOUT)


def test_peers_have_their_time_though_the_list_came_late() -> None:
    gate = ReadinessGate(is_strict=True)
    assert not is_open(gate, view(has_looked=False))
    called_at = NOW + PEER_ANSWER_TIMEOUT
    silent = view(B, open_calls=1)
    assert not is_open(gate, silent, called_at)
    assert not is_open(gate, silent, called_at + PEER_ANSWER_TIMEOUT - 0.01)
    assert is_open(gate, silent, called_at + PEER_ANSWER_TIMEOUT)


def test_a_node_that_is_not_ready_refuses_as_one_that_starts() -> None:
    gate = ReadinessGate(is_strict=True)
    cluster = ClusterView(PromiseSettings(), gate=gate)
    cluster.apply_routes(RouteTable(1))
    cluster.confirm_routes(NOW)
    with pytest.raises(Refusal) as refused:
        cluster.check_routes(NOW)
    assert refused.value.code is Code.NODE_STARTING
    gate.update(view(), NOW)
    cluster.check_routes(NOW)


def test_nothing_confirms_a_version_while_a_later_one_is_known() -> None:
    cluster = ClusterView(PromiseSettings())
    cluster.apply_routes(RouteTable(1))
    cluster.confirm_routes(NOW)
    cluster.observe_version(2)
    cluster.confirm_routes(NOW + 3)
    assert cluster.get_routes_age(NOW + 3) == 3
    assert not cluster.are_keys_fresh(NOW + 5)
    cluster.apply_routes(RouteTable(2))
    cluster.confirm_routes(NOW + 5)
    assert cluster.are_keys_fresh(NOW + 5)


def test_a_new_peer_is_asked_at_once_for_the_later_routes_it_tells() -> None:
    bench = Bench()
    bench.cluster.gate = ReadinessGate(is_strict=True)
    bench.cluster.apply_routes(RouteTable(6))
    bench.feed.on_opened(PeerLinks.Opened(make_record('b')))
    (ask,) = list_asks(bench)
    assert not ask.wants_boxes
    bench.answer(ask, is_whole=False)
    (_ask, fetch) = list_asks(bench)
    assert fetch.wants_newer(7)
    bench.answer(fetch, is_whole=False, routes=RouteTable(7))
    assert bench.cluster.index.table.version == 7
    assert len(list_asks(bench)) == 2


def test_a_node_that_is_ready_asks_new_peers_nothing() -> None:
    bench = Bench()
    bench.feed.on_opened(PeerLinks.Opened(make_record('b')))
    assert not list_asks(bench)


def list_asks(bench: Bench) -> list[FeedAsk]:
    """Return the questions that were sent."""
    return [ask for _node, ask in bench.links.sent if isinstance(ask, FeedAsk)]
