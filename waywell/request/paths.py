"""What requests need to know of this node's links to replicas."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from waywell.ids import ServiceName
    from waywell.membership.membership import NodeRecord
    from waywell.version.fleet import FleetBox, ReplicaKey


class ReplicaPaths(abc.ABC):
    """Knows whether links work, and which peers forward requests."""

    @abc.abstractmethod
    def record(self, box: FleetBox, now: float, *, is_connected: bool) -> None:
        """Record how an attempt to connect to a box ended."""

    @abc.abstractmethod
    def is_partitioned(self, service: ServiceName) -> bool:
        """Answer whether this node has lost its links to a service."""

    @abc.abstractmethod
    async def await_diagnosis(self, service: ServiceName) -> None:
        """Wait while this node finds out whether its links are lost."""

    @abc.abstractmethod
    def choose_peer(
        self,
        tried: frozenset[ReplicaKey],
        now: float,
    ) -> NodeRecord | None:
        """Return a peer to forward a request through.

        Parameters
        ----------
        tried
            Destinations that it was sent to before.
        now
            The present time, in seconds.
        """


class DirectPaths(ReplicaPaths):
    """Links that always work, for a node without peers."""

    def record(self, box: FleetBox, now: float, *, is_connected: bool) -> None:
        """Record nothing."""

    def is_partitioned(self, service: ServiceName) -> bool:
        """Answer that this node has its links."""
        return False

    async def await_diagnosis(self, service: ServiceName) -> None:
        """Wait for nothing."""

    def choose_peer(
        self,
        tried: frozenset[ReplicaKey],
        now: float,
    ) -> NodeRecord | None:
        """Return no peer."""
