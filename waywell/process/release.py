"""Rules for releasing the boxes of a group and for routing without fencing.

A leaving group keeps its boxes until no node can send it new requests: every
node has announced that it applies the roster in which the group is leaving, or
has lost the right to route by an older one.  For targets with fencing no such
right is needed, because they refuse requests of an earlier epoch.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from waywell.membership.membership import NodeRecord, NodeState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from waywell.version.roster import Group

RELEASE_MARGIN = 1.5
"""Multiple of the route term that a release waits for a silent node."""


def sees_majority(records: Iterable[NodeRecord]) -> bool:
    """Return whether more than half of the known nodes are not lost."""
    states = [record.state for record in records]
    present = sum(state is not NodeState.LOST for state in states)
    return present * 2 > len(states)


def may_route_unfenced(
    records: Iterable[NodeRecord],
    platform_age: float,
    route_term: float,
) -> bool:
    """Return whether a node may route to targets without fencing.

    A node loses that right when the platform was not reached for the
    term and the node sees no more than half of the nodes that it knows.
    An outage of the platform alone thus stops nothing, and of two
    partitions at most one continues for longer than the term.

    Parameters
    ----------
    records
        Membership view.
    platform_age
        Seconds since a node is last known to have reached the platform.
    route_term
        Term of the right to route, in seconds.
    """
    return platform_age < route_term or sees_majority(records)


class ReleaseTracker:
    """Decides when the boxes of leaving groups are released.

    Parameters
    ----------
    route_term
        Term of the right to route by an older roster, in seconds.
    drain
        Maximum wait for the work in flight of a group, in seconds.
    """

    def __init__(self, route_term: float, drain: float) -> None:
        """Create a tracker without any leaving groups."""
        self._route_term = route_term
        self._drain = drain
        self._unroutable_since: dict[tuple[str, int], float] = {}
        self._lost_at: dict[str, float] = {}

    def update_lost_nodes(
        self, records: Iterable[NodeRecord], now: float
    ) -> None:
        """Record since when each lost node in a membership view is lost."""
        lost = {
            record.node for record in records if record.state is NodeState.LOST
        }
        for node in tuple(self._lost_at):
            if node not in lost:
                self._lost_at.pop(node)
        for node in lost:
            self._lost_at.setdefault(node, now)

    def is_released(
        self,
        group: Group,
        fenced: bool,
        records: tuple[NodeRecord, ...],
        load: int | None,
        now: float,
    ) -> bool:
        """Return whether the boxes of a leaving group are released.

        Parameters
        ----------
        group
            The leaving group.
        fenced
            Whether its targets refuse requests of an earlier epoch.
        records
            Membership view.
        load
            Requests in flight at its head, or ``None`` if unknown.
        now
            Current time, in seconds.
        """
        if not self._is_unroutable(group, fenced, records, now):
            return False
        key = (group.group, group.changed)
        unroutable_since = self._unroutable_since.setdefault(key, now)
        return load == 0 or now - unroutable_since >= self._drain

    def retain(self, groups: Iterable[Group]) -> None:
        """Drop the state of all groups except the given ones."""
        kept = {(group.group, group.changed) for group in groups}
        for key in tuple(self._unroutable_since):
            if key not in kept:
                self._unroutable_since.pop(key)

    def _is_unroutable(
        self,
        group: Group,
        fenced: bool,
        records: tuple[NodeRecord, ...],
        now: float,
    ) -> bool:
        """Return whether no node can send a group new requests."""
        outdated = [
            record for record in records if record.roster < group.changed
        ]
        present = [
            record for record in outdated if record.state is not NodeState.LOST
        ]
        if present:
            return False
        if fenced or not outdated:
            return True
        term = self._route_term * RELEASE_MARGIN
        silent = all(
            now - self._lost_at.get(record.node, now) >= term
            for record in outdated
        )
        return silent and sees_majority(records)
