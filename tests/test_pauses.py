"""Estimates of pauses between events, and the gap timeout they set."""

from __future__ import annotations

from random import Random

import pytest

from waywell.ids import ModelName
from waywell.request.decoded_request import DecodedRequest
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
ASK = DecodedRequest('a', 'POST', '/', 'h', (), b'')


@pytest.mark.parametrize('scale', [0.03, 0.06])
def test_estimate_settles_above_nearly_all_pauses(scale: float) -> None:
    estimator = PauseEstimator()
    random = Random(7)
    for _warmup in range(20_000):
        estimator.record(MODEL, random.expovariate(1 / scale))
    later = [random.expovariate(1 / scale) for _pause in range(20_000)]
    longer = sum(pause > estimator.get(MODEL) for pause in later)
    assert longer / len(later) < 4 * (1 - USUAL_QUANTILE)
    assert estimator.get(MODEL) < 12 * scale


def test_models_have_separate_estimates() -> None:
    estimator = PauseEstimator()
    for _long in range(40):
        estimator.record(MODEL, 1.0)
    assert estimator.get(MODEL) > 2 * INITIAL_ESTIMATE
    assert estimator.get(ModelName('other')) == INITIAL_ESTIMATE


def test_gap_timeout_follows_usual_pauses_within_its_bounds() -> None:
    gaps = [
        compute_hedge_timeouts(ROUTE, None, ASK, pause).gap
        for pause in (0.0, 0.2, 5.0)
    ]
    assert gaps == [
        pytest.approx(MIN_GAP_FRACTION * 0.3),
        0.2,
        pytest.approx(MAX_GAP_FRACTION * 0.3),
    ]
