"""When a node that has started may serve by the routes that it has read.

A store that came back from an older copy may hold an earlier version of the
routes, with keys that were removed since.  Nodes that ran before know of it.
"""

from __future__ import annotations

import enum
import math
from typing import TYPE_CHECKING

import attrs

from waywell.membership.presence import PeerContacts
from waywell.telemetry.events import log_event, log_warning

if TYPE_CHECKING:
    from waywell.ids import NodeId

PEERS_WAIT_SECONDS = 2.0
"""Longest wait for the answers of peers that were called."""

RESTART_WAIT_SECONDS = 0.5
"""Longest wait for silent peers while most of the others start as well."""

LOOK_WAIT_SECONDS = 5.0
"""Longest wait for the list of nodes, from when routes are in force: a call
that is not answered is repeated after 2 s."""


class GateReason(enum.Enum):
    """Why a node that has started may serve."""

    FIRST_START = 'first_start'
    READY_PEER = 'ready_peer'
    ALL_ANSWERED = 'all_answered'
    NO_PEERS = 'no_peers'
    MOST_START = 'most_start'
    TIMED_OUT = 'timed_out'


@attrs.frozen
class StartView:
    """What a node that has started knows of routes and other nodes."""

    version: int
    """Version of the routes in force; 0 for none."""

    latest_version: int
    """Highest version that any node is known to have in force."""

    is_first_start: bool
    """Whether no node has run before."""

    contacts: PeerContacts
    """How far this node has reached the others."""


class ReadinessGate:
    """Keeps a node from serving until its routes were compared with peers'.

    Parameters
    ----------
    is_strict
        Whether keys must not be served when they may have been removed.
    """

    def __init__(self, is_strict: bool) -> None:
        """Start closed where keys are bounded strictly."""
        self.is_open = not is_strict
        self._since = math.inf
        self._called_at = math.inf
        self._answered: dict[NodeId, bool] = {}

    def record_answer(self, peer: NodeId, *, is_ready: bool) -> None:
        """Record that a peer has told its version of the routes.

        Parameters
        ----------
        peer
            The peer.
        is_ready
            Whether it serves callers.
        """
        if not self.is_open:
            self._answered[peer] = is_ready

    def update(self, view: StartView, now: float) -> None:
        """Open the gate where the routes in force may be relied on.

        Parameters
        ----------
        view
            What this node knows.
        now
            The present time, in seconds.
        """
        if self.is_open or not view.version:
            return
        self._since = min(self._since, now)
        if view.contacts.has_read_list:
            self._called_at = min(self._called_at, now)
        reason = self._find_reason(view, now)
        if reason is None:
            return
        self.is_open = True
        log = log_event
        if reason is GateReason.TIMED_OUT:
            log = log_warning
        log(
            'routes_compared',
            reason=reason.value,
            version=view.version,
            answered=len(self._answered),
            waited=round(now - self._since, 3),
        )

    def _find_reason(self, view: StartView, now: float) -> GateReason | None:
        """Return why the node may serve, if it may."""
        if view.latest_version > view.version:
            return None
        if view.is_first_start:
            return GateReason.FIRST_START
        if any(self._answered.values()):
            return GateReason.READY_PEER
        contacts = view.contacts
        if contacts.has_read_list and not contacts.pending_dials:
            if not contacts.peers:
                return GateReason.NO_PEERS
            if contacts.peers <= self._answered.keys():
                return GateReason.ALL_ANSWERED
        return self._find_overdue(contacts.peers, now)

    def _find_overdue(
        self,
        peers: frozenset[NodeId],
        now: float,
    ) -> GateReason | None:
        """Return why no peer is waited for any longer, if none is."""
        called_for = now - self._called_at
        is_over = now - self._since >= LOOK_WAIT_SECONDS
        if is_over or called_for >= PEERS_WAIT_SECONDS:
            return GateReason.TIMED_OUT
        if called_for >= RESTART_WAIT_SECONDS and self._do_most_start(peers):
            return GateReason.MOST_START
        return None

    def _do_most_start(self, peers: frozenset[NodeId]) -> bool:
        """Answer whether most peers have told that they start themselves.

        A stop of all nodes leaves some that never come back.
        """
        starting = sum(not self._answered.get(peer, True) for peer in peers)
        return 2 * starting > len(peers)
