"""Periods of membership, leases and health."""

from __future__ import annotations

import attrs


@attrs.frozen
class TimingSettings:
    """Periods and bounds, in seconds."""

    beat: float = 1.0
    """Between two messages of liveness to a neighbour."""

    silence: float = 3.0
    """Without a message until a neighbour is suspected."""

    suspicion: float = 2.0
    """From a suspicion until a node counts as lost, unless it answers."""

    lease: float = 6.0
    """Term of a lease in the platform."""

    recheck: float = 60.0
    """Between two reads of whole documents, to repair a missed watch."""

    probe: float = 1.0
    """Between two health checks of a box."""

    evidence: float = 6.0
    """Until the word that a group is down lapses."""

    entry_list: float = 5.0
    """For which callers may keep the entry list."""

    drain: float = 60.0
    """For which a stopping node waits for work in flight."""

    group_drain: float = 60.0
    """For which a leaving group waits for work in flight."""

    route_term: float = 900.0
    """After which a silent node has lost its right to an old roster."""
