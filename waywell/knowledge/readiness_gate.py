"""The check that a starting node passes before it serves requests.

A store restored from an older copy may hold an earlier version of the routes,
with keys that have been removed since.  Nodes that were already running know
the later version, so a starting node compares its version with theirs.
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

PEER_ANSWER_TIMEOUT = 2.0
"""Seconds to wait for the answers of peers that were called."""

RESTART_TIMEOUT = 0.5
"""Seconds to wait for silent peers if most of the peers are starting too."""

NODE_LIST_TIMEOUT = 5.0
"""Seconds to wait for the list of nodes once routes are in force; an
unanswered call is repeated after 2 s."""


class GateReason(enum.Enum):
    """Reason for which a starting node may serve."""

    FIRST_START = 'first_start'
    READY_PEER = 'ready_peer'
    ALL_ANSWERED = 'all_answered'
    NO_PEERS = 'no_peers'
    MOST_START = 'most_start'
    TIMED_OUT = 'timed_out'


@attrs.frozen
class StartupState:
    """Routes and other nodes, as a starting node knows them."""

    version: int
    """Version of the routes in force at this node; 0 for none."""

    latest_version: int
    """Latest version known to be in force at any node."""

    is_first_start: bool
    """Whether the whole system starts for the first time."""

    contacts: PeerContacts
    """Peers and open calls of this node."""


class ReadinessGate:
    """Delays serving until the routes have been compared with the peers'.

    Parameters
    ----------
    is_strict
        Whether keys that may have been removed must be refused.
    """

    def __init__(self, is_strict: bool) -> None:
        """Start closed if keys are strict, else open."""
        self.is_open = not is_strict
        self._routes_since = math.inf
        self._called_at = math.inf
        self._answered: dict[NodeId, bool] = {}

    def record_answer(self, peer: NodeId, *, is_ready: bool) -> None:
        """Record that a peer has reported its version of the routes.

        Parameters
        ----------
        peer
            Node that answered.
        is_ready
            Whether that node serves requests.
        """
        if not self.is_open:
            self._answered[peer] = is_ready

    def update(self, state: StartupState, now: float) -> None:
        """Open the gate if the routes in force may be relied on.

        Parameters
        ----------
        state
            Routes and other nodes, as this node knows them.
        now
            The current time, in seconds.
        """
        if self.is_open or not state.version:
            return
        self._routes_since = min(self._routes_since, now)
        if state.contacts.has_read_list:
            self._called_at = min(self._called_at, now)
        reason = self._find_reason(state, now)
        if reason is None:
            return
        self.is_open = True
        log = log_event
        if reason is GateReason.TIMED_OUT:
            log = log_warning
        log(
            'routes_compared',
            reason=reason.value,
            version=state.version,
            answered=len(self._answered),
            waited=round(now - self._routes_since, 3),
        )

    def _find_reason(
        self, state: StartupState, now: float
    ) -> GateReason | None:
        """Return the reason to open the gate, or ``None``."""
        if state.latest_version > state.version:
            return None
        if state.is_first_start:
            return GateReason.FIRST_START
        if any(self._answered.values()):
            return GateReason.READY_PEER
        contacts = state.contacts
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
        """Return the reason to stop waiting for peers, or ``None``."""
        since_call = now - self._called_at
        has_timed_out = now - self._routes_since >= NODE_LIST_TIMEOUT
        if has_timed_out or since_call >= PEER_ANSWER_TIMEOUT:
            return GateReason.TIMED_OUT
        if since_call >= RESTART_TIMEOUT and self._are_most_starting(peers):
            return GateReason.MOST_START
        return None

    def _are_most_starting(self, peers: frozenset[NodeId]) -> bool:
        """Return whether most peers have reported that they are starting.

        After a stop of all nodes some may never return, so silent peers are
        not waited for in full.
        """
        starting = sum(not self._answered.get(peer, True) for peer in peers)
        return 2 * starting > len(peers)
