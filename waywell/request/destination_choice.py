"""Choice of the destinations of one request: a replica, or a peer."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from waywell.codes import Code
from waywell.request.destination import Destination, ReplicaDestination
from waywell.request.peer_destination import PeerDestination
from waywell.request.retry_after import RefusalReason
from waywell.request.unroutable import Unroutable, explain_unroutable

if TYPE_CHECKING:
    from waywell.request.request_context import (
        ForwarderDependencies,
        RequestContext,
    )
    from waywell.version.fleet import Replica


class DestinationChoice:
    """Chooses where the attempts at one request are sent.

    Parameters
    ----------
    dependencies
        Collaborators of the forwarder.
    context
        State of the request.
    """

    def __init__(
        self, dependencies: ForwarderDependencies, context: RequestContext
    ) -> None:
        """Keep the collaborators and the request."""
        self._dependencies = dependencies
        self._context = context

    def choose(self, now: float) -> Destination | None:
        """Return the best untried destination, if there is one.

        Parameters
        ----------
        now
            Current time, in seconds.
        """
        if not self._is_partitioned():
            return self._choose_replica(now)
        if self._context.request.forwarded is not None:
            # A request is forwarded once: the sender tries other peers.
            return None
        context = self._context
        peer = self._dependencies.paths.choose_peer(
            context.service, context.tried, now
        )
        if peer is None:
            return self._choose_replica(now)
        return PeerDestination(self._dependencies, context, peer)

    def explain_unroutable(self, now: float) -> Unroutable:
        """Return why no replica can take the request.

        Parameters
        ----------
        now
            Current time, in seconds.
        """
        if (
            self._is_partitioned()
            and self._context.request.forwarded is not None
        ):
            return Unroutable(Code.NODE_PARTITIONED, RefusalReason.NO_GROUP)
        backpressure = self._dependencies.backpressure
        replicas = self._list_replicas()
        open_replicas = backpressure.filter_available(replicas, now)
        return explain_unroutable(
            backpressure.get_shortest_rest(
                [replica.key.life for replica in replicas], now
            ),
            self._dependencies.permits.find_wait(
                [replica.key.life for replica in open_replicas], now
            ),
            self._context.rejections,
        )

    async def needs_peer(self, until: float) -> bool:
        """Return whether peers have to forward, after diagnosing the links.

        Parameters
        ----------
        until
            Time in seconds up to which the diagnosis is awaited.
        """
        if self._context.request.forwarded is not None:
            return False
        clock = self._dependencies.clock
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, until - clock.read())):
                await self._dependencies.paths.await_diagnosis(
                    self._context.service
                )
        return clock.read() < until and self._is_partitioned()

    def _is_partitioned(self) -> bool:
        """Return whether this node is cut off from the service's replicas."""
        return self._dependencies.paths.is_partitioned(self._context.service)

    def _list_replicas(self) -> list[Replica]:
        context = self._context
        return self._dependencies.cluster.list_replicas(
            context.service, context.request.model
        )

    def _choose_replica(self, now: float) -> ReplicaDestination | None:
        # Replicas that asked for a pause or have no permit are excluded even
        # if no other replica is left.
        replicas = self._dependencies.backpressure.filter_available(
            self._list_replicas(), now
        )
        denied = self._context.permits_denied
        replica = self._dependencies.chooser.choose(
            self._dependencies.permits.filter_available(replicas, denied, now),
            self._context.tried,
            self._dependencies.replica_table,
            now,
        )
        if replica is None:
            return None
        return ReplicaDestination(self._dependencies, self._context, replica)
