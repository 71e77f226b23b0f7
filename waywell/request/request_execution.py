"""Execution of one request: answers the caller from its attempts."""

from __future__ import annotations

import inspect
from typing import TYPE_CHECKING

import msgspec

from waywell.codes import CODE_FACTS, Code, Ran, Refusal
from waywell.connection.exchange import SendFault
from waywell.process.actor import get_handler_name
from waywell.request.attempt import Attempt, Inbox
from waywell.request.request_attempts import RequestAttempts
from waywell.request.retry_after import compute_retry_after
from waywell.telemetry.events import log_event
from waywell.version.routes import RouteKind

if TYPE_CHECKING:
    from waywell.connection.forwarding import PeerRefusal
    from waywell.request.request_context import (
        AnswerWriter,
        ForwarderDependencies,
        RequestContext,
    )
    from waywell.request.stream_events import StreamEvent

MIN_SERVER_ERROR = 500
"""Lowest HTTP status that counts as a failure of a server."""


_UNFIT_PEER_CODES = frozenset(
    (
        Code.NODE_PARTITIONED,
        Code.NODE_LEAVING,
        Code.NODE_STARTING,
        Code.NODE_BUSY,
        Code.ROUTES_STALE,
    ),
)
"""Refusals that concern only the peer, so that another one may serve."""


