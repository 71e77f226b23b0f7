"""Retries, hedges and resumption across the attempts at one request."""

from __future__ import annotations

import asyncio

import pytest

from tests.forwarder_harness import ForwarderHarness, intercept_attempts
from waywell.codes import Code, Ran
from waywell.connection.exchange import SendFault
from waywell.ids import BoxId
from waywell.request.attempt import Attempt
from waywell.request.decoded_request import AnswerMetadata
from waywell.request.stream_events import StreamEvent
from waywell.version.fleet import ReplicaKey
from waywell.version.routes import RouteKind


def list_numbers(body: bytes) -> list[int]:
    return [
        int(line[4:]) for line in body.split(b'\n') if line.startswith(b'id: ')
    ]


def test_a_silent_attempt_that_recovers_before_its_hedge_continues(
    harness: ForwarderHarness,
) -> None:
    async def scenario() -> None:
        await harness.submit()
        (first,) = harness.attempts
        await harness.deliver_head(first)
        await harness.deliver_events(first, 1, 2)
        await harness.advance_time(0.25)
        second = harness.attempts[1]
        await harness.deliver_head(second)
        # The first was only late, so the events of the second are dropped.
        await harness.deliver_events(first, 3, 4)
        await harness.deliver_events(second, 3, 4)
        await harness.deliver_events(first, 5)
        await harness.deliver_end(first)

    asyncio.run(scenario())
    assert list_numbers(harness.answer.body) == [1, 2, 3, 4, 5]
    assert harness.answer.end == 'complete'


def test_a_hedge_continues_the_stream_of_a_silent_attempt(
    harness: ForwarderHarness,
) -> None:
    async def scenario() -> None:
        await harness.submit()
        (first,) = harness.attempts
        await harness.deliver_head(first)
        await harness.deliver_events(first, 1, 2)
        await harness.advance_time(0.25)
        second = harness.attempts[1]
        assert second.replica != first.replica
        await harness.deliver_head(second)
        await harness.deliver_events(second, 3)
        await harness.deliver_events(first, 3)
        await harness.deliver_events(second, 4)
        await harness.deliver_end(second)

    asyncio.run(scenario())
    assert list_numbers(harness.answer.body) == [1, 2, 3, 4]
    assert harness.answer.end == 'complete'


def test_an_answer_with_a_skipped_event_is_never_relayed(
    harness: ForwarderHarness,
) -> None:
    async def scenario() -> None:
        await harness.submit()
        (first,) = harness.attempts
        await harness.deliver_head(first)
        await harness.deliver_events(first, 1, 3)
        await harness.deliver_head(harness.attempts[1])
        await harness.deliver_events(harness.attempts[1], 2, 4)

    asyncio.run(scenario())
    assert list_numbers(harness.answer.body) == [1, 2]
    assert harness.answer.end == 'aborted'


def test_an_error_answer_never_continues_a_begun_answer(
    harness: ForwarderHarness,
) -> None:
    async def scenario() -> None:
        await harness.submit()
        (first,) = harness.attempts
        await harness.deliver_head(first)
        await harness.deliver_events(first, 1, 2)
        await harness.deliver_end(first, is_whole=False)
        second = harness.attempts[1]
        # The route allows no third replica, so the request ends here.
        await harness.deliver_head(second, status=500)
        second.post(Attempt.Piece(second, StreamEvent(b'{}', None)))
        await harness.deliver_end(second)

    asyncio.run(scenario())
    assert harness.answer.body == b'id: 1\n\nid: 2\n\n'
    assert harness.answer.end == 'aborted'


def test_messages_of_a_dropped_attempt_are_ignored(
    harness: ForwarderHarness,
) -> None:
    async def scenario() -> None:
        await harness.submit()
        (first,) = harness.attempts
        # Both messages are queued when the first one drops the attempt.
        first.post(Attempt.Fault(first, SendFault.NOT_SENT))
        first.post(Attempt.Fault(first, SendFault.BROKEN))
        await harness.run_pending()
        second = harness.attempts[-1]
        await harness.deliver_head(second)
        await harness.deliver_events(second, 1, 2)
        await harness.deliver_end(second)

    asyncio.run(scenario())
    assert len(harness.attempts) == 2
    assert list_numbers(harness.answer.body) == [1, 2]
    assert harness.answer.end == 'complete'
    assert (
        harness.replica_table.get(harness.attempts[0].replica.key).streak == 1
    )


def test_no_more_replicas_are_tried_than_the_route_allows(
    harness: ForwarderHarness,
) -> None:
    async def scenario() -> None:
        await harness.submit()
        for _failure in range(2):
            attempt = harness.attempts[-1]
            attempt.post(Attempt.Fault(attempt, SendFault.BROKEN))
            await harness.run_pending()

    asyncio.run(scenario())
    assert len(harness.attempts) == 2
    assert harness.refusal is not None
    assert harness.refusal.ran is Ran.MAY_HAVE_RUN


