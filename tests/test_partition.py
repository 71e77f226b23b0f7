"""How a node finds out that it has lost its links to replicas."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Any

import msgspec
import pytest

from tests.boxes import make_fleet, make_group
from tests.held_clock import HeldClock
from tests.loops import in_loop
from tests.test_peer_chooser import make_node
from waywell.connection.peer import ReachabilityQuery, ReachabilityReport
from waywell.health import partition, reachability_queries
from waywell.health.node_paths import ListedBoxes
from waywell.health.partition import PartitionParts, PartitionWatch
from waywell.ids import ModelName, NodeId, ServiceName
from waywell.knowledge.outlook import Outlook
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
"""Groups of two boxes that serve."""

HEADS = tuple(f'h{number}' for number in range(GROUPS))


@pytest.fixture(autouse=True)
def probe_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(partition, 'PROBE_STAGGER', 0)


def make_outlook() -> Outlook:
    engine = Engine(9, (EngineModel(ModelName('notes'), 2),))
    outlook = Outlook(PromiseSettings())
    outlook.take_routes(
        RouteTable(1, (), (RoutedService(LLM, engine=engine),))
    )
    boxes = [
        box
        for number, head in enumerate(HEADS)
        for box in make_group(f'notes.{number + 7}', head, f'm{number}')
    ]
    outlook.take_fleet(make_fleet(*boxes), 0.0)
    return outlook


class _Gossip:
    def __init__(self, table: MembershipTable) -> None:
        self.table = table
        self.told: list[tuple[str, ...]] = []

    def keep_streams(self, *_words: object) -> None:
        """Open no stream."""

    def post(self, message: Gossip.OwnRecordChange) -> None:
        assert message.lost_services is not None
        self.told.append(message.lost_services)
        self.table.update_own(lost_services=message.lost_services)


class _Links:
    """Delivers at once to the tasks of other nodes."""

    def __init__(self, own: str, nodes: dict[str, Node]) -> None:
        self._own = NodeId(own)
        self._nodes = nodes
        self.queries = 0

    def subscribe(self, *_words: object) -> None:
        """Take no subscriber."""

    def has_peer(self, node: NodeId) -> bool:
        return node in self._nodes

    def send(self, node: NodeId, message: Any) -> None:
        self.queries += isinstance(message, ReachabilityQuery)
        received = PeerLinks.Received(self._own, message)
        self._nodes[node].watch.on_received(received)


class Node:
    """A node with links that a test takes away."""

    def __init__(self, name: str, names: str, nodes: dict[str, Node]) -> None:
        self.clock = HeldClock()
        self.outlook = make_outlook()
        self.reached: set[str] = set(HEADS)
        self.restored = 0
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
                ListedBoxes(self.outlook),
                Random(1),
                None,
                self._connect,
                self._note_restored,
            ),
        )

    def fail(self, *heads: str) -> None:
        """Let requests fail to connect to some boxes."""
        for head in heads:
            box = self.outlook.fleet.boxes[head]
            self.watch.record(box, self.clock.now, is_connected=False)

    async def _connect(self, box: FleetBox) -> bool:
        self.connections += 1
        return box.box in self.reached

    def _note_restored(self) -> None:
        self.restored += 1


def make_nodes(names: str = 'abcd') -> dict[str, Node]:
    nodes: dict[str, Node] = {}
    for name in names:
        nodes[name] = Node(name, names, nodes)
    return nodes


async def settle() -> None:
    for _turn in range(30):
        await asyncio.sleep(0)


@in_loop
async def test_a_node_is_partitioned_where_its_peers_reach_what_it_does_not() -> (
    None
):
    nodes = make_nodes()
    own = nodes['a']
    own.reached.clear()
    own.fail('h0')
    await settle()
    assert not own.watch.list_partitioned()
    own.fail('h1')
    await settle()
    assert own.watch.is_partitioned(LLM)
    assert own.gossip.told == [(LLM,)]
    assert not await own.watch.verify(LLM)
    await own.watch.stop()


@in_loop
async def test_boxes_that_nobody_reaches_are_lost_not_the_node() -> None:
    nodes = make_nodes()
    for node in nodes.values():
        node.reached.clear()
    own = nodes['a']
    own.fail('h0', 'h1')
    await settle()
    assert own.links.queries == reachability_queries.PEERS_ASKED
    assert await own.watch.verify(LLM)
    assert not own.gossip.told


@in_loop
async def test_a_few_lost_boxes_leave_a_node_its_links() -> None:
    own = make_nodes()['a']
    own.reached -= {'h0', 'h1', 'h2'}
    own.fail('h0', 'h1', 'h2')
    await settle()
    assert not own.links.queries
    assert await own.watch.verify(LLM)


@in_loop
async def test_one_box_that_is_still_reached_hides_no_partition() -> None:
    own = make_nodes()['a']
    own.reached = {'h0'}
    own.fail('h1', 'h2')
    await settle()
    assert own.watch.is_partitioned(LLM)
    await own.watch.stop()


@in_loop
async def test_a_peer_without_links_is_no_witness() -> None:
    nodes = make_nodes('ab')
    for node in nodes.values():
        node.reached.clear()
    nodes['a'].fail('h0', 'h1')
    nodes['b'].fail('h0', 'h1')
    await settle()
    assert not nodes['a'].watch.list_partitioned()
    assert not nodes['b'].watch.list_partitioned()


@in_loop
async def test_peers_that_report_late_are_waited_for(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Peers that stood still for 0.3 s cost streams that could go on there."""
    monkeypatch.setattr(reachability_queries, 'REPORT_SECONDS', 0.0)
    nodes = make_nodes()
    own = nodes['a']
    own.reached.clear()
    late: list[tuple[NodeId, ReachabilityQuery]] = []
    deliver = own.links.send
    monkeypatch.setattr(own.links, 'send', lambda *one: late.append(one))
    own.fail('h0', 'h1')
    for _turn in range(3):
        await asyncio.sleep(0.01)
    assert len(late) == 3
    assert not own.watch.list_partitioned()
    for one in late:
        deliver(*one)
    await settle()
    assert own.watch.is_partitioned(LLM)
    await own.watch.stop()