class RequestExecution:
    """Handles the messages of the attempts until the request is answered.

    Parameters
    ----------
    dependencies
        Collaborators of the forwarder.
    context
        State of the request.
    answer
        Writes the answer to the caller.
    """

    class NodeEnd(msgspec.Struct, frozen=True):
        """The node is about to end."""

    def __init__(
        self,
        dependencies: ForwarderDependencies,
        context: RequestContext,
        answer: AnswerWriter,
    ) -> None:
        """Prepare the execution without starting an attempt."""
        self._dependencies = dependencies
        self._context = context
        self._answer = answer
        self._inbox = Inbox(answer.hold)
        self._attempts = RequestAttempts(dependencies, context, self._inbox)
        self._begun_status = 0
        self._is_caller_blocking = False

    async def run(self) -> None:
        """Run attempts until the request is answered or given up.

        Raises
        ------
        Refusal
            If no part of an answer was sent to the caller.
        """
        try:
            await self._run()
        except _Answered:
            return
        finally:
            self._attempts.drop_all()
            self._inbox.close()

    def end_with_node(self, now: float) -> None:
        """Log the attempts that the node's end cuts, and refuse to wait.

        Without a part of the answer the caller still gets a complete one.
        """
        context = self._context
        for attempt in self._attempts.running:
            self._attempts.log(
                'unfinished',
                attempt,
                now,
                events=attempt.progress.events,
                silence=round(now - attempt.get_last_arrival(), 3),
                caller_blocks=self._is_caller_blocking,
                deadline=round(context.deadline_at - now, 3),
            )
        self._inbox.put(self.NodeEnd())

    def on_node_end(self, _end: RequestExecution.NodeEnd) -> None:
        """Give up a request whose answer was not begun."""
        if not self._context.is_begun:
            self._give_up(Code.NODE_LEAVING, retry_after=0)

    async def on_piece(self, piece: Attempt.Piece) -> None:
        """Relay a piece and drop all other attempts."""
        attempt = piece.attempt
        if attempt not in self._attempts.running or attempt.head is None:
            return
        now = self._dependencies.clock.read()
        _record_pause(attempt, now)
        attempt.destination.replica_table.record_event(
            attempt.destination.key, now
        )
        if not _is_next(piece, self._context.last_event):
            # Another attempt is ahead of this one, or it skipped an event.
            await self._fail(attempt, now, f'event_{piece.event.number}')
            return
        self._select_attempt(attempt, now)
        self._record_event(piece.event)
        self._begin(attempt.head)
        self._is_caller_blocking = True
        await self._answer.write(piece.event.raw)
        self._is_caller_blocking = False

    async def on_head(self, head: Attempt.Head) -> None:
        """Accept the head of an answer, or try another destination."""
        attempt = head.attempt
        if attempt not in self._attempts.running:
            return
        now = self._dependencies.clock.read()
        if head.metadata.refusal is not None:
            self._handle_refusal(attempt, head.metadata.refusal, now)
            return
        if head.metadata.attempt_id != self._context.request.attempt_id:
            await self._fail(attempt, now, 'foreign_answer')
            return
        if head.metadata.is_rejected or head.metadata.is_misdirected:
            self._handle_rejection(head, now)
            return
        if self._context.is_begun and head.status != self._begun_status:
            # Its body can't continue the answer that was begun.
            await self._fail(attempt, now, f'status_{head.status}')
            return
        attempt.destination.replica_table.record_message(
            attempt.destination.key, now
        )
        if head.status >= MIN_SERVER_ERROR:
            attempt.destination.on_failed(now)
            if await self._retry(attempt, now, f'status_{head.status}'):
                return
        attempt.head = head

    async def on_end(self, end: Attempt.End) -> None:
        """Finish the answer, or resume elsewhere if it was truncated."""
        attempt = end.attempt
        if attempt not in self._attempts.running or attempt.head is None:
            return
        now = self._dependencies.clock.read()
        if not end.outcome.is_complete:
            attempt.destination.on_broken(
                has_begun=attempt.has_begun, has_ended=False
            )
            self._attempts.log(
                'truncated', attempt, now, **end.outcome.describe()
            )
            await self._fail(attempt, now, 'cut')
            return
        self._attempts.drop_others(attempt)
        self._begin(attempt.head)
        self._answer.finish()
        status = attempt.head.status
        if status < MIN_SERVER_ERROR:
            cleared = self._context.traits.select_cleared(status)
            self._dependencies.guard.record_served(cleared)
        self._attempts.log(
            'answered', attempt, now, status=status, **end.outcome.describe()
        )
        self._dependencies.metrics.record_answer(
            self._context.service, self._get_age()
        )
        raise _Answered

    async def on_fault(self, fault: Attempt.Fault) -> None:
        """Handle an attempt that failed without an answer."""
        attempt = fault.attempt
        if attempt not in self._attempts.running:
            return
        now = self._dependencies.clock.read()
        if fault.fault is SendFault.HELD_BACK and self._context.may_have_run:
            self._drop_quarantined(attempt, now)
            return
        if self._may_have_reached(fault):
            has_ended = fault.fault is SendFault.REPLICA_ENDED
            attempt.destination.on_broken(
                has_begun=attempt.has_begun, has_ended=has_ended
            )
            await self._fail(attempt, now, fault.fault.value)
            return
        if fault.fault is SendFault.NOT_SENT:
            destination = attempt.destination
            destination.replica_table.record_failure(destination.key, now)
        self._attempts.log('not_sent', attempt, now, fault=fault.fault.value)
        self._attempts.drop(attempt)
        if self._attempts.running:
            return
        self._attempts.check_unsent(now)
        if fault.fault is SendFault.NOT_SENT:
            is_started = await self._attempts.start_anywhere()
        else:
            is_started = self._attempts.start()
        if not is_started:
            code = self._attempts.choice.explain_unroutable(now).code
            if code is Code.NO_WHOLE_GROUP:
                code = Code.TARGET_UNREACHABLE
            self._give_up(code)

    async def _run(self) -> None:
        if not self._attempts.start():
            now = self._dependencies.clock.read()
            self._give_up(self._attempts.choice.explain_unroutable(now).code)
        while self._attempts.running:
            await self._step()
        self._give_up(Code.TARGET_FAILED)

    async def _step(self) -> None:
        """Handle the next message, or the timeout if none arrives."""
        now = self._dependencies.clock.read()
        if now >= self._context.deadline_at:
            self._attempts.record_silence(now)
            self._give_up(Code.DEADLINE_PASSED)
        message = await self._inbox.get(self._get_wait_seconds(now))
        if message is None:
            self._handle_timeout()
            return
        outcome = getattr(self, get_handler_name(message))(message)
        if inspect.isawaitable(outcome):
            await outcome

    def _get_wait_seconds(self, now: float) -> float:
        """Return the seconds until the deadline or the next hedge."""
        wait = self._context.deadline_at - now
        if self._attempts.can_hedge():
            wait = min(wait, self._attempts.get_hedge_time() - now)
        return max(0.0, wait)

    def _handle_timeout(self) -> None:
        """Start a hedge if the only attempt has been silent for too long."""
        now = self._dependencies.clock.read()
        is_due = (
            self._attempts.can_hedge()
            and now >= self._attempts.get_hedge_time()
        )
        if is_due:
            self._attempts.hedge(now)

    def _may_have_reached(self, fault: Attempt.Fault) -> bool:
        """Return whether bytes of a failed attempt may have been sent."""
        if fault.fault is SendFault.REPLICA_ENDED:
            return self._context.may_have_run
        return fault.fault in {SendFault.BROKEN, SendFault.MALFORMED}

    def _handle_rejection(self, head: Attempt.Head, now: float) -> None:
        """Try another replica after one that rejected the request."""
        attempt = head.attempt
        self._context.rejections += 1
        attempt.destination.on_failed(now)
        if head.metadata.is_misdirected:
            attempt.destination.on_misdirected()
        self._attempts.log(
            'rejected',
            attempt,
            now,
            status=head.status,
            rest_asked=head.metadata.rest_seconds,
            leaving=head.metadata.is_leaving,
        )
        self._attempts.drop(attempt)
        if not self._attempts.running:
            if not self._attempts.start():
                self._give_up(
                    self._attempts.choice.explain_unroutable(now).code
                )

    def _handle_refusal(
        self,
        attempt: Attempt,
        refusal: PeerRefusal,
        now: float,
    ) -> None:
        """Try another destination after a peer refused to forward."""
        self._attempts.log(
            'peer_refused',
            attempt,
            now,
            code=int(refusal.code),
            ran=refusal.ran.value,
            sends=refusal.sends,
        )
        destination = attempt.destination
        reserved = destination.count_sends()
        self._context.settle_peer_sends(reserved, refusal)
        attempt.may_have_arrived = refusal.count_unused(reserved) < reserved
        is_fit = refusal.code not in _UNFIT_PEER_CODES
        if not is_fit:
            destination.replica_table.record_failure(destination.key, now)
        self._attempts.drop(attempt)
        if self._attempts.running:
            return
        if is_fit or not self._attempts.start():
            self._give_up(refusal.code, refusal.retry_after)

    def _record_event(self, event: StreamEvent) -> None:
        """Record a relayed event, after which another attempt may resume."""
        if event.number is not None:
            self._context.last_event = event.number
            self._context.passed_numbered_event = True
        elif not self._context.passed_unnumbered_part:
            self._context.passed_unnumbered_part = event.has_fields

    def _select_attempt(self, attempt: Attempt, now: float) -> None:
        """Continue with the attempt that received a piece; drop all others."""
        self._attempts.drop_others(attempt)
        if attempt.has_begun:
            return
        attempt.has_begun = True
        expected = self._attempts.hedge_timeouts.expected_first
        if expected > 0 and self._context.engine is not None:
            ratio = (now - attempt.started_at) / expected
            attempt.destination.on_first_piece(ratio)

    def _begin(self, head: Attempt.Head) -> None:
        if not self._context.is_begun:
            self._context.is_begun = True
            self._begun_status = head.status
            self._dependencies.metrics.record_first_piece(
                self._context.service, self._get_age()
            )
            length = head.length
            if self._context.route.kind is RouteKind.STREAM:
                length = None
            self._answer.begin(head.status, head.headers, length)

    def _get_age(self) -> float:
        """Return the seconds since the request arrived."""
        return self._dependencies.clock.read() - self._context.arrived_at

    def _drop_quarantined(self, attempt: Attempt, now: float) -> None:
        """Drop an attempt of a held back request, to protect its replica."""
        if attempt.has_begun:
            # A piece arrived before the notice: the replica did not crash.
            return
        self._attempts.log('held_back', attempt, now)
        self._attempts.drop(attempt)
        if not self._attempts.running:
            self._give_up(Code.TARGET_FAILED)

    async def _fail(self, attempt: Attempt, now: float, why: str) -> None:
        """Drop a failed attempt and retry elsewhere if that is safe."""
        attempt.destination.on_failed(now)
        if await self._retry(attempt, now, why):
            return
        self._attempts.log('failed', attempt, now, why=why)
        self._attempts.drop(attempt)
        if not self._attempts.running:
            self._give_up(Code.TARGET_FAILED)

    async def _retry(self, attempt: Attempt, now: float, why: str) -> bool:
        """Replace a failed attempt if the request may run again.

        Returns
        -------
        bool
            Whether another attempt continues the request.
        """
        is_alone = len(self._attempts.running) == 1
        if is_alone and not await self._attempts.start_anywhere():
            return False
        self._attempts.log('retried', attempt, now, why=why)
        self._attempts.drop(attempt)
        return True

    def _give_up(self, code: Code, retry_after: float | None = None) -> None:
        """End a request without a complete answer."""
        context = self._context
        now = self._dependencies.clock.read()
        if now >= context.deadline_at:
            code = Code.DEADLINE_PASSED
        elif (
            context.may_have_run and CODE_FACTS[code].status < MIN_SERVER_ERROR
        ):
            # The request was at no fault when it was sent.
            code = Code.TARGET_FAILED
        log_event(
            'given_up',
            request=context.request.attempt_id,
            code=int(code),
            sends=context.sends,
            rejections=context.rejections,
            begun=context.is_begun,
            age=round(now - context.arrived_at, 3),
        )
        if context.is_begun:
            self._answer.abort()
            raise _Answered
        sends = context.sends or None
        if context.may_have_run:
            raise Refusal(code, Ran.MAY_HAVE_RUN, sends=sends)
        if retry_after is None:
            retry_after = self._compute_retry_after(now)
        raise Refusal(code, retry_after=retry_after, sends=sends)

    def _compute_retry_after(self, now: float) -> float:
        """Return after how many seconds the caller should retry."""
        unroutable = self._attempts.choice.explain_unroutable(now)
        seconds_left = self._context.deadline_at - now
        return compute_retry_after(
            unroutable.reason,
            seconds_left,
            self._dependencies.draw(),
            unroutable.wait,
        )


def _record_pause(attempt: Attempt, now: float) -> None:
    """Record how long a replica with work was silent."""
    if attempt.has_begun:
        destination = attempt.destination
        heard_at = destination.replica_table.get(destination.key).heard_at
        destination.on_pause(now - heard_at)


def _is_next(piece: Attempt.Piece, last: int | None) -> bool:
    """Return whether a piece directly continues the answer."""
    number = piece.event.number
    return number is None or last is None or number == last + 1


class _Answered(Exception):  # noqa: N818 - control flow, not an error
    """The request has ended with an answer, complete or aborted."""
