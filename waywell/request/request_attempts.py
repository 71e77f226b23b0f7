"""Concurrent attempts at one request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from waywell.codes import Code, Refusal
from waywell.request.attempt import Attempt, Inbox
from waywell.request.destination_choice import DestinationChoice
from waywell.request.hedge_timeouts import compute_hedge_timeouts
from waywell.request.resend_rule import SendVerdict, check_send
from waywell.telemetry.events import log_event

if TYPE_CHECKING:
    from waywell.request.destination import Destination
    from waywell.request.request_context import (
        ForwarderDependencies,
        RequestContext,
    )
    from waywell.request.resend_rule import SendState

MAX_LOGGED_PARTS = 8
"""Maximum number of prompt parts in a log line."""


class RequestAttempts:
    """Starts, hedges and drops the attempts at one request.

    Parameters
    ----------
    dependencies
        Collaborators of the forwarder.
    context
        State of the request.
    inbox
        Queue that receives the messages of the attempts.
    """

    def __init__(
        self,
        dependencies: ForwarderDependencies,
        context: RequestContext,
        inbox: Inbox,
    ) -> None:
        """Compute the hedge timeouts without starting an attempt."""
        self.running: list[Attempt] = []
        self.hedge_timeouts = compute_hedge_timeouts(
            context.route,
            context.engine,
            context.request,
            dependencies.pauses.get(context.request.model),
        )
        self.choice = DestinationChoice(dependencies, context)
        self._dependencies = dependencies
        self._context = context
        self._inbox = inbox
        self._unused_resends = 0

    def start(self, concurrent: int = 0) -> bool:
        """Start an attempt at the best untried destination, if it may be sent.

        An attempt beside or after one that may have reached a replica draws
        on the resend budget.

        Parameters
        ----------
        concurrent
            Number of attempts that continue to run beside it.

        Returns
        -------
        bool
            Whether an attempt was started.
        """
        now = self._dependencies.clock.read()
        is_first = not self._context.tried
        state = self._make_send_state()
        verdict = self._try_start(state, concurrent, now)
        if not is_first:
            self._record_decision(verdict, state, now)
        return verdict is SendVerdict.ALLOWED

    async def start_anywhere(self) -> bool:
        """Start an attempt; if no replica is left, diagnose the links first.

        Returns
        -------
        bool
            Whether an attempt was started.
        """
        if self.start():
            return True
        if not self._may_send_again():
            return False
        until = self._make_send_state().latest_send_at
        return await self.choice.needs_peer(until) and self.start()

    def drop(self, attempt: Attempt) -> None:
        """Stop an attempt, unless it was dropped before."""
        if attempt in self.running:
            self.running.remove(attempt)
            if attempt.has_drawn and not attempt.may_have_arrived:
                # The next attempt may use the resend that this one has drawn.
                self._unused_resends += 1
            self._dependencies.running.discard(attempt)
            destination = attempt.destination
            destination.replica_table.record_end(destination.key)
            self._dependencies.answer_times.record(
                self._context,
                attempt.progress,
                self._dependencies.clock.read(),
            )
            attempt.stop()

    def drop_others(self, attempt: Attempt) -> None:
        """Drop all attempts but one.

        The heads of their answers are still awaited: they may ask for a pause
        or announce that the replica is leaving.
        """
        seconds = self._context.deadline_at - self._dependencies.clock.read()
        for other in tuple(self.running):
            if other is not attempt:
                other.await_head_only(seconds)
                self.drop(other)

    def drop_all(self) -> None:
        """Drop all attempts."""
        for attempt in tuple(self.running):
            self.drop(attempt)

    def can_hedge(self) -> bool:
        """Return whether a hedge may be started beside the only attempt."""
        return (
            len(self.running) == 1
            and self._context.may_retry_elsewhere
            and self._may_send_again()
            and self._may_expose_replica(1, self._dependencies.clock.read())
        )

    def get_hedge_time(self) -> float:
        """Return when the only attempt becomes due for a hedge, in seconds."""
        attempt = self.running[0]
        destination = attempt.destination
        heard_at = destination.replica_table.get(destination.key).heard_at
        if attempt.has_begun:
            return heard_at + self.hedge_timeouts.gap
        return attempt.started_at + self.hedge_timeouts.first

    def hedge(self, now: float) -> None:
        """Start a hedge beside a silent attempt, or restart its timeout."""
        attempt = self.running[0]
        self.record_silence(now)
        if self.start(concurrent=1):
            self.log('hedged', attempt, now)
            return
        attempt.started_at = now
        destination = attempt.destination
        destination.replica_table.get(destination.key).heard_at = now

    def record_silence(self, now: float) -> None:
        """Record replicas that are silent on all requests as failed."""
        for attempt in self.running:
            destination = attempt.destination
            replica_table, key = destination.replica_table, destination.key
            if replica_table.is_silent(key, self.hedge_timeouts.gap, now):
                replica_table.record_failure(key, now)
                destination.on_silent()
                self.log('silent', attempt, now)

    def check_unsent(self, now: float) -> None:
        """Refuse a request that was not sent and may not be sent any more.

        Raises
        ------
        Refusal
            If its API key was removed or it was quarantined meanwhile.
        """
        context = self._context
        if context.may_have_run:
            return
        self._dependencies.guard.check(context.traits, now)
        if context.holder is None:
            return
        cluster = self._dependencies.cluster
        cluster.check_keys(now)
        if cluster.index.find_holder(context.request.api_key) is None:
            raise Refusal(Code.UNKNOWN_KEY)

    def log(
        self,
        event: str,
        attempt: Attempt,
        now: float,
        **pairs: object,
    ) -> None:
        """Log and count an event of an attempt."""
        context = self._context
        cluster = self._dependencies.cluster
        self._dependencies.metrics.count_attempt(event, context.service)
        log_event(
            event,
            request=context.request.attempt_id,
            fingerprint=context.traits.fingerprint,
            route=context.route.name,
            attempt=attempt.number,
            **attempt.destination.describe(),
            last_event=context.last_event,
            routes_age=cluster.get_routes_age(now),
            boxes_age=cluster.get_boxes_age(now),
            sent_boxes_age=attempt.sent_boxes_age,
            age=round(now - context.arrived_at, 3),
            **pairs,
        )

    def _make_send_state(self) -> SendState:
        return self._context.make_send_state(
            self.hedge_timeouts.expected_first
        )

    def _may_send_again(self) -> bool:
        """Return whether the request may be sent to one more replica."""
        now = self._dependencies.clock.read()
        verdict = check_send(self._make_send_state(), now)
        return verdict is SendVerdict.ALLOWED

    def _record_decision(
        self, verdict: SendVerdict, state: SendState, now: float
    ) -> None:
        self._dependencies.metrics.resends.record(
            self._context.request.attempt_id,
            self._context.service,
            verdict,
            state,
            now,
            self._context.arrived_at,
        )

    def _try_start(
        self, state: SendState, concurrent: int, now: float
    ) -> SendVerdict:
        """Start an attempt, or return why none may be started."""
        verdict = check_send(state, now)
        if verdict is not SendVerdict.ALLOWED:
            return verdict
        if not self._may_expose_replica(concurrent, now):
            return SendVerdict.HELD_BACK
        destination = self.choice.choose(now)
        if destination is None:
            return SendVerdict.NO_DESTINATION
        is_resend = bool(state.sends or concurrent)
        # The budget is charged only if a destination is left to try.
        if is_resend and not self._draw_resend(now):
            return SendVerdict.NO_BUDGET
        self._send(destination, now, has_drawn=is_resend)
        return SendVerdict.ALLOWED

    def _draw_resend(self, now: float) -> bool:
        """Draw a resend from the budget, unless one is left over."""
        if self._unused_resends:
            self._unused_resends -= 1
            return True
        return self._dependencies.budget.spend(
            self._context.service, self._dependencies.count_nodes(), now
        )

    def _send(
        self, destination: Destination, now: float, *, has_drawn: bool
    ) -> None:
        context = self._context
        context.tried |= {destination.key}
        attempt = Attempt(
            destination,
            len(context.tried),
            self._inbox,
            context.traits,
            self._dependencies.clock,
        )
        attempt.has_drawn = has_drawn
        self.running.append(attempt)
        self._dependencies.running.add(attempt)
        record = destination.replica_table.get(destination.key)
        if not record.in_flight:
            # Silence is measured only while the replica has work.
            record.heard_at = now
        destination.replica_table.record_start(destination.key)
        attempt.start(lambda: self._may_send(attempt), now)
        rests = round(max(0.0, record.backoff_until - now), 3)
        self.log(
            'attempt',
            attempt,
            now,
            load=record.in_flight,
            rests=rests,
            limit=self._dependencies.permits.get_limit(destination.key.life),
            prompt_parts=','.join(
                context.request.prompt_parts[:MAX_LOGGED_PARTS]
            ),
        )

    def _may_expose_replica(self, concurrent: int, now: float) -> bool:
        """Return whether the request may be sent to one more replica.

        The guard limits on how many replicas a request that may crash them
        runs at a time.
        """
        return self._dependencies.guard.may_send(
            self._context.traits, concurrent, now
        )

    def _may_send(self, attempt: Attempt) -> bool:
        """Return, right before the write, whether it may still be sent."""
        context = self._context
        now = self._dependencies.clock.read()
        if attempt not in self.running:
            return False
        state = self._make_send_state()
        sends = attempt.destination.count_sends()
        verdict = check_send(state, now, sends)
        if verdict is not SendVerdict.ALLOWED:
            self._record_decision(verdict, state, now)
            return False
        if self._dependencies.guard.get_hold_seconds(context.traits, now):
            return False
        if not attempt.destination.may_send(now):
            return False
        attempt.sent_at = now
        attempt.may_have_arrived = True
        attempt.sent_boxes_age = self._dependencies.cluster.get_boxes_age(now)
        context.sends += sends
        return True
