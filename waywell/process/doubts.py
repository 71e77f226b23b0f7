"""The task that spreads the word that nothing comes from a replica."""

from __future__ import annotations

import secrets
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
"""Between two words about one replica that a node says or passes on."""

RECENT_SECONDS = 0.1
"""A word of another node is not believed when this one has heard something
so recently."""


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
        self._raised_at: dict[ReplicaKey, float] = {}
        links.subscribe(self, ReplicaDoubt)

    def raise_doubt(self, replica: Replica) -> None:
        """Tell the others that nothing comes from a replica."""
        now = self._clock.read()
        if not self._is_news(replica.key, now):
            return
        word = ReplicaDoubt(
            secrets.token_hex(4),
            replica.group,
            replica.key.box,
            replica.key.epoch,
            replica.key.incarnation,
        )
        log_event('doubt_raised', group=replica.group, box=replica.key.box)
        self._links.spread(word)
        self._tell(replica.group)

    def on_received(self, received: PeerLinks.Received) -> None:
        """Take in another node's doubt and pass it on."""
        word = received.message
        key = ReplicaKey(word.box, word.epoch, word.incarnation)
        now = self._clock.read()
        if not self._is_news(key, now):
            return
        self._links.pass_on(word, received.node)
        if now - self._book.get(key).heard_at > RECENT_SECONDS:
            self._book.note_failure(key, now)
        self._tell(word.group)

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
