"""Attempts at one request that run side by side."""

from __future__ import annotations

import asyncio

import pytest

from tests.forwarder_stage import Stage, drive
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


def test_the_first_attempt_goes_on_when_it_wakes_before_the_second(
    stage: Stage,
) -> None:
    async def play() -> None:
        await stage.begin()
        (first,) = stage.attempts
        await stage.head(first)
        await stage.events(first, 1, 2)
        await stage.pass_time(0.25)
        second = stage.attempts[1]
        await stage.head(second)
        # The first was only late; what the second brings is surplus.
        await stage.events(first, 3, 4)
        await stage.events(second, 3, 4)
        await stage.events(first, 5)
        await stage.end(first)

    asyncio.run(play())
    assert list_numbers(stage.answer.body) == [1, 2, 3, 4, 5]
    assert stage.answer.end == 'whole'


def test_the_second_attempt_goes_on_where_the_first_fell_silent(
    stage: Stage,
) -> None:
    async def play() -> None:
        await stage.begin()
        (first,) = stage.attempts
        await stage.head(first)
        await stage.events(first, 1, 2)
        await stage.pass_time(0.25)
        second = stage.attempts[1]
        assert second.replica != first.replica
        await stage.head(second)
        await stage.events(second, 3)
        await stage.events(first, 3)
        await stage.events(second, 4)
        await stage.end(second)

    asyncio.run(play())
    assert list_numbers(stage.answer.body) == [1, 2, 3, 4]
    assert stage.answer.end == 'whole'


def test_a_skipped_event_is_never_passed_on(stage: Stage) -> None:
    async def play() -> None:
        await stage.begin()
        (first,) = stage.attempts
        await stage.head(first)
        await stage.events(first, 1, 3)
        await stage.head(stage.attempts[1])
        await stage.events(stage.attempts[1], 2, 4)

    asyncio.run(play())
    assert list_numbers(stage.answer.body) == [1, 2]
    assert stage.answer.end == 'cut'


def test_a_failure_is_never_passed_on_as_the_rest_of_a_begun_answer(
    stage: Stage,
) -> None:
    async def play() -> None:
        await stage.begin()
        (first,) = stage.attempts
        await stage.head(first)
        await stage.events(first, 1, 2)
        await stage.end(first, is_whole=False)
        second = stage.attempts[1]
        # No third replica is allowed, so the failure is the last word.
        await stage.head(second, status=500)
        second.post(Attempt.Piece(second, StreamEvent(b'{}', None)))
        await stage.end(second)

    asyncio.run(play())
    assert stage.answer.body == b'id: 1\n\nid: 2\n\n'
    assert stage.answer.end == 'cut'


def test_a_word_of_a_dropped_attempt_changes_nothing(stage: Stage) -> None:
    async def play() -> None:
        await stage.begin()
        (first,) = stage.attempts
        # Both wait in the queue when the first of them drops the attempt.
        first.post(Attempt.Fault(first, SendFault.NOT_SENT))
        first.post(Attempt.Fault(first, SendFault.BROKEN))
        await stage.settle()
        second = stage.attempts[-1]
        await stage.head(second)
        await stage.events(second, 1, 2)
        await stage.end(second)

    asyncio.run(play())
    assert len(stage.attempts) == 2
    assert list_numbers(stage.answer.body) == [1, 2]
    assert stage.answer.end == 'whole'
    assert stage.book.get(stage.attempts[0].replica.key).streak == 1


def test_no_more_replicas_are_tried_than_the_route_allows(
    stage: Stage,
) -> None:
    async def play() -> None:
        await stage.begin()
        for _failure in range(2):
            attempt = stage.attempts[-1]
            attempt.post(Attempt.Fault(attempt, SendFault.BROKEN))
            await stage.settle()

    asyncio.run(play())
    assert len(stage.attempts) == 2
    assert stage.refusal is not None
    assert stage.refusal.ran is Ran.MAY_HAVE_RUN


