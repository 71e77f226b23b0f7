"""The task that spreads the message that nothing comes from a replica.

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

from waywell.connection.peer import ReplicaDoubt, ReplicaHeard
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

REPEAT_INTERVAL = 0.8
"""Between two words about one replica that a node says or passes on."""

RECENT_SECONDS = 0.1
"""A message of another node is not believed when this one has heard something
so recently."""

LISTEN_INTERVAL = 0.1
"""Between two checks_left at whether a doubted replica goes on."""

MAX_LISTEN_CHECKS = 4
"""Looks after a doubt: a pause that lasts longer is no reading of prompts."""

Scheduler = Callable[[float, Callable[[], None]], object]
"""Calls something after some seconds."""


@attrs.frozen
class DoubtListeners:
    """Who is told of doubts at this node."""

    on_doubted: Callable[[GroupId], None]
    """Called with the group of each new doubt."""

    on_resumed: Callable[[GroupId], None]
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
        self._open_doubts: set[ReplicaKey] = set()
        links.subscribe(self, ReplicaDoubt, ReplicaHeard)

    def report_silence(self, replica: Replica) -> None:
        """Raise a doubt, unless this node's own links are lost.

        Streams that all fall silent with the links of one node speak against
        no replica.
        """
        if replica.key in self._verifying or replica.key in self._raised_at:
            self._drop_expired(self._clock.read())
            return
        self._verifying.add(replica.key)
        self.spawn(self._raise_if_links_work(replica))

    def raise_doubt(self, replica: Replica) -> None:
        """Tell the others that nothing comes from a replica."""
        now = self._clock.read()
        if not self._is_new(replica.key, now):
            return
        doubt = ReplicaDoubt(
            secrets.token_hex(4),
            replica.group,
            replica.key.box,
            replica.key.epoch,
            replica.key.incarnation,
        )
        log_event('doubt_raised', group=replica.group, box=replica.key.box)
        self._links.spread(doubt)
        self._open_doubt(replica.key, replica.group, now)

    def on_received(self, received: PeerLinks.Received) -> None:
        """Take in another node's message and pass it on."""
        message = received.message
        key = ReplicaKey(message.box, message.epoch, message.incarnation)
        if isinstance(message, ReplicaHeard):
            if key in self._open_doubts:
                self._links.pass_on(message, received.node)
                self._close_doubt(key, message.group)
            return
        now = self._clock.read()
        if not self._is_new(key, now):
            return
        self._links.pass_on(message, received.node)
        is_believed = now - self._book.get(key).heard_at > RECENT_SECONDS
        log_event(
            'doubt_received',
            group=message.group,
            box=message.box,
            sender=received.node,
            believed=is_believed,
        )
        if is_believed:
            self._book.note_failure(key, now)
        self._open_doubt(key, message.group, now)

    async def _raise_if_links_work(self, replica: Replica) -> None:
        try:
            is_sound = await self._verify(replica.head.service)
        finally:
            self._verifying.discard(replica.key)
        if is_sound:
            self.raise_doubt(replica)

    def _open_doubt(self, key: ReplicaKey, group: GroupId, now: float) -> None:
        """Tell of a doubt here, and listen for what speaks against it."""
        self._open_doubts.add(key)
        self._listeners.on_doubted(group)
        check = partial(
            self._check_resumed, key, group, now, MAX_LISTEN_CHECKS
        )
        self._call_later(LISTEN_INTERVAL, check)

    def _check_resumed(
        self,
        key: ReplicaKey,
        group: GroupId,
        doubted_at: float,
        checks_left: int,
    ) -> None:
        """Take a doubt back where the replica was heard since."""
        if key not in self._open_doubts:
            return
        if self._book.get(key).event_at > doubted_at:
            log_event('doubt_taken_back', group=group, box=key.box)
            self._links.spread(
                ReplicaHeard(group, key.box, key.epoch, key.incarnation),
            )
            self._close_doubt(key, group)
        elif checks_left > 1:
            again = partial(
                self._check_resumed, key, group, doubted_at, checks_left - 1
            )
            self._call_later(LISTEN_INTERVAL, again)
        else:
            self._open_doubts.discard(key)

    def _close_doubt(self, key: ReplicaKey, group: GroupId) -> None:
        """Let a replica get requests again that goes on."""
        self._open_doubts.discard(key)
        self._book.forgive(key)
        self._listeners.on_resumed(group)

    def _is_new(self, key: ReplicaKey, now: float) -> bool:
        """Answer whether no message about a replica came a moment ago.

        When a group falls silent, many nodes notice at once; one of their
        words is passed on, and the others end where they meet it.
        """
        self._drop_expired(now)
        if key in self._raised_at:
            return False
        self._raised_at[key] = now
        return True

    def _drop_expired(self, now: float) -> None:
        for key, raised_at in tuple(self._raised_at.items()):
            if now - raised_at > REPEAT_INTERVAL:
                self._raised_at.pop(key)
