"""Process of an entry box: event loop, signals, start and stop of its node."""

from __future__ import annotations

import asyncio
import signal
from contextlib import suppress
from functools import partial
from typing import TYPE_CHECKING, Any, Protocol

from twisted.internet import asyncioreactor
from twisted.internet.error import ReactorNotRunning

from waywell.process.clock import read_boot_clock
from waywell.telemetry.events import log_event, open_log

if TYPE_CHECKING:
    from collections.abc import Callable

    from waywell.process.settings import Settings


class Node(Protocol):
    """Interface of a node that a daemon starts and stops."""

    async def start(self) -> None:
        """Start to serve."""

    async def stop(self) -> None:
        """Finish the work in flight and stop."""


class Daemon:
    """Starts a node and stops it on a signal.

    SIGTERM and SIGINT begin a graceful stop.  While it is under way, SIGTERM
    is only logged, since the platform may repeat it within the grace period;
    SIGINT, which a person sends from a terminal, ends the process at once.
    SIGHUP, which announces that the settings file may have changed, is only
    logged.

    Parameters
    ----------
    node
        Node to start and stop.
    reactor
        Twisted's reactor, which runs on the event loop.
    loop
        Event loop on which the node runs.
    """

    def __init__(
        self,
        node: Node,
        reactor: Any,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        """Create the daemon; ``begin`` starts the node."""
        self._node = node
        self._loop = loop
        self._reactor = reactor
        self.fault = ''
        self._stopping: asyncio.Task[None] | None = None

    def begin(self) -> None:
        """Create the task that starts the node."""
        self._starting = self._loop.create_task(self._start())

    async def _start(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self._begin_stop, number)
        self._loop.add_signal_handler(signal.SIGHUP, self._log_hangup)
        try:
            await self._node.start()
        except Exception as error:
            self.fault = repr(error)
            self._reactor.stop()

    def _log_hangup(self) -> None:
        """Log the signal; settings are read only when a process starts."""
        log_event('reloaded')

    def _begin_stop(self, number: signal.Signals) -> None:
        if self._stopping is None:
            self._stopping = self._loop.create_task(self._stop())
            return
        # A stop that failed would otherwise leave the process running.
        ends_now = number is signal.SIGINT or self._stopping.done()
        log_event(
            'stop_signal_repeated', signal=number.name, ends_now=ends_now
        )
        if ends_now:
            with suppress(ReactorNotRunning):
                self._reactor.stop()

    async def _stop(self) -> None:
        await self._node.stop()
        self._reactor.stop()


class _BootTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers include the time while suspended.

    Timers that expired during the suspension run when the wait for input
    ends, which is no later than the next timer.
    """

    def time(self) -> float:
        """Return the seconds since the machine started."""
        return read_boot_clock()


def make_loop() -> asyncio.AbstractEventLoop:
    """Return the event loop of a daemon."""
    return _BootTimeLoop()


def run_node(
    make_node: Callable[[], Node],
    open_events: Callable[[], object],
) -> str:
    """Run a node until a signal stops it.

    Parameters
    ----------
    make_node
        Creates the node; called after the reactor has been installed.
    open_events
        Opens the log of events.

    Returns
    -------
    str
        Reason why the node could not start; empty if it did.
    """
    loop = make_loop()
    asyncio.set_event_loop(loop)
    asyncioreactor.install(loop)
    open_events()
    # The reactor has to be installed before any module imports it.
    from twisted.internet import reactor  # noqa: PLC0415

    daemon = Daemon(make_node(), reactor, loop)
    reactor.callWhenRunning(daemon.begin)
    reactor.run(installSignalHandlers=False)
    return daemon.fault


def run_entry(settings: Settings) -> str:
    """Run an entry node until a signal stops it.

    Returns
    -------
    str
        Reason why the node could not start; empty if it did.
    """
    return run_node(
        partial(_make_entry, settings),
        partial(open_log, settings.log_level),
    )


def _make_entry(settings: Settings) -> Node:
    from waywell.process.entry import EntryNode  # noqa: PLC0415

    return EntryNode(settings)
