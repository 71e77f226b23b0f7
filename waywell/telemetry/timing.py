"""Settings of the periods and terms of membership, leases and health."""

from __future__ import annotations

import attrs


@attrs.frozen
class TimingSettings:
    """Periods, terms and timeouts, all in seconds."""

    beat: float = 1.0
    """Period of liveness messages to a neighbour."""

    silence: float = 3.0
    """Time without a message after which a neighbour is suspected."""

    suspicion: float = 2.0
    """Time after which a suspected node counts as lost unless it answers."""

    lease: float = 6.0
    """Term of a lease in the platform."""

    recheck: float = 60.0
    """Period of reads of whole documents, in case a watch missed a change."""

    probe: float = 1.0
    """Period of health checks of a box."""

    evidence: float = 6.0
    """Time after which evidence that a group is down expires."""

    entry_list: float = 5.0
    """Time for which callers may keep the entry list."""

    drain: float = 60.0
    """Maximum wait of a stopping node for its work in flight."""

    group_drain: float = 60.0
    """Maximum wait of a leaving group for its work in flight."""

    route_term: float = 900.0
    """Time after which a silent node has lost the right to route by an old
    roster."""
