"""The tasks that hold requests back, put together for a front daemon."""

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

    from waywell.knowledge.platform_watch import WatchParts
    from waywell.membership.links import PeerLinks
    from waywell.process.clock import Clock
    from waywell.request.paths import LinkCheck
    from waywell.version.fleet import FleetBox


ENDING_SECONDS = 0.05
"""For a process that ends to close all that it has open; within a few
milliseconds, and its listening socket may be last."""


@attrs.frozen
class QuarantineTasks:
    """What a node runs to hold requests back."""

    running: RunningAttempts
    """Attempts of the node, which are broken off when they are to be."""

    quarantine: Quarantine
    """Finds the requests."""

    records: HeldRecords
    """Keeps them in the platform."""


def make_quarantine(
    links: PeerLinks,
    watch_parts: WatchParts,
    is_single: Callable[[], bool],
    verify: LinkCheck,
) -> QuarantineTasks:
    """Return the tasks of one node.

    Parameters
    ----------
    links
        Streams to other nodes.
    watch_parts
        What reading the platform works with.
    is_single
        Answers whether this node does what only one node may do: remove
        records that are over, and try what was held anew.
    verify
        Answers whether this node's links to a service are sound.
    """
    running = RunningAttempts()
    quarantine = Quarantine(
        links, running, watch_parts.clock, is_listening, is_single, verify
    )
    records = HeldRecords(watch_parts, quarantine, is_single)
    return QuarantineTasks(running, quarantine, records)


async def is_listening(box: FleetBox) -> bool:
    """Answer whether a box takes a new connection, a moment from now.

    Asked at once, 18 of 39 targets that had ended still took one.
    """
    await asyncio.sleep(ENDING_SECONDS)
    return await is_reachable(box.host, box.port, CONNECT_TIMEOUT_SECONDS)


def make_lone_quarantine(
    links: PeerLinks,
    clock: Clock,
    is_prober: Callable[[], bool],
) -> Quarantine:
    """Return a quarantine that keeps nothing in the platform.

    Parameters
    ----------
    links
        Streams to other nodes.
    clock
        Where the time is read.
    is_prober
        Answers whether this node may try what was held anew.
    """
    return Quarantine(links, RunningAttempts(), clock, is_listening, is_prober)
