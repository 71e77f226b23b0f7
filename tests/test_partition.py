"""Detection of lost links between a node and the replicas."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Any

import msgspec
import pytest

from tests.boxes import make_fleet, make_group
from tests.loops import in_loop
from tests.manual_clock import ManualClock
from tests.test_peer_chooser import make_node
from waywell.connection.peer import ReachabilityQuery, ReachabilityReport
from waywell.health import partition, reachability_queries
from waywell.health.node_paths import ListedBoxes
from waywell.health.partition import PartitionParts, PartitionWatch
from waywell.ids import ModelName, NodeId, ServiceName
from waywell.knowledge.cluster_view import ClusterView
from waywell.membership.gossip import Gossip
from waywell.membership.links import PeerLinks
from waywell.membership.membership import MembershipTable
from waywell.process.front_settings import PromiseSettings
from waywell.version.fleet import FleetBox
from waywell.version.routes import (
    Engine,
    EngineModel,
    RoutedService,
    RouteTable,
)

LLM = ServiceName('llm')
GROUPS = 8
"""Number of serving groups, each of two boxes."""

HEADS = tuple(f'h{number}' for number in range(GROUPS))


@pytest.fixture(autouse=True)
def probe_without_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(partition, 'PROBE_STAGGER', 0)


def make_cluster() -> ClusterView:
    engine = Engine(9, (EngineModel(ModelName('notes'), 2),))
    cluster = ClusterView(PromiseSettings())
    cluster.apply_routes(
        RouteTable(1, (), (RoutedService(LLM, engine=engine),))
    )
    boxes = [
        box
        for number, head in enumerate(HEADS)
        for box in make_group(f'notes.{number + 7}', head, f'm{number}')
    ]
    cluster.apply_fleet(make_fleet(*boxes), 0.0)
    return cluster


class _Gossip:
    def __init__(self, table: MembershipTable) -> None:
        self.table = table
        self.announced: list[tuple[str, ...]] = []

    def keep_streams(self, *_streams: object) -> None:
        """Open no stream."""

    def post(self, message: Gossip.OwnRecordChange) -> None:
        assert message.lost_services is not None
        self.announced.append(message.lost_services)
        self.table.update_own(lost_services=message.lost_services)


class _Links:
    """Delivers messages immediately to the tasks of other nodes."""

    def __init__(self, own: str, nodes: dict[str, Node]) -> None:
        self._own = NodeId(own)
        self._nodes = nodes
        self.queries = 0

    def subscribe(self, *_kinds: object) -> None:
        """Ignore a subscription."""

    def has_peer(self, node: NodeId) -> bool:
        return node in self._nodes

    def send(self, node: NodeId, message: Any) -> None:
        self.queries += isinstance(message, ReachabilityQuery)
        received = PeerLinks.Received(self._own, message)
        self._nodes[node].watch.on_received(received)


class Node:
    """A node whose links to replicas a test can cut."""

    def __init__(self, name: str, names: str, nodes: dict[str, Node]) -> None:
        self.clock = ManualClock()
        self.cluster = make_cluster()
        self.reached: set[str] = set(HEADS)
        self.restored_count = 0
        self.connections = 0
        table = MembershipTable(make_node(name), 2.0)
        for other in names:
            table.merge(make_node(other), 0.0)
        self.gossip = _Gossip(table)
        self.links = _Links(name, nodes)
        self.watch = PartitionWatch(
            PartitionParts(
                self.gossip,
                self.links,
                self.clock,
                ListedBoxes(self.cluster),
                Random(1),
                None,
                self._connect,
                self._count_restored,
            ),
        )

    def fail(self, *heads: str) -> None:
        """Record failed connections to some boxes."""
        for head in heads:
            box = self.cluster.fleet.boxes[head]
            self.watch.record(box, self.clock.now, is_connected=False)

    async def _connect(self, box: FleetBox) -> bool:
        self.connections += 1
        return box.box in self.reached

    def _count_restored(self) -> None:
        self.restored_count += 1


def make_nodes(names: str = 'abcd') -> dict[str, Node]:
    nodes: dict[str, Node] = {}
    for name in names:
        nodes[name] = Node(name, names, nodes)
    return nodes


async def run_pending_tasks() -> None:
    for _turn in range(30):
        await asyncio.sleep(0)


@in_loop
async def test_a_node_is_partitioned_if_peers_reach_boxes_that_it_cannot() -> (
    None
):
    nodes = make_nodes()
    own = nodes['a']
    own.reached.clear()
    own.fail('h0')
    await run_pending_tasks()
    assert not own.watch.list_partitioned()
    own.fail('h1')
    await run_pending_tasks()
    assert own.watch.is_partitioned(LLM)
    assert own.gossip.announced == [(LLM,)]
    assert not await own.watch.verify(LLM)
    await own.watch.stop()


@in_loop
async def test_boxes_that_no_node_reaches_are_no_partition() -> None:
    nodes = make_nodes()
    for node in nodes.values():
        node.reached.clear()
    own = nodes['a']
    own.fail('h0', 'h1')
    await run_pending_tasks()
    assert own.links.queries == reachability_queries.PEERS_QUERIED
    assert await own.watch.verify(LLM)
    assert not own.gossip.announced


@in_loop
async def test_a_few_lost_boxes_are_no_partition() -> None:
    own = make_nodes()['a']
    own.reached -= {'h0', 'h1', 'h2'}
    own.fail('h0', 'h1', 'h2')
    await run_pending_tasks()
    assert not own.links.queries
    assert await own.watch.verify(LLM)


@in_loop
async def test_one_reachable_box_does_not_hide_a_partition() -> None:
    own = make_nodes()['a']
    own.reached = {'h0'}
    own.fail('h1', 'h2')
    await run_pending_tasks()
    assert own.watch.is_partitioned(LLM)
    await own.watch.stop()


@in_loop
async def test_a_peer_without_links_is_no_witness() -> None:
    nodes = make_nodes('ab')
    for node in nodes.values():
        node.reached.clear()
    nodes['a'].fail('h0', 'h1')
    nodes['b'].fail('h0', 'h1')
    await run_pending_tasks()
    assert not nodes['a'].watch.list_partitioned()
    assert not nodes['b'].watch.list_partitioned()


@in_loop
async def test_late_reports_of_peers_are_awaited(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Peers that stall for 0.3 s must not cost streams they could take over."""
    monkeypatch.setattr(reachability_queries, 'REPORT_SECONDS', 0.0)
    nodes = make_nodes()
    own = nodes['a']
    own.reached.clear()
    late: list[tuple[NodeId, ReachabilityQuery]] = []
    deliver = own.links.send
    monkeypatch.setattr(
        own.links, 'send', lambda *message: late.append(message)
    )
    own.fail('h0', 'h1')
    for _turn in range(3):
        await asyncio.sleep(0.01)
    assert len(late) == 3
    assert not own.watch.list_partitioned()
    for message in late:
        deliver(*message)
    await run_pending_tasks()
    assert own.watch.is_partitioned(LLM)
    await own.watch.stop()


