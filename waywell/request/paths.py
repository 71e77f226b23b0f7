"""Interface to this node's network paths to replicas and to peers."""

from __future__ import annotations

import abc
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from waywell.ids import ServiceName

if TYPE_CHECKING:
    from waywell.membership.membership import NodeRecord
    from waywell.version.fleet import FleetBox, ReplicaKey


LinkCheck = Callable[[ServiceName], Awaitable[bool]]
"""Returns whether this node's links to a service work."""


async def assume_links_work(_service: ServiceName) -> bool:
    """Return that links work, for a node that has no means to verify it."""
    return True


class ReplicaPaths(abc.ABC):
    """Tracks links to replicas and the peers that can forward requests."""

    @abc.abstractmethod
    def record(self, box: FleetBox, now: float, *, is_connected: bool) -> None:
        """Record whether a connection attempt to a box succeeded."""

    @abc.abstractmethod
    def is_partitioned(self, service: ServiceName) -> bool:
        """Return whether this node has lost its links to a service."""

    @abc.abstractmethod
    async def verify(self, service: ServiceName) -> bool:
        """Return whether this node's links to a service work.

        Callers check it before they report a failure of a box, which may be
        a failure of this node's own links.
        """

    @abc.abstractmethod
    async def await_diagnosis(self, service: ServiceName) -> None:
        """Wait until this node knows whether its links are lost."""

    @abc.abstractmethod
    def list_peers(self, service: ServiceName) -> list[NodeRecord]:
        """Return the peers that can reach the replicas of a service."""

    @abc.abstractmethod
    def choose_peer(
        self,
        service: ServiceName,
        tried: frozenset[ReplicaKey],
        now: float,
    ) -> NodeRecord | None:
        """Return a peer to forward a request through, if there is one.

        Parameters
        ----------
        service
            Service of the request.
        tried
            Destinations that the request was already sent to.
        now
            Current time, in seconds.
        """


class DirectPaths(ReplicaPaths):
    """Paths that always count as working, for a node without peers."""

    def record(self, box: FleetBox, now: float, *, is_connected: bool) -> None:
        """Ignore the result, as partitions are not detected."""

    def is_partitioned(self, service: ServiceName) -> bool:
        """Return ``False``, as partitions are not detected."""
        return False

    async def verify(self, service: ServiceName) -> bool:
        """Return ``True``, as links count as working."""
        return True

    async def await_diagnosis(self, service: ServiceName) -> None:
        """Return at once, as there is no diagnosis to wait for."""

    def list_peers(self, service: ServiceName) -> list[NodeRecord]:
        """Return an empty list, as there are no peers."""
        return []

    def choose_peer(
        self,
        service: ServiceName,
        tried: frozenset[ReplicaKey],
        now: float,
    ) -> NodeRecord | None:
        """Return ``None``, as there are no peers."""
