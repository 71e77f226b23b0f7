"""How long an attempt may be silent before another is made beside it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from waywell.version.routes import RouteKind

if TYPE_CHECKING:
    from waywell.request.ask import Ask
    from waywell.version.routes import Engine, Route

PLAIN_PART = 0.6
"""Part of the goal after which a plain request is sent again: what is left
covers one more answer in the usual time."""

FIRST_PART = 1.0
"""Part of the goal after which a stream without an event is sent again.  A
first event takes more than half of the goal on a sound replica, so a second
attempt can't be in time; earlier ones only load the replicas."""

MIN_GAP_FRACTION = 0.4
"""Part of the longest pause that is in time after which a stream is taken up
elsewhere at the soonest; the rest is for reading the prompt once more."""

MAX_GAP_FRACTION = 0.75
"""Part after which it is taken up at the latest, however long the pauses of
sound replicas are."""

LEAST_GAP = 0.08
"""Least silence that says something, in seconds: two passes of an engine that
reads a prompt between them."""

DEFAULT_GOAL = 0.5
"""Goal of a route that names none, in seconds."""


@attrs.frozen
class HedgeTimeouts:
    """Seconds of silence until an attempt is hedged."""

    first: float
    """From the sending to the first event, or the whole plain answer."""

    gap: float
    """Between two events."""

    expected_first: float
    """What the first event takes on an idle replica; 0 where unknown."""


def compute_hedge_timeouts(
    route: Route,
    engine: Engine | None,
    ask: Ask,
    usual_pause: float = 0.0,
) -> HedgeTimeouts:
    """Return the silences that an attempt is granted.

    Parameters
    ----------
    route
        The route of the request.
    engine
        Engine of its service, where it has one.
    ask
        The request.
    usual_pause
        Longest usual pause of a sound replica, in seconds: one that is
        shorter is no silence, and to take the stream up elsewhere only makes
        another replica read its prompt.
    """
    goal = route.goal or DEFAULT_GOAL
    if route.kind is not RouteKind.STREAM:
        return HedgeTimeouts(goal * PLAIN_PART, goal * PLAIN_PART, 0.0)
    longest = route.gap_goal or goal
    gap = max(LEAST_GAP, longest * MIN_GAP_FRACTION, usual_pause)
    gap = max(LEAST_GAP, min(gap, longest * MAX_GAP_FRACTION))
    return HedgeTimeouts(goal * FIRST_PART, gap, _expect_first(engine, ask))


def _expect_first(engine: Engine | None, ask: Ask) -> float:
    if engine is None or not engine.read_per_second:
        return 0.0
    model = engine.find_model(ask.model)
    pace = model.pace if model else 1.0
    reading = ask.prompt_tokens / engine.read_per_second
    step = engine.step_seconds * engine.steps_a_pass
    return (reading + step) * pace
