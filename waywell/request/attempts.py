"""The attempts at one request that run side by side."""

from __future__ import annotations

from typing import TYPE_CHECKING

from waywell.codes import Code, Refusal
from waywell.request.attempt import Attempt, Inbox
from waywell.request.destination import Destination, ReplicaDestination
from waywell.request.hedge_timeouts import compute_hedge_timeouts
from waywell.request.peer_destination import PeerDestination
from waywell.request.retry_after import RefusalReason
from waywell.request.unroutable import Unroutable, explain_unroutable
from waywell.telemetry.events import log_event

if TYPE_CHECKING:
    from waywell.request.request_context import ForwarderParts, RequestContext
    from waywell.version.fleet import Replica

MOST_LOGGED = 8
"""Maximum number of prompt parts on a log line."""


class Attempts:
    """Starts and drops the attempts at one request.

    Parameters
    ----------
    parts
        What the forwarder works with.
    context
        The request.
    inbox
        Where what comes back is put.
    """

    def __init__(
        self,
        parts: ForwarderParts,
        context: RequestContext,
        inbox: Inbox,
    ) -> None:
        """Start none yet."""
        self.running: list[Attempt] = []
        self.hedge_timeouts = compute_hedge_timeouts(
            context.route,
            context.engine,
            context.ask,
            parts.pauses.get(context.ask.model),
        )
        self._parts = parts
        self._context = context
        self._inbox = inbox

    def start(self) -> bool:
        """Start an attempt at the best replica left; answer whether so."""
        now = self._parts.clock.read()
        destination = self._choose(now) if self._may_risk(0, now) else None
        if destination is None:
            return False
        self._send(destination, now)
        return True

    async def start_at_peer(self) -> bool:
        """Start an attempt at a peer, where this node's links are lost."""
        return await self._check_links() and self.start()

    async def start_paid_anywhere(self, now: float) -> bool:
        """Start a second attempt; where none is left, find out about links."""
        if self.start_paid(now):
            return True
        if not self.has_sends_left() or not await self._check_links():
            return False
        return self.start_paid(self._parts.clock.read())

    def start_paid(self, now: float, beside: int = 0) -> bool:
        """Start a second attempt within the budget; answer whether so.

        Parameters
        ----------
        now
            The present time, in seconds.
        beside
            Attempts that go on beside it.
        """
        if not self.has_sends_left() or not self._may_risk(beside, now):
            return False
        destination = self._choose(now)
        # Nothing is paid for an attempt that no replica is left for.
        nodes = self._parts.count_nodes()
        service = self._context.service
        if destination is None:
            return False
        if not self._parts.budget.spend(service, nodes, now):
            return False
        self._send(destination, now)
        return True

    def drop(self, attempt: Attempt) -> None:
        """Break an attempt off, unless it was dropped before."""
        if attempt in self.running:
            self.running.remove(attempt)
            self._parts.running.discard(attempt)
            destination = attempt.destination
            destination.book.record_end(destination.key)
            attempt.stop()

    def drop_others(self, attempt: Attempt) -> None:
        """Give all up but one.

        A replica that is asked no more may still answer that it wants no
        requests for a while, or that it leaves.
        """
        seconds = self._context.ends_at - self._parts.clock.read()
        for other in tuple(self.running):
            if other is not attempt:
                other.release(seconds)
                self.drop(other)

    def drop_all(self) -> None:
        """Break all off."""
        for attempt in tuple(self.running):
            self.drop(attempt)

    def can_hedge(self) -> bool:
        """Answer whether a second attempt may run beside the first."""
        return (
            len(self.running) == 1
            and self._context.may_move
            and self.has_sends_left()
            and self._may_risk(1, self._parts.clock.read())
        )

    def has_sends_left(self) -> bool:
        """Answer whether the route allows one more replica."""
        return self._context.sends < self._context.most_sends

    def get_hedge_at(self) -> float:
        """Return when the one attempt has been silent for too long."""
        attempt = self.running[0]
        destination = attempt.destination
        heard_at = destination.book.get(destination.key).heard_at
        if attempt.has_begun:
            return heard_at + self.hedge_timeouts.gap
        return attempt.started_at + self.hedge_timeouts.first

    def hedge(self, now: float) -> None:
        """Start a second attempt beside a silent one, or wait once more."""
        attempt = self.running[0]
        self.note_silence(now)
        if self.start_paid(now, beside=1):
            self.log('hedged', attempt, now)
            return
        attempt.started_at = now
        destination = attempt.destination
        destination.book.get(destination.key).heard_at = now

    def note_silence(self, now: float) -> None:
        """Let a replica rest from which nothing at all comes any more."""
        for attempt in self.running:
            destination = attempt.destination
            book, key = destination.book, destination.key
            if book.is_silent(key, self.hedge_timeouts.gap, now):
                book.record_failure(key, now)
                destination.on_silent()
                self.log('silent', attempt, now)

    def check_unsent(self, now: float) -> None:
        """Refuse a request that was not sent because of what it is.

        Raises
        ------
        Refusal
            When its key was removed, or replicas ended under it meanwhile.
        """
        context = self._context
        if context.may_have_run:
            return
        self._parts.guard.check(context.traits, now)
        if context.holder is None:
            return
        outlook = self._parts.outlook
        outlook.check_keys(now)
        if outlook.index.find_holder(context.ask.key) is None:
            raise Refusal(Code.UNKNOWN_KEY)

    def log(
        self,
        event: str,
        attempt: Attempt,
        now: float,
        **pairs: object,
    ) -> None:
        """Log what becomes of an attempt."""
        context = self._context
        outlook = self._parts.outlook
        self._parts.metrics.count_attempt(event, context.service)
        log_event(
            event,
            request=context.ask.attempt,
            fingerprint=context.traits.fingerprint,
            route=context.route.name,
            attempt=attempt.number,
            **attempt.destination.describe(),
            last_event=context.last_event,
            routes_age=outlook.get_routes_age(now),
            boxes_age=outlook.get_boxes_age(now),
            age=round(now - context.arrived_at, 3),
            **pairs,
        )

    def explain_unroutable(self, now: float) -> Unroutable:
        """Return why no replica is left for the request."""
        if self._is_partitioned() and self._context.ask.forwarded is not None:
            return Unroutable(Code.NODE_PARTITIONED, RefusalReason.NO_GROUP)
        backpressure = self._parts.backpressure
        replicas = self._list_replicas()
        wanting = backpressure.filter_available(replicas, now)
        return explain_unroutable(
            backpressure.get_shortest_rest(
                [one.key.life for one in replicas], now
            ),
            self._parts.turns.find_wait(
                [one.key.life for one in wanting], now
            ),
            self._context.rejections,
        )

    def _send(self, destination: Destination, now: float) -> None:
        context = self._context
        context.tried |= {destination.key}
        attempt = Attempt(
            destination,
            len(context.tried),
            self._inbox,
            context.traits,
            self._parts.clock,
        )
        self.running.append(attempt)
        self._parts.running.add(attempt)
        record = destination.book.get(destination.key)
        if not record.in_flight:
            # Silence is counted from when it has work.
            record.heard_at = now
        destination.book.record_start(destination.key)
        attempt.start(lambda: self._may_send(attempt), now)
        rests = round(max(0.0, record.backoff_until - now), 3)
        self.log(
            'attempt',
            attempt,
            now,
            load=record.in_flight,
            rests=rests,
            limit=self._parts.turns.get_limit(destination.key.life),
            prompt_parts=','.join(context.ask.prompt_parts[:MOST_LOGGED]),
        )

    def _list_replicas(self) -> list[Replica]:
        context = self._context
        return self._parts.outlook.list_replicas(
            context.service, context.ask.model
        )

    async def _check_links(self) -> bool:
        """Answer whether a peer may reach replicas that this node can't."""
        if self._context.ask.forwarded is not None:
            return False
        await self._parts.paths.await_diagnosis(self._context.service)
        return self._is_partitioned()

    def _is_partitioned(self) -> bool:
        """Answer whether this node has lost its links to the service."""
        return self._parts.paths.is_partitioned(self._context.service)

    def _choose(self, now: float) -> Destination | None:
        if not self._is_partitioned():
            return self._choose_replica(now)
        if self._context.ask.forwarded is not None:
            # Its sender has other peers.
            return None
        context = self._context
        peer = self._parts.paths.choose_peer(
            context.service, context.tried, now
        )
        if peer is None:
            return self._choose_replica(now)
        return PeerDestination(self._parts, context, peer)

    def _choose_replica(self, now: float) -> ReplicaDestination | None:
        # A replica that has asked for rest, or has no turn, is no last resort.
        replicas = self._parts.backpressure.filter_available(
            self._list_replicas(), now
        )
        missed = self._context.turns_missed
        replica = self._parts.chooser.choose(
            self._parts.turns.filter_available(replicas, missed, now),
            self._context.tried,
            self._parts.book,
            now,
        )
        if replica is None:
            return None
        return ReplicaDestination(self._parts, self._context, replica)

    def _may_risk(self, beside: int, now: float) -> bool:
        """Answer whether the request may put one more replica at risk."""
        return self._parts.guard.may_send(self._context.traits, beside, now)

    def _may_send(self, attempt: Attempt) -> bool:
        """Answer, in the turn of the write, whether it still may go out."""
        context = self._context
        now = self._parts.clock.read()
        if now >= context.ends_at:
            return False
        if self._parts.guard.get_hold_seconds(context.traits, now):
            return False
        if not attempt.destination.may_send(now):
            return False
        attempt.sent_at = now
        context.sends += attempt.destination.count_sends()
        return True
