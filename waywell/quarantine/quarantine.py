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

from waywell.connection.peer import (
    KnownCrashes,
    ReplicaEnded,
    RequestCleared,
    RequestHeld,
    SuspectRun,
)
from waywell.ids import Fingerprint
from waywell.membership.links import PeerLinks
from waywell.process.actor import Actor, Message
from waywell.quarantine.crash_book import (
    CRASHES_HELD,
    CrashBook,
    Hold,
)
from waywell.request.guard import RequestGuard
from waywell.request.paths import LinkCheck, trust_links
from waywell.telemetry.events import log_detail, log_event, log_warning
from waywell.version.fleet import ReplicaKey

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable, Mapping

    from waywell.ids import NodeId
    from waywell.process.clock import Clock
    from waywell.request.running import RunningAttempts
    from waywell.version.fleet import FleetBox, Replica

CLEARED_ALOUD = 2
"""Ends that spoke against a request from which on all are told that it was
served: at one end some ten requests are cut, and nearly all of them are served
right after."""

MOST_WITNESSED = 1024
"""Requests that were cut at this node and are remembered for it."""


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
    verify
        Answers whether this node's links to a service are sound.
    """

    class Held(Message, frozen=True):
        """A request is held back that was cut at this node."""

        fingerprint: Fingerprint
        """The request."""

        hold: Hold
        """Why."""

    class Freed(Message, frozen=True):
        """A request is not held back any more."""

        fingerprint: Fingerprint
        """The request."""

    def __init__(
        self,
        links: PeerLinks,
        running: RunningAttempts,
        clock: Clock,
        is_reachable: Callable[[FleetBox], Awaitable[bool]],
        verify: LinkCheck = trust_links,
    ) -> None:
        """Hold nothing back."""
        super().__init__('quarantine')
        self.book = CrashBook()
        self._links = links
        self._running = running
        self._clock = clock
        self._is_reachable = is_reachable
        self._verify = verify
        self._witnessed: OrderedDict[Fingerprint, None] = OrderedDict()
        self._listeners: list[Actor] = []
        self._watchers: list[Callable[[ReplicaKey], None]] = []
        self._checks: dict[ReplicaKey, dict[Fingerprint, bool]] = {}
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

    def find_release(self, fingerprint: Fingerprint, now: float) -> float:
        """Return in how many seconds a request may be sent on; 0 for now."""
        hold = self.book.find_hold(fingerprint, now)
        return hold.until - now if hold else 0.0

    def may_send(
        self,
        fingerprint: Fingerprint,
        running: int,
        now: float,
    ) -> bool:
        """Answer whether one more replica may be put at risk.

        What broke a moment ago counts as an end until it is known to be none,
        and what runs as one to come.
        """
        if self.book.find_hold(fingerprint, now):
            return False
        known = self.book.count_crashes(fingerprint)
        known += sum(fingerprint in runs for runs in self._checks.values())
        if not known or self.book.was_served(fingerprint, now):
            return True
        if fingerprint in self.book.held:
            # Its hold is over; one attempt tells whether it still crashes.
            return not running
        return known + running < CRASHES_HELD

    def note_broken(
        self,
        replica: Replica,
        fingerprint: Fingerprint,
        *,
        has_begun: bool,
        is_over: bool,
    ) -> None:
        """Find out whether a replica has ended under an attempt."""
        key = replica.key
        if is_over:
            self._take_end(replica, {fingerprint: has_begun})
            return
        is_asked = key in self._checks
        self._checks.setdefault(key, {})[fingerprint] = has_begun
        if not is_asked:
            self.spawn(self._check(replica))

    def note_served(self, fingerprint: Fingerprint) -> None:
        """Take in that a request was answered whole, so it crashes nothing."""
        held = self.book.held
        ends = self.book.note_served(fingerprint, self._clock.read())
        if ends >= CLEARED_ALOUD:
            log_event('request_cleared', fingerprint=fingerprint, ends=ends)
            self._links.spread(RequestCleared(fingerprint))
        self._compare(held, 'own')

    def on_opened(self, opened: PeerLinks.Opened) -> None:
        """Tell a peer all that is known here; it may have missed it."""
        now = self._clock.read()
        self.book.forget_old(now)
        ended = tuple(
            _describe_end(crash.replica, crash.runs, now - crash.ended_at)
            for crash in self.book.crashes
            if crash.runs
        )
        held = tuple(
            _describe_hold(fingerprint, hold, now)
            for fingerprint, hold in self.book.told.items()
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
                self._links.pass_on(one, received.node)
        self._compare(held, received.node)

    def take_stored(
        self,
        fingerprint: Fingerprint,
        hold: Hold,
    ) -> None:
        """Take in a hold that the platform keeps."""
        held = self.book.held
        if self.book.note_told(fingerprint, hold):
            word = _describe_hold(fingerprint, hold, self._clock.read())
            self._links.spread(word)
        self._compare(held, 'platform')

    def count(self) -> dict[str, float]:
        """Return how many ends are remembered, and how many requests held."""
        return {'ends': len(self.book.crashes), 'held': len(self.book.held)}

    def list_held(self) -> dict[str, dict[str, float]]:
        """Return what is held back, by fingerprint, as plain values."""
        now = self._clock.read()
        return {
            fingerprint: {
                'ends': hold.crashes,
                'seconds_left': round(max(0.0, hold.until - now), 1),
            }
            for fingerprint, hold in self.book.held.items()
        }

    def dump(self) -> dict[str, object]:
        """Return the state as plain values."""
        return {
            **super().dump(),
            'ends': len(self.book.crashes),
            'held': self.list_held(),
        }

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
                'crash_unconfirmed', box=replica.key.box, requests=len(runs)
            )

    def _take_end(
        self,
        replica: Replica,
        runs: Mapping[Fingerprint, bool],
    ) -> None:
        """Note that a replica ended here, and tell all."""
        now = self._clock.read()
        held = self.book.held
        self.book.forget_old(now)
        if not self._note_end(replica.key, runs, now):
            return
        log_warning(
            'replica_ended',
            box=replica.key.box,
            group=replica.group,
            requests=len(runs),
            most=max(self.book.count_crashes(one) for one in runs),
        )
        self._links.spread(_describe_end(replica.key, runs, 0.0))
        self._remember_witnessed(runs)
        self._compare(held, 'own')

    def _note_end(
        self,
        replica: ReplicaKey,
        runs: Mapping[Fingerprint, bool],
        ended_at: float,
    ) -> bool:
        """Note an end; answer whether it is news."""
        is_news = self.book.note_crash(replica, runs, ended_at)
        for watcher in self._watchers if is_news else ():
            watcher(replica)
        return is_news

    def _remember_witnessed(self, runs: Iterable[Fingerprint]) -> None:
        self._witnessed.update(dict.fromkeys(runs))
        while len(self._witnessed) > MOST_WITNESSED:
            self._witnessed.popitem(last=False)

    def _speak_for_served(self, word: Any, sender: NodeId) -> None:
        """Tell a node that suspects what was served here a moment ago.

        One that has just started has served nothing: it alone would refuse
        for ten minutes what many ask for and all others serve.
        """
        now = self._clock.read()
        for fingerprint in _list_suspects(word):
            if self.book.was_served(fingerprint, now):
                self._links.send(sender, RequestCleared(fingerprint))

    def _take_word(self, word: Any) -> bool:
        """Take in one word of another node; answer whether it is news."""
        now = self._clock.read()
        if isinstance(word, ReplicaEnded):
            key = ReplicaKey(word.box, word.epoch, word.incarnation)
            runs = {run.fingerprint: run.has_begun for run in word.runs}
            is_news = self._note_end(key, runs, now - word.age)
            if is_news:
                log_event('end_received', box=word.box, requests=len(runs))
            return is_news
        if isinstance(word, RequestHeld):
            hold = Hold(word.crashes, now - word.age)
            return self.book.note_told(word.fingerprint, hold)
        return self.book.note_served(word.fingerprint, now) > 0

    def _compare(self, before: Mapping[Fingerprint, Hold], by: str) -> None:
        """Act on what is held now and was not, or the other way round."""
        after = self.book.held
        if after is before:
            return
        for fingerprint, hold in after.items():
            known = before.get(fingerprint)
            if known is None or known.crashes < hold.crashes:
                self._begin_hold(fingerprint, hold, by)
        for freed in before.keys() - after.keys():
            log_event('request_freed', fingerprint=freed, by=by)
            self._publish(self.Freed(freed))

    def _begin_hold(
        self,
        fingerprint: Fingerprint,
        hold: Hold,
        by: str,
    ) -> None:
        log_warning(
            'request_held',
            fingerprint=fingerprint,
            ends=hold.crashes,
            seconds=round(hold.until - self._clock.read(), 1),
            by=by,
        )
        self._running.spare(fingerprint)
        if fingerprint in self._witnessed:
            self._publish(self.Held(fingerprint, hold))

    def _publish(self, message: Message) -> None:
        for listener in self._listeners:
            listener.post(message)


def _list_words(word: Any) -> tuple[Any, ...]:
    """Return the words that a message holds."""
    if isinstance(word, KnownCrashes):
        return (*word.ended, *word.held)
    return (word,)


def _list_suspects(word: Any) -> tuple[Fingerprint, ...]:
    """Return the requests that a word speaks against."""
    if isinstance(word, ReplicaEnded):
        return tuple(run.fingerprint for run in word.runs)
    return (word.fingerprint,) if isinstance(word, RequestHeld) else ()


def _describe_end(
    replica: ReplicaKey,
    runs: Mapping[Fingerprint, bool],
    age: float,
) -> ReplicaEnded:
    told = (SuspectRun(one, has_begun) for one, has_begun in runs.items())
    return ReplicaEnded(
        replica.box,
        replica.epoch,
        replica.incarnation,
        round(age, 3),
        tuple(told),
    )


def _describe_hold(
    fingerprint: Fingerprint,
    hold: Hold,
    now: float,
) -> RequestHeld:
    age = round(now - hold.ended_at, 3)
    return RequestHeld(fingerprint, hold.crashes, age)
