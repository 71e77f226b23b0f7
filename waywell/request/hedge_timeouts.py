"""Timeouts after which an attempt is hedged with a second attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from waywell.version.routes import RouteKind

if TYPE_CHECKING:
    from waywell.request.decoded_request import DecodedRequest
    from waywell.version.routes import Engine, Route

PLAIN_FRACTION = 0.6
"""Fraction of the latency goal after which a plain request is hedged.  The
rest is enough for one more answer in the usual time."""

FIRST_EVENT_FRACTION = 1.0
"""Fraction of the latency goal after which a stream without an event is
hedged.  A first event takes more than half of the goal on a healthy replica,
so a hedge can't meet the goal; an earlier one would only add load."""

MIN_GAP_FRACTION = 0.4
"""Smallest fraction of the gap goal after which a silent stream is resumed on
another replica.  The rest is for processing the prompt again."""

MAX_GAP_FRACTION = 0.75
"""Largest fraction of the gap goal after which a silent stream is resumed on
another replica, however long the pauses of healthy replicas are."""

MIN_GAP_SECONDS = 0.08
"""Shortest silence that indicates a fault, in seconds: two passes of an engine
that processes a prompt between them."""

DEFAULT_GOAL = 0.5
"""Latency goal of a route that sets none, in seconds."""


@attrs.frozen
class HedgeTimeouts:
    """Periods of silence, in seconds, after which an attempt is hedged."""

    first: float
    """Limit from sending to the first event or the complete plain answer."""

    gap: float
    """Limit between two events of a stream."""

    expected_first: float
    """Seconds to the first event on an idle replica; 0 if unknown."""


def compute_hedge_timeouts(
    route: Route,
    engine: Engine | None,
    request: DecodedRequest,
    usual_pause: float = 0.0,
) -> HedgeTimeouts:
    """Return the hedge timeouts of an attempt.

    Parameters
    ----------
    route
        Route of the request, with its latency and gap goals.
    engine
        Engine of the route's service, if it has one.
    request
        Request to be sent.
    usual_pause
        Longest usual pause of a healthy replica, in seconds.  Resuming the
        stream elsewhere after a shorter one would only make another replica
        process the prompt.
    """
    goal = route.goal or DEFAULT_GOAL
    if route.kind is not RouteKind.STREAM:
        return HedgeTimeouts(goal * PLAIN_FRACTION, goal * PLAIN_FRACTION, 0.0)
    gap_goal = route.gap_goal or goal
    gap = max(MIN_GAP_SECONDS, gap_goal * MIN_GAP_FRACTION, usual_pause)
    gap = max(MIN_GAP_SECONDS, min(gap, gap_goal * MAX_GAP_FRACTION))
    return HedgeTimeouts(
        goal * FIRST_EVENT_FRACTION,
        gap,
        _estimate_first_event(engine, request),
    )


def _estimate_first_event(
    engine: Engine | None, request: DecodedRequest
) -> float:
    if engine is None or not engine.read_per_second:
        return 0.0
    model = engine.find_model(request.model)
    pace = model.pace if model else 1.0
    reading = request.prompt_tokens / engine.read_per_second
    step = engine.step_seconds * engine.steps_a_pass
    return (reading + step) * pace
