"""Ports of an entry daemon: for callers, operators and peers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from twisted.internet import reactor

from waywell.connection.admin import AdminBackend, make_admin_site
from waywell.connection.caller import CallerBackend, CallerSite
from waywell.connection.grpc_peer import PeerService, make_server
from waywell.process.memory_limit import make_capacity

if TYPE_CHECKING:
    from waywell.process.settings import NodeSettings


class Ports:
    """Opens and closes the ports of an entry daemon.

    Parameters
    ----------
    settings
        Settings with the address and the port numbers to listen on.
    caller
        Backend of the port for callers.
    admin
        Backend of the port for operators.
    peer
        Service of the port for other entry boxes.
    """

    def __init__(
        self,
        settings: NodeSettings,
        caller: CallerBackend,
        admin: AdminBackend,
        peer: PeerService,
    ) -> None:
        """Create the servers; nothing listens yet."""
        self.caller_port = 0
        self.admin_port = 0
        self.peer_port = 0
        self._settings = settings
        capacity = make_capacity(settings.memory_mb, settings.max_descriptors)
        self._caller_site = CallerSite(caller, capacity)
        self._admin_site = make_admin_site(admin, capacity.query_connections)
        self._peer_server = make_server(peer)
        self._listening: list[Any] = []

    async def open(self) -> None:
        """Listen on all ports.

        Raises
        ------
        OSError
            When a port can't be bound.
        """
        settings = self._settings
        self.caller_port = self._listen(
            settings.caller_port,
            self._caller_site,
        )
        self.admin_port = self._listen(settings.admin_port, self._admin_site)
        await self._peer_server.start(settings.host, settings.peer_port)
        # grpclib doesn't expose the port that it is bound to.
        server: Any = self._peer_server
        sockets = server._server.sockets
        own_port = sockets[0].getsockname()[1]
        self.peer_port = settings.shown_peer_port or own_port

    def hang_up(self) -> None:
        """Close each caller's connection once its answer is written."""
        self._caller_site.close_connections()

    def count_callers(self) -> int:
        """Return the number of open connections of callers."""
        return len(self._caller_site.channels)

    def close(self) -> None:
        """Stop listening on all ports."""
        for port in self._listening:
            port.stopListening()
        self._peer_server.close()

    def _listen(self, number: int, site: Any) -> int:
        port = reactor.listenTCP(
            number,
            site,
            interface=self._settings.host,
        )
        self._listening.append(port)
        return int(port.getHost().port)
