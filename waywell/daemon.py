"""The thin daemon around an entry node."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING, Any

from twisted.internet import asyncioreactor

from waywell.process.events import open_log

if TYPE_CHECKING:
    from waywell.process.entry import EntryNode
    from waywell.process.settings import Settings


class Daemon:
    """Starts a node and stops it on a signal.

    SIGTERM and SIGINT begin a graceful stop; a second one ends at once.

    Parameters
    ----------
    node
        The node.
    reactor
        The reactor, which runs on the event loop.
    loop
        The event loop.
    """

    def __init__(
        self,
        node: EntryNode,
        reactor: Any,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Keep the node."""
        self._node = node
        self._loop = loop
        self._reactor = reactor
        self.fault = ''
        self._stopping: asyncio.Task[None] | None = None

    def begin(self) -> None:
        """Begin to start the node."""
        self._starting = self._loop.create_task(self._start())

    async def _start(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self._begin_stop)
        try:
            await self._node.start()
        except Exception as error:
            self.fault = repr(error)
            self._reactor.stop()

    def _begin_stop(self) -> None:
        if self._stopping is None:
            self._stopping = self._loop.create_task(self._stop())
        else:
            self._reactor.stop()

    async def _stop(self) -> None:
        await self._node.stop()
        self._reactor.stop()


def run_entry(settings: Settings) -> str:
    """Run an entry node until it is told to stop.

    Returns
    -------
    str
        Why it could not start, or an empty text.
    """
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    open_log(settings.log_level)
    # The reactor must be installed before anything imports it.
    from twisted.internet import reactor  # noqa: PLC0415

    from waywell.process.entry import EntryNode  # noqa: PLC0415

    daemon = Daemon(EntryNode(settings), reactor, loop)
    reactor.callWhenRunning(daemon.begin)
    reactor.run(installSignalHandlers=False)
    return daemon.fault
