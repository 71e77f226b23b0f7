"""The task that spreads the word that nothing comes from a replica."""

from __future__ import annotations

import secrets
from collections import deque
from typing import TYPE_CHECKING

from waywell.connection.peer import ReplicaDoubt
from waywell.process.actor import Actor
from waywell.process.events import log_event
from waywell.version.fleet import ReplicaKey

if TYPE_CHECKING:
    from collections.abc import Callable

    from waywell.ids import GroupId
    from waywell.process.clock import Clock
    from waywell.process.links import PeerLinks
    from waywell.request.replica_book import ReplicaBook
    from waywell.version.fleet import Replica

REPEAT_SECONDS = 0.8
"""Between two words about one replica by one node."""

RECENT_SECONDS = 0.1
"""A word of another node is not believed when this one has heard something
so recently."""

MOST_KNOWN = 256
"""Words that are remembered, so that each is passed on once."""


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
    tell
        Called with the group of each new doubt.
    """

    def __init__(
        self,
        links: PeerLinks,
        book: ReplicaBook,
        clock: Clock,
        tell: Callable[[GroupId], None],
    ) -> None:
        """Start without doubts."""
        super().__init__('doubts')
        self._links = links
        self._book = book
        self._clock = clock
        self._tell = tell
        self._known: deque[str] = deque(maxlen=MOST_KNOWN)
        self._raised_at: dict[ReplicaKey, float] = {}
        links.subscribe(self, ReplicaDoubt)

    def raise_doubt(self, replica: Replica) -> None:
        """Tell the others that nothing comes from a replica."""
        now = self._clock.read()
        key = replica.key
        if now - self._raised_at.get(key, float('-inf')) < REPEAT_SECONDS:
            return
        self._forget_old(now)
        self._raised_at[key] = now
        word = ReplicaDoubt(
            secrets.token_hex(4), replica.group, key.box, key.epoch
        )
        self._known.append(word.doubt)
        log_event('doubt_raised', group=replica.group, box=key.box)
        self._links.spread(word)
        self._tell(replica.group)

    def on_received(self, received: PeerLinks.Received) -> None:
        """Take in another node's doubt and pass it on."""
        word = received.message
        if word.doubt in self._known:
            return
        self._known.append(word.doubt)
        self._links.spread(word, received.node)
        key = ReplicaKey(word.box, word.epoch)
        now = self._clock.read()
        if now - self._book.get(key).heard_at > RECENT_SECONDS:
            self._book.note_failure(key, now)
        self._tell(word.group)

    def _forget_old(self, now: float) -> None:
        for key, raised_at in tuple(self._raised_at.items()):
            if now - raised_at > REPEAT_SECONDS:
                self._raised_at.pop(key)
