"""An entry box of the model: what it knows, and the decisions it makes."""

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
    """An entry box."""

    name: NodeId
    """Name."""

    chooser: ReplicaChooser
    """Chooses replicas."""

    shared_loads: SharedLoads
    """What other nodes tell; the chooser reads it too."""

    budget: ResendBudget
    """Second sends."""

    random: Random
    """Draws when callers should come back."""

    replica_table: ReplicaTable = attrs.Factory(ReplicaTable)
    """What it has seen of replicas."""


def share_loads(nodes: Iterable[Node], now: float) -> None:
    """Let each node tell all others of its requests in flight."""
    all_nodes = tuple(nodes)
    for sender in all_nodes:
        loads = sender.replica_table.list_loads()
        for receiver in all_nodes:
            if receiver is not sender:
                receiver.shared_loads.update(sender.name, loads, now)
