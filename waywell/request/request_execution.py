"""The answer to one request, made of what its attempts bring."""

from __future__ import annotations

import inspect
from typing import TYPE_CHECKING

from waywell.codes import Code, Ran, Refusal
from waywell.connection.exchange import SendFault
from waywell.process.actor import get_handler_name
from waywell.request.attempt import Attempt, Inbox
from waywell.request.attempts import Attempts
from waywell.request.retry_after import compute_retry_after
from waywell.telemetry.events import log_event
from waywell.version.routes import RouteKind

if TYPE_CHECKING:
    from waywell.connection.forwarding import PeerRefusal
    from waywell.request.request_context import (
        CallerAnswer,
        ForwarderParts,
        RequestContext,
    )
    from waywell.request.stream_events import StreamEvent

SERVER_ERROR = 500
"""Lowest HTTP status that speaks against the replica."""


_UNFIT_PEER_CODES = frozenset(
    (
        Code.NODE_PARTITIONED,
        Code.NODE_LEAVING,
        Code.NODE_STARTING,
        Code.NODE_BUSY,
        Code.ROUTES_STALE,
    ),
)
"""Refusals by which another peer may serve what one does not."""


class RequestExecution:
    """Takes in what attempts bring, until the request is answered.

    Parameters
    ----------
    parts
        What the forwarder works with.
    context
        The request.
    answer
        The caller's side.
    """

    def __init__(
        self,
        parts: ForwarderParts,
        context: RequestContext,
        answer: CallerAnswer,
    ) -> None:
        """Send nothing yet."""
        self._parts = parts
        self._context = context
        self._answer = answer
        self._inbox = Inbox()
        self._attempts = Attempts(parts, context, self._inbox)
        self._begun_status = 0

    async def run(self) -> None:
        """Make attempts until one is answered or all is over.

        Raises
        ------
        Refusal
            When no answer was begun.
        """
        try:
            await self._run()
        except _Answered:
            return
        finally:
            self._attempts.drop_all()

    async def on_piece(self, piece: Attempt.Piece) -> None:
        """Pass a piece on; the attempt that brings one first goes on alone."""
        attempt = piece.attempt
        if attempt not in self._attempts.running or attempt.head is None:
            return
        now = self._parts.clock.read()
        self._note_pause(attempt, now)
        attempt.destination.book.record_event(attempt.destination.key, now)
        if not self._is_next(piece):
            # Another attempt was ahead of this one, or it skips an event.
            await self._fail(attempt, now, f'event_{piece.event.number}')
            return
        self._settle_on(attempt, now)
        self._record_event(piece.event)
        self._begin(attempt.head)
        await self._answer.write(piece.event.raw)

    async def on_head(self, head: Attempt.Head) -> None:
        """Accept an answer's head, or try elsewhere."""
        attempt = head.attempt
        if attempt not in self._attempts.running:
            return
        now = self._parts.clock.read()
        if head.mark.refusal is not None:
            self._take_refusal(attempt, head.mark.refusal, now)
            return
        if head.mark.attempt != self._context.ask.attempt:
            await self._fail(attempt, now, 'foreign_answer')
            return
        if head.mark.is_rejected or head.mark.is_misdirected:
            self._take_rejection(head, now)
            return
        if self._context.is_begun and head.status != self._begun_status:
            # Its body is no rest of the answer that the caller has begun.
            await self._fail(attempt, now, f'status_{head.status}')
            return
        attempt.destination.book.record_message(attempt.destination.key, now)
        if head.status >= SERVER_ERROR:
            attempt.destination.on_failed(now)
            if await self._retry(attempt, now, f'status_{head.status}'):
                return
        attempt.head = head

    async def on_end(self, end: Attempt.End) -> None:
        """End the answer, or go on elsewhere where it was cut."""
        attempt = end.attempt
        if attempt not in self._attempts.running or attempt.head is None:
            return
        now = self._parts.clock.read()
        if not end.outcome.is_complete:
            attempt.destination.on_broken(
                has_begun=attempt.has_begun, is_over=False
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
        if status < SERVER_ERROR:
            cleared = self._context.traits.select_cleared(status)
            self._parts.guard.record_served(cleared)
        self._attempts.log(
            'answered', attempt, now, status=status, **end.outcome.describe()
        )
        self._parts.answer_times.record(self._context, now)
        self._parts.metrics.time_answer(self._context.service, self._get_age())
        raise _Answered

    async def on_fault(self, fault: Attempt.Fault) -> None:
        """Go on after an attempt that brought no answer."""
        attempt = fault.attempt
        if attempt not in self._attempts.running:
            return
        now = self._parts.clock.read()
        if fault.fault is SendFault.HELD_BACK and self._context.may_have_run:
            self._spare(attempt, now)
            return
        if self._may_have_reached(fault):
            is_over = fault.fault is SendFault.REPLICA_ENDED
            attempt.destination.on_broken(
                has_begun=attempt.has_begun, is_over=is_over
            )
            await self._fail(attempt, now, fault.fault.value)
            return
        if fault.fault is SendFault.NOT_SENT:
            destination = attempt.destination
            destination.book.record_failure(destination.key, now)
        self._attempts.log('not_sent', attempt, now, fault=fault.fault.value)
        self._attempts.drop(attempt)
        if self._attempts.running:
            return
        self._attempts.check_unsent(now)
        is_started = self._attempts.start()
        if not is_started and fault.fault is SendFault.NOT_SENT:
            is_started = await self._attempts.start_at_peer()
        if not is_started:
            code = self._attempts.explain_unroutable(now).code
            if code is Code.NO_WHOLE_GROUP:
                code = Code.TARGET_UNREACHABLE
            self._give_up(code)

    async def _run(self) -> None:
        if not self._attempts.start():
            now = self._parts.clock.read()
            unroutable = self._attempts.explain_unroutable(now)
            raise Refusal(unroutable.code, retry_after=self._advise(now))
        while self._attempts.running:
            await self._step()
        self._give_up(Code.TARGET_FAILED)

    async def _step(self) -> None:
        """Take in one message, or what its absence means."""
        now = self._parts.clock.read()
        if now >= self._context.ends_at:
            self._attempts.note_silence(now)
            self._give_up(Code.DEADLINE_PASSED)
        message = await self._inbox.get(self._get_wait(now))
        if message is None:
            self._take_silence()
            return
        outcome = getattr(self, get_handler_name(message))(message)
        if inspect.isawaitable(outcome):
            await outcome

    def _get_wait(self, now: float) -> float:
        """Return the seconds until silence means something."""
        wait = self._context.ends_at - now
        if self._attempts.can_hedge():
            wait = min(wait, self._attempts.get_hedge_at() - now)
        return max(0.0, wait)

    def _take_silence(self) -> None:
        """Try elsewhere when the one attempt has been silent for too long."""
        now = self._parts.clock.read()
        is_due = (
            self._attempts.can_hedge() and now >= self._attempts.get_hedge_at()
        )
        if is_due:
            self._attempts.hedge(now)

    def _may_have_reached(self, fault: Attempt.Fault) -> bool:
        """Answer whether a byte of a failed attempt may have left."""
        if fault.fault is SendFault.REPLICA_ENDED:
            return self._context.may_have_run
        return fault.fault is SendFault.BROKEN

    def _take_rejection(self, head: Attempt.Head, now: float) -> None:
        """Go on after a replica that says that it ran nothing."""
        attempt = head.attempt
        self._context.rejections += 1
        attempt.destination.on_failed(now)
        if head.mark.is_misdirected:
            attempt.destination.on_misdirected()
        self._attempts.log(
            'rejected',
            attempt,
            now,
            status=head.status,
            rest_asked=head.mark.rest_seconds,
            leaving=head.mark.is_leaving,
        )
        self._attempts.drop(attempt)
        if not self._attempts.running:
            if not self._attempts.start_paid(now):
                self._give_up(self._attempts.explain_unroutable(now).code)

    def _take_refusal(
        self,
        attempt: Attempt,
        refusal: PeerRefusal,
        now: float,
    ) -> None:
        """Go on after a peer that has refused to forward the request."""
        self._attempts.log(
            'peer_refused',
            attempt,
            now,
            code=int(refusal.code),
            ran=refusal.ran.value,
        )
        destination = attempt.destination
        if refusal.ran is Ran.NOT_RUN:
            self._context.sends -= destination.count_sends()
        is_fit = refusal.code not in _UNFIT_PEER_CODES
        if not is_fit:
            destination.book.record_failure(destination.key, now)
        self._attempts.drop(attempt)
        if self._attempts.running:
            return
        if is_fit or not self._attempts.start():
            self._give_up(refusal.code, refusal.retry_after)

    def _record_event(self, event: StreamEvent) -> None:
        """Record what is passed on, for an attempt that resumes after it."""
        if event.number is not None:
            self._context.last_event = event.number
            self._context.passed_number = True
        elif not self._context.passed_unnumbered:
            self._context.passed_unnumbered = event.has_fields

    def _is_next(self, piece: Attempt.Piece) -> bool:
        """Answer whether a piece goes on where the answer stands."""
        last = self._context.last_event
        number = piece.event.number
        return number is None or last is None or number == last + 1

    def _note_pause(self, attempt: Attempt, now: float) -> None:
        """Note for how long a replica was silent that has work."""
        if attempt.has_begun:
            destination = attempt.destination
            heard_at = destination.book.get(destination.key).heard_at
            destination.on_pause(now - heard_at)

    def _settle_on(self, attempt: Attempt, now: float) -> None:
        """Go on with the attempt that brought a piece, and no other."""
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
            self._parts.metrics.time_first(
                self._context.service, self._get_age()
            )
            length = head.length
            if self._context.route.kind is RouteKind.STREAM:
                length = None
            self._answer.begin(head.status, head.headers, length)

    def _get_age(self) -> float:
        """Return the seconds since the request arrived."""
        return self._parts.clock.read() - self._context.arrived_at

    def _spare(self, attempt: Attempt, now: float) -> None:
        """Drop an attempt whose replica would end under it as others did."""
        if attempt.has_begun:
            # A piece came before the word: its replica goes on.
            return
        self._attempts.log('held_back', attempt, now)
        self._attempts.drop(attempt)
        if not self._attempts.running:
            self._give_up(Code.TARGET_FAILED)

    async def _fail(self, attempt: Attempt, now: float, why: str) -> None:
        """Drop an attempt that broke; go on elsewhere where that is safe."""
        attempt.destination.on_failed(now)
        if await self._retry(attempt, now, why):
            return
        self._attempts.log('failed', attempt, now, why=why)
        self._attempts.drop(attempt)
        if not self._attempts.running:
            self._give_up(Code.TARGET_FAILED)

    async def _retry(self, attempt: Attempt, now: float, why: str) -> bool:
        """Replace an attempt where the request may run again."""
        if not self._context.may_move:
            return False
        is_alone = len(self._attempts.running) == 1
        if is_alone and not await self._attempts.start_paid_anywhere(now):
            return False
        self._attempts.log('retried', attempt, now, why=why)
        self._attempts.drop(attempt)
        return True

    def _give_up(self, code: Code, retry_after: float | None = None) -> None:
        """End a request that has no whole answer."""
        context = self._context
        now = self._parts.clock.read()
        log_event(
            'given_up',
            request=context.ask.attempt,
            code=int(code),
            sends=context.sends,
            begun=context.is_begun,
            age=round(now - context.arrived_at, 3),
        )
        if context.is_begun:
            self._answer.cut()
            raise _Answered
        if context.may_have_run:
            raise Refusal(code, Ran.MAY_HAVE_RUN)
        if retry_after is None:
            retry_after = self._advise(now)
        raise Refusal(code, retry_after=retry_after)

    def _advise(self, now: float) -> float:
        """Return when the caller should come back, in seconds."""
        unroutable = self._attempts.explain_unroutable(now)
        seconds_left = self._context.ends_at - now
        return compute_retry_after(
            unroutable.reason,
            seconds_left,
            self._parts.draw(),
            unroutable.wait,
        )


class _Answered(Exception):  # noqa: N818 - not an error: the way out
    """The request has its answer, whole or cut."""
