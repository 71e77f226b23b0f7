"""The choice of the node in each data hall that reads the platform."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from waywell.membership.membership import NodeState, rank_candidates
from waywell.telemetry.events import log_event

if TYPE_CHECKING:
    from waywell.ids import HallName, NodeId
    from waywell.membership.membership import MembershipTable, NodeRecord


class HallReaders:
    """Chooses the reader of each hall from one node's membership table.

    Parameters
    ----------
    table
        Membership as this node knows it.
    """

    def __init__(self, table: MembershipTable) -> None:
        """Start without readers; ``choose`` sets them."""
        self.own_reader: NodeId | None = None
        self._table = table
        self._chosen_digest: int | None = None
        self._readers: dict[HallName, NodeRecord] = {}

    def choose(self) -> dict[HallName, NodeRecord]:
        """Return the reader of each hall.

        Readers are chosen again if the membership has changed. This node's own
        record is a candidate in its hall regardless of its state.
        """
        if self._table.digest != self._chosen_digest:
            self._chosen_digest = self._table.digest
            self._readers = self._choose_readers()
            self._update_own()
        return dict(self._readers)

    def _choose_readers(self) -> dict[HallName, NodeRecord]:
        own = self._table.own
        halls: dict[HallName, list[NodeRecord]] = defaultdict(list)
        halls[own.hall].append(own)
        for record in self._table.list_live():
            is_other = record.node != own.node
            if is_other and record.state is NodeState.LIVE:
                halls[record.hall].append(record)
        return {
            hall: pick_reader(hall, records) for hall, records in halls.items()
        }

    def _update_own(self) -> None:
        hall = self._table.own.hall
        reader = self._readers[hall].node
        if reader != self.own_reader:
            self.own_reader = reader
            log_event('reader_chosen', reader=reader, hall=hall)


def pick_reader(hall: HallName, records: list[NodeRecord]) -> NodeRecord:
    """Return the node that reads the platform for a hall.

    Nodes are ranked by link bandwidth, then by processor cores, then by a
    hash. Bandwidth comes first since the answers to a hall of two dozen nodes
    fill a link of 20 Mbit/s while groups form.
    """
    max_link_mbps = max(record.link_mbps for record in records)
    by_name = {
        record.node: record
        for record in records
        if record.link_mbps == max_link_mbps
    }
    names = rank_candidates(by_name.values(), f'reader/{hall}', 1)
    return by_name[names[0]]
