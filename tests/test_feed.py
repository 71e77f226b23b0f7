"""Who reads the platform for a data hall."""

from __future__ import annotations

import msgspec

from tests.boxes import make_box, make_fleet
from tests.held_clock import HeldClock
from tests.test_membership import make_record
from waywell.connection.peer import FeedAnswer, FeedAsk
from waywell.ids import HallName, NodeId
from waywell.knowledge.feed import Feed
from waywell.knowledge.outlook import Outlook
from waywell.knowledge.paces import make_paces
from waywell.knowledge.readers import pick_reader
from waywell.membership.links import PeerLinks
from waywell.membership.membership import MembershipTable, NodeRecord
from waywell.process.front_settings import PromiseSettings
from waywell.request.replica_table import ReplicaTable
from waywell.request.shared_loads import SharedLoads
from waywell.version.routes import RouteTable

HALL = HallName('h')
FAR = HallName('far')


def test_the_reader_does_not_depend_on_the_order() -> None:
    records = [make_record(name) for name in 'abcdef']
    assert pick_reader(HALL, records) == pick_reader(HALL, records[::-1])


def test_a_node_with_a_wide_link_reads_before_all_others() -> None:
    records = [make_record(name) for name in 'abcdef']
    for place, record in enumerate(records):
        wide = msgspec.structs.replace(record, link_mbps=200)
        others = records[:place] + records[place + 1 :]
        assert pick_reader(HALL, [*others, wide]) == wide


class _Links:
    def __init__(self) -> None:
        self.sent: list[tuple[NodeId, object]] = []

    def subscribe(self, *_words: object) -> None:
        """Take no subscriber."""

    def list_peers(self) -> set[NodeId]:
        return {NodeId('b'), NodeId('c')}

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
        """Keep no stream."""


class Bench:
    """A node whose hall is read by node b, or another than b's."""

    def __init__(self, reads_from: float = 0.0, hall: str = HALL) -> None:
        self.clock = HeldClock()
        self.links = _Links()
        self.outlook = Outlook(PromiseSettings())
        reader = msgspec.structs.replace(
            make_record('b'), link_mbps=100, hall=HallName(hall)
        )
        self.feed = Feed(
            self.links,
            _Gossip(make_record('a'), reader),
            self.outlook,
            self.clock,
            ReplicaTable(),
            SharedLoads(),
            make_paces(PromiseSettings()),
            reads_from,
        )

    def ask(self) -> FeedAsk:
        self.links.sent.clear()
        self.feed.on_tick(Feed.Tick())
        asks = [ask for node, ask in self.links.sent if node == 'b']
        assert len(asks) == 1
        return asks[0]

    def answer(self, ask: FeedAsk, **changes: object) -> None:
        answer = FeedAnswer(
            ask=ask.ask,
            version=7,
            routes_age=0.5,
            run=1,
            serial=3,
            boxes_age=0.4,
            is_whole=True,
        )
        answer = msgspec.structs.replace(answer, **changes)
        self.feed.on_received(PeerLinks.Received(NodeId('b'), answer))

    def get_ages(self) -> tuple[float, float]:
        now = self.clock.now
        return (
            self.outlook.get_routes_age(now),
            self.outlook.get_boxes_age(now),
        )


def test_ages_count_from_the_question_however_long_its_answer_took() -> None:
    bench = Bench()
    bench.outlook.take_routes(RouteTable(7))
    ask = bench.ask()
    # The answer lies in a buffer, or this process stands still.
    bench.clock.now += 3.0
    bench.answer(ask, boxes=(make_box('x'),))
    assert bench.get_ages() == (3.5, 3.4)


def test_an_answer_about_another_version_confirms_nothing() -> None:
    bench = Bench()
    bench.outlook.take_routes(RouteTable(6))
    bench.outlook.confirm_routes(98.0)
    bench.answer(bench.ask())
    assert bench.get_ages()[0] == 2.0
    assert bench.feed.behind_version == 7
    assert bench.ask().wants_routes
    bench.answer(bench.ask(), routes=RouteTable(7))
    assert bench.outlook.index.table.version == 7
    assert bench.feed.behind_version == 0


def test_an_older_box_list_never_replaces_a_newer_one() -> None:
    bench = Bench()
    late = bench.ask()
    bench.clock.now += 1.0
    bench.answer(bench.ask(), boxes=(make_box('new'),))
    bench.answer(late, boxes=(make_box('old'),))
    assert set(bench.outlook.fleet.boxes) == {'new'}


def test_changes_are_applied_to_the_list_that_was_asked_with() -> None:
    bench = Bench()
    bench.answer(bench.ask(), boxes=(make_box('x'), make_box('y')))
    bench.clock.now += 0.3
    bench.answer(
        bench.ask(),
        serial=4,
        is_whole=False,
        boxes=(make_box('z'),),
        gone=('x',),
    )
    assert set(bench.outlook.fleet.boxes) == {'y', 'z'}
    # The answerer was restarted: its changes are to a list never seen here.
    bench.clock.now += 0.3
    bench.answer(bench.ask(), run=2, is_whole=False, gone=('y',))
    assert set(bench.outlook.fleet.boxes) == {'y', 'z'}


def test_a_question_is_answered_once_only() -> None:
    bench = Bench()
    bench.outlook.take_routes(RouteTable(7))
    ask = bench.ask()
    bench.answer(ask)
    bench.clock.now += 2.0
    bench.answer(ask, routes_age=0.0)
    assert bench.get_ages()[0] == 2.5


