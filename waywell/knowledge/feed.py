"""The actor that distributes routes and boxes between nodes.

In each data hall one live node, the reader, reads routes and boxes from the
platform; the others query it a few times a second.  An answer carries the age
of the routes and of the box list.  The receiver adds the time since it sent
the query, so that delays in transit never make data look newer than it is.
A node whose data becomes too old reads the platform itself and queries every
peer.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING

import msgspec

from waywell.connection.peer import (
    BoxLoad,
    ExpiringBox,
    FeedAnswer,
    FeedRequest,
)
from waywell.ids import NodeId
from waywell.knowledge.box_list_history import BoxListHistory
from waywell.knowledge.readers import HallReaders
from waywell.knowledge.store_probe import StoreProbe
from waywell.membership.links import PeerLinks
from waywell.process.actor import Actor, Message
from waywell.telemetry.events import log_event
from waywell.version.fleet import Fleet

if TYPE_CHECKING:
    from waywell.connection.platform import Platform
    from waywell.knowledge.cluster_view import ClusterView
    from waywell.knowledge.poll_intervals import PollIntervals
    from waywell.membership.gossip import Gossip
    from waywell.process.clock import Clock
    from waywell.request.shared_loads import LoadExchange

MAX_PENDING_QUERIES = 32
"""Maximum number of unanswered queries that are tracked."""

NEWER_ROUTES_ASKS = 2.0
"""Query intervals that a node waits before it reads newer routes itself; the
answer to the first query to its reader should contain them."""

PROBING_PEERS = 2
"""Number of peers that are asked to call the store; several, because some may
have been cut off from it together with this node."""

UNKNOWN_AGE = 1e9
"""Age sent for data that was never known, in seconds."""


class _PeerBoxList(msgspec.Struct, frozen=True):
    """Copy of another node's box list, the base for later changes."""

    node: NodeId = NodeId('')
    """Node that sent the list; empty for none."""

    run: int = 0
    """Incarnation of that node."""

    serial: int = 0
    """Number of the list at that node."""

    fleet: Fleet = Fleet({})
    """Boxes as that node listed them."""


class _PendingQuery(msgspec.Struct, frozen=True):
    """A query that has not been answered."""

    at: float
    """Time at which it was sent, in seconds."""

    base: _PeerBoxList
    """Box list to which changes in the answer apply."""

    wants_boxes: bool = True
    """Whether the answer should contain boxes."""

    probes_store: bool = False
    """Whether the peer is to call the store first."""


