"""Estimates of answer times, and the requests a leaving node accepts."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from tests.forwarder_harness import ForwarderHarness
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
        request=SimpleNamespace(answer_tokens=tokens),
        route=SimpleNamespace(name=route),
        arrived_at=arrived_at,
        deadline_at=arrived_at + seconds,
    )


def test_route_without_answers_may_use_its_whole_deadline() -> None:
    times = AnswerTimes()
    times.record(make_context(10.0, route='other'), 12.0)
    assert times.estimate_end(make_context(20.0), 20.0) == 28.0


def test_estimate_grows_with_the_answer_size() -> None:
    """A leaving node must not accept a stream that outlasts its shutdown.

    With an estimate by route alone, a stream that arrived 3.1 s after the
    order to stop was cut 4.3 s later.  All earlier answers of its route had
    been shorter; that it had more tokens is inferred, as its head was not
    recorded.
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


def test_estimate_is_the_slowest_answer_with_a_margin() -> None:
    times = AnswerTimes()
    for seconds in (1.0, 3.0, 2.0):
        times.record(make_context(10.0), 10.0 + seconds)
    assert times.estimate_end(make_context(20.0), 20.0) == 20.0 + 3.0 * MARGIN


def test_estimate_never_exceeds_the_deadline() -> None:
    times = AnswerTimes()
    times.record(make_context(10.0), 13.0)
    assert times.estimate_end(make_context(20.0, seconds=1.0), 20.0) == 21.0


@pytest.mark.parametrize(
    ('windows', 'seconds'), [(0.9, 3.0), (1.5, 3.0), (2.5, 8.0 / MARGIN)]
)
def test_old_answers_expire(
    windows: float,
    seconds: float,
) -> None:
    times = AnswerTimes()
    times.record(make_context(10.0), 13.0)
    now = 13.0 + windows * WINDOW_SECONDS
    context = make_context(now)
    assert times.estimate_end(context, now) == now + seconds * MARGIN


def test_unused_routes_are_evicted() -> None:
    """Each version may add and remove routes while a node runs."""
    times = AnswerTimes()
    now = 0.0
    for number in range(20 * MAX_SIZE_CLASSES):
        now += 5 * WINDOW_SECONDS / MAX_SIZE_CLASSES
        times.record(make_context(now - 1.0, route=f'r{number}'), now)
    assert len(times) <= MAX_SIZE_CLASSES
    context = make_context(now, route=f'r{number}')
    assert times.estimate_end(context, now) == now + MARGIN


def test_leaving_node_accepts_only_requests_it_can_finish(
    harness: ForwarderHarness,  # noqa: F811
) -> None:
    async def play() -> None:
        await harness.submit()
        (first,) = harness.attempts
        await harness.deliver_head(first)
        harness.clock.now += 0.5
        await harness.deliver_end(first)
        assert harness.answer.end == 'complete'
        harness.forwarder.start_draining(harness.clock.now + 2.0)
        harness.attempts.clear()
        await harness.submit()
        assert len(harness.attempts) == 1
        harness.clock.now += 1.5
        await harness.submit()

    asyncio.run(play())
    assert len(harness.attempts) == 1
    assert harness.refusal is not None
    assert harness.refusal.code is Code.NODE_LEAVING
    assert harness.refusal.ran is Ran.NOT_RUN
    assert harness.refusal.retry_after == 0
