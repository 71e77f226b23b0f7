"""Queries to peers about boxes that this node does not reach."""

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
"""For a peer to report: twice the time that it gives a connection."""

EXTRA_REPORT_SECONDS = 0.9
"""Further seconds for the first report, while no peer has sent one."""

PEERS_ASKED = 3
"""Peers that get a query; half of a data hall may have lost its links."""

STREAM_USER = 'reachability'
"""Name under which streams to other halls are kept."""


@attrs.define
class _Query:
    """A query whose reports are waited for."""

    needed: int
    awaited: int
    witness: asyncio.Future[NodeId | None]


class ReachabilityQueries:
    """Finds a peer that reaches what this node does not.

    Parameters
    ----------
    gossip
        Membership.
    links
        Streams to peers.
    random
        Draws the peers that are asked.
    """

    def __init__(
        self,
        gossip: Gossip,
        links: PeerLinks,
        random: Random,
    ) -> None:
        """Ask nobody yet."""
        self._gossip = gossip
        self._links = links
        self._random = random
        self._serial = 0
        self._open_queries: dict[int, _Query] = {}

    async def find_witness(self, boxes: Iterable[BoxId]) -> NodeId | None:
        """Return a peer that reaches nearly all of some boxes.

        One box may have failed by itself, so it need not reach all of many.
        """
        asked = tuple(boxes)
        peers = self._choose_peers()
        if not peers:
            return None
        witness: asyncio.Future[NodeId | None]
        witness = asyncio.get_running_loop().create_future()
        self._serial += 1
        needed = max(1, len(asked) - len(asked) // 3)
        serial = self._serial
        query = _Query(needed, len(peers), witness)
        self._open_queries[serial] = query
        for peer in peers:
            self._links.send(peer, ReachabilityQuery(serial, asked))
        try:
            await asyncio.wait({witness}, timeout=REPORT_SECONDS)
            if query.awaited == len(peers):
                # Silent peers say nothing of the links.
                await asyncio.wait({witness}, timeout=EXTRA_REPORT_SECONDS)
        finally:
            self._open_queries.pop(serial)
        return witness.result() if witness.done() else None

    def handle_report(
        self, report: ReachabilityReport, sender: NodeId
    ) -> None:
        """Take in a peer's report."""
        query = self._open_queries.get(report.query)
        if query is None or query.witness.done():
            return
        query.awaited -= 1
        if len(report.reached) >= query.needed:
            query.witness.set_result(sender)
        elif not query.awaited:
            query.witness.set_result(None)

    def _choose_peers(self) -> list[NodeId]:
        """Return peers to ask, those of other data halls first.

        A cut often takes the links of a whole data hall.
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
        # Streams that are not there yet serve the next query.
        self._gossip.keep_streams(STREAM_USER, tuple(peers[:PEERS_ASKED]))
        near = [one.node for one in peers if self._links.has_peer(one.node)]
        return near[:PEERS_ASKED]
