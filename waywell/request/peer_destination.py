"""A peer that forwards requests for a node without links to replicas."""

from __future__ import annotations

from typing import TYPE_CHECKING

from waywell.connection.exchange import OutgoingRequest
from waywell.connection.forwarding import ForwardMark, read_refusal
from waywell.request.ask import AnswerMark
from waywell.request.destination import Destination
from waywell.request.peer_chooser import make_peer_key

if TYPE_CHECKING:
    from waywell.connection.wire_format import RawHeaders
    from waywell.membership.membership import NodeRecord
    from waywell.request.request_context import ForwarderParts, RequestContext


class PeerDestination(Destination):
    """A peer that serves a request in this node's place.

    The peer draws on its own permits, budget and quarantine, so this node
    records nothing of the replicas that it uses.

    Parameters
    ----------
    parts
        What the forwarder works with.
    context
        The request.
    peer
        The peer.
    """

    def __init__(
        self,
        parts: ForwarderParts,
        context: RequestContext,
        peer: NodeRecord,
    ) -> None:
        """Send nothing yet."""
        self.key = make_peer_key(peer)
        self.book = parts.peer_book
        self._parts = parts
        self._context = context
        self._peer = peer
        self._sends = max(1, context.most_sends - context.sends)

    def describe(self) -> dict[str, object]:
        """Return what log lines tell of it."""
        return {'peer': self._peer.node}

    def make_outgoing(self, now: float) -> OutgoingRequest:
        """Return the request as it is sent there at ``now``."""
        context = self._context
        return OutgoingRequest(
            self._peer.host,
            self._peer.caller_port,
            context.ask.method,
            context.ask.target,
            self._parts.wire.make_forward_headers(
                context.ask,
                ForwardMark(self._parts.node, self._sends),
                context.ends_at - now,
                context.last_event,
            ),
            context.ask.body,
        )

    def may_send(self, now: float) -> bool:
        """Answer that the request may go: the peer checks it anew."""
        return True

    def count_sends(self) -> int:
        """Return how many replicas the attempt may reach."""
        return self._sends

    def read_mark(self, status: int, headers: RawHeaders) -> AnswerMark:
        """Return what the head of an answer says of it.

        What a replica tells of itself there was told to the peer.
        """
        mark = self._parts.wire.read_mark(status, headers)
        if mark.attempt:
            return AnswerMark(mark.attempt)
        return AnswerMark(refusal=read_refusal(headers))
