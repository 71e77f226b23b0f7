"""Intervals at which a node polls the platform and its reader.

Each interval is a fraction of a time bound promised to the operators, so that
tighter bounds lead to more frequent polls and wider bounds to fewer calls to
the platform.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from waywell.process.front_settings import PromiseSettings

BOX_INTERVAL_FRACTION = 0.2
"""Interval between two polls of the box list, as a fraction of the bound for
leaving boxes."""

MAX_BOX_INTERVAL = 0.4
"""Longest interval between two polls of the box list, in seconds; a group that
has lost a box is repaired in about a second."""

ASK_INTERVAL_FRACTION = 0.175
"""Interval between two queries to the reader, as a fraction of the bound for
leaving boxes. Together with the poll before it, it takes less than half of the
bound."""

MAX_ASK_INTERVAL = 0.35
"""Longest interval between two queries to the reader, in seconds. It is half
the length of a stream, since the answers also carry requests in flight."""

SEND_MARGIN = 0.4
"""Seconds from the choice of a box until the request may reach it, as the
process may be suspended and packets may be retransmitted."""

BOX_MAX_AGE_FRACTION = 0.7
"""Age at which a node reads the box list itself, as a fraction of the bound
for leaving boxes. The rest is left for the call and for requests in
transit."""

BOX_USABLE_AGE_FRACTION = 0.8
"""Age of the box list from which no request is sent by it, as a fraction of
the bound for leaving boxes. Between it and the age at which a node reads the
list itself, there is time for that call."""

ROUTE_MAX_AGE_FRACTION = 0.7
"""Age at which a node reads the routes itself, as a fraction of the bound for
new routes. Its reader may be cut off from the platform while the node is
not."""

ROUTE_WATCH_FRACTION = 0.4
"""Duration of a watch of the routes, as a fraction of their maximum age. Each
answer confirms the version in force, and there must be time for another
query."""

MAX_DOUBLINGS = 6
"""Maximum number of doublings of the retry delay. With up to 160 nodes the
delay reaches its maximum earlier."""

KEY_BOUND_FRACTION = 0.5
"""Time within which routes must be confirmed again, as a fraction of the bound
for removed keys. It allows a second read before keys are refused."""

FIRST_RETRY_DELAY = 0.25
"""Seconds before the first retry of a failed call."""

MAX_RETRY_DELAY = 2.0
"""Longest retry delay, in seconds, of a node that has a reader. Once the
platform is back it is updated by its reader or, if cut off from that as well,
by its own retry within the 4 s or more that nodes have to catch up."""

MAX_RETRY_DELAY_PER_NODE = 0.1
"""Seconds of the longest retry delay per node that would be updated by this
one, if that is more than ``MAX_RETRY_DELAY``. The first of hundreds of nodes
to reach the platform updates the others, so all of them together call about
ten times a second rather than each every two seconds."""

MAX_READER_RETRY_DELAY = 0.5
"""Longest retry delay of a reader, in seconds; it delays all nodes that depend
on the reader."""

RETRY_JITTER = 0.5
"""Fraction by which a retry delay is randomly lengthened or shortened, so that
nodes whose calls failed together do not retry together."""


def choose_retry_delay(
    failures: int,
    *,
    reads_for_others: bool,
    nodes: int,
    draw: float,
) -> float:
    """Return the delay before a failed call is retried, in seconds.

    The delay grows exponentially, with jitter, to limit the load on a store
    that rejects calls. With 195 nodes that each retried routes and boxes four
    times a second, the store would receive 1,560 calls a second, each at a
    cost, and would reject the first calls after its return because of them.

    Parameters
    ----------
    failures
        Number of consecutive failed calls, including this one.
    reads_for_others
        Whether other nodes depend on the data that this node reads.
    nodes
        Number of nodes that update each other, including this one.
    draw
        Random number from 0 up to 1, drawn for each call.
    """
    max_delay = max(MAX_RETRY_DELAY, MAX_RETRY_DELAY_PER_NODE * nodes)
    if reads_for_others:
        max_delay = MAX_READER_RETRY_DELAY
    delay = math.ldexp(FIRST_RETRY_DELAY, min(failures - 1, MAX_DOUBLINGS))
    limited = min(max_delay, delay)
    return limited * (1 + RETRY_JITTER * (2 * draw - 1))


@attrs.frozen
class PollIntervals:
    """Poll intervals and maximum ages, in seconds."""

    box_interval: float
    """Interval between two polls of the box list by a reader."""

    box_max_age: float
    """Age of the box list above which a node reads it itself."""

    route_watch_seconds: float
    """Duration of a reader's watch of the routes without changes."""

    route_max_age: float
    """Age of the routes above which a node reads them itself."""

    ask_interval: float
    """Interval between two queries to the reader."""

    vanished_retention: float
    """Time for which a box without an entry may still receive requests, if it
    is missed at the first poll that is due."""

    @property
    def max_age_difference(self) -> float:
        """Return the largest normal age difference between two box lists.

        It holds while the readers of both nodes reach the platform, or if they
        lost it at the same time.
        """
        return self.box_interval + self.ask_interval


def make_poll_intervals(promises: PromiseSettings) -> PollIntervals:
    """Return the intervals that meet the promised bounds."""
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
        # The list shows it one poll late, and followers one query later still.
        vanished_retention=max(
            0.0, leaving - box_interval - ask_interval - SEND_MARGIN
        ),
    )
