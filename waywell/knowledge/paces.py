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

BOX_LOOK_PART = 0.2
"""Part of the bound for leaving boxes between two looks at the box list."""

BOX_LOOK_MOST = 0.4
"""Longest time between two looks at the box list, in seconds: a group that
lost a box is patched in about a second."""

ASK_PART = 0.175
"""Part of the bound for leaving boxes between two questions to the reader;
with the look before it, both take less than half of the bound."""

ASK_MOST = 0.35
"""Longest time between two questions to the reader, in seconds: half the
length of a stream, as the answers tell other nodes' requests in flight."""

SEND_MARGIN = 0.4
"""Seconds from the choice of a box until its request may reach it: a process
may stand still, and packets may be sent again."""

BOX_FED_PART = 0.7
"""Part of the bound for leaving boxes after which a node reads the box list
itself; the rest is for the call and for requests on their way."""

ROUTE_FED_PART = 0.7
"""Part of the bound for new routes after which a node reads them itself: its
reader may be cut off from the platform while this node is not."""

ROUTE_LOOK_PART = 0.4
"""Part of that time for which a reader's watch waits: each answer confirms the
version in force, and one more question must fit."""

MOST_DOUBLED = 6
"""Failures in a row that double the wait; it is at its longest before."""

KEY_PART = 0.5
"""Part of the bound for removed keys within which routes must be confirmed
again; a second reading fits before keys are refused."""

FAILED_WAIT = 0.25
"""Seconds until a call that failed is made again for the first time."""

LONGEST_FAILED_WAIT = 2.0
"""Longest wait of a node for which others read: it hears from its reader once
the platform is back, or, cut off from that one as well, is back by itself
within the 4 s and more that nodes have to catch up."""

SHARED_WAIT = 0.1
"""Seconds of the longest wait for each node that would hear from this one: of
hundreds the first one that reaches the platform tells the others, so all of
them together call some ten times a second and not each every other second."""

LONGEST_READER_WAIT = 0.5
"""Longest wait of a node that reads for others; the whole system is as late as
it is."""

WAIT_SPREAD = 0.5
"""Part of a wait by which it is drawn longer or shorter, so that nodes which
failed at one moment do not all call at another."""


def choose_failed_wait(
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
    longest = max(LONGEST_FAILED_WAIT, SHARED_WAIT * nodes)
    if reads_for_others:
        longest = LONGEST_READER_WAIT
    doubled = math.ldexp(FAILED_WAIT, min(failures - 1, MOST_DOUBLED))
    wait = min(longest, doubled)
    return wait * (1 + WAIT_SPREAD * (2 * draw - 1))


@attrs.frozen
class Paces:
    """Times between looks, in seconds."""

    box_look: float
    """Between two looks of a reader at the box list."""

    box_fed: float
    """Age of the box list up to which a node does not read it itself."""

    route_look: float
    """For which a reader's watch of the routes waits."""

    route_fed: float
    """Age of the routes up to which a node does not read them itself."""

    ask: float
    """Between two questions to the reader."""

    vanished_kept: float
    """For which a box whose entry has gone may get requests still."""

    @property
    def told_apart(self) -> float:
        """Return by how much two nodes' knowledge differs in age at the most.

        As long as both get it from readers that reach the platform, or that
        have lost it at one moment.
        """
        return self.box_look + self.ask


def make_paces(promises: PromiseSettings) -> Paces:
    """Return the paces that keep some promises."""
    leaving = promises.leaving_within
    route_fed = min(
        ROUTE_FED_PART * promises.applied_within,
        KEY_PART * promises.keys_refused_within,
    )
    box_look = min(BOX_LOOK_MOST, BOX_LOOK_PART * leaving)
    ask = min(ASK_MOST, ASK_PART * leaving)
    return Paces(
        box_look=box_look,
        box_fed=BOX_FED_PART * leaving,
        route_look=ROUTE_LOOK_PART * route_fed,
        route_fed=route_fed,
        ask=ask,
        # The list tells of it one look late, and followers one question later.
        vanished_kept=max(0.0, leaving - box_look - ask - SEND_MARGIN),
    )
