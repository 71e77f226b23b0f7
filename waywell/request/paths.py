"""What requests need to know of this node's links to replicas."""

from __future__ import annotations

import abc
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from waywell.ids import ServiceName

if TYPE_CHECKING:
    from waywell.membership.membership import NodeRecord
    from waywell.version.fleet import FleetBox, ReplicaKey


LinkCheck = Callable[[ServiceName], Awaitable[bool]]
"""Answers whether this node's links to a service are sound."""


async def assume_links_work(_service: ServiceName) -> bool:
    """Answer that links are sound, for a node that can't find out."""
    return True


class ReplicaPaths(abc.ABC):
    """Knows whether links work, and which peers forward requests."""

    @abc.abstractmethod
    def record(self, box: FleetBox, now: float, *, is_connected: bool) -> None:
        """Record how an attempt to connect to a box ended."""

    @abc.abstractmethod
    def is_partitioned(self, service: ServiceName) -> bool:
        """Answer whether this node has lost its links to a service."""

    @abc.abstractmethod
    async def verify(self, service: ServiceName) -> bool:
        """Answer whether this node's links to a service are sound.

        Asked before a failure that this node sees is told of a box.
        """

    @abc.abstractmethod
    async def await_diagnosis(self, service: ServiceName) -> None:
        """Wait while this node finds out whether its links are lost."""

    @abc.abstractmethod
    def list_peers(self, service: ServiceName) -> list[NodeRecord]:
        """Return the peers that reach the replicas of a service."""

    @abc.abstractmethod
    def choose_peer(
        self,
        service: ServiceName,
        tried: frozenset[ReplicaKey],
        now: float,
    ) -> NodeRecord | None:
        """Return a peer to forward a request through.

        Parameters
        ----------
        service
            Service of the request.
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

    async def verify(self, service: ServiceName) -> bool:
        """Answer that this node has its links."""
        return True

    async def await_diagnosis(self, service: ServiceName) -> None:
        """Wait for nothing."""

    def list_peers(self, service: ServiceName) -> list[NodeRecord]:
        """Return no peer."""
        return []

    def choose_peer(
        self,
        service: ServiceName,
        tried: frozenset[ReplicaKey],
        now: float,
    ) -> NodeRecord | None:
        """Return no peer."""
