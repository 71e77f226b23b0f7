"""State machine over the attempts at one request of a front daemon."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from tests.forwarder_harness import ForwarderHarness, intercept_attempts
from tests.test_forwarded_requests import LLM
from tests.test_peer_chooser import make_node
from waywell.codes import Code, Ran
from waywell.connection.exchange import SendFault
from waywell.connection.forwarding import PeerRefusal
from waywell.connection.front import _choose_status
from waywell.request.attempt import Attempt
from waywell.request.decoded_request import AnswerMetadata
from waywell.version.routes import RouteKind

PROMISES = {408, 421, 429, 503}
"""Statuses that promise that a request has not run."""

KINDS = {
    'unsafe': (RouteKind.UNSAFE, False),
    'safe': (RouteKind.SAFE, False),
    'stream': (RouteKind.STREAM, False),
    'resumable': (RouteKind.STREAM, True),
}
"""Route kind, and whether its streams may be resumed, by kind of request."""

PEER_CODES = (
    Code.NODE_LEAVING,
    Code.NODE_PARTITIONED,
    Code.NODE_BUSY,
    Code.REPLICAS_REST,
    Code.TARGET_FAILED,
    Code.NO_ROUTE,
)

SILENT_SECONDS = 0.35
"""Silence after which attempts are hedged."""

TIMEOUT = 8.0
"""Timeout of the route in seconds."""


class Truth:
    """What really became of one attempt, as its destination knows it."""

    def __init__(self, reserved: int) -> None:
        self.reserved = reserved
        self.was_written = False
        self.used = 0
        self.has_run = False


class AttemptsMachine(RuleBasedStateMachine):
    """Plays attempts at a request against what their destinations know."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.patch = pytest.MonkeyPatch()
        self.truths: dict[Attempt, Truth] = {}
        self.heads: set[Attempt] = set()
        self.task: asyncio.Task | None = None
        self.last_event = 0

    def teardown(self) -> None:
        if self.task is not None:
            self.task.cancel()
            self.wait(asyncio.gather(self.task, return_exceptions=True))
        self.patch.undo()
        self.loop.close()

    def wait(self, coroutine: Any) -> Any:
        return self.loop.run_until_complete(coroutine)

    @precondition(lambda self: not self.is_running())
    @rule(
        kind=st.sampled_from(sorted(KINDS)),
        most_targets=st.integers(1, 3),
        is_cut=st.booleans(),
        connects_at_once=st.booleans(),
    )
    def submit(
        self,
        kind: str,
        most_targets: int,
        is_cut: bool,
        connects_at_once: bool,
    ) -> None:
        self.truths.clear()
        self.heads.clear()
        self.last_event = 0
        self.connects_at_once = connects_at_once
        route_kind, is_resumable = KINDS[kind]
        self.may_repeat = kind in {'safe', 'resumable'}
        self.most_targets = most_targets
        harness = ForwarderHarness(
            route_kind, most_targets, is_resumable=is_resumable
        )
        intercept_attempts(harness, self.patch)
        harness.connects_at_once = False
        harness.paths.peers = [make_node(name) for name in 'bcde']
        self.harness = harness
        self.set_links(is_cut)
        self.deadline_at = harness.clock.now + TIMEOUT
        self.task = self.wait(harness.submit())
        self.note_attempts()

    def set_links(self, is_cut: bool) -> None:
        self.harness.paths.is_lost = is_cut
        self.harness.paths.finds_loss = is_cut

    def note_attempts(self) -> None:
        for attempt in self.harness.attempts:
            if attempt in self.truths:
                continue
            truth = Truth(attempt.destination.count_sends())
            self.truths[attempt] = truth
            if self.connects_at_once:
                self.record_write(attempt, 1)

    def record_write(self, attempt: Attempt, used: int) -> bool:
        """Write a request if it may be sent; return whether it was."""
        if not self.harness.may_send_by_attempt[attempt]():
            return False
        assert self.is_running()
        assert self.harness.clock.now < self.deadline_at
        truth = self.truths[attempt]
        truth.was_written = True
        truth.used = used
        truth.has_run = True
        return True

    def is_running(self) -> bool:
        return self.task is not None and not self.task.done()

    def list_attempts(self, *, written: bool) -> list[Attempt]:
        """Return the attempts that go on, before or after their write."""
        return [
            attempt
            for attempt, truth in self.truths.items()
            if truth.was_written is written and not attempt._is_abandoned
        ]

    def has_written(self, *, at_peer: bool) -> bool:
        return any(
            (attempt.destination.replica is None) is at_peer
            for attempt in self.list_attempts(written=True)
        )

    def draw(self, choices: Any, *, written: bool) -> Attempt | None:
        attempts = self.list_attempts(written=written)
        return choices.draw(st.sampled_from(attempts)) if attempts else None

    def post(self, message: object) -> None:
        message.attempt.post(message)
        self.wait(self.harness.run_pending())
        self.note_attempts()

    @precondition(
        lambda self: any(
            not truth.was_written for truth in self.truths.values()
        )
    )
    @rule(choices=st.data())
    def write(self, choices: Any) -> None:
        """A connection comes up, also one of a request that has ended."""
        unwritten = [
            attempt
            for attempt, truth in self.truths.items()
            if not truth.was_written
        ]
        attempt = choices.draw(st.sampled_from(unwritten))
        used = choices.draw(st.integers(1, self.truths[attempt].reserved))
        if not self.record_write(attempt, used):
            self.post(Attempt.Fault(attempt, SendFault.TOO_LATE))

    @precondition(lambda self: self.list_attempts(written=False))
    @rule(choices=st.data(), fault=st.sampled_from(['not_sent', 'no_turn']))
    def fail_unsent(self, choices: Any, fault: str) -> None:
        attempt = self.draw(choices, written=False)
        if attempt is not None:
            self.post(Attempt.Fault(attempt, SendFault(fault)))

    @precondition(lambda self: self.list_attempts(written=True))
    @rule(choices=st.data(), fault=st.sampled_from(['broken', 'malformed']))
    def break_off(self, choices: Any, fault: str) -> None:
        attempt = self.draw(choices, written=True)
        if attempt is not None and attempt not in self.heads:
            self.post(Attempt.Fault(attempt, SendFault(fault)))

    @precondition(lambda self: self.has_written(at_peer=False))
    @rule(choices=st.data(), status=st.sampled_from([421, 503]))
    def reject(self, choices: Any, status: int) -> None:
        attempt = self.draw(choices, written=True)
        if attempt is None or attempt in self.heads:
            return
        if attempt.destination.replica is None:
            return
        self.truths[attempt].has_run = False
        metadata = AnswerMetadata(
            'a1', is_rejected=True, is_misdirected=status == 421
        )
        self.deliver_head(attempt, status, metadata)

    @precondition(lambda self: self.has_written(at_peer=True))
    @rule(
        choices=st.data(),
        code=st.sampled_from(PEER_CODES),
        ran=st.sampled_from((Ran.MAY_HAVE_RUN, Ran.NOT_RUN)),
        tells_sends=st.booleans(),
    )
    def refuse(
        self, choices: Any, code: Code, ran: Ran, tells_sends: bool
    ) -> None:
        attempt = self.draw(choices, written=True)
        if attempt is None or attempt in self.heads:
            return
        if attempt.destination.replica is not None:
            return
        truth = self.truths[attempt]
        if ran is Ran.NOT_RUN:
            truth.has_run = False
            truth.used = choices.draw(
                st.integers(0, truth.reserved if tells_sends else 0)
            )
        sends = truth.used if tells_sends else None
        refusal = PeerRefusal(code, ran, 0.5, sends)
        self.deliver_head(attempt, 503, AnswerMetadata(refusal=refusal))

    @precondition(lambda self: self.list_attempts(written=True))
    @rule(choices=st.data(), status=st.sampled_from([200, 404, 500]))
    def answer(self, choices: Any, status: int) -> None:
        attempt = self.draw(choices, written=True)
        if attempt is not None and attempt not in self.heads:
            self.heads.add(attempt)
            self.deliver_head(attempt, status, AnswerMetadata('a1'))

    @precondition(lambda self: self.heads)
    @rule(choices=st.data())
    def send_event(self, choices: Any) -> None:
        attempt = self.draw(choices, written=True)
        if attempt in self.heads:
            self.last_event += 1
            self.wait(self.harness.deliver_events(attempt, self.last_event))
            self.note_attempts()

    @precondition(lambda self: self.heads)
    @rule(choices=st.data(), is_whole=st.booleans())
    def end(self, choices: Any, is_whole: bool) -> None:
        attempt = self.draw(choices, written=True)
        if attempt in self.heads:
            self.wait(self.harness.deliver_end(attempt, is_whole))
            self.note_attempts()

    @precondition(lambda self: self.is_running())
    @rule(seconds=st.sampled_from([SILENT_SECONDS, TIMEOUT]))
    def pass_time(self, seconds: float) -> None:
        self.wait(self.harness.advance_time(seconds))
        self.note_attempts()

    @precondition(lambda self: self.is_running())
    @rule(is_cut=st.booleans())
    def change_links(self, is_cut: bool) -> None:
        self.set_links(is_cut)

    @precondition(lambda self: self.is_running())
    @rule()
    def stop_node(self) -> None:
        self.harness.forwarder.end_requests(self.harness.clock.now)
        self.wait(self.harness.run_pending())

    def deliver_head(
        self, attempt: Attempt, status: int, metadata: AnswerMetadata
    ) -> None:
        self.wait(
            self.harness.deliver_head(
                attempt, status=status, metadata=metadata
            )
        )
        self.note_attempts()

    def list_written(self) -> list[Truth]:
        return [truth for truth in self.truths.values() if truth.was_written]

    @invariant()
    def what_may_run_once_has_run_at_one_attempt(self) -> None:
        if self.task is not None and not self.may_repeat:
            runs = [truth for truth in self.list_written() if truth.has_run]
            assert len(runs) <= 1

    @invariant()
    def no_more_replicas_than_allowed_have_run_it(self) -> None:
        runs = [truth.used for truth in self.list_written() if truth.has_run]
        assert self.task is None or sum(runs) <= self.most_targets

    @invariant()
    def each_second_send_has_drawn_on_the_budget(self) -> None:
        if self.task is None:
            return
        arrived = [truth for truth in self.list_written() if truth.used]
        resends = self.harness.budget._sent[LLM].resends  # noqa: SLF001
        assert len(resends) >= len(arrived) - 1

    @invariant()
    def no_refusal_promises_what_is_not_known(self) -> None:
        refusal = self.harness.refusal if self.task is not None else None
        if refusal is None:
            return
        has_run = any(truth.has_run for truth in self.list_written())
        if has_run:
            assert refusal.ran is not Ran.NOT_RUN
            assert _choose_status(refusal) not in PROMISES
        else:
            assert _choose_status(refusal) < 504

    @invariant()
    def what_may_not_run_again_does_not_wait(self) -> None:
        if self.is_running():
            assert self.list_attempts(written=True) or self.list_attempts(
                written=False
            )


TestAttempts = AttemptsMachine.TestCase
