"""Forwarding through a peer when this node is cut off from replicas."""

from __future__ import annotations

from typing import TYPE_CHECKING

from waywell.connection.exchange import OutgoingRequest
from waywell.connection.forwarding import ForwardingHeader, read_refusal
from waywell.request.decoded_request import AnswerMetadata
from waywell.request.destination import Destination
from waywell.request.peer_chooser import make_peer_key

if TYPE_CHECKING:
    from waywell.connection.wire_format import RawHeaders
    from waywell.membership.membership import NodeRecord
    from waywell.request.request_context import (
        ForwarderDependencies,
        RequestContext,
    )


class PeerDestination(Destination):
    """A peer that forwards a request to a replica for this node.

    The peer applies its own permits, budget and quarantine, so this node
    records nothing about the replicas that the peer uses.

    Parameters
    ----------
    dependencies
        Collaborators of the forwarder.
    context
        State of the request.
    peer
        Membership record of the peer.
    """

    def __init__(
        self,
        dependencies: ForwarderDependencies,
        context: RequestContext,
        peer: NodeRecord,
    ) -> None:
        """Reserve the remaining sends of the request for the peer.

        The routes of the peer may be older and let it repeat a request that
        may run only once, so such a request gets a single send.
        """
        self.key = make_peer_key(peer)
        self.replica_table = dependencies.peer_table
        self._dependencies = dependencies
        self._context = context
        self._peer = peer
        left = max(1, context.max_sends - context.sends)
        self._sends = left if context.may_retry_elsewhere else 1

    def describe(self) -> dict[str, object]:
        """Return the fields that identify the peer in log lines."""
        return {'peer': self._peer.node}

    def make_outgoing(self, now: float) -> OutgoingRequest:
        """Return the request in the form in which it is sent at ``now``."""
        context = self._context
        return OutgoingRequest(
            self._peer.host,
            self._peer.caller_port,
            context.request.method,
            context.request.target,
            self._dependencies.wire.make_forward_headers(
                context.request,
                ForwardingHeader(self._dependencies.node, self._sends),
                context.deadline_at - now,
                context.last_event,
            ),
            context.request.body,
        )

    def may_send(self, now: float) -> bool:
        """Return ``True``, as the peer makes the checks itself."""
        return True

    def count_sends(self) -> int:
        """Return the maximum number of replicas that the peer may use."""
        return self._sends

    def read_metadata(
        self, status: int, headers: RawHeaders
    ) -> AnswerMetadata:
        """Return the attempt id or the refusal from the head of an answer.

        All other metadata of the replica concerns only the peer, which has
        applied it.
        """
        metadata = self._dependencies.wire.read_metadata(status, headers)
        if metadata.attempt_id:
            return AnswerMetadata(metadata.attempt_id)
        return AnswerMetadata(refusal=read_refusal(headers))
