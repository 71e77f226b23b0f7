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

    loads: SharedLoads
    """What other nodes tell; the chooser reads it too."""

    budget: ResendBudget
    """Second sends."""

    random: Random
    """Draws when callers should come back."""

    book: ReplicaTable = attrs.Factory(ReplicaTable)
    """What it has seen of replicas."""


def share_loads(nodes: Iterable[Node], now: float) -> None:
    """Let each node tell all others of its requests in flight."""
    listed = tuple(nodes)
    for teller in listed:
        told = teller.book.list_loads()
        for hearer in listed:
            if hearer is not teller:
                hearer.loads.update(teller.name, told, now)
