"""Construction of the quarantine tasks of a daemon."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from waywell.connection.exchange import is_reachable
from waywell.quarantine.held_records import HeldRecords
from waywell.quarantine.quarantine import Quarantine
from waywell.request.attempt import CONNECT_TIMEOUT_SECONDS
from waywell.request.running_attempts import RunningAttempts

if TYPE_CHECKING:
    from collections.abc import Callable

    from waywell.knowledge.platform_watch import WatchContext
    from waywell.membership.links import PeerLinks
    from waywell.process.clock import Clock
    from waywell.request.paths import LinkCheck
    from waywell.version.fleet import FleetBox


ENDING_SECONDS = 0.05
"""Time in seconds that an ending process gets to close its sockets.  It closes
them within a few milliseconds, the listening socket possibly last."""


@attrs.frozen
class QuarantineTasks:
    """The parts of a node's request quarantine."""

    running: RunningAttempts
    """Attempts in progress, which are cancelled when their trait is held."""

    quarantine: Quarantine
    """Detects and holds back requests that crash replicas."""

    records: HeldRecords
    """Stores the holds in the platform."""


def make_quarantine(
    links: PeerLinks,
    watch_parts: WatchContext,
    is_elected: Callable[[], bool],
    verify: LinkCheck,
) -> QuarantineTasks:
    """Return the quarantine tasks of a front daemon.

    Parameters
    ----------
    links
        Streams to other nodes.
    watch_parts
        Dependencies of a platform watch.
    is_elected
        Returns whether this node does what only one node may do: remove
        expired records, and send traits whose hold has expired.
    verify
        Returns whether this node's links to a service work.
    """
    running = RunningAttempts()
    quarantine = Quarantine(
        links, running, watch_parts.clock, is_listening, is_elected, verify
    )
    records = HeldRecords(watch_parts, quarantine, is_elected)
    return QuarantineTasks(running, quarantine, records)


async def is_listening(box: FleetBox) -> bool:
    """Return whether a box accepts a new connection after a short delay.

    Without the delay, 18 of 39 targets that had ended still accepted one.
    """
    await asyncio.sleep(ENDING_SECONDS)
    return await is_reachable(box.host, box.port, CONNECT_TIMEOUT_SECONDS)


def make_unstored_quarantine(
    links: PeerLinks,
    clock: Clock,
    is_prober: Callable[[], bool],
) -> Quarantine:
    """Return a quarantine that stores nothing in the platform.

    Parameters
    ----------
    links
        Streams to other nodes.
    clock
        Source of the current time.
    is_prober
        Returns whether this node may send a trait whose hold has expired.
    """
    return Quarantine(links, RunningAttempts(), clock, is_listening, is_prober)
