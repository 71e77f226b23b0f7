"""The task that lets few nodes read the platform for the others.

In each data hall one node, chosen by a hash from the live ones, reads routes
and boxes; the others ask it a few times a second.  An answer tells how old
each piece of knowledge is; its age counts from when the question was sent, so
a message that waited somewhere never looks newer than it is.  A node whose
knowledge grows old reads by itself and asks every peer.
"""

from __future__ import annotations

import math
from collections import Counter, OrderedDict
from typing import TYPE_CHECKING

import msgspec

from waywell.connection.peer import BoxLoad, FeedAnswer, FeedAsk
from waywell.ids import NodeId
from waywell.knowledge.box_lists import BoxLists
from waywell.knowledge.readers import HallReaders
from waywell.membership.links import PeerLinks
from waywell.process.actor import Actor, Message
from waywell.version.fleet import BoxLife, Fleet

if TYPE_CHECKING:
    from collections.abc import Mapping

    from waywell.knowledge.outlook import Outlook
    from waywell.knowledge.paces import Paces
    from waywell.membership.gossip import Gossip
    from waywell.process.clock import Clock
    from waywell.request.replica_table import ReplicaTable
    from waywell.request.shared_loads import SharedLoads

MOST_OPEN = 32
"""Questions without an answer that are remembered."""

BEHIND_ASKS = 2.0
"""Questions to the reader that a node which knows of newer routes waits for
before it reads them itself; the answer to the first one should bring them."""

UNKNOWN_AGE = 1e9
"""Age of what was never known, in seconds."""


class _Followed(msgspec.Struct, frozen=True):
    """A box list of another node that is held here."""

    node: NodeId = NodeId('')
    """Whose it is."""

    run: int = 0
    """Incarnation of that node."""

    serial: int = 0
    """Its number there."""

    fleet: Fleet = Fleet({})
    """The list."""


class _Asked(msgspec.Struct, frozen=True):
    """A question that is open."""

    at: float
    """When it was sent, in seconds."""

    base: _Followed
    """What its answer may tell changes from."""

    wants_boxes: bool = True
    """Whether the answer should tell boxes."""