def test_an_unsafe_request_is_never_hedged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = ForwarderHarness(RouteKind.UNSAFE)
    intercept_attempts(harness, monkeypatch)

    async def scenario() -> None:
        task = await harness.submit()
        await harness.advance_time(3.0)
        assert len(harness.attempts) == 1
        await harness.advance_time(6.0)
        await task

    asyncio.run(scenario())
    assert len(harness.attempts) == 1
    assert harness.refusal is not None
    assert harness.refusal.code is Code.DEADLINE_PASSED
    assert harness.refusal.ran is Ran.MAY_HAVE_RUN


def test_a_request_that_replicas_only_rejected_is_reported_as_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = ForwarderHarness(RouteKind.UNSAFE)
    intercept_attempts(harness, monkeypatch)

    async def scenario() -> None:
        await harness.submit()
        rejected = AnswerMetadata('a1', is_rejected=True)
        for _rejection in range(2):
            await harness.deliver_head(
                harness.attempts[-1], status=503, metadata=rejected
            )

    asyncio.run(scenario())
    assert len(harness.attempts) == 2
    assert harness.refusal is not None
    assert harness.refusal.ran is Ran.NOT_RUN


@pytest.mark.parametrize('rank', [0, 1])
def test_a_stream_resumes_elsewhere_as_soon_as_a_box_restarts(
    harness: ForwarderHarness,
    rank: int,
) -> None:
    """Attempts fail when their box restarts, not only by a silence timeout.

    A stream resumed 0.2 s late when the box list already showed that a box of
    its group had restarted.
    """

    async def scenario() -> None:
        task = await harness.submit()
        (first,) = harness.attempts
        await harness.deliver_head(first)
        await harness.deliver_events(first, 0, 1)
        group = harness.cluster.fleet.groups[first.replica.group]
        await harness.restart_boxes(group.members[rank].box)
        (_first, second) = harness.attempts
        assert second.replica.group != first.replica.group
        await harness.deliver_head(second)
        await harness.deliver_events(second, 2, 3)
        await harness.deliver_end(second)
        await task

    asyncio.run(scenario())
    assert harness.answer.end == 'complete'
    assert list_numbers(harness.answer.body) == [0, 1, 2, 3]


def test_an_unsafe_request_is_refused_when_its_box_restarts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = ForwarderHarness(RouteKind.UNSAFE)
    intercept_attempts(harness, monkeypatch)

    async def scenario() -> None:
        task = await harness.submit()
        (first,) = harness.attempts
        await harness.restart_boxes(first.replica.key.box)
        await task

    asyncio.run(scenario())
    assert len(harness.attempts) == 1
    assert harness.refusal is not None
    assert harness.refusal.ran is Ran.MAY_HAVE_RUN


def test_a_restart_in_another_group_does_not_disturb_a_stream(
    harness: ForwarderHarness,
) -> None:
    async def scenario() -> None:
        task = await harness.submit()
        (first,) = harness.attempts
        await harness.deliver_head(first)
        others = {
            box.box
            for box in harness.cluster.fleet.boxes.values()
            if box.standing and box.standing.group != first.replica.group
        }
        await harness.restart_boxes(*others)
        await harness.deliver_events(first, 0)
        await harness.deliver_end(first)
        await task

    asyncio.run(scenario())
    assert len(harness.attempts) == 1
    assert harness.answer.end == 'complete'


async def record_three_crashes(harness: ForwarderHarness) -> None:
    """Record crashes of three replicas that ran the first request."""
    fingerprint = harness.attempts[0].traits.fingerprint
    for number in (1, 2, 3):
        harness.quarantine.history.record_crash(
            ReplicaKey(BoxId(f'x{number}')),
            {fingerprint: False},
            harness.clock.now + number,
        )


def test_a_crash_records_whether_the_answer_had_begun(
    harness: ForwarderHarness,
) -> None:
    async def scenario() -> None:
        await harness.submit()
        (first,) = harness.attempts
        harness.quarantine.ended.add(first.replica.key.box)
        await harness.deliver_head(first)
        await harness.deliver_events(first, 1)
        await harness.deliver_end(first, is_whole=False)
        second = harness.attempts[1]
        harness.quarantine.ended.add(second.replica.key.box)
        second.post(Attempt.Fault(second, SendFault.BROKEN))
        await harness.run_pending()

    asyncio.run(scenario())
    ends = harness.quarantine.history.crashes
    assert [list(end.runs.values()) for end in ends] == [[True], [False]]


def test_a_running_request_that_becomes_held_back_is_dropped(
    harness: ForwarderHarness,
) -> None:
    async def scenario() -> None:
        await harness.submit()
        await record_three_crashes(harness)
        harness.quarantine._running.fail_quarantined(
            harness.attempts[0].traits.fingerprint
        )
        await harness.run_pending()

    asyncio.run(scenario())
    assert len(harness.attempts) == 1
    assert harness.refusal is not None
    assert harness.refusal.code is Code.TARGET_FAILED
    assert harness.refusal.ran is Ran.MAY_HAVE_RUN
    # The replica has not failed, as it was protected from the request.
    assert not harness.replica_table.get(
        harness.attempts[0].replica.key
    ).streak


