"""Bounds on answer times, and the requests a leaving node accepts."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tests.forwarder_harness import ForwarderHarness
from waywell.codes import Code, Ran
from waywell.connection.forwarding import ForwardingHeader
from waywell.ids import ModelName, ServiceName
from waywell.request.answer_times import (
    MARGIN,
    MAX_ENGINES,
    MIN_PACED_EVENTS,
    WINDOW_SECONDS,
    AnswerTimes,
    EstimateBasis,
)
from waywell.request.decoded_request import DecodedRequest
from waywell.request.drain_window import DrainWindow
from waywell.request.request_context import RequestContext
from waywell.request.stream_progress import StreamProgress
from waywell.version.routes import (
    Engine,
    EngineModel,
    Route,
    RouteKind,
    ServiceShare,
)

MODEL = ModelName('small')
SERVICE = ServiceName('llm')
STRIDE = 5
ENGINE = Engine(9, (EngineModel(MODEL, 2),), steps_a_pass=STRIDE)
GOAL = 0.4
GAP_GOAL = 0.3


def make_context(
    arrived_at: float,
    tokens: int = 435,
    kind: RouteKind = RouteKind.STREAM,
    engine: Engine | None = ENGINE,
    seconds: float = 8.0,
    **changes: Any,
) -> RequestContext:
    request = DecodedRequest(
        'a1', 'POST', '/x', 'h', (), b'', answer_tokens=tokens, model=MODEL
    )
    route = Route(
        'r',
        'h',
        '/',
        kind,
        timeout=seconds,
        goal=GOAL,
        shares=(ServiceShare(SERVICE, 1.0),),
        gap_goal=GAP_GOAL,
    )
    parts = {'service': SERVICE, 'holder': None, **changes}
    return RequestContext(
        request=request,
        route=route,
        arrived_at=arrived_at,
        deadline_at=arrived_at + seconds,
        engine=engine,
        **parts,
    )


def make_progress(
    begun_at: float, events: int, pace: float, pause: float = 0.0
) -> StreamProgress:
    """Return a stream whose third event comes late by a pause."""
    progress = StreamProgress()
    for number in range(events):
        late = pause if number > 1 else 0.0
        progress.record_event(begun_at + number * pace + late)
    return progress


def record_stream(
    times: AnswerTimes,
    at: float,
    events: int,
    pace: float = 0.05,
    **changes: Any,
) -> None:
    progress = make_progress(at + 0.1, events, pace)
    times.record(make_context(at, **changes), progress, progress.last_at)


def estimate_seconds(times: AnswerTimes, **changes: Any) -> float:
    context = make_context(20.0, **{'seconds': 60.0, **changes})
    return times.estimate_end(context, 20.0).ends_at - 20.0


def bound_seconds(
    events: int, pace: float = 0.05, pause: float = GAP_GOAL
) -> Any:
    """Return the exact bound of a stream with the usual first event."""
    return pytest.approx(GOAL + pause + events * pace * MARGIN)


def drain(
    harness: ForwarderHarness, seconds: float, estimates: float = 60.0
) -> None:
    """Let the node end after a time, and rely on estimates for another."""
    now = harness.clock.now
    harness.forwarder.start_draining(
        DrainWindow(now + estimates, now + seconds)
    )


def test_short_answers_do_not_shorten_the_estimate_of_a_long_one() -> None:
    """A stream may take as long as its most tokens do, at the pace seen.

    Eight answers of 22 to 46 events, of which the slowest took 2.1 s, let a
    stream of 87 events be accepted with 2.8 s left.
    """
    times = AnswerTimes()
    for events in (22, 28, 34, 40, 46, 31, 25, 37):
        record_stream(times, 10.0, events, pace=0.045)
    assert estimate_seconds(times, tokens=435) == bound_seconds(87, 0.045)


def test_the_bound_is_that_of_the_slowest_stream_with_a_margin() -> None:
    times = AnswerTimes()
    for pace in (0.03, 0.05, 0.04):
        record_stream(times, 10.0, 87, pace=pace)
    assert estimate_seconds(times, tokens=435) == bound_seconds(87)
    assert estimate_seconds(times, tokens=20) == bound_seconds(4)
    late = make_progress(12.0, 8, 0.03)
    times.record(make_context(10.0), late, late.last_at)
    expected = 2.0 * MARGIN + GAP_GOAL + 4 * 0.05 * MARGIN
    assert estimate_seconds(times, tokens=20) == pytest.approx(expected)


def test_many_short_answers_are_no_more_evidence_than_few() -> None:
    times = AnswerTimes()
    for number in range(1000):
        record_stream(times, 10.0 + number / 100, MIN_PACED_EVENTS)
    assert estimate_seconds(times, tokens=435) == bound_seconds(87)


@given(
    st.lists(st.integers(1, 87), min_size=1, max_size=30),
    st.floats(0.001, 0.2),
    st.floats(0.0, 2.0),
    st.integers(1, 87),
)
def test_a_stream_at_a_pace_seen_ends_before_its_estimate(
    seen: list[int], pace: float, first: float, events: int
) -> None:
    times = AnswerTimes()
    for number in seen:
        progress = make_progress(10.0 + first, number, pace)
        times.record(make_context(10.0), progress, progress.last_at)
    seconds = estimate_seconds(times, tokens=STRIDE * events)
    assert first + (events - 1) * pace <= seconds


@pytest.mark.parametrize(
    ('tokens', 'kind', 'engine'),
    [
        (0, RouteKind.STREAM, ENGINE),
        (0, RouteKind.SAFE, None),
        (0, RouteKind.UNSAFE, None),
        (435, RouteKind.SAFE, ENGINE),
    ],
)
def test_an_answer_of_unknown_length_may_take_until_its_deadline(
    tokens: int, kind: RouteKind, engine: Engine | None
) -> None:
    times = AnswerTimes()
    context = make_context(10.0, tokens, kind, engine)
    for _time in range(100):
        times.record(context, make_progress(10.0, 30, 0.01), 10.3)
    end = times.estimate_end(make_context(20.0, tokens, kind, engine), 20.0)
    assert end.ends_at == 28.0
    assert end.basis is EstimateBasis.DEADLINE


def test_fewer_events_than_the_answer_may_have_are_no_evidence() -> None:
    times = AnswerTimes()
    record_stream(times, 10.0, 86)
    assert estimate_seconds(times, tokens=435) == 60.0
    assert estimate_seconds(times, tokens=430) == bound_seconds(86)
    record_stream(times, 11.0, MIN_PACED_EVENTS)
    assert estimate_seconds(times, tokens=435) == bound_seconds(87)


def test_without_an_engine_each_token_may_be_an_event() -> None:
    times = AnswerTimes()
    record_stream(times, 10.0, 87, engine=None)
    assert estimate_seconds(times, tokens=435, engine=None) == 60.0
    seconds = estimate_seconds(times, tokens=80, engine=None)
    assert seconds == bound_seconds(80)


def test_the_pace_is_at_least_that_of_an_engine_without_free_places() -> None:
    engine = Engine(
        10,
        (EngineModel(MODEL, 2, pace=0.5),),
        step_seconds=0.01,
        sequence_seconds=0.001,
        steps_a_pass=STRIDE,
    )
    times = AnswerTimes()
    record_stream(times, 10.0, 87, pace=0.001)
    full_pass = (0.01 + 10 * 0.001) * STRIDE * 0.5
    seconds = estimate_seconds(times, tokens=435, engine=engine)
    assert seconds == pytest.approx(GOAL + GAP_GOAL + 87 * full_pass)


def test_one_long_pause_counts_once() -> None:
    times = AnswerTimes()
    progress = make_progress(10.1, 87, 0.05, pause=1.0)
    times.record(make_context(10.0), progress, progress.last_at)
    seconds = estimate_seconds(times, tokens=435)
    assert seconds == bound_seconds(87, pause=1.05)


def test_a_slow_caller_does_not_lengthen_the_estimates() -> None:
    times = AnswerTimes()
    record_stream(times, 10.0, 87)
    expected = estimate_seconds(times)
    progress = make_progress(10.1, 87, 0.5)
    progress.is_throttled = True
    times.record(make_context(10.0), progress, progress.last_at)
    assert estimate_seconds(times) == expected


def test_engines_are_estimated_apart() -> None:
    times = AnswerTimes()
    record_stream(times, 10.0, 87, service=ServiceName('other'))
    single = Engine(9, (EngineModel(MODEL, 2),), steps_a_pass=1)
    record_stream(times, 10.0, 87, engine=single)
    assert estimate_seconds(times) == 60.0


def test_an_estimate_never_exceeds_the_deadline() -> None:
    times = AnswerTimes()
    record_stream(times, 10.0, 87)
    end = times.estimate_end(make_context(20.0, seconds=1.0), 20.0)
    assert end.ends_at == 21.0
    assert end.basis is EstimateBasis.DEADLINE


@pytest.mark.parametrize(
    ('windows', 'seconds'),
    [(0.9, bound_seconds(87)), (1.5, bound_seconds(87)), (2.5, 8.0)],
)
def test_old_streams_expire(windows: float, seconds: Any) -> None:
    times = AnswerTimes()
    record_stream(times, 10.0, 87)
    now = 15.0 + windows * WINDOW_SECONDS
    end = times.estimate_end(make_context(now), now)
    assert end.ends_at - now == seconds


def test_unused_services_are_evicted() -> None:
    """Each version may add and remove services while a node runs."""
    times = AnswerTimes()
    now = 0.0
    for number in range(20 * MAX_ENGINES):
        now += 5 * WINDOW_SECONDS / MAX_ENGINES
        record_stream(times, now, 87, service=ServiceName(f's{number}'))
    assert len(times) <= MAX_ENGINES
    context = make_context(now, service=ServiceName(f's{number}'))
    seconds = times.estimate_end(context, now).ends_at - now
    assert seconds == bound_seconds(87)


def test_a_leaving_node_accepts_only_requests_it_can_finish(
    harness: ForwarderHarness,  # noqa: F811
) -> None:
    async def play() -> None:
        await harness.submit(answer_tokens=10)
        (first,) = harness.attempts
        await harness.deliver_head(first)
        for number in range(1, 11):
            harness.clock.now += 0.05
            await harness.deliver_events(first, number)
        await harness.deliver_end(first)
        assert harness.answer.end == 'complete'
        drain(harness, 2.0)
        harness.attempts.clear()
        await harness.submit(answer_tokens=10)
        assert len(harness.attempts) == 1
        await harness.submit(timeout_seconds=1.9)
        assert len(harness.attempts) == 2
        await harness.submit(answer_tokens=11)
        assert len(harness.attempts) == 2
        await harness.submit()
        assert len(harness.attempts) == 2
        harness.clock.now += 1.5
        harness.refusal = None
        await harness.submit(answer_tokens=10)

    asyncio.run(play())
    assert len(harness.attempts) == 2
    assert harness.refusal is not None
    assert harness.refusal.code is Code.NODE_LEAVING
    assert harness.refusal.ran is Ran.NOT_RUN
    assert harness.refusal.retry_after == 0


def test_a_stream_that_breaks_off_is_observed(
    harness: ForwarderHarness,  # noqa: F811
) -> None:
    """The slowest streams are those that callers and deadlines end."""

    async def play(pace: float) -> None:
        task = await harness.submit(answer_tokens=10)
        attempt = harness.attempts[-1]
        await harness.deliver_head(attempt)
        for number in range(1, 11):
            harness.clock.now += pace
            await harness.deliver_events(attempt, number)
        task.cancel()
        await harness.run_pending()

    async def play_both() -> None:
        await play(0.05)
        await play(0.3)
        drain(harness, 3.0)
        await harness.submit(answer_tokens=10)

    asyncio.run(play_both())
    assert len(harness.attempts) == 2
    assert harness.refusal is not None
    assert harness.refusal.code is Code.NODE_LEAVING


async def observe_stream(harness: ForwarderHarness) -> None:
    """Serve a whole stream of ten events, 0.05 s apart."""
    await harness.submit(answer_tokens=10)
    (first,) = harness.attempts
    await harness.deliver_head(first)
    for number in range(1, 11):
        harness.clock.now += 0.05
        await harness.deliver_events(first, number)
    await harness.deliver_end(first)
    harness.attempts.clear()


@pytest.mark.parametrize(
    ('waited', 'seconds', 'forwarded', 'is_accepted'),
    [
        (0.5, 30.0, None, True),
        (3.0, 30.0, None, True),
        (3.1, 30.0, None, False),
        (3.1, 4.3, None, True),
        (3.1, 4.31, None, False),
        (0.5, 30.0, ForwardingHeader('peer', 1), False),
        (0.5, 6.8, ForwardingHeader('peer', 1), True),
    ],
)
def test_estimates_are_relied_on_only_by_requests_that_may_be_cut(
    harness: ForwarderHarness,  # noqa: F811
    waited: float,
    seconds: float,
    forwarded: ForwardingHeader | None,
    is_accepted: bool,
) -> None:
    """A silence may outlast each estimate, but no deadline.

    Answers to requests sent later than 3 s after the signal to stop are never
    cut, and those that a peer forwards neither, as the peer goes on.
    """

    async def play() -> None:
        await observe_stream(harness)
        drain(harness, 7.4, estimates=3.0)
        harness.clock.now += waited
        await harness.submit(
            forwarded, answer_tokens=10, timeout_seconds=seconds
        )

    asyncio.run(play())
    assert bool(harness.attempts) is is_accepted
    assert (harness.refusal is None) is is_accepted


def test_a_resumed_stream_is_bounded_by_its_deadline_as_well(
    harness: ForwarderHarness,  # noqa: F811
) -> None:
    """A caller may resume a stream at a node that stops."""

    async def play() -> None:
        await observe_stream(harness)
        drain(harness, 7.4, estimates=3.0)
        harness.clock.now += 3.5
        await harness.submit(resume_after=8, answer_tokens=10)

    asyncio.run(play())
    assert not harness.attempts
    assert harness.refusal is not None
    assert harness.refusal.code is Code.NODE_LEAVING


@pytest.mark.parametrize(
    ('is_connected', 'ran'), [(False, Ran.NOT_RUN), (True, Ran.MAY_HAVE_RUN)]
)
def test_the_end_of_a_node_answers_requests_without_an_answer(
    harness: ForwarderHarness,  # noqa: F811
    is_connected: bool,
    ran: Ran,
) -> None:
    """A closed connection would not tell the caller whether it ran."""
    harness.connects_at_once = is_connected

    async def play() -> asyncio.Task:
        task = await harness.submit()
        harness.forwarder.end_requests(harness.clock.now)
        await harness.run_pending()
        return task

    assert asyncio.run(play()).done()
    assert harness.refusal is not None
    assert harness.refusal.code is Code.NODE_LEAVING
    assert harness.refusal.ran is ran


def test_the_end_of_a_node_completes_no_answer_that_was_begun(
    harness: ForwarderHarness,  # noqa: F811
) -> None:
    async def play() -> None:
        task = await harness.submit()
        (attempt,) = harness.attempts
        await harness.deliver_head(attempt)
        await harness.deliver_events(attempt, 1)
        harness.forwarder.end_requests(harness.clock.now)
        await harness.deliver_events(attempt, 2)
        assert not task.done()
        task.cancel()

    asyncio.run(play())
    assert harness.answer.body.count(b'id: ') == 2
    assert not harness.answer.end
    assert harness.refusal is None
