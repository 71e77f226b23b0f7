"""Demand for each model, estimated from requests in flight."""

from __future__ import annotations

import pytest

from tests.boxes import make_box, make_fleet, make_group, make_life
from waywell.ids import ModelName
from waywell.request.demand import DemandEstimator, count_by_model

BIG, SMALL = ModelName('big'), ModelName('small')


def test_requests_are_counted_by_the_model_of_their_group() -> None:
    fleet = make_fleet(
        *make_group('big.1', 'a', 'b'),
        *make_group('small.2', 'c', 'd'),
        *make_group('small.3', 'e', 'f'),
        make_box('idle'),
    )
    loads = {'a': 3, 'c': 2, 'e': 4, 'idle': 7, 'gone': 9}
    counts = count_by_model(
        {make_life(name): requests for name, requests in loads.items()}, fleet
    )
    assert counts == {BIG: 3, SMALL: 6}


def test_first_observation_is_the_average() -> None:
    # A node that takes over the forming duty must not start from no demand.
    assert DemandEstimator().observe({BIG: 12}, 5.0) == {BIG: 12.0}


def test_past_demand_decays() -> None:
    estimator = DemandEstimator()
    estimator.observe({BIG: 12, SMALL: 1}, 0.0)
    soon = estimator.observe({SMALL: 1}, 0.3)
    assert soon[BIG] == pytest.approx(10.86, abs=0.01)
    assert soon[SMALL] == pytest.approx(1.0)
    assert estimator.observe({SMALL: 1}, 60.0)[BIG] < 0.1
