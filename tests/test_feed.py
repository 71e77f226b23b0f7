"""Tests of the choice of readers and of the feed between nodes."""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from returns.result import Failure, Result, Success

from tests.boxes import make_box, make_fleet
from tests.manual_clock import ManualClock
from tests.test_membership import make_record
from waywell.connection.peer import FeedAnswer, FeedRequest
from waywell.connection.platform import PlatformFault
from waywell.ids import HallName, NodeId
from waywell.knowledge import store_probe
from waywell.knowledge.cluster_view import ClusterView
from waywell.knowledge.feed import Feed
from waywell.knowledge.poll_intervals import make_poll_intervals
from waywell.knowledge.readers import pick_reader
from waywell.membership.links import PeerLinks
from waywell.membership.membership import MembershipTable, NodeRecord
from waywell.process.front_settings import PromiseSettings
from waywell.request.replica_table import ReplicaTable
from waywell.request.shared_loads import LoadExchange, SharedLoads
from waywell.version.routes import RouteTable

HALL = HallName('h')
OTHER_HALL = HallName('far')


def test_reader_choice_is_independent_of_record_order() -> None:
    records = [make_record(name) for name in 'abcdef']
    assert pick_reader(HALL, records) == pick_reader(HALL, records[::-1])


def test_node_with_the_widest_link_is_the_reader() -> None:
    records = [make_record(name) for name in 'abcdef']
    for place, record in enumerate(records):
        wide = msgspec.structs.replace(record, link_mbps=200)
        others = records[:place] + records[place + 1 :]
        assert pick_reader(HALL, [*others, wide]) == wide


class _Links:
    def __init__(self) -> None:
        self.sent: list[tuple[NodeId, object]] = []
        self.peers = {NodeId('b'), NodeId('c')}

    def subscribe(self, *_args: object) -> None:
        """Ignore subscriptions."""

    def list_peers(self) -> set[NodeId]:
        return self.peers

    def send(self, node: NodeId, message: object) -> None:
        self.sent.append((node, message))


class _Gossip:
    def __init__(self, own: NodeRecord, *others: NodeRecord) -> None:
        self.table = MembershipTable(own, 2.0)
        for record in others:
            self.table.merge(record, 0.0)

    def keep_streams(
        self, _user: str, _records: tuple[NodeRecord, ...]
    ) -> None:
        """Ignore requests to keep streams."""


class _Platform:
    """Store whose answers to probes a test sets."""

    def __init__(self) -> None:
        self.calls = 0
        self.answer: Result = Success(None)
        self.unblocked = asyncio.Event()
        self.unblocked.set()

    async def fetch(self, *_args: object) -> Result:
        self.calls += 1
        await self.unblocked.wait()
        return self.answer


class FeedHarness:
    """Feed of node a; node b is the reader of the given hall."""

    def __init__(self, read_after: float = 0.0, hall: str = HALL) -> None:
        self.clock = ManualClock()
        self.links = _Links()
        self.cluster = ClusterView(PromiseSettings())
        self.loads = SharedLoads()
        self.platform = _Platform()
        reader = msgspec.structs.replace(
            make_record('b'), link_mbps=100, hall=HallName(hall)
        )
        self.feed = Feed(
            self.links,
            _Gossip(make_record('a'), reader),
            self.cluster,
            self.clock,
            LoadExchange(ReplicaTable(), self.loads),
            make_poll_intervals(PromiseSettings()),
            self.platform,
            read_after,
        )

    def ask(self) -> FeedRequest:
        self.links.sent.clear()
        self.feed.on_tick(Feed.Tick())
        asks = [ask for node, ask in self.links.sent if node == 'b']
        assert len(asks) == 1
        return asks[0]

    def answer(self, ask: FeedRequest, **changes: object) -> None:
        answer = FeedAnswer(
            number=ask.number,
            version=7,
            routes_age=0.5,
            incarnation=1,
            serial=3,
            boxes_age=0.4,
            is_whole=True,
        )
        answer = msgspec.structs.replace(answer, **changes)
        self.feed.on_received(PeerLinks.Received(NodeId('b'), answer))

    def get_ages(self) -> tuple[float, float]:
        now = self.clock.now
        return (
            self.cluster.get_routes_age(now),
            self.cluster.get_boxes_age(now),
        )


