"""The ports of a front daemon."""

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


@attrs.frozen
class FrontHandlers:
    """What serves at each port."""

    backend: FrontBackend
    """Callers."""

    readiness: Mapping[str, QueryHandler]
    """Whether the node is ready."""

    directory: Mapping[str, QueryHandler]
    """Which entry boxes there are."""

    metrics: Mapping[str, QueryHandler]
    """Metrics and the state dump."""

    accept_peer: ListenerFactory
    """Other entry boxes."""


class FrontPorts:
    """Listens for a front daemon.

    Parameters
    ----------
    settings
        Addresses.
    handlers
        What serves.
    transport
        Takes streams of other entry boxes.
    """

    def __init__(
        self,
        settings: FrontNodeSettings,
        handlers: FrontHandlers,
        transport: FrameTransport,
    ) -> None:
        """Keep what serves; nothing listens yet."""
        self.callers = parse_address(settings.callers)
        self.peers = parse_address(settings.peers)
        self.readiness = parse_address(settings.readiness)
        self.directory = parse_address(settings.directory)
        self.metrics = Address(settings.host, settings.metrics_port)
        self._handlers = handlers
        self._site = FrontSite(handlers.backend)
        self._transport = transport
        self._listening: list[Any] = []

    async def open(self) -> None:
        """Listen on all ports.

        Raises
        ------
        OSError
            When a port can't be had.
        """
        handlers = self._handlers
        port = await self._transport.listen(
            self.peers.host, self.peers.port, handlers.accept_peer
        )
        self.peers = Address(self.peers.host, port)
        self.callers = self._listen(self.callers, self._site)
        self.readiness = self._listen(
            self.readiness, QuerySite(handlers.readiness)
        )
        self.directory = self._listen(
            self.directory, QuerySite(handlers.directory)
        )
        self.metrics = self._listen(self.metrics, QuerySite(handlers.metrics))

    def stop_accepting(self) -> None:
        """Take no new connections of callers."""
        self._listening[0].stopListening()

    def hang_up(self) -> None:
        """Close the callers' connections when all is written."""
        self._site.close_connections()

    def count_callers(self) -> int:
        """Return the callers' connections that are open."""
        return len(self._site.channels)

    def close(self) -> None:
        """Stop listening."""
        for port in self._listening:
            port.stopListening()
        self._transport.close()

    def _listen(self, address: Address, site: Any) -> Address:
        port = reactor.listenTCP(address.port, site, interface=address.host)
        self._listening.append(port)
        return Address(address.host, int(port.getHost().port))