def test_a_node_reads_by_itself_when_its_reader_tells_old_news() -> None:
    bench = Bench()
    bench.outlook.take_routes(RouteTable(7))
    bench.answer(bench.ask(), boxes=(make_box('x'),))
    now = bench.clock.now
    assert not bench.feed.needs_routes(now)
    assert not bench.feed.needs_boxes(now)
    bench.clock.now = now = now + 1.5
    assert bench.feed.needs_routes(now)
    assert bench.feed.needs_boxes(now)
    bench.links.sent.clear()
    bench.feed.on_tick(Feed.Tick())
    assert {node for node, _ask in bench.links.sent} == {'b', 'c'}


def test_at_the_first_start_a_node_lets_others_read_for_a_while() -> None:
    bench = Bench(reads_from=102.0)
    assert not bench.feed.needs_boxes(101.9)
    assert not bench.feed.needs_routes(101.9)
    assert bench.feed.needs_boxes(102.0)
    assert bench.feed.needs_routes(102.0)


def test_a_reader_that_reaches_the_platform_asks_for_no_boxes() -> None:
    bench = Bench(hall=FAR)
    bench.outlook.take_fleet(make_fleet(make_box('x')), bench.clock.now)
    bench.outlook.confirm_routes(bench.clock.now)
    ask = bench.ask()
    assert not ask.wants_boxes
    bench.answer(ask, boxes=(make_box('y'),), boxes_age=0.0)
    assert set(bench.outlook.fleet.boxes) == {'x'}


def test_a_reader_that_is_cut_off_takes_the_boxes_of_others() -> None:
    bench = Bench(hall=FAR)
    bench.outlook.take_fleet(make_fleet(make_box('x')), bench.clock.now)
    bench.clock.now += 1.5
    ask = bench.ask()
    # Ages first: only one of those that know more is asked for its list.
    assert not ask.wants_boxes
    bench.links.sent.clear()
    bench.answer(ask, is_whole=False)
    (peer, fetch) = bench.links.sent[0]
    assert (peer, fetch.wants_boxes) == ('b', True)
    bench.answer(fetch, boxes=(make_box('y'),))
    assert set(bench.outlook.fleet.boxes) == {'y'}


def test_no_box_lists_are_asked_for_while_all_lost_the_platform() -> None:
    """The store is away for all; each node's list is old by the same.

    Every node asked all its peers for whole lists three times a second: at 760
    boxes 2.8 MB/s from seven peers, over links of 2.5 MB/s.
    """
    bench = Bench(hall=FAR)
    bench.outlook.take_fleet(make_fleet(make_box('x')), bench.clock.now)
    for _ in range(10):
        bench.clock.now += 0.7
        ask = bench.ask()
        age = bench.outlook.get_boxes_age(bench.clock.now)
        bench.answer(ask, is_whole=False, boxes_age=age - 0.6)
        asks = [message for _node, message in bench.links.sent]
        assert not any(one.wants_boxes for one in asks)


def test_one_peer_is_asked_for_its_newer_list_at_a_time() -> None:
    bench = Bench(hall=FAR)
    bench.outlook.take_fleet(make_fleet(make_box('x')), bench.clock.now)
    bench.clock.now += 1.5
    first = bench.ask()
    (other,) = (ask for node, ask in bench.links.sent if node == 'c')
    bench.links.sent.clear()
    bench.answer(first, is_whole=False)
    bench.answer(other, is_whole=False)
    assert len(bench.links.sent) == 1


def test_only_readers_are_told_of_requests_in_flight() -> None:
    bench = Bench()
    bench.outlook.take_fleet(make_fleet(make_box('x')), bench.clock.now)
    bench.clock.now += 1.5
    assert bench.ask().loads is not None
    (other,) = (ask for node, ask in bench.links.sent if node == 'c')
    assert other.loads is None
    bench.feed.on_received(PeerLinks.Received(NodeId('c'), other))
    assert not bench.feed._loads.list_nodes()


def test_boxes_and_loads_are_told_only_to_those_who_want_them() -> None:
    bench = Bench(hall=FAR)
    bench.outlook.take_fleet(make_fleet(make_box('x')), bench.clock.now)
    ask = FeedAsk(1, 0, 0, 0, hall=FAR, wants_boxes=False)
    bench.feed.on_received(PeerLinks.Received(NodeId('b'), ask))
    asked = msgspec.structs.replace(ask, wants_boxes=True)
    bench.feed.on_received(PeerLinks.Received(NodeId('b'), asked))
    lean, full = (message for _node, message in bench.links.sent)
    assert (lean.boxes, lean.gone, lean.is_whole) == ((), (), False)
    assert [box.box for box in full.boxes] == ['x']


def test_a_node_takes_newer_routes_from_its_reader() -> None:
    """Load: 71 nodes and eleven versions of the routes within ten seconds.

    Each node read each version from the platform as soon as it heard of it.
    """
    bench = Bench()
    bench.outlook.take_routes(RouteTable(6))
    bench.outlook.confirm_routes(bench.clock.now)
    ask = bench.ask()
    assert ask.wants_routes
    bench.answer(ask, routes=RouteTable(7))
    assert bench.outlook.index.table.version == 7
    assert not bench.feed.needs_routes(bench.clock.now)


def test_a_node_whose_reader_sends_no_newer_routes_reads_them() -> None:
    """The reader lives and answers, and its routes are not the newest."""
    bench = Bench()
    bench.outlook.take_routes(RouteTable(6))
    bench.outlook.confirm_routes(bench.clock.now)
    bench.answer(bench.ask())
    assert not bench.feed.needs_routes(bench.clock.now)
    bench.clock.now += 0.8
    bench.outlook.confirm_routes(bench.clock.now)
    assert bench.feed.needs_routes(bench.clock.now)
    bench.answer(bench.ask(), routes=RouteTable(7))
    assert not bench.feed.needs_routes(bench.clock.now)