def test_ages_count_from_the_time_the_query_was_sent() -> None:
    harness = FeedHarness()
    harness.cluster.apply_routes(RouteTable(7))
    ask = harness.ask()
    # The answer waits in a buffer, or this process is suspended.
    harness.clock.now += 3.0
    harness.answer(ask, boxes=(make_box('x'),))
    assert harness.get_ages() == (3.5, 3.4)


def test_answer_with_another_version_does_not_confirm_routes() -> None:
    harness = FeedHarness()
    harness.cluster.apply_routes(RouteTable(6))
    harness.cluster.confirm_routes(98.0)
    harness.answer(harness.ask())
    assert harness.get_ages()[0] == 2.0
    assert harness.feed.newer_version == 7
    assert harness.ask().wants_routes
    harness.answer(harness.ask(), routes=RouteTable(7))
    assert harness.cluster.index.table.version == 7
    assert harness.feed.newer_version == 0


def test_older_box_list_does_not_replace_a_newer_one() -> None:
    harness = FeedHarness()
    early_ask = harness.ask()
    harness.clock.now += 1.0
    harness.answer(harness.ask(), boxes=(make_box('new'),))
    harness.answer(early_ask, boxes=(make_box('old'),))
    assert set(harness.cluster.fleet.boxes) == {'new'}


def test_changes_apply_to_the_list_named_in_the_query() -> None:
    harness = FeedHarness()
    harness.answer(harness.ask(), boxes=(make_box('x'), make_box('y')))
    harness.clock.now += 0.3
    harness.answer(
        harness.ask(),
        serial=4,
        is_whole=False,
        boxes=(make_box('z'),),
        gone=('x',),
    )
    assert set(harness.cluster.fleet.boxes) == {'y', 'z'}
    # The peer has restarted: its changes apply to a list unknown here.
    harness.clock.now += 0.3
    harness.answer(harness.ask(), incarnation=2, is_whole=False, gone=('y',))
    assert set(harness.cluster.fleet.boxes) == {'y', 'z'}


def test_second_answer_to_a_query_is_ignored() -> None:
    harness = FeedHarness()
    harness.cluster.apply_routes(RouteTable(7))
    ask = harness.ask()
    harness.answer(ask)
    harness.clock.now += 2.0
    harness.answer(ask, routes_age=0.0)
    assert harness.get_ages()[0] == 2.5


def test_node_reads_the_platform_if_its_reader_sends_old_data() -> None:
    harness = FeedHarness()
    harness.cluster.apply_routes(RouteTable(7))
    harness.answer(harness.ask(), boxes=(make_box('x'),))
    now = harness.clock.now
    assert not harness.feed.needs_routes(now)
    assert not harness.feed.needs_boxes(now)
    harness.clock.now = now = now + 1.5
    assert harness.feed.needs_routes(now)
    assert harness.feed.needs_boxes(now)
    harness.links.sent.clear()
    harness.feed.on_tick(Feed.Tick())
    assert {node for node, _ask in harness.links.sent} == {'b', 'c'}


def test_node_reads_nothing_itself_until_read_after() -> None:
    harness = FeedHarness(read_after=102.0)
    assert not harness.feed.needs_boxes(101.9)
    assert not harness.feed.needs_routes(101.9)
    assert harness.feed.needs_boxes(102.0)
    assert harness.feed.needs_routes(102.0)


def test_reader_that_reaches_the_platform_requests_no_boxes() -> None:
    harness = FeedHarness(hall=OTHER_HALL)
    harness.cluster.apply_fleet(make_fleet(make_box('x')), harness.clock.now)
    harness.cluster.confirm_routes(harness.clock.now)
    ask = harness.ask()
    assert not ask.wants_boxes
    harness.answer(ask, boxes=(make_box('y'),), boxes_age=0.0)
    assert set(harness.cluster.fleet.boxes) == {'x'}