class Feed(Actor):
    """Asks the reader of this hall, and answers others.

    Parameters
    ----------
    links
        Streams to other nodes.
    gossip
        Membership.
    outlook
        What this node knows.
    clock
        Where the time is read.
    book
        This node's requests in flight.
    loads
        What other nodes tell of theirs.
    paces
        How often to ask, and how old an answer may be.
    reads_from
        Moment before which this node reads nothing itself, in seconds.
    """

    class Tick(Message, frozen=True):
        """A question is due."""

    def __init__(
        self,
        links: PeerLinks,
        gossip: Gossip,
        outlook: Outlook,
        clock: Clock,
        book: ReplicaTable,
        loads: SharedLoads,
        paces: Paces,
        reads_from: float = 0.0,
    ) -> None:
        """Know no reader yet."""
        super().__init__('feed')
        self._links = links
        self._gossip = gossip
        self._outlook = outlook
        self._clock = clock
        self._book = book
        self._loads = loads
        self._paces = paces
        self._reads_from = reads_from
        self._own = gossip.table.own
        self._incarnation = self._own.incarnation
        self._serial = 0
        self._asked: OrderedDict[int, _Asked] = OrderedDict()
        self._lists = BoxLists()
        self._followed = _Followed()
        self._followers: set[NodeId] = set()
        self._readers = HallReaders(gossip.table)
        self._may_fetch = False
        self._behind_since = 0.0
        self.behind_version = 0
        links.subscribe(self, PeerLinks.Opened, FeedAsk, FeedAnswer)

    def start(self) -> None:
        """Begin to ask."""
        super().start()
        self.repeat(self._paces.ask, self.Tick())

    def is_reader(self) -> bool:
        """Answer whether this node reads for its hall."""
        return self._readers.own in {None, self._own.node}

    def needs_routes(self, now: float) -> bool:
        """Answer whether this node has to read the routes itself."""
        if now < self._reads_from:
            return False
        if self.is_reader() or self._are_routes_old(now):
            return True
        # Nobody has sent the newer routes that there are.
        waited = now - self._behind_since
        return (
            self.behind_version > 0 and waited > BEHIND_ASKS * self._paces.ask
        )

    def needs_boxes(self, now: float) -> bool:
        """Answer whether this node has to read the box list itself."""
        if now < self._reads_from:
            return False
        return self.is_reader() or self._are_boxes_old(now)

    def on_tick(self, _tick: Tick) -> None:
        """Ask the reader, or everyone when what is known grows old."""
        now = self._clock.read()
        readers = self._readers.choose()
        own_reader = readers.pop(self._own.hall)
        if own_reader.node == self._own.node:
            # Readers tell each other the loads of their halls.
            self._gossip.keep_streams(self.name, tuple(readers.values()))
            peers = {reader.node for reader in readers.values()}
        else:
            self._gossip.keep_streams(self.name, (own_reader,))
            peers = {own_reader.node}
        self._may_fetch = self._are_boxes_old(now)
        loads = self._list_loads()
        wants_boxes = not self.is_reader()
        for peer in peers:
            self._ask(peer, now, wants_boxes=wants_boxes, loads=loads)
        if self._are_routes_old(now) or self._may_fetch:
            self._ask_everyone_else(peers, now)

    def on_opened(self, opened: PeerLinks.Opened) -> None:
        """Ask a new peer for its version, before this node is ready."""
        if not self._outlook.gate.is_open:
            now = self._clock.read()
            self._ask(opened.record.node, now, wants_boxes=False)

    def on_received(self, received: PeerLinks.Received) -> None:
        """Answer a question, or take in an answer."""
        self._outlook.eras.observe_peer(received.message.era)
        if isinstance(received.message, FeedAsk):
            self._answer(received.node, received.message)
        else:
            self._take(received.node, received.message)

    def dump(self) -> dict[str, object]:
        """Return the state as plain values."""
        return {
            **super().dump(),
            'reader': self._readers.own,
            'followed': self._followed,
            'serial': self._outlook.fleet_serial,
        }

    def _ask_everyone_else(self, asked: set[NodeId], now: float) -> None:
        """Ask all other peers how old their knowledge is.

        Whole lists from all at once would fill a narrow link for as long as
        the platform is away: 760 boxes are some 140 KB, from seven peers each
        0.35 s 2.8 MB/s, over a link of 2.5 MB/s.
        """
        for peer in self._links.list_peers() - asked:
            self._ask(peer, now, wants_boxes=False)

    def _are_routes_old(self, now: float) -> bool:
        """Answer whether the routes were not confirmed for too long."""
        return self._outlook.get_routes_age(now) > self._paces.route_fed

    def _are_boxes_old(self, now: float) -> bool:
        """Answer whether the box list was not confirmed for too long."""
        return self._outlook.get_boxes_age(now) > self._paces.box_fed

    def _list_loads(self) -> tuple[BoxLoad, ...]:
        """Return the requests in flight that this node tells others of.

        A reader tells those of its hall.
        """
        loads = Counter(self._book.list_loads())
        if self.is_reader():
            others = self._loads.list_nodes() - self._followers
            loads.update(self._loads.sum_loads(others))
        return _encode_loads(loads)

    def _ask(
        self,
        peer: NodeId,
        now: float,
        *,
        wants_boxes: bool,
        loads: tuple[BoxLoad, ...] | None = None,
    ) -> None:
        self._serial += 1
        # The reader sends newer routes with its first answer about them, so
        # that followers need not call the platform for each version.
        follows = peer == self._readers.own
        base = self._followed if self._followed.node == peer else _Followed()
        self._asked[self._serial] = _Asked(now, base, wants_boxes)
        while len(self._asked) > MOST_OPEN:
            self._asked.popitem(last=False)
        ask = FeedAsk(
            self._serial,
            self._outlook.index.table.version,
            base.run,
            base.serial,
            wants_routes=self.behind_version > 0 or follows,
            hall=self._own.hall,
            loads=loads,
            wants_boxes=wants_boxes,
            era=self._outlook.eras.current,
        )
        self._links.send(peer, ask)

    def _answer(self, peer: NodeId, ask: FeedAsk) -> None:
        now = self._clock.read()
        self._take_loads(peer, ask, now)
        self._lists.remember(self._outlook.fleet, self._outlook.fleet_serial)
        self._links.send(peer, self._make_answer(peer, ask, now))

    def _make_answer(
        self,
        peer: NodeId,
        ask: FeedAsk,
        now: float,
    ) -> FeedAnswer:
        """Return what is known here, as changes where the peer can follow."""
        table = self._outlook.index.table
        answer = FeedAnswer(
            ask=ask.ask,
            version=table.version,
            routes_age=_bound(self._outlook.get_routes_age(now)),
            run=self._incarnation,
            serial=self._outlook.fleet_serial,
            boxes_age=_bound(self._outlook.get_boxes_age(now)),
            is_whole=False,
            routes=table if ask.wants_newer(table.version) else None,
            era=self._outlook.eras.current,
        )
        if ask.wants_boxes:
            return self._add_boxes(answer, peer, ask)
        return answer

    def _add_boxes(
        self,
        answer: FeedAnswer,
        peer: NodeId,
        ask: FeedAsk,
    ) -> FeedAnswer:
        """Return an answer that tells boxes and their loads as well."""
        is_kept = ask.run == self._incarnation and ask.serial in self._lists
        base = ask.serial if is_kept else None
        delta = self._lists.find_delta(base)
        return msgspec.structs.replace(
            answer,
            is_whole=base is None,
            boxes=delta.boxes,
            gone=delta.gone,
            loads=self._list_loads_but(peer),
        )

    def _take_loads(self, peer: NodeId, ask: FeedAsk, now: float) -> None:
        if ask.loads is None:
            return
        if ask.hall == self._own.hall:
            self._followers.add(peer)
        self._loads.update(peer, _decode_loads(ask.loads), now)

    def _list_loads_but(self, peer: NodeId) -> tuple[BoxLoad, ...]:
        """Return all requests in flight but those that a node tells of."""
        loads = Counter(self._book.list_loads())
        loads.update(self._loads.sum_loads((peer,)))
        return _encode_loads(loads)

    def _take(self, peer: NodeId, answer: FeedAnswer) -> None:
        asked = self._asked.pop(answer.ask, None)
        if asked is None:
            return
        self._take_routes(peer, answer, asked.at)
        if peer == self._readers.own:
            loads = _decode_loads(answer.loads)
            self._loads.update(peer, loads, self._clock.read())
        if asked.wants_boxes:
            self._take_boxes(peer, answer, asked)
        else:
            self._fetch_newer(peer, answer)

    def _fetch_newer(self, peer: NodeId, answer: FeedAnswer) -> None:
        """Ask a peer for its box list where this node's is older by much.

        One peer at each tick: any list that is newer is as good.
        """
        now = self._clock.read()
        newer = self._outlook.get_boxes_age(now) - answer.boxes_age
        if self._may_fetch and newer > self._paces.told_apart:
            self._may_fetch = False
            self._ask(peer, now, wants_boxes=True)

    def _take_routes(
        self,
        peer: NodeId,
        answer: FeedAnswer,
        asked_at: float,
    ) -> None:
        if answer.routes is not None:
            self._outlook.take_routes(answer.routes)
        self._outlook.observe_version(answer.version)
        own = self._outlook.index.table.version
        if answer.version > own:
            self._note_behind(peer, answer.version)
        elif own >= self.behind_version:
            self.behind_version = 0
        if answer.version == own and own:
            self._outlook.confirm_routes(asked_at - answer.routes_age)
        record = self._gossip.table.find(peer)
        is_ready = record is not None and record.configuration > 0
        self._outlook.gate.record_answer(peer, is_ready=is_ready)

    def _note_behind(self, peer: NodeId, version: int) -> None:
        """Record a later version; before this node is ready, ask for it."""
        now = self._clock.read()
        if not self.behind_version:
            self._behind_since = now
        is_news = version > self.behind_version
        self.behind_version = version
        if is_news and not self._outlook.gate.is_open:
            self._ask(peer, now, wants_boxes=False)

    def _take_boxes(
        self,
        peer: NodeId,
        answer: FeedAnswer,
        asked: _Asked,
    ) -> None:
        """Take in a newer box list."""
        base = asked.base
        if not answer.is_whole and base.run != answer.run:
            return
        fleet = base.fleet
        if answer.is_whole or answer.boxes or answer.gone:
            fleet = _apply(base.fleet, answer)
        self._followed = _Followed(peer, answer.run, answer.serial, fleet)
        seen_at = asked.at - answer.boxes_age
        self._outlook.update_fleet(fleet, seen_at, self._clock.read())


def _apply(base: Fleet, answer: FeedAnswer) -> Fleet:
    """Return the list that an answer tells."""
    boxes = {} if answer.is_whole else dict(base.boxes)
    boxes.update({box.box: box for box in answer.boxes})
    for name in answer.gone:
        boxes.pop(name, None)
    return Fleet(boxes)


def _bound(age: float) -> float:
    """Return an age as a number that every codec can carry."""
    return age if math.isfinite(age) else UNKNOWN_AGE


def _encode_loads(loads: Mapping[BoxLife, int]) -> tuple[BoxLoad, ...]:
    return tuple(
        BoxLoad(life.box, requests, life.incarnation)
        for life, requests in loads.items()
        if requests
    )


def _decode_loads(loads: tuple[BoxLoad, ...]) -> dict[BoxLife, int]:
    return {
        BoxLife(load.box, load.incarnation): load.requests for load in loads
    }
