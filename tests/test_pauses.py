"""What counts as silence follows the pauses of sound replicas."""

from __future__ import annotations

from random import Random

import pytest

from waywell.ids import ModelName
from waywell.request.decoded_request import DecodedRequest
from waywell.request.hedge_timeouts import (
    LEAST_GAP_PART,
    MOST_GAP_PART,
    measure_hedge_timeouts,
)
from waywell.request.pauses import FIRST_GUESS, USUAL_PART, PauseGauge
from waywell.version.routes import Route, RouteKind

MODEL = ModelName('notes')
ROUTE = Route('r', 'h', '/', RouteKind.STREAM, 6.0, 0.5, (), gap_goal=0.3)
ASK = DecodedRequest('a', 'POST', '/', 'h', (), b'')


@pytest.mark.parametrize('scale', [0.03, 0.06])
def test_the_estimate_settles_above_nearly_all_pauses(scale: float) -> None:
    gauge = PauseGauge()
    random = Random(7)
    for _warm in range(20_000):
        gauge.note(MODEL, random.expovariate(1 / scale))
    later = [random.expovariate(1 / scale) for _pause in range(20_000)]
    longer = sum(pause > gauge.get(MODEL) for pause in later)
    assert longer / len(later) < 4 * (1 - USUAL_PART)
    assert gauge.get(MODEL) < 12 * scale


def test_models_are_told_apart() -> None:
    gauge = PauseGauge()
    for _long in range(40):
        gauge.note(MODEL, 1.0)
    assert gauge.get(MODEL) > 2 * FIRST_GUESS
    assert gauge.get(ModelName('other')) == FIRST_GUESS


def test_patience_follows_usual_pauses_within_the_goal() -> None:
    gaps = [
        measure_hedge_timeouts(ROUTE, None, ASK, pause).gap
        for pause in (0.0, 0.2, 5.0)
    ]
    assert gaps == [
        pytest.approx(LEAST_GAP_PART * 0.3),
        0.2,
        pytest.approx(MOST_GAP_PART * 0.3),
    ]