def test_reader_that_is_cut_off_requests_boxes_from_peers() -> None:
    harness = FeedHarness(hall=OTHER_HALL)
    harness.cluster.apply_fleet(make_fleet(make_box('x')), harness.clock.now)
    harness.clock.now += 1.5
    ask = harness.ask()
    # Ages are queried first; only one peer with a newer list is asked for it.
    assert not ask.wants_boxes
    harness.links.sent.clear()
    harness.answer(ask, is_whole=False)
    (peer, list_ask) = harness.links.sent[0]
    assert (peer, list_ask.wants_boxes) == ('b', True)
    harness.answer(list_ask, boxes=(make_box('y'),))
    assert set(harness.cluster.fleet.boxes) == {'y'}


def test_no_box_lists_are_requested_if_all_lost_the_platform() -> None:
    """All nodes lose the store, so that their lists are equally old.

    Guards against each node requesting full lists from all peers three times a
    second: with 760 boxes and seven peers that is 2.8 MB/s on links of 2.5
    MB/s.
    """
    harness = FeedHarness(hall=OTHER_HALL)
    harness.cluster.apply_fleet(make_fleet(make_box('x')), harness.clock.now)
    for _ in range(10):
        harness.clock.now += 0.7
        ask = harness.ask()
        age = harness.cluster.get_boxes_age(harness.clock.now)
        harness.answer(ask, is_whole=False, boxes_age=age - 0.6)
        asks = [message for _node, message in harness.links.sent]
        assert not any(message.wants_boxes for message in asks)


def test_newer_box_list_is_requested_from_one_peer_at_a_time() -> None:
    harness = FeedHarness(hall=OTHER_HALL)
    harness.cluster.apply_fleet(make_fleet(make_box('x')), harness.clock.now)
    harness.clock.now += 1.5
    first = harness.ask()
    (other_ask,) = (ask for node, ask in harness.links.sent if node == 'c')
    harness.links.sent.clear()
    harness.answer(first, is_whole=False)
    harness.answer(other_ask, is_whole=False)
    assert len(harness.links.sent) == 1


def test_requests_in_flight_are_reported_to_readers_only() -> None:
    harness = FeedHarness()
    harness.cluster.apply_fleet(make_fleet(make_box('x')), harness.clock.now)
    harness.clock.now += 1.5
    assert harness.ask().loads is not None
    (other_ask,) = (ask for node, ask in harness.links.sent if node == 'c')
    assert other_ask.loads is None
    harness.feed.on_received(PeerLinks.Received(NodeId('c'), other_ask))
    assert not harness.loads.list_nodes()


def test_boxes_and_loads_are_sent_only_on_request() -> None:
    harness = FeedHarness(hall=OTHER_HALL)
    harness.cluster.apply_fleet(make_fleet(make_box('x')), harness.clock.now)
    ask = FeedRequest(1, 0, 0, 0, hall=OTHER_HALL, wants_boxes=False)
    harness.feed.on_received(PeerLinks.Received(NodeId('b'), ask))
    ask_for_boxes = msgspec.structs.replace(ask, wants_boxes=True)
    harness.feed.on_received(PeerLinks.Received(NodeId('b'), ask_for_boxes))
    without_boxes, with_boxes = (
        message for _node, message in harness.links.sent
    )
    assert (
        without_boxes.boxes,
        without_boxes.gone,
        without_boxes.is_whole,
    ) == ((), (), False)
    assert [box.box for box in with_boxes.boxes] == ['x']


def test_node_gets_newer_routes_from_its_reader() -> None:
    """Guards against each node reading every new version from the platform.

    Load: 71 nodes and eleven versions of the routes within ten seconds.
    """
    harness = FeedHarness()
    harness.cluster.apply_routes(RouteTable(6))
    harness.cluster.confirm_routes(harness.clock.now)
    ask = harness.ask()
    assert ask.wants_routes
    harness.answer(ask, routes=RouteTable(7))
    assert harness.cluster.index.table.version == 7
    assert not harness.feed.needs_routes(harness.clock.now)