@in_loop
async def test_a_node_without_peers_keeps_its_links() -> None:
    own = make_nodes('a')['a']
    own.reached.clear()
    own.fail('h0', 'h1')
    await settle()
    assert await own.watch.verify(LLM)


@in_loop
async def test_links_that_are_back_are_noticed_and_told_a_while_later(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(partition, 'PROBE_INTERVAL', 0)
    monkeypatch.setattr(partition, 'ANNOUNCE_SECONDS', 0.01)
    own = make_nodes()['a']
    own.reached.clear()
    own.fail('h0', 'h1')
    await settle()
    assert own.watch.is_partitioned(LLM)
    own.reached.update(HEADS)
    await settle()
    assert not own.watch.is_partitioned(LLM)
    assert own.restored == 1
    assert own.gossip.told == [(LLM,)]
    await asyncio.sleep(0.05)
    assert own.gossip.told == [(LLM,), ()]
    await own.watch.stop()


@in_loop
async def test_a_failed_connection_begins_no_second_diagnosis_at_once() -> (
    None
):
    nodes = make_nodes()
    for node in nodes.values():
        node.reached.clear()
    own = nodes['a']
    own.fail('h0', 'h1')
    await settle()
    asked = own.links.queries
    own.fail('h2', 'h3')
    await settle()
    assert own.links.queries == asked
    own.clock.now += partition.DIAGNOSIS_INTERVAL
    own.fail('h4')
    await settle()
    assert own.links.queries > asked


@in_loop
async def test_sound_links_cost_few_connections(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(partition, 'PROBE_STAGGER', 10.0)
    own = make_nodes()['a']
    assert await own.watch.verify(LLM)
    assert own.connections == partition.LEAST_REACHED


@in_loop
async def test_a_report_names_only_boxes_that_take_a_connection() -> None:
    nodes = make_nodes('ab')
    nodes['b'].reached = {'h1', 'h2'}
    reports: list[ReachabilityReport] = []
    nodes['a'].watch._queries.take_report = (  # noqa: SLF001
        lambda report, _sender: reports.append(report)
    )
    query = ReachabilityQuery(7, ('h0', 'h1', 'unknown'))
    nodes['b'].watch.on_received(PeerLinks.Received(NodeId('a'), query))
    await settle()
    assert reports == [ReachabilityReport(7, ('h1',))]
    assert msgspec.msgpack.encode(reports[0])


@in_loop
async def test_what_a_peer_reached_before_witnesses_nothing() -> None:
    nodes = make_nodes('ab')
    for box in nodes['b'].outlook.fleet.boxes.values():
        nodes['b'].watch.record(box, 10.0, is_connected=True)
    for node in nodes.values():
        node.reached.clear()
    nodes['a'].fail('h0', 'h1')
    await settle()
    assert not nodes['a'].watch.list_partitioned()
