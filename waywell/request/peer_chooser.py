"""The choice of a peer that forwards a request.

Answers nodes that have lost their links to replicas: their requests are spread
over all nodes that have theirs, so that none of these carries them alone.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from waywell.ids import BoxId
from waywell.membership.membership import NodeState
from waywell.version.fleet import ReplicaKey

if TYPE_CHECKING:
    from random import Random

    from waywell.ids import ServiceName
    from waywell.membership.membership import MembershipTable, NodeRecord
    from waywell.request.replica_book import ReplicaBook

COMPARED = 2
"""Peers that are drawn and compared by their requests in flight."""

LEAST_CORES = 0.1
"""Cores that a peer counts for which does not tell them."""


def make_peer_key(record: NodeRecord) -> ReplicaKey:
    """Return what tells a run of a peer from other destinations."""
    return ReplicaKey(BoxId(record.node), incarnation=record.incarnation)


class PeerChooser:
    """Chooses peers for one node.

    Parameters
    ----------
    members
        Entry boxes that this node knows.
    book
        What this node has seen of peers.
    random
        Draws the peers that are compared.
    """

    def __init__(
        self,
        members: MembershipTable,
        book: ReplicaBook,
        random: Random,
    ) -> None:
        """Choose nobody yet."""
        self._members = members
        self._book = book
        self._random = random

    def choose(
        self,
        service: ServiceName,
        tried: frozenset[ReplicaKey],
        now: float,
    ) -> NodeRecord | None:
        """Return a peer that is likely to reach the replicas of a service.

        Parameters
        ----------
        service
            Service of the request.
        tried
            Destinations that the request was sent to before.
        now
            The present time, in seconds.
        """
        peers = [
            record
            for record in self.list_peers(service)
            if make_peer_key(record) not in tried
            and self._get_rest(record) <= now
        ]
        return self._compare(peers) if peers else None

    def list_peers(self, service: ServiceName) -> list[NodeRecord]:
        """Return the peers that say that they reach a service."""
        return [
            record
            for record in self._members.list_live()
            if record.node != self._members.own_name
            and record.state is NodeState.LIVE
            and record.configuration
            and _reaches(record, service)
        ]

    def _get_rest(self, record: NodeRecord) -> float:
        return self._book.get(make_peer_key(record)).backoff_until

    def _compare(self, peers: list[NodeRecord]) -> NodeRecord:
        """Return the least loaded of a few that are drawn by their cores."""
        cores = [max(LEAST_CORES, peer.cores) for peer in peers]
        drawn = self._random.choices(peers, cores, k=COMPARED)
        return min(drawn, key=self._count_in_flight)

    def _count_in_flight(self, record: NodeRecord) -> float:
        in_flight = self._book.get(make_peer_key(record)).in_flight
        return in_flight / max(LEAST_CORES, record.cores)


def _reaches(record: NodeRecord, service: ServiceName) -> bool:
    """Answer whether a peer says that it reaches the replicas of a service."""
    lost = record.lost_services
    return lost is not None and service not in lost
