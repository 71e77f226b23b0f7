"""How often a node looks at what it must know in time.

Each pace is a part of the bound that the operators were promised, so that a
deployment with tighter bounds is looked after more often, and one with wider
bounds costs fewer calls to the platform.
"""

from __future__ import annotations

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

BOX_FED_PART = 0.7
"""Part of the bound for leaving boxes after which a node reads the box list
itself; the rest is for the call and for requests on their way."""

ROUTE_FED_PART = 0.7
"""Part of the bound for new routes after which a node reads them itself: its
reader may be cut off from the platform while this node is not."""

ROUTE_LOOK_PART = 0.4
"""Part of that time for which a reader's watch waits: each answer confirms the
version in force, and one more question must fit."""

KEY_PART = 0.5
"""Part of the bound for removed keys within which routes must be confirmed
again; a second reading fits before keys are refused."""


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


def make_paces(promises: PromiseSettings) -> Paces:
    """Return the paces that keep some promises."""
    leaving = promises.leaving_within
    route_fed = min(
        ROUTE_FED_PART * promises.applied_within,
        KEY_PART * promises.keys_refused_within,
    )
    return Paces(
        box_look=min(BOX_LOOK_MOST, BOX_LOOK_PART * leaving),
        box_fed=BOX_FED_PART * leaving,
        route_look=ROUTE_LOOK_PART * route_fed,
        route_fed=route_fed,
        ask=min(ASK_MOST, ASK_PART * leaving),
    )
