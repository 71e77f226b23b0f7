"""The task that tells other nodes when a replica falls silent.

When a group loses a box, many nodes have streams there and each sees only a
few of them stall, so the first node that notices tells all others.  A healthy
group also pauses while it processes long prompts.  The first node that
receives output from the group again therefore withdraws the doubt.
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
from waywell.request.paths import LinkCheck, assume_links_work
from waywell.telemetry.events import log_event
from waywell.version.fleet import ReplicaKey

if TYPE_CHECKING:
    from waywell.membership.links import PeerLinks
    from waywell.process.clock import Clock
    from waywell.request.replica_table import ReplicaTable
    from waywell.version.fleet import Replica

REPEAT_INTERVAL = 0.8
"""Minimum time in seconds between two messages about one replica that a node
sends or forwards."""

RECENT_SECONDS = 0.1
"""Time in seconds after output from a replica during which this node ignores
doubts of other nodes."""

LISTEN_INTERVAL = 0.1
"""Time in seconds between two checks of whether a doubted replica sends output
again."""

MAX_LISTEN_CHECKS = 4
"""Number of checks after a doubt.  A pause that lasts longer is not caused by
the processing of prompts."""

Scheduler = Callable[[float, Callable[[], None]], object]
"""Calls a function after a delay in seconds."""


@attrs.frozen
class DoubtListeners:
    """Callbacks for the start and the end of doubts at this node."""

    on_doubted: Callable[[GroupId], None]
    """Called with the replica's group when a doubt starts."""

    on_resumed: Callable[[GroupId], None]
    """Called with the replica's group when the doubt is withdrawn."""


def _call_later(
    delay: float,
    callback: Callable[[], None],
) -> object:
    return asyncio.get_running_loop().call_later(delay, callback)


class Doubts(Actor):
    """Exchanges doubts about replicas with the other nodes.

    Parameters
    ----------
    links
        Streams to other nodes.
    replica_table
        Observations of this node about each replica.
    clock
        Source of the current time.
    listeners
        Callbacks for the start and the end of doubts.
    call_later
        Schedules a function call after a delay.
    verify
        Returns whether this node's links to a service work.
    """

    def __init__(
        self,
        links: PeerLinks,
        replica_table: ReplicaTable,
        clock: Clock,
        listeners: DoubtListeners,
        call_later: Scheduler = _call_later,
        verify: LinkCheck = assume_links_work,
    ) -> None:
        """Start without doubts."""
        super().__init__('doubts')
        self._verify = verify
        self._verifying: set[ReplicaKey] = set()
        self._links = links
        self._replica_table = replica_table
        self._clock = clock
        self._listeners = listeners
        self._call_later = call_later
        self._raised_at: dict[ReplicaKey, float] = {}
        self._open_doubts: set[ReplicaKey] = set()
        links.subscribe(self, ReplicaSuspected, ReplicaAlive)

    def report_silence(self, replica: Replica) -> None:
        """Raise a doubt about a silent replica if this node's links work.

        When a node loses its links, all its streams fall silent.  That is no
        evidence against the replicas.
        """
        if replica.key in self._verifying or replica.key in self._raised_at:
            self._drop_expired(self._clock.read())
            return
        self._verifying.add(replica.key)
        self.spawn(self._raise_if_links_work(replica))

    def raise_doubt(self, replica: Replica) -> None:
        """Notify the other nodes that a replica is silent."""
        now = self._clock.read()
        if not self._is_new(replica.key, now):
            return
        doubt = ReplicaSuspected(
            secrets.token_hex(4),
            replica.group,
            replica.key.box,
            replica.key.epoch,
            replica.key.incarnation,
        )
        log_event('doubt_raised', group=replica.group, box=replica.key.box)
        self._links.broadcast(doubt)
        self._open_doubt(replica.key, replica.group, now)

    def on_received(self, received: PeerLinks.Received) -> None:
        """Apply a doubt or a withdrawal of another node and forward it."""
        message = received.message
        key = ReplicaKey(message.box, message.epoch, message.incarnation)
        if isinstance(message, ReplicaAlive):
            if key in self._open_doubts:
                self._links.forward(message, received.node)
                self._close_doubt(key, message.group)
            return
        now = self._clock.read()
        if not self._is_new(key, now):
            return
        self._links.forward(message, received.node)
        is_accepted = (
            now - self._replica_table.get(key).heard_at > RECENT_SECONDS
        )
        log_event(
            'doubt_received',
            group=message.group,
            box=message.box,
            sender=received.node,
            believed=is_accepted,
        )
        if is_accepted:
            self._replica_table.record_failure(key, now)
        self._open_doubt(key, message.group, now)

    async def _raise_if_links_work(self, replica: Replica) -> None:
        try:
            do_links_work = await self._verify(replica.head.service)
        finally:
            self._verifying.discard(replica.key)
        if do_links_work:
            self.raise_doubt(replica)

    def _open_doubt(self, key: ReplicaKey, group: GroupId, now: float) -> None:
        """Start a doubt: notify the listeners and schedule a check."""
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
        """Withdraw a doubt if the replica has sent output since then."""
        if key not in self._open_doubts:
            return
        if self._replica_table.get(key).event_at > doubted_at:
            log_event('doubt_taken_back', group=group, box=key.box)
            self._links.broadcast(
                ReplicaAlive(group, key.box, key.epoch, key.incarnation),
            )
            self._close_doubt(key, group)
        elif checks_left > 1:
            check = partial(
                self._check_resumed, key, group, doubted_at, checks_left - 1
            )
            self._call_later(LISTEN_INTERVAL, check)
        else:
            self._open_doubts.discard(key)

    def _close_doubt(self, key: ReplicaKey, group: GroupId) -> None:
        """Close a doubt and let the replica get requests again."""
        self._open_doubts.discard(key)
        self._replica_table.retract_failure(key)
        self._listeners.on_resumed(group)

    def _is_new(self, key: ReplicaKey, now: float) -> bool:
        """Return whether no doubt about a replica was handled recently.

        When a group falls silent, many nodes notice at the same time.  Each
        node forwards only the first of their messages.
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
