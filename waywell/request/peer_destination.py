"""A peer that forwards requests for a node without links to replicas."""

from __future__ import annotations

from typing import TYPE_CHECKING

from waywell.connection.exchange import Outgoing
from waywell.connection.forwarding import ForwardMark, read_refusal
from waywell.request.decoded_request import AnswerMetadata
from waywell.request.destination import Destination
from waywell.request.peer_chooser import make_peer_key

if TYPE_CHECKING:
    from waywell.connection.wire import RawHeaders
    from waywell.membership.membership import NodeRecord
    from waywell.request.request_context import (
        ForwarderDependencies,
        RequestContext,
    )


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
        dependencies: ForwarderDependencies,
        context: RequestContext,
        peer: NodeRecord,
    ) -> None:
        """Send nothing yet."""
        self.key = make_peer_key(peer)
        self.book = dependencies.peer_book
        self._dependencies = dependencies
        self._context = context
        self._peer = peer
        self._sends = max(1, context.max_sends - context.sends)

    def describe(self) -> dict[str, object]:
        """Return what log lines tell of it."""
        return {'peer': self._peer.node}

    def make_outgoing(self, now: float) -> Outgoing:
        """Return the request as it is sent there at ``now``."""
        context = self._context
        return Outgoing(
            self._peer.host,
            self._peer.caller_port,
            context.request.method,
            context.request.target,
            self._dependencies.wire.make_forward_headers(
                context.request,
                ForwardMark(self._dependencies.node, self._sends),
                context.deadline_at - now,
                context.last_event,
            ),
            context.request.body,
        )

    def may_send(self, now: float) -> bool:
        """Answer that the request may go: the peer checks it anew."""
        return True

    def count_sends(self) -> int:
        """Return how many replicas the attempt may reach."""
        return self._sends

    def read_metadata(
        self, status: int, headers: RawHeaders
    ) -> AnswerMetadata:
        """Return what the head of an answer says of it.

        What a replica tells of itself there was told to the peer.
        """
        metadata = self._dependencies.wire.read_mark(status, headers)
        if metadata.attempt_id:
            return AnswerMetadata(metadata.attempt_id)
        return AnswerMetadata(refusal=read_refusal(headers))
