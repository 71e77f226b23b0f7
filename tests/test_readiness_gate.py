"""When a node that has started may serve by the routes that it has read."""

from __future__ import annotations

import pytest

from tests.test_feed import Bench
from tests.test_membership import make_record
from waywell.codes import Code, Refusal
from waywell.connection.peer import FeedAsk
from waywell.ids import NodeId
from waywell.knowledge.outlook import Outlook
from waywell.knowledge.readiness_gate import (
    LOOK_WAIT_SECONDS,
    PEERS_WAIT_SECONDS,
    RESTART_WAIT_SECONDS,
    ReadinessGate,
    StartView,
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
    has_read_list: bool = True,
    pending_dials: int = 0,
) -> StartView:
    return StartView(
        version=version,
        latest_version=latest,
        is_first_start=is_first_start,
        contacts=PeerContacts(has_read_list, pending_dials, frozenset(peers)),
    )


def is_open(gate: ReadinessGate, seen: StartView, now: float = NOW) -> bool:
    gate.update(seen, now)
    return gate.is_open


def test_a_node_alone_serves_once_it_has_routes_and_has_looked() -> None:
    gate = ReadinessGate(is_strict=True)
    assert not is_open(gate, view(version=0, latest=0))
    assert not is_open(gate, view(has_read_list=False))
    assert is_open(gate, view())


def test_a_node_waits_for_nobody_where_keys_are_not_strict() -> None:
    assert ReadinessGate(is_strict=False).is_open


def test_at_the_first_start_of_all_a_node_waits_for_nobody() -> None:
    gate = ReadinessGate(is_strict=True)
    assert is_open(gate, view(B, is_first_start=True, has_read_list=False))


def test_a_later_version_keeps_a_node_from_serving_until_it_is_here() -> None:
    gate = ReadinessGate(is_strict=True)
    gate.record_answer(B, is_ready=True)
    behind = view(B, version=1, latest=2)
    assert not is_open(gate, behind)
    assert not is_open(gate, behind, NOW + 100 * PEERS_WAIT_SECONDS)
    assert is_open(gate, view(B, version=2, latest=2))


def test_the_same_version_of_a_peer_that_serves_is_enough() -> None:
    gate = ReadinessGate(is_strict=True)
    gate.record_answer(B, is_ready=True)
    assert is_open(gate, view(B, C, pending_dials=3))


def test_nodes_that_all_start_serve_once_each_has_answered() -> None:
    gate = ReadinessGate(is_strict=True)
    gate.record_answer(B, is_ready=False)
    assert not is_open(gate, view(B, C))
    gate.record_answer(C, is_ready=False)
    assert not is_open(gate, view(B, C, pending_dials=1))
    assert is_open(gate, view(B, C))


def test_silent_peers_are_waited_for_no_longer_than_the_bound() -> None:
    gate = ReadinessGate(is_strict=True)
    assert not is_open(gate, view(version=0, latest=0), NOW - 50)
    silent = view(B, pending_dials=1)
    assert not is_open(gate, silent)
    assert not is_open(gate, silent, NOW + PEERS_WAIT_SECONDS - 0.01)
    assert is_open(gate, silent, NOW + PEERS_WAIT_SECONDS)


def test_after_a_stop_of_all_a_node_that_is_gone_holds_up_nobody() -> None:
    gate = ReadinessGate(is_strict=True)
    gate.record_answer(B, is_ready=False)
    gate.record_answer(C, is_ready=False)
    most_start = view(B, C, D, pending_dials=1)
    assert not is_open(gate, most_start)
    assert not is_open(gate, most_start, NOW + RESTART_WAIT_SECONDS - 0.01)
    assert is_open(gate, most_start, NOW + RESTART_WAIT_SECONDS)


def test_half_of_the_peers_starting_is_no_stop_of_all() -> None:
    gate = ReadinessGate(is_strict=True)
    gate.record_answer(B, is_ready=False)
    half = view(B, C, pending_dials=1)
    assert not is_open(gate, half)
    assert not is_open(gate, half, NOW + PEERS_WAIT_SECONDS - 0.01)


def test_a_later_version_keeps_a_node_closed_while_most_start() -> None:
    gate = ReadinessGate(is_strict=True)
    gate.record_answer(B, is_ready=False)
    gate.record_answer(C, is_ready=False)
    behind = view(B, C, D, latest=2, pending_dials=1)
    assert not is_open(gate, behind)
    assert not is_open(gate, behind, NOW + RESTART_WAIT_SECONDS)


def test_the_list_of_nodes_is_waited_for_no_longer_than_the_bound() -> None:
    gate = ReadinessGate(is_strict=True)
    unknown = view(has_read_list=False)
    assert not is_open(gate, unknown)
    assert not is_open(gate, unknown, NOW + LOOK_WAIT_SECONDS - 0.01)
    assert is_open(gate, unknown, NOW + LOOK_WAIT_SECONDS)


def test_peers_have_their_time_though_the_list_came_late() -> None:
    gate = ReadinessGate(is_strict=True)
    assert not is_open(gate, view(has_read_list=False))
    called_at = NOW + PEERS_WAIT_SECONDS
    silent = view(B, pending_dials=1)
    assert not is_open(gate, silent, called_at)
    assert not is_open(gate, silent, called_at + PEERS_WAIT_SECONDS - 0.01)
    assert is_open(gate, silent, called_at + PEERS_WAIT_SECONDS)


def test_a_node_that_is_not_ready_refuses_as_one_that_starts() -> None:
    gate = ReadinessGate(is_strict=True)
    outlook = Outlook(PromiseSettings(), gate=gate)
    outlook.take_routes(RouteTable(1))
    outlook.confirm_routes(NOW)
    with pytest.raises(Refusal) as refused:
        outlook.check_routes(NOW)
    assert refused.value.code is Code.NODE_STARTING
    gate.update(view(), NOW)
    outlook.check_routes(NOW)


def test_nothing_confirms_a_version_while_a_later_one_is_known() -> None:
    outlook = Outlook(PromiseSettings())
    outlook.take_routes(RouteTable(1))
    outlook.confirm_routes(NOW)
    outlook.observe_version(2)
    outlook.confirm_routes(NOW + 3)
    assert outlook.get_routes_age(NOW + 3) == 3
    assert not outlook.are_keys_fresh(NOW + 5)
    outlook.take_routes(RouteTable(2))
    outlook.confirm_routes(NOW + 5)
    assert outlook.are_keys_fresh(NOW + 5)


def test_a_new_peer_is_asked_at_once_for_the_later_routes_it_tells() -> None:
    bench = Bench()
    bench.outlook.gate = ReadinessGate(is_strict=True)
    bench.outlook.take_routes(RouteTable(6))
    bench.feed.on_opened(PeerLinks.Opened(make_record('b')))
    (ask,) = list_asks(bench)
    assert not ask.wants_boxes
    bench.answer(ask, is_whole=False)
    (_ask, fetch) = list_asks(bench)
    assert fetch.wants_newer(7)
    bench.answer(fetch, is_whole=False, routes=RouteTable(7))
    assert bench.outlook.index.table.version == 7
    assert len(list_asks(bench)) == 2


def test_a_node_that_is_ready_asks_new_peers_nothing() -> None:
    bench = Bench()
    bench.feed.on_opened(PeerLinks.Opened(make_record('b')))
    assert not list_asks(bench)


def list_asks(bench: Bench) -> list[FeedAsk]:
    """Return the questions that were sent."""
    return [ask for _node, ask in bench.links.sent if isinstance(ask, FeedAsk)]
