"""What counts as silence follows the pauses of sound replicas."""

from __future__ import annotations

from random import Random

import pytest

from waywell.ids import ModelName
from waywell.request.ask import Ask
from waywell.request.hedge_timeouts import (
    MAX_GAP_FRACTION,
    MIN_GAP_FRACTION,
    compute_hedge_timeouts,
)
from waywell.request.pauses import (
    INITIAL_ESTIMATE,
    USUAL_QUANTILE,
    PauseEstimator,
)
from waywell.version.routes import Route, RouteKind

MODEL = ModelName('notes')
ROUTE = Route('r', 'h', '/', RouteKind.STREAM, 6.0, 0.5, (), gap_goal=0.3)
ASK = Ask('a', 'POST', '/', 'h', (), b'')


@pytest.mark.parametrize('scale', [0.03, 0.06])
def test_the_estimate_settles_above_nearly_all_pauses(scale: float) -> None:
    gauge = PauseEstimator()
    random = Random(7)
    for _warm in range(20_000):
        gauge.record(MODEL, random.expovariate(1 / scale))
    later = [random.expovariate(1 / scale) for _pause in range(20_000)]
    longer = sum(pause > gauge.get(MODEL) for pause in later)
    assert longer / len(later) < 4 * (1 - USUAL_QUANTILE)
    assert gauge.get(MODEL) < 12 * scale


def test_models_are_told_apart() -> None:
    gauge = PauseEstimator()
    for _long in range(40):
        gauge.record(MODEL, 1.0)
    assert gauge.get(MODEL) > 2 * INITIAL_ESTIMATE
    assert gauge.get(ModelName('other')) == INITIAL_ESTIMATE


def test_patience_follows_usual_pauses_within_the_goal() -> None:
    gaps = [
        compute_hedge_timeouts(ROUTE, None, ASK, pause).gap
        for pause in (0.0, 0.2, 5.0)
    ]
    assert gaps == [
        pytest.approx(MIN_GAP_FRACTION * 0.3),
        0.2,
        pytest.approx(MAX_GAP_FRACTION * 0.3),
    ]