def test_a_begun_stream_continues_when_it_becomes_held_back(
    harness: ForwarderHarness,
) -> None:
    async def scenario() -> None:
        await harness.submit()
        (first,) = harness.attempts
        await harness.deliver_head(first)
        # The piece is still queued when the notice arrives.
        first.post(Attempt.Piece(first, StreamEvent(b'id: 1\n\n', 1)))
        harness.quarantine._running.fail_quarantined(first.traits.fingerprint)
        await harness.run_pending()
        await harness.deliver_events(first, 2)
        await harness.deliver_end(first)

    asyncio.run(scenario())
    assert list_numbers(harness.answer.body) == [1, 2]
    assert harness.answer.end == 'complete'


def test_a_request_that_becomes_held_back_while_connecting_is_not_sent(
    harness: ForwarderHarness,
) -> None:
    async def scenario() -> None:
        await harness.submit()
        await record_three_crashes(harness)
        assert not harness.may_send()
        (first,) = harness.attempts
        first.post(Attempt.Fault(first, SendFault.TOO_LATE))
        await harness.run_pending()

    asyncio.run(scenario())
    assert len(harness.attempts) == 1
    assert harness.refusal is not None


def test_a_held_back_request_is_refused_as_not_run(
    harness: ForwarderHarness,
) -> None:
    async def scenario() -> None:
        await harness.submit()
        await record_three_crashes(harness)
        (first,) = harness.attempts
        await harness.deliver_head(first)
        await harness.deliver_events(first, 1)
        await harness.deliver_end(first, is_whole=False)
        # The begun stream does not resume elsewhere.
        assert harness.answer.end == 'aborted'
        await harness.submit()

    asyncio.run(scenario())
    assert len(harness.attempts) == 1
    assert harness.refusal is not None
    assert harness.refusal.code is Code.REQUEST_HELD_BACK
    assert harness.refusal.ran is Ran.NOT_RUN


def test_a_complete_answer_clears_a_request_of_crashes(
    harness: ForwarderHarness,
) -> None:
    async def scenario() -> None:
        await harness.submit()
        (first,) = harness.attempts
        harness.quarantine.ended.add(first.replica.key.box)
        first.post(Attempt.Fault(first, SendFault.BROKEN))
        await harness.run_pending()
        assert (
            harness.quarantine.history.count_crashes(first.traits.fingerprint)
            == 1
        )
        second = harness.attempts[1]
        await harness.deliver_head(second)
        await harness.deliver_events(second, 1)
        await harness.deliver_end(second)

    asyncio.run(scenario())
    fingerprint = harness.attempts[0].traits.fingerprint
    assert not harness.quarantine.history.count_crashes(fingerprint)


def test_events_without_numbers_are_never_relayed_twice(
    harness: ForwarderHarness,
) -> None:
    async def scenario() -> None:
        await harness.submit()
        (first,) = harness.attempts
        await harness.deliver_head(first)
        event = StreamEvent(b'data: a\n\n', None)
        first.post(Attempt.Piece(first, event))
        await harness.run_pending()
        await harness.advance_time(0.25)
        assert harness.attempts == [first]
        await harness.deliver_end(first, is_whole=False)
        assert harness.attempts == [first]

    asyncio.run(scenario())
    assert harness.answer.body == b'data: a\n\n'
    assert harness.answer.end == 'aborted'


def test_a_plain_answer_is_not_resumed_even_if_its_caller_resumes(
    harness: ForwarderHarness,
) -> None:
    async def scenario() -> None:
        await harness.submit(resume_after=2)
        (first,) = harness.attempts
        await harness.deliver_head(first)
        first.post(Attempt.Piece(first, StreamEvent(b'part', None)))
        await harness.run_pending()
        await harness.deliver_end(first, is_whole=False)
        assert harness.attempts == [first]

    asyncio.run(scenario())
    assert harness.answer.body == b'part'
    assert harness.answer.end == 'aborted'


async def run_clock(
    harness: ForwarderHarness, task: asyncio.Task, seconds: float
) -> None:
    """Advance the manual clock in step with the event loop's timers."""
    ends_at = harness.clock.now + seconds
    while harness.clock.now < ends_at and not task.done():
        await asyncio.sleep(0.02)
        harness.clock.now += 0.02


def test_a_diagnosis_of_the_links_holds_no_request_beyond_its_deadline(
    harness: ForwarderHarness,  # noqa: F811
) -> None:
    async def play() -> bool:
        diagnosed = asyncio.Event()

        async def diagnose(_service: object) -> None:
            await diagnosed.wait()

        harness.paths.await_diagnosis = diagnose  # type: ignore[method-assign]
        harness.connects_at_once = False
        task = await harness.submit(timeout_seconds=0.2)
        for number in range(2):
            attempt = harness.attempts[number]
            attempt.post(Attempt.Fault(attempt, SendFault.NOT_SENT))
            await harness.run_pending()
        await run_clock(harness, task, 1.0)
        has_ended = task.done()
        diagnosed.set()
        await run_clock(harness, task, 1.0)
        assert task.done()
        return has_ended

    assert asyncio.run(play())
