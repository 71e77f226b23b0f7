"""Which node of each data hall reads the platform for the others."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from waywell.membership.membership import NodeState, rank_candidates
from waywell.telemetry.events import log_event

if TYPE_CHECKING:
    from waywell.ids import HallName, NodeId
    from waywell.membership.membership import MembershipTable, NodeRecord


class HallReaders:
    """Chooses the readers by one node's view of the membership.

    Parameters
    ----------
    table
        The view.
    """

    def __init__(self, table: MembershipTable) -> None:
        """Choose none yet."""
        self.own: NodeId | None = None
        self._table = table
        self._chosen_for: int | None = None
        self._readers: dict[HallName, NodeRecord] = {}

    def choose(self) -> dict[HallName, NodeRecord]:
        """Return the reader of each hall, chosen anew where the view changed.

        This node's own record is among those of its hall in any state.
        """
        if self._table.digest != self._chosen_for:
            self._chosen_for = self._table.digest
            self._readers = self._find()
            self._note_own()
        return dict(self._readers)

    def _find(self) -> dict[HallName, NodeRecord]:
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

    def _note_own(self) -> None:
        hall = self._table.own.hall
        reader = self._readers[hall].node
        if reader != self.own:
            self.own = reader
            log_event('reader_chosen', reader=reader, hall=hall)


def pick_reader(hall: HallName, records: list[NodeRecord]) -> NodeRecord:
    """Return the node that reads for a hall.

    While groups form, the answers to a hall of two dozen nodes fill a link of
    20 Mbit/s, so the widest link goes first, then the most processor, then a
    hash.
    """
    widest = max(record.link_mbps for record in records)
    by_name = {
        record.node: record for record in records if record.link_mbps == widest
    }
    names = rank_candidates(by_name.values(), f'reader/{hall}', 1)
    return by_name[names[0]]
