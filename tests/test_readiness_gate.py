"""Tests of the check that a starting node passes before it serves."""

from __future__ import annotations

import pytest

from tests.test_feed import FeedHarness
from tests.test_membership import make_record
from waywell.codes import Code, Refusal
from waywell.connection.peer import FeedRequest
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


def make_state(
    *peers: NodeId,
    version: int = 1,
    latest: int = 1,
    is_first_start: bool = False,
    has_read_list: bool = True,
    pending_dials: int = 0,
) -> StartupState:
    return StartupState(
        version=version,
        latest_version=latest,
        is_first_start=is_first_start,
        contacts=PeerContacts(has_read_list, pending_dials, frozenset(peers)),
    )


def is_open(
    gate: ReadinessGate, state: StartupState, now: float = NOW
) -> bool:
    gate.update(state, now)
    return gate.is_open


def test_single_node_serves_once_it_has_routes_and_the_node_list() -> None:
    gate = ReadinessGate(is_strict=True)
    assert not is_open(gate, make_state(version=0, latest=0))
    assert not is_open(gate, make_state(has_read_list=False))
    assert is_open(gate, make_state())


def test_gate_is_open_if_keys_are_not_strict() -> None:
    assert ReadinessGate(is_strict=False).is_open


def test_gate_opens_at_once_at_the_first_start_of_the_system() -> None:
    gate = ReadinessGate(is_strict=True)
    assert is_open(
        gate, make_state(B, is_first_start=True, has_read_list=False)
    )


def test_gate_stays_closed_until_the_latest_version_is_in_force() -> None:
    gate = ReadinessGate(is_strict=True)
    gate.record_answer(B, is_ready=True)
    behind = make_state(B, version=1, latest=2)
    assert not is_open(gate, behind)
    assert not is_open(gate, behind, NOW + 100 * PEER_ANSWER_TIMEOUT)
    assert is_open(gate, make_state(B, version=2, latest=2))


def test_same_version_at_one_serving_peer_opens_the_gate() -> None:
    gate = ReadinessGate(is_strict=True)
    gate.record_answer(B, is_ready=True)
    assert is_open(gate, make_state(B, C, pending_dials=3))


def test_gate_opens_once_all_starting_peers_have_answered() -> None:
    gate = ReadinessGate(is_strict=True)
    gate.record_answer(B, is_ready=False)
    assert not is_open(gate, make_state(B, C))
    gate.record_answer(C, is_ready=False)
    assert not is_open(gate, make_state(B, C, pending_dials=1))
    assert is_open(gate, make_state(B, C))


def test_silent_peers_delay_the_gate_until_the_timeout() -> None:
    gate = ReadinessGate(is_strict=True)
    assert not is_open(gate, make_state(version=0, latest=0), NOW - 50)
    silent = make_state(B, pending_dials=1)
    assert not is_open(gate, silent)
    assert not is_open(gate, silent, NOW + PEER_ANSWER_TIMEOUT - 0.01)
    assert is_open(gate, silent, NOW + PEER_ANSWER_TIMEOUT)


def test_missing_node_does_not_delay_a_restart_of_all_nodes() -> None:
    gate = ReadinessGate(is_strict=True)
    gate.record_answer(B, is_ready=False)
    gate.record_answer(C, is_ready=False)
    most_start = make_state(B, C, D, pending_dials=1)
    assert not is_open(gate, most_start)
    assert not is_open(gate, most_start, NOW + RESTART_TIMEOUT - 0.01)
    assert is_open(gate, most_start, NOW + RESTART_TIMEOUT)


def test_half_of_the_peers_starting_is_not_a_restart_of_all() -> None:
    gate = ReadinessGate(is_strict=True)
    gate.record_answer(B, is_ready=False)
    half = make_state(B, C, pending_dials=1)
    assert not is_open(gate, half)
    assert not is_open(gate, half, NOW + PEER_ANSWER_TIMEOUT - 0.01)


def test_later_version_keeps_the_gate_closed_while_most_start() -> None:
    gate = ReadinessGate(is_strict=True)
    gate.record_answer(B, is_ready=False)
    gate.record_answer(C, is_ready=False)
    behind = make_state(B, C, D, latest=2, pending_dials=1)
    assert not is_open(gate, behind)
    assert not is_open(gate, behind, NOW + RESTART_TIMEOUT)


def test_missing_node_list_delays_the_gate_until_the_timeout() -> None:
    gate = ReadinessGate(is_strict=True)
    unknown = make_state(has_read_list=False)
    assert not is_open(gate, unknown)
    assert not is_open(gate, unknown, NOW + NODE_LIST_TIMEOUT - 0.01)
    assert is_open(gate, unknown, NOW + NODE_LIST_TIMEOUT)


def test_peers_have_their_full_timeout_after_a_late_node_list() -> None:
    gate = ReadinessGate(is_strict=True)
    assert not is_open(gate, make_state(has_read_list=False))
    called_at = NOW + PEER_ANSWER_TIMEOUT
    silent = make_state(B, pending_dials=1)
    assert not is_open(gate, silent, called_at)
    assert not is_open(gate, silent, called_at + PEER_ANSWER_TIMEOUT - 0.01)
    assert is_open(gate, silent, called_at + PEER_ANSWER_TIMEOUT)


def test_node_with_a_closed_gate_refuses_as_starting() -> None:
    gate = ReadinessGate(is_strict=True)
    cluster = ClusterView(PromiseSettings(), gate=gate)
    cluster.apply_routes(RouteTable(1))
    cluster.confirm_routes(NOW)
    with pytest.raises(Refusal) as refused:
        cluster.check_routes(NOW)
    assert refused.value.code is Code.NODE_STARTING
    gate.update(make_state(), NOW)
    cluster.check_routes(NOW)


def test_version_is_not_confirmed_while_a_later_one_is_known() -> None:
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


def test_later_routes_of_a_new_peer_are_requested_at_once() -> None:
    harness = FeedHarness()
    harness.cluster.gate = ReadinessGate(is_strict=True)
    harness.cluster.apply_routes(RouteTable(6))
    harness.feed.on_opened(PeerLinks.Opened(make_record('b')))
    (ask,) = list_asks(harness)
    assert not ask.wants_boxes
    harness.answer(ask, is_whole=False)
    (_ask, routes_ask) = list_asks(harness)
    assert routes_ask.wants_newer(7)
    harness.answer(routes_ask, is_whole=False, routes=RouteTable(7))
    assert harness.cluster.index.table.version == 7
    assert len(list_asks(harness)) == 2


def test_ready_node_sends_no_query_to_new_peers() -> None:
    harness = FeedHarness()
    harness.feed.on_opened(PeerLinks.Opened(make_record('b')))
    assert not list_asks(harness)


def list_asks(harness: FeedHarness) -> list[FeedRequest]:
    """Return the queries that were sent."""
    return [
        ask
        for _node, ask in harness.links.sent
        if isinstance(ask, FeedRequest)
    ]
