"""Choice of the peer that forwards a request.

Nodes that have lost their links to replicas forward their requests through
peers.  The requests are spread over all peers whose links work, so that none
of them carries the load alone.
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
    from waywell.request.replica_table import ReplicaTable

CANDIDATES = 2
"""Number of random peers that are compared by their requests in flight."""

MIN_CORES = 0.1
"""Cores assumed for a peer that reports none."""


def make_peer_key(record: NodeRecord) -> ReplicaKey:
    """Return the key of a peer's incarnation among request destinations."""
    return ReplicaKey(BoxId(record.node), incarnation=record.incarnation)


class PeerChooser:
    """Chooses the peers through which one node forwards requests.

    Parameters
    ----------
    members
        Entry boxes that this node knows.
    records
        This node's load and failure records of its peers.
    random
        Source of the random draws of candidates.
    """

    def __init__(
        self,
        members: MembershipTable,
        records: ReplicaTable,
        random: Random,
    ) -> None:
        """Create a chooser for the node that owns the membership table."""
        self._members = members
        self._records = records
        self._random = random

    def choose(
        self,
        service: ServiceName,
        tried: frozenset[ReplicaKey],
        now: float,
    ) -> NodeRecord | None:
        """Return a peer that should reach a service, if there is one.

        Parameters
        ----------
        service
            Service of the request.
        tried
            Destinations that the request was already sent to.
        now
            Current time, in seconds.
        """
        peers = [
            record
            for record in self.list_peers(service)
            if make_peer_key(record) not in tried
            and self._get_backoff_end(record) <= now
        ]
        return self._draw_least_loaded(peers) if peers else None

    def list_peers(self, service: ServiceName) -> list[NodeRecord]:
        """Return the live peers that report that they reach a service."""
        return [
            record
            for record in self._members.list_live()
            if record.node != self._members.own_name
            and record.state is NodeState.LIVE
            and record.configuration
            and _reaches(record, service)
        ]

    def _get_backoff_end(self, record: NodeRecord) -> float:
        return self._records.get(make_peer_key(record)).backoff_until

    def _draw_least_loaded(self, peers: list[NodeRecord]) -> NodeRecord:
        """Return the least loaded of a few peers drawn by their cores."""
        cores = [max(MIN_CORES, peer.cores) for peer in peers]
        candidates = self._random.choices(peers, cores, k=CANDIDATES)
        return min(candidates, key=self._compute_load)

    def _compute_load(self, record: NodeRecord) -> float:
        """Return this node's requests in flight at a peer, per core."""
        in_flight = self._records.get(make_peer_key(record)).in_flight
        return in_flight / max(MIN_CORES, record.cores)


def _reaches(record: NodeRecord, service: ServiceName) -> bool:
    """Return whether a peer reports that it reaches a service's replicas."""
    lost = record.lost_services
    return lost is not None and service not in lost
