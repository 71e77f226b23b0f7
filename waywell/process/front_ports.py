"""Ports of a front daemon."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import attrs
from twisted.internet import reactor

from waywell.connection.frames import FrameTransport, ListenerFactory
from waywell.connection.front import FrontBackend, FrontSite
from waywell.connection.query_site import QueryHandler, QuerySite
from waywell.process.front_settings import (
    Address,
    FrontNodeSettings,
    parse_address,
)
from waywell.process.memory_limit import describe_memory, make_capacity


@attrs.frozen
class FrontHandlers:
    """Handlers of the ports of a front daemon."""

    backend: FrontBackend
    """Serves the requests of callers."""

    readiness: Mapping[str, QueryHandler]
    """Handlers by path that report whether the node is ready."""

    directory: Mapping[str, QueryHandler]
    """Handlers by path that list the entry boxes."""

    metrics: Mapping[str, QueryHandler]
    """Handlers by path of operators' calls, such as metrics and state dump."""

    accept_peer: ListenerFactory
    """Accepts streams of other entry boxes."""


class FrontPorts:
    """Opens and closes the ports of a front daemon.

    Parameters
    ----------
    settings
        Settings with the addresses to listen on.
    handlers
        Handlers of the ports.
    transport
        Listens for streams of other entry boxes.
    """

    def __init__(
        self,
        settings: FrontNodeSettings,
        handlers: FrontHandlers,
        transport: FrameTransport,
    ) -> None:
        """Parse the addresses; nothing listens yet."""
        self.callers = parse_address(settings.callers)
        self.peers = parse_address(settings.peers)
        self.readiness = parse_address(settings.readiness)
        self.directory = parse_address(settings.directory)
        self.metrics = Address(settings.host, settings.metrics_port)
        self._handlers = handlers
        self._capacity = make_capacity(
            settings.memory_mb, settings.max_descriptors
        )
        self._site = FrontSite(handlers.backend, self._capacity)
        self._transport = transport
        self._listening: list[Any] = []

    async def open(self) -> None:
        """Listen on all ports.

        Raises
        ------
        OSError
            When a port can't be bound.
        """
        handlers = self._handlers
        connections = self._capacity.query_connections
        port = await self._transport.listen(
            self.peers.host, self.peers.port, handlers.accept_peer
        )
        self.peers = Address(self.peers.host, port)
        self.callers = self._listen(self.callers, self._site)
        self.readiness = self._listen(
            self.readiness, QuerySite(handlers.readiness, connections)
        )
        self.directory = self._listen(
            self.directory, QuerySite(handlers.directory, connections)
        )
        self.metrics = self._listen(
            self.metrics, QuerySite(handlers.metrics, connections)
        )

    def stop_accepting(self) -> None:
        """Stop accepting connections of callers."""
        self._listening[0].stopListening()

    def hang_up_idle(self) -> None:
        """Close the connections of callers that wait for no answer."""
        self._site.close_idle_connections()

    def hang_up(self) -> None:
        """Close each caller's connection once its answer is written."""
        self._site.close_connections()

    def count_callers(self) -> int:
        """Return the number of open connections of callers."""
        return len(self._site.channels)

    def describe_memory(self) -> dict[str, int]:
        """Return the memory that callers and the process use, in bytes."""
        return describe_memory(self._capacity)

    def close(self) -> None:
        """Stop listening on all ports."""
        for port in self._listening:
            port.stopListening()
        self._transport.close()

    def _listen(self, address: Address, site: Any) -> Address:
        port = reactor.listenTCP(address.port, site, interface=address.host)
        self._listening.append(port)
        return Address(address.host, int(port.getHost().port))
