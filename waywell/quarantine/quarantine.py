"""The task that finds requests which crash replicas, and tells all nodes.

Each node sees the attempts that break at it.  Where a replica took no new
connection either, it has ended, and the node tells all others what ran there.
All come to the same requests by the same ends, so the third end is enough
wherever a request comes next.  A node that starts, or was cut off, gets what
the others know with the first stream; what must outlive all of them is in the
platform.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Any

import attrs

from waywell.connection.peer import (
    KnownCrashes,
    ReplicaEnded,
    RequestCleared,
    RequestHeld,
    SuspectRun,
)
from waywell.ids import Trait
from waywell.membership.links import PeerLinks
from waywell.process.actor import Actor, Message
from waywell.quarantine.crash_book import (
    CRASHES_HELD,
    Crash,
    CrashBook,
    Hold,
)
from waywell.request.guard import RequestGuard
from waywell.request.paths import LinkCheck, trust_links
from waywell.request.prompt_parts import count_requests, describe_trait
from waywell.telemetry.events import log_detail, log_event, log_warning
from waywell.version.fleet import ReplicaKey

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable, Mapping

    from waywell.ids import NodeId
    from waywell.process.clock import Clock
    from waywell.request.running import RunningAttempts
    from waywell.request.traits import RequestTraits
    from waywell.version.fleet import FleetBox, Replica

CLEARED_ALOUD = 2
"""Ends that spoke against a request from which on all are told that it was
served: at one end some ten requests are cut, and nearly all of them are served
right after."""

PROBE_WAIT_SECONDS = 2.0
"""Seconds until callers ask again while one node tries a trait anew."""

MOST_WITNESSED = 2048
"""Maximum number of traits that were cut at this node and are remembered."""

MOST_LOGGED = 8
"""Maximum number of crashed boxes on a log line."""


class Quarantine(Actor, RequestGuard):
    """Holds back requests that crash the replicas that run them.

    Parameters
    ----------
    links
        Streams to other nodes.
    running
        Attempts of this node.
    clock
        Where the time is read.
    is_reachable
        Answers whether a box takes a new connection.
    is_prober
        Answers whether this node may try a trait whose hold is over.
    verify
        Answers whether this node's links to a service are sound.
    """

    class Held(Message, frozen=True):
        """A trait is held back that was cut at this node."""

        trait: Trait
        """The request, or the part of its prompt."""

        hold: Hold
        """Why."""

    class Freed(Message, frozen=True):
        """A trait is not held back any more."""

        trait: Trait
        """The request, or the part of its prompt."""

    def __init__(
        self,
        links: PeerLinks,
        running: RunningAttempts,
        clock: Clock,
        is_reachable: Callable[[FleetBox], Awaitable[bool]],
        is_prober: Callable[[], bool],
        verify: LinkCheck = trust_links,
    ) -> None:
        """Hold nothing back."""
        super().__init__('quarantine')
        self.book = CrashBook()
        self._links = links
        self._running = running
        self._clock = clock
        self._is_reachable = is_reachable
        self._is_prober = is_prober
        self._verify = verify
        self._witnessed: OrderedDict[Trait, None] = OrderedDict()
        self._listeners: list[Actor] = []
        self._watchers: list[Callable[[ReplicaKey], None]] = []
        self._checks: dict[ReplicaKey, dict[Trait, bool]] = {}
        links.subscribe(
            self,
            PeerLinks.Opened,
            ReplicaEnded,
            RequestHeld,
            RequestCleared,
            KnownCrashes,
        )

    def tell(self, listener: Actor) -> None:
        """Tell a task of the requests that this node has witnessed."""
        self._listeners.append(listener)

    def watch_ends(self, watcher: Callable[[ReplicaKey], None]) -> None:
        """Call a watcher with each replica that ended, whoever saw it."""
        self._watchers.append(watcher)

    def find_release(self, traits: RequestTraits, now: float) -> float:
        """Return in how many seconds a request may be sent on; 0 for now."""
        held = self.book.held
        holds = [held[trait] for trait in traits if trait in held]
        seconds = max((hold.until - now for hold in holds), default=0.0)
        if holds and seconds <= 0 and not self._is_prober():
            return PROBE_WAIT_SECONDS
        return max(0.0, seconds)

    def may_send(
        self,
        traits: RequestTraits,
        running: int,
        now: float,
    ) -> bool:
        """Answer whether one more replica may be put at risk.

        What broke a moment ago counts as an end until it is known to be none,
        and what runs as one to come.
        """
        return all(self._may_risk(trait, running, now) for trait in traits)

    def note_broken(
        self,
        replica: Replica,
        traits: RequestTraits,
        *,
        has_begun: bool,
        is_over: bool,
    ) -> None:
        """Find out whether a replica has ended under an attempt."""
        key = replica.key
        if is_over:
            self._take_end(replica, dict.fromkeys(traits, has_begun))
            return
        is_asked = key in self._checks
        runs = self._checks.setdefault(key, {})
        for trait in traits:
            # An answer that was begun speaks for all its traits.
            runs[trait] = has_begun or runs.get(trait, False)
        if not is_asked:
            self.spawn(self._check(replica))

    def note_served(self, traits: RequestTraits) -> None:
        """Take in that a request was answered whole, so it crashes nothing."""
        held = self.book.held
        for trait in traits:
            ends = self.book.note_served(trait, self._clock.read())
            if ends >= CLEARED_ALOUD:
                log_event(
                    'request_cleared', **describe_trait(trait), ends=ends
                )
                self._links.broadcast(RequestCleared(trait))
        self._compare(held, 'own')

    def on_opened(self, opened: PeerLinks.Opened) -> None:
        """Tell a peer all that is known here; it may have missed it."""
        now = self._clock.read()
        self.book.forget_old(now)
        ended = tuple(
            _describe_end(crash, now)
            for crash in self.book.crashes
            if crash.runs
        )
        held = tuple(
            _describe_hold(trait, hold, now)
            for trait, hold in self.book.told.items()
        )
        if ended or held:
            self._links.send(opened.record.node, KnownCrashes(ended, held))

    def on_received(self, received: PeerLinks.Received) -> None:
        """Take in another node's word; pass on what is news."""
        word = received.message
        held = self.book.held
        for one in _list_words(word):
            self._speak_for_served(one, received.node)
            if self._take_word(one):
                self._links.forward(one, received.node)
        self._compare(held, received.node)

    def take_stored(
        self,
        trait: Trait,
        hold: Hold,
    ) -> None:
        """Take in a hold that the platform keeps."""
        held = self.book.held
        if self.book.note_told(trait, hold):
            word = _describe_hold(trait, hold, self._clock.read())
            self._links.broadcast(word)
        self._compare(held, 'platform')

    def count(self) -> dict[str, float]:
        """Return how many ends are remembered, and how many requests held."""
        return {'ends': len(self.book.crashes), 'held': len(self.book.held)}

    def list_held(self) -> dict[str, dict[str, float]]:
        """Return what is held back, by request or part, as plain values."""
        now = self._clock.read()
        return {
            trait: {
                'ends': hold.crashes,
                'seconds_left': round(max(0.0, hold.until - now), 1),
            }
            for trait, hold in self.book.held.items()
        }

    def dump(self) -> dict[str, object]:
        """Return the state as plain values."""
        return {
            **super().dump(),
            'ends': len(self.book.crashes),
            'held': self.list_held(),
        }

    def _may_risk(self, trait: Trait, running: int, now: float) -> bool:
        """Answer whether one more replica may be put at risk by a trait."""
        if self.book.find_hold(trait, now):
            return False
        known = self.book.count_crashes(trait)
        known += sum(trait in runs for runs in self._checks.values())
        if not known or self.book.was_served(trait, now):
            return True
        if trait in self.book.held:
            # Its hold is over; one attempt tells whether it still crashes.
            is_tried = bool(running) or self._running.has(trait)
            return self._is_prober() and not is_tried
        return known + running < CRASHES_HELD

    async def _check(self, replica: Replica) -> None:
        """Note an end where the replica takes no new connection either.

        An answer that was lost, spoilt or reset breaks an attempt as well,
        and a node without links to replicas reaches none of them.
        """
        is_there = await self._is_reachable(replica.head)
        is_sure = is_there or await self._verify(replica.head.service)
        runs = self._checks.pop(replica.key)
        if is_there:
            log_detail('replica_goes_on', box=replica.key.box)
        elif is_sure:
            self._take_end(replica, runs)
        else:
            log_event(
                'crash_unconfirmed',
                box=replica.key.box,
                requests=count_requests(runs),
            )

    def _take_end(
        self,
        replica: Replica,
        runs: Mapping[Trait, bool],
    ) -> None:
        """Note that a replica ended here, and tell all."""
        now = self._clock.read()
        held = self.book.held
        self.book.forget_old(now)
        crash = Crash(replica.key, now, replica.head.domain, dict(runs))
        if not self._note_end(crash):
            return
        log_warning(
            'replica_ended',
            box=replica.key.box,
            group=replica.group,
            requests=count_requests(runs),
            most=max(self.book.count_crashes(one) for one in runs),
        )
        self._links.broadcast(_describe_end(self._drop_served(crash), now))
        self._remember_witnessed(runs)
        self._compare(held, 'own')

    def _drop_served(self, crash: Crash) -> Crash:
        """Return a crash without what this node has served of late.

        Peers that have served nothing of it would blame it.
        """
        runs = {
            trait: has_begun
            for trait, has_begun in crash.runs.items()
            if not self.book.was_served(trait, crash.ended_at)
        }
        return attrs.evolve(crash, runs=runs)

    def _note_end(self, crash: Crash) -> bool:
        """Note an end; answer whether it is news."""
        is_news = self.book.note_crash(
            crash.replica, crash.runs, crash.ended_at, crash.domain
        )
        for watcher in self._watchers if is_news else ():
            watcher(crash.replica)
        return is_news

    def _remember_witnessed(self, runs: Iterable[Trait]) -> None:
        self._witnessed.update(dict.fromkeys(runs))
        while len(self._witnessed) > MOST_WITNESSED:
            self._witnessed.popitem(last=False)

    def _speak_for_served(self, word: Any, sender: NodeId) -> None:
        """Tell a node that suspects what was served here a moment ago.

        One that has just started has served nothing: it alone would refuse
        for ten minutes what many ask for and all others serve.
        """
        now = self._clock.read()
        for trait in _list_suspects(word):
            if self.book.was_served(trait, now):
                self._links.send(sender, RequestCleared(trait))

    def _take_word(self, word: Any) -> bool:
        """Take in one word of another node; answer whether it is news."""
        now = self._clock.read()
        if isinstance(word, ReplicaEnded):
            key = ReplicaKey(word.box, word.epoch, word.incarnation)
            runs = {run.trait: run.has_begun for run in word.runs}
            is_news = self._note_end(
                Crash(key, now - word.age, word.domain, runs)
            )
            if is_news:
                log_event(
                    'end_received', box=word.box, requests=count_requests(runs)
                )
            return is_news
        if isinstance(word, RequestHeld):
            hold = Hold(word.crashes, now - word.age)
            return self.book.note_told(word.trait, hold)
        return self.book.note_served(word.trait, now) > 0

    def _compare(self, before: Mapping[Trait, Hold], by: str) -> None:
        """Act on what is held now and was not, or the other way round."""
        after = self.book.held
        if after is before:
            return
        for trait, hold in after.items():
            known = before.get(trait)
            if known is None or known.crashes < hold.crashes:
                self._begin_hold(trait, hold, by)
        for freed in before.keys() - after.keys():
            log_event('request_freed', **describe_trait(freed), by=by)
            self._publish(self.Freed(freed))

    def _begin_hold(
        self,
        trait: Trait,
        hold: Hold,
        by: str,
    ) -> None:
        log_warning(
            'request_held',
            **describe_trait(trait),
            ends=hold.crashes,
            boxes=','.join(self.book.list_boxes(trait)[:MOST_LOGGED]),
            seconds=round(hold.until - self._clock.read(), 1),
            by=by,
        )
        self._running.spare(trait)
        if trait in self._witnessed:
            self._publish(self.Held(trait, hold))

    def _publish(self, message: Message) -> None:
        for listener in self._listeners:
            listener.post(message)


def _list_words(word: Any) -> tuple[Any, ...]:
    """Return the words that a message holds."""
    if isinstance(word, KnownCrashes):
        return (*word.ended, *word.held)
    return (word,)


def _list_suspects(word: Any) -> tuple[Trait, ...]:
    """Return the traits that a word speaks against."""
    if isinstance(word, ReplicaEnded):
        return tuple(run.trait for run in word.runs)
    return (word.trait,) if isinstance(word, RequestHeld) else ()


def _describe_end(crash: Crash, now: float) -> ReplicaEnded:
    runs = crash.runs.items()
    return ReplicaEnded(
        crash.replica.box,
        crash.replica.epoch,
        crash.replica.incarnation,
        round(now - crash.ended_at, 3),
        tuple(SuspectRun(one, has_begun) for one, has_begun in runs),
        crash.domain,
    )


def _describe_hold(
    trait: Trait,
    hold: Hold,
    now: float,
) -> RequestHeld:
    age = round(now - hold.ended_at, 3)
    return RequestHeld(trait, hold.crashes, age)
