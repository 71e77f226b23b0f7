"""A simulated entry box: its knowledge and its routing decisions."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import attrs

from waywell.ids import NodeId
from waywell.request.placement import ReplicaChooser
from waywell.request.replica_table import ReplicaTable
from waywell.request.resend_budget import ResendBudget
from waywell.request.shared_loads import SharedLoads

if TYPE_CHECKING:
    from collections.abc import Iterable


@attrs.frozen(eq=False)
class Node:
    """Objects with which an entry box makes its decisions."""

    name: NodeId
    """Id in the load reports to other nodes."""

    chooser: ReplicaChooser
    """Chooses a replica for each attempt."""

    shared_loads: SharedLoads
    """Loads reported by other nodes, which the chooser reads too."""

    budget: ResendBudget
    """Budget of resends."""

    random: Random
    """Source of the jitter of Retry-After."""

    replica_table: ReplicaTable = attrs.Factory(ReplicaTable)
    """Requests in flight and failures that the node observed, by replica."""


def share_loads(nodes: Iterable[Node], now: float) -> None:
    """Send each node's requests in flight to all other nodes."""
    all_nodes = tuple(nodes)
    for sender in all_nodes:
        loads = sender.replica_table.list_loads()
        for receiver in all_nodes:
            if receiver is not sender:
                receiver.shared_loads.update(sender.name, loads, now)