def test_an_unsafe_request_is_never_tried_beside_a_silent_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    stage = Stage(RouteKind.UNSAFE)
    drive(stage, monkeypatch)

    async def play() -> None:
        task = await stage.begin()
        await stage.pass_time(3.0)
        assert len(stage.attempts) == 1
        await stage.pass_time(6.0)
        await task

    asyncio.run(play())
    assert len(stage.attempts) == 1
    assert stage.refusal is not None
    assert stage.refusal.code is Code.DEADLINE_PASSED
    assert stage.refusal.ran is Ran.MAY_HAVE_RUN


def test_rejections_leave_a_request_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    stage = Stage(RouteKind.UNSAFE)
    drive(stage, monkeypatch)

    async def play() -> None:
        await stage.begin()
        rejected = AnswerMetadata('a1', is_rejected=True)
        for _rejection in range(2):
            await stage.head(stage.attempts[-1], status=503, metadata=rejected)

    asyncio.run(play())
    assert len(stage.attempts) == 2
    assert stage.refusal is not None
    assert stage.refusal.ran is Ran.NOT_RUN


@pytest.mark.parametrize('rank', [0, 1])
def test_a_stream_is_taken_up_elsewhere_once_a_box_starts_again(
    stage: Stage,
    rank: int,
) -> None:
    """Symptom: a stream went on 0.2 s late after a box had crashed.

    Sequence: a stream has begun; the list shows a box of its group in another
    life.  Cause: an attempt was given up by its own silence only.
    """

    async def play() -> None:
        task = await stage.begin()
        (first,) = stage.attempts
        await stage.head(first)
        await stage.events(first, 0, 1)
        group = stage.outlook.fleet.groups[first.replica.group]
        await stage.restart(group.members[rank].box)
        (_first, second) = stage.attempts
        assert second.replica.group != first.replica.group
        await stage.head(second)
        await stage.events(second, 2, 3)
        await stage.end(second)
        await task

    asyncio.run(play())
    assert stage.answer.end == 'whole'
    assert list_numbers(stage.answer.body) == [0, 1, 2, 3]


def test_what_may_not_run_twice_ends_visibly_when_its_box_starts_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    made = Stage(RouteKind.UNSAFE)
    drive(made, monkeypatch)

    async def play() -> None:
        task = await made.begin()
        (first,) = made.attempts
        await made.restart(first.replica.key.box)
        await task

    asyncio.run(play())
    assert len(made.attempts) == 1
    assert made.refusal is not None
    assert made.refusal.ran is Ran.MAY_HAVE_RUN


def test_a_restart_elsewhere_disturbs_no_stream(stage: Stage) -> None:
    async def play() -> None:
        task = await stage.begin()
        (first,) = stage.attempts
        await stage.head(first)
        others = {
            box.box
            for box in stage.outlook.fleet.boxes.values()
            if box.standing and box.standing.group != first.replica.group
        }
        await stage.restart(*others)
        await stage.events(first, 0)
        await stage.end(first)
        await task

    asyncio.run(play())
    assert len(stage.attempts) == 1
    assert stage.answer.end == 'whole'


async def _end_three(stage: Stage) -> None:
    """Let three replicas end under the request that is played."""
    fingerprint = stage.attempts[0].traits.fingerprint
    for number in (1, 2, 3):
        stage.quarantine.book.note_crash(
            ReplicaKey(BoxId(f'x{number}')),
            {fingerprint: False},
            stage.clock.now + number,
        )


def test_an_attempt_that_broke_is_told_with_what_it_had_brought(
    stage: Stage,
) -> None:
    async def play() -> None:
        await stage.begin()
        (first,) = stage.attempts
        stage.quarantine.ended.add(first.replica.key.box)
        await stage.head(first)
        await stage.events(first, 1)
        await stage.end(first, is_whole=False)
        second = stage.attempts[1]
        stage.quarantine.ended.add(second.replica.key.box)
        second.post(Attempt.Fault(second, SendFault.BROKEN))
        await stage.settle()

    asyncio.run(play())
    ends = stage.quarantine.book.crashes
    assert [list(end.runs.values()) for end in ends] == [[True], [False]]


