"""The task that keeps the limits of replicas together with other nodes.

A change of a limit goes to all nodes.  Before a request goes to a replica that
has one, the node asks one of the replica's dealers for a turn; where it gets
none the request goes elsewhere, or is refused at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from waywell.connection.named_limit import NO_LIMIT
from waywell.connection.peer import (
    KnownLimits,
    LimitTold,
    TurnAnswer,
    TurnAsk,
)
from waywell.limits.dealers import DealerChoice, make_view
from waywell.limits.named_limits import LimitWord, NamedLimits
from waywell.limits.turn_asks import TurnAsks
from waywell.limits.turn_bucket import LONGEST_WAIT, SHORTEST_WAIT, Deal
from waywell.limits.turn_dealer import TurnDealer
from waywell.membership.links import PeerLinks
from waywell.process.actor import Actor, Message
from waywell.request.permit_source import (
    MAX_PERMIT_DENIALS,
    Permit,
    PermitSource,
)
from waywell.version.fleet import BoxLife

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence
    from random import Random

    from waywell.ids import HallName, NodeId
    from waywell.membership.gossip import Gossip
    from waywell.process.clock import Clock
    from waywell.version.fleet import Replica
    from waywell.version.lives import EndedLife

TURN_SECONDS = 0.5
"""For which a turn that was dealt may be used, from when it was asked for: a
few times the longest way between halls and a new connection."""

START_SECONDS = 2.0
"""After its start, for which a node deals nothing: it may not have met those
that deal."""


@attrs.define
class _Purse:
    """Turns that were dealt to this node and not used yet."""

    turns: int
    until: float


class Turns(Actor, PermitSource):
    """Tells limits, deals turns and asks for them.

    Parameters
    ----------
    gossip
        Membership.
    links
        Streams to other nodes.
    clock
        Where the time is read.
    random
        Draws the dealer that is asked first.
    is_placed
        Answers whether this node knows of the others, or that there are none.
    """

    class Changed(Message, frozen=True):
        """Limits have changed."""

    def __init__(
        self,
        gossip: Gossip,
        links: PeerLinks,
        clock: Clock,
        random: Random,
        is_placed: Callable[[], bool],
    ) -> None:
        """Know of no limit."""
        super().__init__('turns')
        self.limits = NamedLimits()
        self._dealer = TurnDealer(self.limits)
        self._gossip = gossip
        self._links = links
        self._clock = clock
        self._random = random
        self._is_placed = is_placed
        self._deals_from = clock.read() + START_SECONDS
        self._choice = DealerChoice(make_view(gossip.table, is_placed=False))
        self._is_tending = False
        self._is_due = False
        self._asks = TurnAsks(links)
        self._purses: dict[BoxLife, _Purse] = {}
        self._waits: dict[BoxLife, float] = {}
        links.subscribe(
            self,
            PeerLinks.Opened,
            LimitTold,
            KnownLimits,
            TurnAsk,
            TurnAnswer,
        )

    def tend(self, now: float) -> None:
        """Follow the nodes and the limits of now; forget what is over."""
        self.limits.forget_old(now)
        self._asks.forget_old(now)
        limited = self.limits.list_limited()
        if not limited and not self._is_tending:
            return
        self._is_tending = bool(limited)
        is_placed = now >= self._deals_from and self._is_placed()
        view = make_view(self._gossip.table, is_placed=is_placed)
        if view != self._choice.view:
            self._choice = DealerChoice(view)
        self._dealer.tend(self._choice, now)
        self._keep_streams(limited)
        for kept in (self._waits, self._purses):
            for life in kept.keys() - limited.keys():
                kept.pop(life)

    def record_limit(
        self,
        life: BoxLife,
        hall: HallName,
        limit: float,
        sent_at: float,
    ) -> None:
        """Take in what an answer said; tell all nodes where that is news."""
        if limit == NO_LIMIT and self.limits.find(life) is None:
            return
        now = self._clock.read()
        word = LimitWord(limit, sent_at, now, now, hall)
        if self.limits.note(life, word, 'own'):
            self._follow(life)
            self._links.spread(_describe(life, word, now))

    def get_limit(self, life: BoxLife) -> float:
        """Return the requests a second that a box takes from all nodes."""
        return self.limits.get(life)

    def may_ask(self, life: BoxLife, denied: int, now: float) -> bool:
        """Answer whether a box has no limit, or may have a turn left."""
        if denied >= MAX_PERMIT_DENIALS and self.limits.is_limited(life):
            return False
        return self._waits.get(life, 0.0) <= now

    def filter_available(
        self,
        replicas: Sequence[Replica],
        denied: int,
        now: float,
    ) -> Sequence[Replica]:
        """Return the replicas that may be asked."""
        if not self._waits and not denied:
            return replicas
        return [
            one for one in replicas if self.may_ask(one.key.life, denied, now)
        ]

    async def acquire_permit(
        self,
        life: BoxLife,
        hall: HallName,
        rank: int,
    ) -> Permit | None:
        """Return a turn of a replica, or ``None`` where there is none now."""
        now = self._clock.read()
        if not self.limits.is_limited(life):
            return Permit()
        held = self._take_held(life, now)
        if held is not None:
            return held
        dealers = self._list_dealers(life, hall, now)
        # The streams to the dealers of a new limit stand in a moment.
        wait = LONGEST_WAIT if dealers else SHORTEST_WAIT
        for dealer in dealers:
            deal = await self._ask(dealer, life, rank)
            if deal.turns:
                self._keep(life, deal.turns, now + TURN_SECONDS)
                return self._take_held(life, self._clock.read())
            wait = min(wait, deal.wait)
        wait *= 0.5 + self._random.random()
        self._waits[life] = self._clock.read() + wait
        return None

    def find_wait(self, lives: Iterable[BoxLife], now: float) -> float | None:
        """Return in how many seconds the first of some boxes has a turn."""
        waits = [
            max(SHORTEST_WAIT, self._waits.get(life, now) - now)
            if self.limits.is_limited(life)
            else 0.0
            for life in lives
        ]
        return min(waits, default=0.0) or None

    def forget_ended(self, ended: Iterable[EndedLife]) -> None:
        """Forget the limits of lives that are over."""
        self.limits.forget_ended(ended)
        self.tend(self._clock.read())

    def on_changed(self, _changed: Changed) -> None:
        """Follow limits that have changed."""
        self._is_due = False
        self.tend(self._clock.read())

    def on_opened(self, opened: PeerLinks.Opened) -> None:
        """Tell a peer all that is known here; it may have missed it."""
        now = self._clock.read()
        words = tuple(
            _describe(life, word, now)
            for life, word in self.limits.list_words().items()
        )
        if words:
            self._links.send(opened.record.node, KnownLimits(words))

    def on_received(self, received: PeerLinks.Received) -> None:
        """Take in a word, answer a question, or take in an answer."""
        message = received.message
        if isinstance(message, TurnAsk):
            self._answer(received.node, message)
        elif isinstance(message, TurnAnswer):
            self._take_answer(message)
        elif isinstance(message, KnownLimits):
            for told in message.words:
                self._take_told(told, received.node)
        else:
            self._take_told(message, received.node)

    def count(self) -> dict[str, float]:
        """Return how many replicas have a limit, and how much is dealt."""
        limited = float(len(self.limits.list_limited()))
        return {'limited': limited, **self._dealer.count()}

    def dump(self) -> dict[str, object]:
        """Return the state as plain values."""
        now = self._clock.read()
        return {
            **super().dump(),
            'limits': self.limits.dump(now),
            'dealt_here': self._dealer.dump(),
            'asked': self._asks.count_open(),
        }

    def _follow(self, life: BoxLife) -> None:
        """Act on a limit that has changed, once for all that come together."""
        self._waits.pop(life, None)
        self._purses.pop(life, None)
        if not self._is_due:
            self._is_due = True
            self.post(self.Changed())

    def _take_held(self, life: BoxLife, now: float) -> Permit | None:
        """Return one of the turns that this node holds."""
        purse = self._purses.get(life)
        if purse is None or now >= purse.until or not purse.turns:
            return None
        purse.turns -= 1
        return Permit(purse.until)

    def _keep(self, life: BoxLife, turns: int, until: float) -> None:
        """Keep turns that were dealt; those of before are used first."""
        purse = self._purses.get(life)
        if purse is None or purse.until < until:
            self._purses[life] = _Purse(turns, until)

    def _list_dealers(
        self,
        life: BoxLife,
        hall: HallName,
        now: float,
    ) -> list[NodeId]:
        """Return the dealers to ask, in any order."""
        own = self._gossip.table.own.node
        dealers = [
            node
            for node in self._choice.choose(life.box, hall)
            if node == own or self._asks.may_ask(node, now)
        ]
        self._random.shuffle(dealers)
        return dealers

    async def _ask(self, dealer: NodeId, life: BoxLife, rank: int) -> Deal:
        """Ask a dealer for a turn."""
        now = self._clock.read()
        if dealer == self._gossip.table.own.node:
            return self._dealer.deal(life, rank, now)
        word = self.limits.find(life)
        if word is None:
            return Deal(1)
        told = _describe(life, word, now)
        return await self._asks.ask(dealer, told, rank, now)

    def _answer(self, node: NodeId, ask: TurnAsk) -> None:
        self._take_told(ask.told, node)
        life = BoxLife(ask.told.box, ask.told.incarnation)
        deal = self._dealer.deal(life, ask.rank, self._clock.read())
        answer = TurnAnswer(ask.ask, deal.turns, round(deal.wait, 3))
        self._links.send(node, answer)

    def _take_answer(self, answer: TurnAnswer) -> None:
        """Take in an answer; the next request may use what came too late."""
        late = self._asks.take_answer(answer)
        if late is not None and late.turns:
            self._keep(late.life, late.turns, late.asked_at + TURN_SECONDS)
            self._waits.pop(late.life, None)

    def _take_told(self, told: LimitTold, sender: NodeId) -> None:
        """Take in a node's word; tell it where this one knows better."""
        now = self._clock.read()
        life = BoxLife(told.box, told.incarnation)
        word = _read_told(told, now)
        known = self.limits.find(life)
        if self.limits.note(life, word, sender):
            self._follow(life)
            self._links.pass_on(told, sender)
        elif known is not None and not word.says_the_same(known):
            self._links.send(sender, _describe(life, known, now))

    def _keep_streams(self, limited: Iterable[BoxLife]) -> None:
        """Keep a stream to each node that deals."""
        table = self._gossip.table
        dealers = {
            node
            for life in limited
            for node in self._choice.choose(
                life.box, self.limits.get_hall(life)
            )
        }
        records = [table.find(node) for node in sorted(dealers)]
        self._gossip.keep_streams(
            self.name,
            tuple(
                record
                for record in records
                if record is not None and record.node != table.own.node
            ),
        )


def _describe(life: BoxLife, word: LimitWord, now: float) -> LimitTold:
    """Return a word with ages in place of this node's times."""
    return LimitTold(
        life.box,
        life.incarnation,
        word.hall,
        None if word.limit == NO_LIMIT else word.limit,
        round(now - word.sent_at, 4),
        round(now - word.heard_at, 4),
        round(now - word.named_at, 3),
    )


def _read_told(told: LimitTold, now: float) -> LimitWord:
    return LimitWord(
        NO_LIMIT if told.limit is None else told.limit,
        now - told.sent_age,
        now - told.heard_age,
        now - told.named_age,
        told.hall,
    )