@in_loop
async def test_a_node_without_peers_is_never_partitioned() -> None:
    own = make_nodes('a')['a']
    own.reached.clear()
    own.fail('h0', 'h1')
    await run_pending_tasks()
    assert await own.watch.verify(LLM)


@in_loop
async def test_restored_links_are_detected_and_announced_after_a_delay(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(partition, 'PROBE_INTERVAL', 0)
    monkeypatch.setattr(partition, 'RECOVERY_DELAY_SECONDS', 0.01)
    own = make_nodes()['a']
    own.reached.clear()
    own.fail('h0', 'h1')
    await run_pending_tasks()
    assert own.watch.is_partitioned(LLM)
    own.reached.update(HEADS)
    await run_pending_tasks()
    assert not own.watch.is_partitioned(LLM)
    assert own.restored_count == 1
    assert own.gossip.announced == [(LLM,)]
    await asyncio.sleep(0.05)
    assert own.gossip.announced == [(LLM,), ()]
    await own.watch.stop()


@in_loop
async def test_failed_connections_start_no_second_diagnosis_within_the_interval() -> (
    None
):
    nodes = make_nodes()
    for node in nodes.values():
        node.reached.clear()
    own = nodes['a']
    own.fail('h0', 'h1')
    await run_pending_tasks()
    queries_before = own.links.queries
    own.fail('h2', 'h3')
    await run_pending_tasks()
    assert own.links.queries == queries_before
    own.clock.now += partition.DIAGNOSIS_INTERVAL
    own.fail('h4')
    await run_pending_tasks()
    assert own.links.queries > queries_before


@in_loop
async def test_working_links_are_verified_with_few_connections(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(partition, 'PROBE_STAGGER', 10.0)
    own = make_nodes()['a']
    assert await own.watch.verify(LLM)
    assert own.connections == partition.MIN_REACHED


@in_loop
async def test_a_report_names_only_boxes_that_accept_a_connection() -> None:
    nodes = make_nodes('ab')
    nodes['b'].reached = {'h1', 'h2'}
    reports: list[ReachabilityReport] = []
    nodes['a'].watch._queries.handle_report = (  # noqa: SLF001
        lambda report, _sender: reports.append(report)
    )
    query = ReachabilityQuery(7, ('h0', 'h1', 'unknown'))
    nodes['b'].watch.on_received(PeerLinks.Received(NodeId('a'), query))
    await run_pending_tasks()
    assert reports == [ReachabilityReport(7, ('h1',))]
    assert msgspec.msgpack.encode(reports[0])


@in_loop
async def test_earlier_connections_of_a_peer_are_no_evidence() -> None:
    nodes = make_nodes('ab')
    for box in nodes['b'].cluster.fleet.boxes.values():
        nodes['b'].watch.record(box, 10.0, is_connected=True)
    for node in nodes.values():
        node.reached.clear()
    nodes['a'].fail('h0', 'h1')
    await run_pending_tasks()
    assert not nodes['a'].watch.list_partitioned()
