"""Queries to peers about boxes that this node can't reach."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from waywell.connection.peer import ReachabilityQuery, ReachabilityReport
from waywell.ids import NodeId

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from waywell.ids import BoxId
    from waywell.membership.gossip import Gossip
    from waywell.membership.links import PeerLinks

REPORT_SECONDS = 0.3
"""Time in seconds that peers get for a report: twice the timeout of one
connection."""

EXTRA_REPORT_SECONDS = 0.9
"""Additional time in seconds if no peer has reported by then."""

PEERS_QUERIED = 3
"""Number of peers that get a query; several, because half of a data hall may
have lost its links."""

STREAM_USER = 'reachability'
"""Name under which this module requests streams to peers."""


@attrs.define
class _Query:
    """A query that waits for reports."""

    needed: int
    awaited: int
    witness: asyncio.Future[NodeId | None]


class ReachabilityQueries:
    """Finds a peer that can reach the boxes that this node can't.

    Parameters
    ----------
    gossip
        Task that keeps the membership.
    links
        Streams to peers.
    random
        Selects the peers that get a query.
    """

    def __init__(
        self,
        gossip: Gossip,
        links: PeerLinks,
        random: Random,
    ) -> None:
        """Start without queries."""
        self._gossip = gossip
        self._links = links
        self._random = random
        self._serial = 0
        self._open_queries: dict[int, _Query] = {}

    async def find_witness(self, boxes: Iterable[BoxId]) -> NodeId | None:
        """Return a peer that reaches at least two thirds of some boxes.

        Some of the boxes may have failed themselves, so a peer need not reach
        all of them.
        """
        queried = tuple(boxes)
        peers = self._choose_peers()
        if not peers:
            return None
        witness: asyncio.Future[NodeId | None]
        witness = asyncio.get_running_loop().create_future()
        self._serial += 1
        needed = max(1, len(queried) - len(queried) // 3)
        serial = self._serial
        query = _Query(needed, len(peers), witness)
        self._open_queries[serial] = query
        for peer in peers:
            self._links.send(peer, ReachabilityQuery(serial, queried))
        try:
            await asyncio.wait({witness}, timeout=REPORT_SECONDS)
            if query.awaited == len(peers):
                # Peers without a report are no evidence about the links.
                await asyncio.wait({witness}, timeout=EXTRA_REPORT_SECONDS)
        finally:
            self._open_queries.pop(serial)
        return witness.result() if witness.done() else None

    def handle_report(
        self, report: ReachabilityReport, sender: NodeId
    ) -> None:
        """Process a peer's report and resolve its query if it is decisive."""
        query = self._open_queries.get(report.query)
        if query is None or query.witness.done():
            return
        query.awaited -= 1
        if len(report.reached) >= query.needed:
            query.witness.set_result(sender)
        elif not query.awaited:
            query.witness.set_result(None)

    def _choose_peers(self) -> list[NodeId]:
        """Return the peers for a query, those of other data halls first.

        An interruption often affects the links of a whole data hall.
        """
        table = self._gossip.table
        peers = [
            record
            for record in table.list_live()
            if record.lost_services is not None
            and record.node != table.own_name
        ]
        self._random.shuffle(peers)
        peers.sort(
            key=lambda record: (
                bool(record.lost_services),
                record.hall == table.own.hall,
            )
        )
        # Streams that are not yet established are available to the next query.
        self._gossip.keep_streams(STREAM_USER, tuple(peers[:PEERS_QUERIED]))
        connected = [
            peer.node for peer in peers if self._links.has_peer(peer.node)
        ]
        return connected[:PEERS_QUERIED]
