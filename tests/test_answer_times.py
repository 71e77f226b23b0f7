"""How long answers take, and what a node that leaves still takes."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from tests.forwarder_stage import Stage
from waywell.codes import Code, Ran
from waywell.request.answer_times import (
    MARGIN,
    MAX_SIZE_CLASSES,
    WINDOW_SECONDS,
    AnswerTimes,
)


def make_context(
    arrived_at: float,
    seconds: float = 8.0,
    route: str = 'r',
    tokens: int = 0,
) -> SimpleNamespace:
    return SimpleNamespace(
        ask=SimpleNamespace(answer_tokens=tokens),
        route=SimpleNamespace(name=route),
        arrived_at=arrived_at,
        ends_at=arrived_at + seconds,
    )


def test_a_route_without_an_answer_may_take_all_its_time() -> None:
    times = AnswerTimes()
    times.record(make_context(10.0, route='other'), 12.0)
    assert times.estimate_end(make_context(20.0), 20.0) == 28.0


def test_a_longer_answer_takes_longer() -> None:
    """A stream came 3.1 s after the order to stop, and was cut 4.3 s later.

    The longest answer of its route that was seen before had let expect less;
    that the stream had more tokens is inferred, its head was not looked at.
    """
    times = AnswerTimes()
    times.record(make_context(10.0, tokens=300), 13.0)
    times.record(make_context(10.0, tokens=20), 11.0)
    longest = make_context(20.0, tokens=500)
    assert times.estimate_end(longest, 20.0) == 20.0 + 5.0 * MARGIN
    short = make_context(20.0, tokens=20)
    assert times.estimate_end(short, 20.0) == 20.0 + 1.0 * MARGIN
    unseen = make_context(20.0, tokens=1000)
    assert times.estimate_end(unseen, 20.0) == 28.0


def test_the_longest_answer_counts_with_a_margin() -> None:
    times = AnswerTimes()
    for seconds in (1.0, 3.0, 2.0):
        times.record(make_context(10.0), 10.0 + seconds)
    assert times.estimate_end(make_context(20.0), 20.0) == 20.0 + 3.0 * MARGIN


def test_no_request_lasts_longer_than_its_own_time() -> None:
    times = AnswerTimes()
    times.record(make_context(10.0), 13.0)
    assert times.estimate_end(make_context(20.0, seconds=1.0), 20.0) == 21.0


@pytest.mark.parametrize(
    ('windows', 'seconds'), [(0.9, 3.0), (1.5, 3.0), (2.5, 8.0 / MARGIN)]
)
def test_answers_of_long_ago_are_forgotten(
    windows: float,
    seconds: float,
) -> None:
    times = AnswerTimes()
    times.record(make_context(10.0), 13.0)
    now = 13.0 + windows * WINDOW_SECONDS
    context = make_context(now)
    assert times.estimate_end(context, now) == now + seconds * MARGIN


def test_routes_that_are_not_asked_any_more_are_forgotten() -> None:
    """Routes come and go with each version, for as long as a node runs."""
    times = AnswerTimes()
    now = 0.0
    for number in range(20 * MAX_SIZE_CLASSES):
        now += 5 * WINDOW_SECONDS / MAX_SIZE_CLASSES
        times.record(make_context(now - 1.0, route=f'r{number}'), now)
    assert len(times) <= MAX_SIZE_CLASSES
    context = make_context(now, route=f'r{number}')
    assert times.estimate_end(context, now) == now + MARGIN


def test_a_leaving_node_takes_what_it_can_finish_only(
    stage: Stage,  # noqa: F811
) -> None:
    async def play() -> None:
        await stage.begin()
        (first,) = stage.attempts
        await stage.head(first)
        stage.clock.now += 0.5
        await stage.end(first)
        assert stage.answer.end == 'whole'
        stage.forwarder.leave(stage.clock.now + 2.0)
        stage.attempts.clear()
        await stage.begin()
        assert len(stage.attempts) == 1
        stage.clock.now += 1.5
        await stage.begin()

    asyncio.run(play())
    assert len(stage.attempts) == 1
    assert stage.refusal is not None
    assert stage.refusal.code is Code.NODE_LEAVING
    assert stage.refusal.ran is Ran.NOT_RUN
    assert stage.refusal.retry_after == 0
