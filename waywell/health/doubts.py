"""The task that spreads the word that nothing comes from a replica.

Answers groups that lose a box while streams of many nodes run there: each
node sees a few of them, and one that notices tells all.  A sound group pauses
too, for as long as it reads long prompts; so a doubt is taken back by the
first node that hears the group go on.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

import attrs

from waywell.connection.peer import ReplicaAlive, ReplicaSuspected
from waywell.ids import GroupId
from waywell.process.actor import Actor
from waywell.request.paths import LinkCheck, trust_links
from waywell.telemetry.events import log_event
from waywell.version.fleet import ReplicaKey

if TYPE_CHECKING:
    from waywell.membership.links import PeerLinks
    from waywell.process.clock import Clock
    from waywell.request.replica_book import ReplicaBook
    from waywell.version.fleet import Replica

REPEAT_SECONDS = 0.8
"""Between two words about one replica that a node says or passes on."""

RECENT_SECONDS = 0.1
"""A word of another node is not believed when this one has heard something
so recently."""

LISTEN_SECONDS = 0.1
"""Between two looks at whether a doubted replica goes on."""

LISTEN_LOOKS = 4
"""Looks after a doubt: a pause that lasts longer is no reading of prompts."""

Scheduler = Callable[[float, Callable[[], None]], object]
"""Calls something after some seconds."""


@attrs.frozen
class DoubtListeners:
    """Who is told of doubts at this node."""

    on_doubted: Callable[[GroupId], None]
    """Called with the group of each new doubt."""

    on_heard: Callable[[GroupId], None]
    """Called with a doubted group that goes on."""


def _call_later(seconds: float, act: Callable[[], None]) -> object:
    return asyncio.get_running_loop().call_later(seconds, act)


class Doubts(Actor):
    """Spreads doubts along the streams between entry boxes.

    Parameters
    ----------
    links
        Streams to other nodes.
    book
        What this node has seen of replicas.
    clock
        Where the time is read.
    listeners
        Who is told.
    call_later
        Calls something after some seconds.
    verify
        Answers whether this node's links to a service are sound.
    """

    def __init__(
        self,
        links: PeerLinks,
        book: ReplicaBook,
        clock: Clock,
        listeners: DoubtListeners,
        call_later: Scheduler = _call_later,
        verify: LinkCheck = trust_links,
    ) -> None:
        """Start without doubts."""
        super().__init__('doubts')
        self._verify = verify
        self._verifying: set[ReplicaKey] = set()
        self._links = links
        self._book = book
        self._clock = clock
        self._listeners = listeners
        self._call_later = call_later
        self._raised_at: dict[ReplicaKey, float] = {}
        self._open: set[ReplicaKey] = set()
        links.subscribe(self, ReplicaSuspected, ReplicaAlive)

    def note_silence(self, replica: Replica) -> None:
        """Raise a doubt, unless this node's own links are lost.

        Streams that all fall silent with the links of one node speak against
        no replica.
        """
        if replica.key in self._verifying or replica.key in self._raised_at:
            self._forget_old(self._clock.read())
            return
        self._verifying.add(replica.key)
        self.spawn(self._raise_verified(replica))

    def raise_doubt(self, replica: Replica) -> None:
        """Tell the others that nothing comes from a replica."""
        now = self._clock.read()
        if not self._is_news(replica.key, now):
            return
        word = ReplicaSuspected(
            secrets.token_hex(4),
            replica.group,
            replica.key.box,
            replica.key.epoch,
            replica.key.incarnation,
        )
        log_event('doubt_raised', group=replica.group, box=replica.key.box)
        self._links.spread(word)
        self._begin(replica.key, replica.group, now)

    def on_received(self, received: PeerLinks.Received) -> None:
        """Take in another node's word and pass it on."""
        word = received.message
        key = ReplicaKey(word.box, word.epoch, word.incarnation)
        if isinstance(word, ReplicaAlive):
            if key in self._open:
                self._links.pass_on(word, received.node)
                self._end(key, word.group)
            return
        now = self._clock.read()
        if not self._is_news(key, now):
            return
        self._links.pass_on(word, received.node)
        is_believed = now - self._book.get(key).heard_at > RECENT_SECONDS
        log_event(
            'doubt_received',
            group=word.group,
            box=word.box,
            sender=received.node,
            believed=is_believed,
        )
        if is_believed:
            self._book.note_failure(key, now)
        self._begin(key, word.group, now)

    async def _raise_verified(self, replica: Replica) -> None:
        try:
            is_sound = await self._verify(replica.head.service)
        finally:
            self._verifying.discard(replica.key)
        if is_sound:
            self.raise_doubt(replica)

    def _begin(self, key: ReplicaKey, group: GroupId, now: float) -> None:
        """Tell of a doubt here, and listen for what speaks against it."""
        self._open.add(key)
        self._listeners.on_doubted(group)
        look = partial(self._look, key, group, now, LISTEN_LOOKS)
        self._call_later(LISTEN_SECONDS, look)

    def _look(
        self,
        key: ReplicaKey,
        group: GroupId,
        doubted_at: float,
        looks: int,
    ) -> None:
        """Take a doubt back where the replica was heard since."""
        if key not in self._open:
            return
        if self._book.get(key).event_at > doubted_at:
            log_event('doubt_taken_back', group=group, box=key.box)
            self._links.spread(
                ReplicaAlive(group, key.box, key.epoch, key.incarnation),
            )
            self._end(key, group)
        elif looks > 1:
            again = partial(self._look, key, group, doubted_at, looks - 1)
            self._call_later(LISTEN_SECONDS, again)
        else:
            self._open.discard(key)

    def _end(self, key: ReplicaKey, group: GroupId) -> None:
        """Let a replica get requests again that goes on."""
        self._open.discard(key)
        self._book.forgive(key)
        self._listeners.on_heard(group)

    def _is_news(self, key: ReplicaKey, now: float) -> bool:
        """Answer whether no word about a replica came a moment ago.

        When a group falls silent, many nodes notice at once; one of their
        words is passed on, and the others end where they meet it.
        """
        self._forget_old(now)
        if key in self._raised_at:
            return False
        self._raised_at[key] = now
        return True

    def _forget_old(self, now: float) -> None:
        for key, raised_at in tuple(self._raised_at.items()):
            if now - raised_at > REPEAT_SECONDS:
                self._raised_at.pop(key)
