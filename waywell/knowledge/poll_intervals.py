"""How often a node looks at what it must know in time.

Each pace is a part of the bound that the operators were promised, so that a
deployment with tighter bounds is looked after more often, and one with wider
bounds costs fewer calls to the platform.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from waywell.process.front_settings import PromiseSettings

BOX_INTERVAL_FRACTION = 0.2
"""Part of the bound for leaving boxes between two looks at the box list."""

MAX_BOX_INTERVAL = 0.4
"""Longest time between two looks at the box list, in seconds: a group that
lost a box is patched in about a second."""

ASK_INTERVAL_FRACTION = 0.175
"""Part of the bound for leaving boxes between two questions to the reader;
with the look before it, both take less than half of the bound."""

MAX_ASK_INTERVAL = 0.35
"""Longest time between two questions to the reader, in seconds: half the
length of a stream, as the answers tell other nodes' requests in flight."""

SEND_MARGIN = 0.4
"""Seconds from the choice of a box until its request may reach it: a process
may stand still, and packets may be sent again."""

BOX_MAX_AGE_FRACTION = 0.7
"""Part of the bound for leaving boxes after which a node reads the box list
itself; the rest is for the call and for requests on their way."""

ROUTE_MAX_AGE_FRACTION = 0.7
"""Part of the bound for new routes after which a node reads them itself: its
reader may be cut off from the platform while this node is not."""

ROUTE_WATCH_FRACTION = 0.4
"""Part of that time for which a reader's watch waits: each answer confirms the
version in force, and one more question must fit."""

MAX_DOUBLINGS = 6
"""Failures in a row that double the wait; it is at its longest before."""

KEY_BOUND_FRACTION = 0.5
"""Part of the bound for removed keys within which routes must be confirmed
again; a second reading fits before keys are refused."""

FIRST_RETRY_DELAY = 0.25
"""Seconds until a call that failed is made again for the first time."""

MAX_RETRY_DELAY = 2.0
"""Longest wait of a node for which others read: it hears from its reader once
the platform is back, or, cut off from that one as well, is back by itself
within the 4 s and more that nodes have to catch up."""

MAX_RETRY_DELAY_PER_NODE = 0.1
"""Seconds of the longest wait for each node that would hear from this one: of
hundreds the first one that reaches the platform tells the others, so all of
them together call some ten times a second and not each every other second."""

MAX_READER_RETRY_DELAY = 0.5
"""Longest wait of a node that reads for others; the whole system is as late as
it is."""

RETRY_JITTER = 0.5
"""Part of a wait by which it is drawn longer or shorter, so that nodes which
failed at one moment do not all call at another."""


def choose_retry_delay(
    failures: int,
    *,
    reads_for_others: bool,
    nodes: int,
    draw: float,
) -> float:
    """Return for how long a node waits after calls that failed, in seconds.

    Answers the load of a store that turns calls away: at 195 nodes, each of
    which called again four times a second for routes and for boxes, that was
    1,560 calls a second (worked out), each with its price, and the first ones
    of the store's return were turned away for them.

    Parameters
    ----------
    failures
        Calls that failed in a row, this one counted.
    reads_for_others
        Whether others hear from this node what it reads.
    nodes
        Nodes that hear from each other, this one counted.
    draw
        A number from 0 up to 1, drawn anew for each call.
    """
    longest = max(MAX_RETRY_DELAY, MAX_RETRY_DELAY_PER_NODE * nodes)
    if reads_for_others:
        longest = MAX_READER_RETRY_DELAY
    doubled = math.ldexp(FIRST_RETRY_DELAY, min(failures - 1, MAX_DOUBLINGS))
    wait = min(longest, doubled)
    return wait * (1 + RETRY_JITTER * (2 * draw - 1))


@attrs.frozen
class PollIntervals:
    """Times between looks, in seconds."""

    box_interval: float
    """Between two looks of a reader at the box list."""

    box_max_age: float
    """Age of the box list up to which a node does not read it itself."""

    route_watch_seconds: float
    """For which a reader's watch of the routes waits."""

    route_max_age: float
    """Age of the routes up to which a node does not read them itself."""

    ask_interval: float
    """Between two questions to the reader."""

    vanished_retention: float
    """For which a box whose entry has gone may get requests still."""

    @property
    def max_age_difference(self) -> float:
        """Return by how much two nodes' knowledge differs in age at the most.

        As long as both get it from readers that reach the platform, or that
        have lost it at one moment.
        """
        return self.box_interval + self.ask_interval


def make_poll_intervals(promises: PromiseSettings) -> PollIntervals:
    """Return the paces that keep some promises."""
    leaving = promises.leaving_within
    route_max_age = min(
        ROUTE_MAX_AGE_FRACTION * promises.applied_within,
        KEY_BOUND_FRACTION * promises.keys_refused_within,
    )
    box_interval = min(MAX_BOX_INTERVAL, BOX_INTERVAL_FRACTION * leaving)
    ask_interval = min(MAX_ASK_INTERVAL, ASK_INTERVAL_FRACTION * leaving)
    return PollIntervals(
        box_interval=box_interval,
        box_max_age=BOX_MAX_AGE_FRACTION * leaving,
        route_watch_seconds=ROUTE_WATCH_FRACTION * route_max_age,
        route_max_age=route_max_age,
        ask_interval=ask_interval,
        # The list tells of it one look late, and followers one question later.
        vanished_retention=max(
            0.0, leaving - box_interval - ask_interval - SEND_MARGIN
        ),
    )
