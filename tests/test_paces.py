"""How often a node looks, by what was promised."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from waywell.process.front_settings import PromiseSettings
from waywell.process.paces import make_paces

BOUNDS = st.floats(300.0, 60_000.0)


@given(BOUNDS, BOUNDS, BOUNDS)
def test_two_looks_and_a_question_fit_into_each_bound(
    leaving_ms: float,
    applied_ms: float,
    refused_ms: float,
) -> None:
    promises = PromiseSettings(
        keys_refused_within_ms=refused_ms,
        leaving_within_ms=leaving_ms,
        applied_within_ms=applied_ms,
    )
    paces = make_paces(promises)
    told = paces.box_look + paces.ask
    assert told < promises.leaving_within / 2
    assert told < paces.box_fed < promises.leaving_within
    assert paces.route_look < paces.route_fed < promises.applied_within
    assert 2 * paces.route_fed <= promises.keys_refused_within


def test_a_tighter_bound_is_looked_after_more_often() -> None:
    usual = make_paces(PromiseSettings())
    tight = make_paces(
        PromiseSettings(leaving_within_ms=600.0, applied_within_ms=600.0),
    )
    assert tight.box_look < usual.box_look
    assert tight.ask < usual.ask
    assert tight.route_look < usual.route_look