class Feed(Actor):
    """Queries the reader of this hall and answers queries of other nodes.

    Parameters
    ----------
    links
        Streams to other nodes.
    gossip
        Membership of nodes.
    cluster
        Routes and boxes in force at this node.
    clock
        Source of the monotonic time.
    loads
        Requests in flight that nodes report to each other.
    intervals
        Query interval and maximum ages of routes and boxes.
    platform
        Store that is called when a peer can't reach it.
    read_after
        Time before which this node does not read the platform, in seconds.
    """

    class Tick(Message, frozen=True):
        """Sent when the next query is due."""

    def __init__(
        self,
        links: PeerLinks,
        gossip: Gossip,
        cluster: ClusterView,
        clock: Clock,
        loads: LoadExchange,
        intervals: PollIntervals,
        platform: Platform,
        read_after: float = 0.0,
    ) -> None:
        """Subscribe to queries and answers."""
        super().__init__('feed')
        self._links = links
        self._gossip = gossip
        self._cluster = cluster
        self._clock = clock
        self._loads = loads
        self._intervals = intervals
        self._read_after = read_after
        self._own_record = gossip.table.own
        self._store_probe = StoreProbe(platform, self._own_record.node)
        self._incarnation = self._own_record.incarnation
        self._serial = 0
        self._pending_queries: OrderedDict[int, _PendingQuery] = OrderedDict()
        self._box_lists = BoxListHistory()
        self._peer_list = _PeerBoxList()
        self._readers = HallReaders(gossip.table)
        self._may_request_boxes = False
        self._newer_since = 0.0
        self.newer_version = 0
        links.subscribe(self, PeerLinks.Opened, FeedRequest, FeedAnswer)

    def start(self) -> None:
        """Start sending queries at regular intervals."""
        super().start()
        self.repeat(self._intervals.ask_interval, self.Tick())

    def is_reader(self) -> bool:
        """Return whether this node is the reader of its hall."""
        return self._readers.own_reader in {None, self._own_record.node}

    def needs_routes(self, now: float) -> bool:
        """Return whether this node has to read the routes itself."""
        if now < self._read_after:
            return False
        if self.is_reader() or self._are_routes_old(now):
            return True
        # Newer routes are known to exist, but no peer has sent them.
        waited = now - self._newer_since
        return (
            self.newer_version > 0
            and waited > NEWER_ROUTES_ASKS * self._intervals.ask_interval
        )

    def needs_boxes(self, now: float) -> bool:
        """Return whether this node has to read the box list itself."""
        if now < self._read_after:
            return False
        return self.is_reader() or self._are_boxes_old(now)

    def request_probes(self) -> None:
        """Ask some peers, by turns, whether they reach the store.

        ``ClusterView.outage`` learns of those that do.
        """
        now = self._clock.read()
        peers = sorted(self._links.list_peers())
        count = min(PROBING_PEERS, len(peers))
        for turn in range(self._serial, self._serial + count):
            self._ask(
                peers[turn % len(peers)],
                now,
                wants_boxes=False,
                probes_store=True,
            )

    def on_tick(self, _tick: Tick) -> None:
        """Query the reader, and all peers if routes or boxes are too old."""
        now = self._clock.read()
        readers = self._readers.choose()
        own_reader = readers.pop(self._own_record.hall)
        if own_reader.node == self._own_record.node:
            # Readers exchange the requests in flight of their halls.
            self._gossip.keep_streams(self.name, tuple(readers.values()))
            peers = {reader.node for reader in readers.values()}
        else:
            self._gossip.keep_streams(self.name, (own_reader,))
            peers = {own_reader.node}
        self._may_request_boxes = self._are_boxes_old(now)
        # A reader reports the requests of its whole hall.
        loads = self._loads.make_report(of_hall=self.is_reader())
        wants_boxes = not self.is_reader()
        for peer in peers:
            self._ask(peer, now, wants_boxes=wants_boxes, loads=loads)
        if self._are_routes_old(now) or self._may_request_boxes:
            self._ask_remaining_peers(peers, now)

    def on_opened(self, opened: PeerLinks.Opened) -> None:
        """Ask a new peer for its version while this node is not ready."""
        if not self._cluster.gate.is_open:
            now = self._clock.read()
            self._ask(opened.record.node, now, wants_boxes=False)

    def on_received(self, received: PeerLinks.Received) -> None:
        """Answer a query, or apply an answer."""
        self._cluster.eras.observe_peer(received.message.era)
        if isinstance(received.message, FeedRequest):
            self._answer(received.node, received.message)
        else:
            self._apply_answer(received.node, received.message)

    def dump(self) -> dict[str, object]:
        """Return the state as plain values."""
        return {
            **super().dump(),
            'reader': self._readers.own_reader,
            'followed': self._peer_list,
            'serial': self._cluster.fleet_serial,
        }

    def _ask_remaining_peers(self, asked: set[NodeId], now: float) -> None:
        """Query all remaining peers for the ages of their routes and boxes.

        Box lists are not requested: full lists from all peers would saturate
        a narrow link throughout an outage of the platform.  A list of 760
        boxes has about 140 KB; from seven peers every 0.35 s that is 2.8 MB/s,
        more than a link of 2.5 MB/s can carry.
        """
        for peer in self._links.list_peers() - asked:
            self._ask(peer, now, wants_boxes=False)

    def _are_routes_old(self, now: float) -> bool:
        """Return whether the last confirmation of the routes is too old."""
        return (
            self._cluster.get_routes_age(now) > self._intervals.route_max_age
        )

    def _are_boxes_old(self, now: float) -> bool:
        """Return whether the last confirmation of the box list is too old."""
        return self._cluster.get_boxes_age(now) > self._intervals.box_max_age

    def _ask(
        self,
        peer: NodeId,
        now: float,
        *,
        wants_boxes: bool,
        loads: tuple[BoxLoad, ...] | None = None,
        probes_store: bool = False,
    ) -> None:
        self._serial += 1
        # Ask the reader for newer routes in every query, so that followers
        # need not call the platform for each version.
        is_own_reader = peer == self._readers.own_reader
        base = (
            self._peer_list if self._peer_list.node == peer else _PeerBoxList()
        )
        self._pending_queries[self._serial] = _PendingQuery(
            now, base, wants_boxes, probes_store
        )
        while len(self._pending_queries) > MAX_PENDING_QUERIES:
            self._pending_queries.popitem(last=False)
        ask = FeedRequest(
            self._serial,
            self._cluster.index.table.version,
            base.run,
            base.serial,
            wants_routes=self.newer_version > 0 or is_own_reader,
            hall=self._own_record.hall,
            loads=loads,
            wants_boxes=wants_boxes,
            era=self._cluster.eras.current,
            probes_store=probes_store,
        )
        self._links.send(peer, ask)

    async def _answer_probe(self, peer: NodeId, ask: FeedRequest) -> None:
        """Answer a query after a call to the store."""
        is_reached = await self._store_probe.run()
        answer = self._make_answer(peer, ask, self._clock.read())
        self._links.send(
            peer, msgspec.structs.replace(answer, reached_store=is_reached)
        )

    def _answer(self, peer: NodeId, ask: FeedRequest) -> None:
        if ask.probes_store:
            self.spawn(self._answer_probe(peer, ask))
            return
        now = self._clock.read()
        self._record_loads(peer, ask, now)
        self._box_lists.add(self._cluster.fleet, self._cluster.fleet_serial)
        self._links.send(peer, self._make_answer(peer, ask, now))

    def _make_answer(
        self,
        peer: NodeId,
        ask: FeedRequest,
        now: float,
    ) -> FeedAnswer:
        """Return the answer to a query, with routes and boxes if requested."""
        table = self._cluster.index.table
        answer = FeedAnswer(
            number=ask.number,
            version=table.version,
            routes_age=_bound_age(self._cluster.get_routes_age(now)),
            incarnation=self._incarnation,
            serial=self._cluster.fleet_serial,
            boxes_age=_bound_age(self._cluster.get_boxes_age(now)),
            is_whole=False,
            routes=table if ask.wants_newer(table.version) else None,
            era=self._cluster.eras.current,
        )
        if ask.wants_boxes:
            return self._add_boxes(answer, peer, ask)
        return answer

    def _add_boxes(
        self,
        answer: FeedAnswer,
        peer: NodeId,
        ask: FeedRequest,
    ) -> FeedAnswer:
        """Return the answer with boxes and requests in flight added.

        Boxes are sent as changes if the list that the peer holds is kept
        here, else as a full list.
        """
        is_kept = (
            ask.incarnation == self._incarnation
            and ask.serial in self._box_lists
        )
        base = ask.serial if is_kept else None
        delta = self._box_lists.find_delta(base)
        now = self._clock.read()
        return msgspec.structs.replace(
            answer,
            is_whole=base is None,
            boxes=delta.boxes,
            gone=delta.gone,
            loads=self._loads.make_report_for(peer),
            expiring=tuple(
                ExpiringBox(name, until - now)
                for name, until in self._cluster.expiries.items()
            ),
        )

    def _record_loads(
        self, peer: NodeId, ask: FeedRequest, now: float
    ) -> None:
        if ask.loads is None:
            return
        if ask.hall == self._own_record.hall:
            self._loads.add_follower(peer)
        self._loads.record(peer, ask.loads, now)

    def _apply_answer(self, peer: NodeId, answer: FeedAnswer) -> None:
        pending_query = self._pending_queries.pop(answer.number, None)
        if pending_query is None:
            return
        self._apply_routes(peer, answer, pending_query.at)
        if pending_query.probes_store:
            log_event('store_probed', peer=peer, reached=answer.reached_store)
        if answer.reached_store:
            now = self._clock.read()
            self._cluster.outage.record_sighting(pending_query.at, now)
        if pending_query.wants_boxes:
            if peer == self._readers.own_reader:
                self._loads.record(peer, answer.loads, self._clock.read())
            self._apply_boxes(peer, answer, pending_query)
        else:
            self._request_newer_boxes(peer, answer)

    def _request_newer_boxes(self, peer: NodeId, answer: FeedAnswer) -> None:
        """Request a peer's box list if it is considerably newer.

        Only one peer is asked at each tick, since any newer list will do.
        """
        now = self._clock.read()
        age_difference = self._cluster.get_boxes_age(now) - answer.boxes_age
        if (
            self._may_request_boxes
            and age_difference > self._intervals.max_age_difference
        ):
            self._may_request_boxes = False
            self._ask(peer, now, wants_boxes=True)

    def _apply_routes(
        self,
        peer: NodeId,
        answer: FeedAnswer,
        asked_at: float,
    ) -> None:
        if answer.routes is not None:
            self._cluster.apply_routes(answer.routes)
        self._cluster.observe_version(answer.version)
        own = self._cluster.index.table.version
        if answer.version > own:
            self._record_newer_version(peer, answer.version)
        elif own >= self.newer_version:
            self.newer_version = 0
        if answer.version == own and own:
            self._cluster.confirm_routes(asked_at - answer.routes_age)
        record = self._gossip.table.find(peer)
        is_ready = record is not None and record.configuration > 0
        self._cluster.gate.record_answer(peer, is_ready=is_ready)

    def _record_newer_version(self, peer: NodeId, version: int) -> None:
        """Record a newer version; request it while this node is not ready."""
        now = self._clock.read()
        if not self.newer_version:
            self._newer_since = now
        is_newest = version > self.newer_version
        self.newer_version = version
        if is_newest and not self._cluster.gate.is_open:
            self._ask(peer, now, wants_boxes=False)

    def _apply_boxes(
        self,
        peer: NodeId,
        answer: FeedAnswer,
        pending_query: _PendingQuery,
    ) -> None:
        """Apply a peer's box list, or its changes to the list held here."""
        base = pending_query.base
        if not answer.is_whole and base.run != answer.incarnation:
            return
        fleet = base.fleet
        if answer.is_whole or answer.boxes or answer.gone:
            fleet = _apply_box_changes(base.fleet, answer)
        self._peer_list = _PeerBoxList(
            peer, answer.incarnation, answer.serial, fleet
        )
        seen_at = pending_query.at - answer.boxes_age
        known = self._cluster.fleet.boxes.keys()
        # The time in transit is unknown, so it counts in full.
        expiries = {
            expiring.box: pending_query.at + expiring.seconds
            for expiring in answer.expiring
        }
        self._cluster.update_fleet(
            fleet, seen_at, self._clock.read(), expiries
        )
        boxes = self._cluster.fleet.boxes.keys()
        if boxes != known:
            log_event(
                'boxes_followed',
                peer=peer,
                age=answer.boxes_age,
                gone=','.join(sorted(known - boxes)),
                new=','.join(sorted(boxes - known)),
            )


def _apply_box_changes(base: Fleet, answer: FeedAnswer) -> Fleet:
    """Return the box list that results from an answer."""
    boxes = {} if answer.is_whole else dict(base.boxes)
    boxes.update({box.box: box for box in answer.boxes})
    for name in answer.gone:
        boxes.pop(name, None)
    return Fleet(boxes)


def _bound_age(age: float) -> float:
    """Return an age as a finite number, which every codec can encode."""
    return age if math.isfinite(age) else UNKNOWN_AGE
