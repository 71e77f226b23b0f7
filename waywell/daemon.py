"""The thin daemon around an entry node."""

from __future__ import annotations

import asyncio
import signal
from functools import partial
from typing import TYPE_CHECKING, Any, Protocol

from twisted.internet import asyncioreactor

from waywell.process.clock import read_boot_clock
from waywell.telemetry.events import log_event, open_log

if TYPE_CHECKING:
    from collections.abc import Callable

    from waywell.process.settings import Settings


class Node(Protocol):
    """What a daemon starts and stops."""

    async def start(self) -> None:
        """Begin to serve."""

    async def stop(self) -> None:
        """End in good order."""


class Daemon:
    """Starts a node and stops it on a signal.

    SIGTERM and SIGINT begin a graceful stop; a second one ends at once.
    SIGHUP says that the settings file may have changed.

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
        node: Node,
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
        self._loop.add_signal_handler(signal.SIGHUP, self._note_hang_up)
        try:
            await self._node.start()
        except Exception as error:
            self.fault = repr(error)
            self._reactor.stop()

    def _note_hang_up(self) -> None:
        """Log it: settings are read at the start of a process only."""
        log_event('reloaded')

    def _begin_stop(self) -> None:
        if self._stopping is None:
            self._stopping = self._loop.create_task(self._stop())
        else:
            self._reactor.stop()

    async def _stop(self) -> None:
        await self._node.stop()
        self._reactor.stop()


class _BootLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers count the time while suspended.

    What fell due meanwhile runs when the wait for input ends, which is no
    longer than until the next timer.
    """

    def time(self) -> float:
        """Return the seconds since the machine's start."""
        return read_boot_clock()


def make_loop() -> asyncio.AbstractEventLoop:
    """Return the event loop of a daemon."""
    return _BootLoop()


def run_node(
    make_node: Callable[[], Node],
    open_events: Callable[[], object],
) -> str:
    """Run a node until it is told to stop.

    Parameters
    ----------
    make_node
        Makes the node; called when the reactor is installed.
    open_events
        Opens the log.

    Returns
    -------
    str
        Why it could not start, or an empty text.
    """
    loop = make_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    open_events()
    # The reactor must be installed before anything imports it.
    from twisted.internet import reactor  # noqa: PLC0415

    daemon = Daemon(make_node(), reactor, loop)
    reactor.callWhenRunning(daemon.begin)
    reactor.run(installSignalHandlers=False)
    return daemon.fault


def run_entry(settings: Settings) -> str:
    """Run an entry node until it is told to stop.

    Returns
    -------
    str
        Why it could not start, or an empty text.
    """
    return run_node(
        partial(_make_entry, settings),
        partial(open_log, settings.log_level),
    )


def _make_entry(settings: Settings) -> Node:
    from waywell.process.entry import EntryNode  # noqa: PLC0415

    return EntryNode(settings)
