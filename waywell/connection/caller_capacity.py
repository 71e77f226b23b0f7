"""What all callers of a node may occupy together."""

from __future__ import annotations

import attrs

from waywell.limits.chunk_pacer import ChunkPacer
from waywell.limits.memory_budget import MemoryBudget

OWN_BYTES = 100_663_296
"""Memory that a node needs without callers, in bytes: modules, box list,
membership and the messages of peers."""

CALLER_SHARE = 0.5
"""Share of the rest that callers may occupy.  The other half is for freed
memory that is not reusable yet, and for what the budget only estimates."""

MIN_CALLER_BYTES = 33_554_432
"""Memory that callers may occupy at least, in bytes: a request of the largest
body that is usual, with its copies."""

CONNECTION_SHARE = 0.5
"""Share of the descriptors that connections of callers may use; the rest is
for replicas, peers and the store."""

QUERY_SHARE = 0.25
"""Connections of each port for short queries, as a share of those of
callers."""

MIN_CONNECTIONS = 16
"""Connections of callers that are accepted at least."""

CONNECTION_BYTES = 16_384
"""Memory of an open connection, in bytes."""

REQUEST_BYTES = 49_152
"""Memory of a request that is being served, without its body, in bytes."""

BODY_COPIES = 2
"""Copies of a body that may wait to be sent to replicas or peers, in addition
to the body: that of the request, and that of a retry or hedge."""


@attrs.frozen
class CallerCapacity:
    """Memory and connections that all callers may use together."""

    memory: MemoryBudget
    """Memory of connections, bodies and answers."""

    connections: int
    """Largest number of open connections."""

    pacer: ChunkPacer = attrs.Factory(ChunkPacer)
    """Pace of decoding bodies in small chunks."""

    @property
    def query_connections(self) -> int:
        """Return the largest number of connections of a port for queries."""
        return max(MIN_CONNECTIONS, int(QUERY_SHARE * self.connections))


def make_caller_capacity(memory: int, descriptors: int) -> CallerCapacity:
    """Return the capacity of a node.

    Parameters
    ----------
    memory
        Memory that the process may use, in bytes.
    descriptors
        Descriptors that the process may have open.
    """
    limit = max(MIN_CALLER_BYTES, int(CALLER_SHARE * (memory - OWN_BYTES)))
    connections = max(MIN_CONNECTIONS, int(CONNECTION_SHARE * descriptors))
    return CallerCapacity(MemoryBudget(limit), connections)
