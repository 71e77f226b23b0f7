"""When a box may be given away, and when a node must stop by itself.

A leaving group keeps its boxes until no node can send it anything new:
every node has said that it applies the roster in which the group is
leaving, or has lost its right to an older one.  Targets that check
fences need no such right: they refuse an earlier epoch themselves.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from waywell.membership.membership import NodeRecord, NodeState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from waywell.version.roster import Group

RELEASE_MARGIN = 1.5
"""Times the route term that a release waits for a silent node."""


def sees_majority(records: Iterable[NodeRecord]) -> bool:
    """Answer whether more than half of the known nodes are present."""
    states = [record.state for record in records]
    present = sum(state is not NodeState.LOST for state in states)
    return present * 2 > len(states)


def may_route_unfenced(
    records: Iterable[NodeRecord],
    platform_age: float,
    route_term: float,
) -> bool:
    """Answer whether a node may go on by its roster.

    A node loses that right when nothing was heard of the platform for
    the term and it sees no more than half of the nodes it knows.  So an
    outage of the platform alone stops nothing, and of two parts that
    don't see each other at most one goes on for longer than the term.

    Parameters
    ----------
    records
        Membership view.
    platform_age
        Seconds since any node is known to have reached the platform.
    route_term
        Term of the right, in seconds.
    """
    return platform_age < route_term or sees_majority(records)


class ReleaseTracker:
    """Decides when leaving groups give up their boxes.

    Parameters
    ----------
    route_term
        Term of the right to route by an older roster, in seconds.
    drain
        Seconds for which work in flight is waited for.
    """

    def __init__(self, route_term: float, drain: float) -> None:
        """Start without leaving groups."""
        self._route_term = route_term
        self._drain = drain
        self._let_go_at: dict[tuple[str, int], float] = {}
        self._lost_at: dict[str, float] = {}

    def update_lost_nodes(
        self, records: Iterable[NodeRecord], now: float
    ) -> None:
        """Take in the membership view, to know how long nodes are lost."""
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
        """Answer whether a leaving group's boxes are free.

        Parameters
        ----------
        group
            The leaving group.
        fenced
            Whether its targets refuse an earlier epoch.
        records
            Membership view.
        load
            Requests in flight at its first box, if it says so.
        now
            Present time, in seconds.
        """
        if not self._have_let_go(group, fenced, records, now):
            return False
        key = (group.group, group.changed)
        let_go_at = self._let_go_at.setdefault(key, now)
        return load == 0 or now - let_go_at >= self._drain

    def forget(self, groups: Iterable[Group]) -> None:
        """Keep notes about the given groups only."""
        kept = {(group.group, group.changed) for group in groups}
        for key in tuple(self._let_go_at):
            if key not in kept:
                self._let_go_at.pop(key)

    def _have_let_go(
        self,
        group: Group,
        fenced: bool,
        records: tuple[NodeRecord, ...],
        now: float,
    ) -> bool:
        behind = [
            record for record in records if record.roster < group.changed
        ]
        present = [
            record for record in behind if record.state is not NodeState.LOST
        ]
        if present:
            return False
        if fenced or not behind:
            return True
        term = self._route_term * RELEASE_MARGIN
        silent = all(
            now - self._lost_at.get(record.node, now) >= term
            for record in behind
        )
        return silent and sees_majority(records)