def test_a_request_that_is_held_back_meanwhile_is_broken_off(
    stage: Stage,
) -> None:
    async def play() -> None:
        await stage.begin()
        await _end_three(stage)
        stage.quarantine._running.fail_quarantined(
            stage.attempts[0].traits.fingerprint
        )
        await stage.settle()

    asyncio.run(play())
    assert len(stage.attempts) == 1
    assert stage.refusal is not None
    assert stage.refusal.code is Code.TARGET_FAILED
    assert stage.refusal.ran is Ran.MAY_HAVE_RUN
    # Nothing speaks against a replica that was spared.
    assert not stage.book.get(stage.attempts[0].replica.key).streak


def test_a_stream_that_has_begun_goes_on_when_it_is_held_back(
    stage: Stage,
) -> None:
    async def play() -> None:
        await stage.begin()
        (first,) = stage.attempts
        await stage.head(first)
        # The piece waits in the queue when the word comes.
        first.post(Attempt.Piece(first, StreamEvent(b'id: 1\n\n', 1)))
        stage.quarantine._running.fail_quarantined(first.traits.fingerprint)
        await stage.settle()
        await stage.events(first, 2)
        await stage.end(first)

    asyncio.run(play())
    assert list_numbers(stage.answer.body) == [1, 2]
    assert stage.answer.end == 'whole'


def test_a_request_that_is_held_back_while_it_connects_is_not_written(
    stage: Stage,
) -> None:
    async def play() -> None:
        await stage.begin()
        await _end_three(stage)
        assert not stage.may_send()
        (first,) = stage.attempts
        first.post(Attempt.Fault(first, SendFault.TOO_LATE))
        await stage.settle()

    asyncio.run(play())
    assert len(stage.attempts) == 1
    assert stage.refusal is not None


def test_a_request_that_is_held_back_is_refused_as_not_run(
    stage: Stage,
) -> None:
    async def play() -> None:
        await stage.begin()
        await _end_three(stage)
        (first,) = stage.attempts
        await stage.head(first)
        await stage.events(first, 1)
        await stage.end(first, is_whole=False)
        # The stream that had begun is not taken up elsewhere.
        assert stage.answer.end == 'cut'
        await stage.begin()

    asyncio.run(play())
    assert len(stage.attempts) == 1
    assert stage.refusal is not None
    assert stage.refusal.code is Code.REQUEST_HELD_BACK
    assert stage.refusal.ran is Ran.NOT_RUN


def test_an_answer_that_is_whole_clears_the_request(stage: Stage) -> None:
    async def play() -> None:
        await stage.begin()
        (first,) = stage.attempts
        stage.quarantine.ended.add(first.replica.key.box)
        first.post(Attempt.Fault(first, SendFault.BROKEN))
        await stage.settle()
        assert (
            stage.quarantine.book.count_crashes(first.traits.fingerprint) == 1
        )
        second = stage.attempts[1]
        await stage.head(second)
        await stage.events(second, 1)
        await stage.end(second)

    asyncio.run(play())
    fingerprint = stage.attempts[0].traits.fingerprint
    assert not stage.quarantine.book.count_crashes(fingerprint)


def test_events_without_numbers_are_never_passed_on_twice(
    stage: Stage,
) -> None:
    async def play() -> None:
        await stage.begin()
        (first,) = stage.attempts
        await stage.head(first)
        event = StreamEvent(b'data: a\n\n', None)
        first.post(Attempt.Piece(first, event))
        await stage.settle()
        await stage.pass_time(0.25)
        assert stage.attempts == [first]
        await stage.end(first, is_whole=False)
        assert stage.attempts == [first]

    asyncio.run(play())
    assert stage.answer.body == b'data: a\n\n'
    assert stage.answer.end == 'cut'


def test_a_plain_answer_to_a_caller_that_resumes_is_never_resumed(
    stage: Stage,
) -> None:
    async def play() -> None:
        await stage.begin(resume_after=2)
        (first,) = stage.attempts
        await stage.head(first)
        first.post(Attempt.Piece(first, StreamEvent(b'part', None)))
        await stage.settle()
        await stage.end(first, is_whole=False)
        assert stage.attempts == [first]

    asyncio.run(play())
    assert stage.answer.body == b'part'
    assert stage.answer.end == 'cut'