def test_node_reads_newer_routes_that_its_reader_does_not_send() -> None:
    """The reader answers, but its routes are not the newest."""
    harness = FeedHarness()
    harness.cluster.apply_routes(RouteTable(6))
    harness.cluster.confirm_routes(harness.clock.now)
    harness.answer(harness.ask())
    assert not harness.feed.needs_routes(harness.clock.now)
    harness.clock.now += 0.8
    harness.cluster.confirm_routes(harness.clock.now)
    assert harness.feed.needs_routes(harness.clock.now)
    harness.answer(harness.ask(), routes=RouteTable(7))
    assert not harness.feed.needs_routes(harness.clock.now)


def probe(harness: FeedHarness, *asks: FeedRequest) -> list[FeedAnswer]:
    """Deliver queries that ask for a probe; return the node's answers."""

    async def play() -> None:
        for ask in asks:
            harness.feed.on_received(PeerLinks.Received(NodeId('b'), ask))
        while len(harness.links.sent) < len(asks):
            await asyncio.sleep(0)

    asyncio.run(play())
    assert harness.platform.calls == 1
    return [answer for _node, answer in harness.links.sent]


def make_probe_ask(number: int = 1) -> FeedRequest:
    return FeedRequest(
        number, 0, 0, 0, loads=None, wants_boxes=False, probes_store=True
    )


def test_a_peer_calls_the_store_before_it_answers_a_probe() -> None:
    (answer,) = probe(FeedHarness(), make_probe_ask(4))
    assert (answer.number, answer.reached_store) == (4, True)


def test_concurrent_probes_share_a_call() -> None:
    answers = probe(FeedHarness(), *map(make_probe_ask, (1, 2, 3)))
    assert [answer.number for answer in answers] == [1, 2, 3]
    assert all(answer.reached_store for answer in answers)


def test_a_failed_call_is_reported_as_such() -> None:
    harness = FeedHarness()
    harness.platform.answer = Failure(PlatformFault.REFUSED)
    (answer,) = probe(harness, make_probe_ask())
    assert not answer.reached_store


def test_a_call_that_is_answered_late_is_no_evidence(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It may have waited for the end of an outage."""
    monkeypatch.setattr(store_probe, 'PROBE_SECONDS', 0.001)
    harness = FeedHarness()
    harness.platform.unblocked.clear()
    (answer,) = probe(harness, make_probe_ask())
    assert not answer.reached_store


def test_peers_are_asked_by_turns() -> None:
    harness = FeedHarness()
    harness.links.peers = {NodeId(name) for name in 'bcdef'}
    for _turn in range(3):
        harness.feed.request_probes()
    assert {node for node, _ask in harness.links.sent} == harness.links.peers
    assert all(
        ask.probes_store and not ask.wants_boxes
        for _node, ask in harness.links.sent
    )


def test_a_peer_that_reached_the_store_is_a_witness() -> None:
    harness = FeedHarness()
    harness.cluster.outage.record_success(harness.clock.now)
    harness.cluster.outage.record_failure()
    for is_reached in (False, True):
        harness.clock.now += 0.7
        harness.links.sent.clear()
        harness.feed.request_probes()
        ask = harness.links.sent[0][1]
        harness.answer(ask, is_whole=False, reached_store=is_reached)
    harness.clock.now += 0.7
    harness.cluster.outage.record_success(harness.clock.now)
    assert harness.cluster.outage.outage_end == harness.clock.now
    harness.cluster.outage.record_failure()
    for _time in range(3):
        harness.clock.now += 0.7
        harness.links.sent.clear()
        harness.feed.request_probes()
        ask = harness.links.sent[0][1]
        harness.answer(ask, is_whole=False, reached_store=True)
    harness.cluster.outage.record_success(harness.clock.now)
    assert harness.cluster.outage.outage_end < harness.clock.now


def test_a_node_without_peers_asks_nobody() -> None:
    harness = FeedHarness()
    harness.links.peers = set()
    harness.feed.request_probes()
    assert not harness.links.sent
