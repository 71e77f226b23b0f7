"""The way of one request on the platform: route, replica, attempts, answer."""

from __future__ import annotations

import abc
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from waywell.codes import Code, Ran, Refusal
from waywell.connection.exchange import Outgoing, SendFault
from waywell.connection.wire import Wire
from waywell.ids import ServiceName
from waywell.process.clock import Clock
from waywell.process.events import log_event
from waywell.process.outlook import Outlook
from waywell.request.ask import Ask, Delivery
from waywell.request.attempt import Attempt, Inbox
from waywell.request.patience import Patience, measure_patience
from waywell.request.placement import Chooser
from waywell.request.replica_book import ReplicaBook
from waywell.request.resend_budget import ResendBudget
from waywell.version.fleet import Replica, ReplicaKey
from waywell.version.routes import Engine, KeyHolder, Route, RouteKind

if TYPE_CHECKING:
    from waywell.connection.wire import RawHeaders

COME_BACK_SECONDS = 0.25
"""Advice to callers while no replica can serve: a group that is patched from
boxes at hand is back within about a second, most others are there."""

SERVER_ERROR = 500
"""Lowest HTTP status that speaks against the replica."""


class CallerAnswer(abc.ABC):
    """The caller's side of a request."""

    @abc.abstractmethod
    def begin(
        self,
        status: int,
        headers: RawHeaders,
        length: int | None,
    ) -> None:
        """Write the head."""

    @abc.abstractmethod
    async def write(self, raw: bytes) -> None:
        """Write a piece of the body; waits while the caller reads slowly."""

    @abc.abstractmethod
    def finish(self) -> None:
        """End a whole answer."""

    @abc.abstractmethod
    def cut(self) -> None:
        """Break the connection, so that the answer can't look whole."""


@attrs.frozen
class ForwarderParts:
    """What a forwarder works with."""

    outlook: Outlook
    """Routes and boxes in force, with how fresh they are."""

    wire: Wire
    """How requests and answers look."""

    chooser: Chooser
    """Chooses replicas."""

    book: ReplicaBook
    """What this node has seen of replicas."""

    budget: ResendBudget
    """Second sends."""

    clock: Clock
    """Where the time is read."""

    draw: Callable[[], float]
    """Returns a number from 0 up to 1."""

    count_nodes: Callable[[], int]
    """Returns how many entry boxes share the budget."""

    raise_doubt: Callable[[Replica], None]
    """Tells the other nodes that nothing comes from a replica."""


@attrs.define
class Errand:
    """A request on its way."""

    ask: Ask
    """What the caller asks."""

    route: Route
    """Its route."""

    service: ServiceName
    """Service that was drawn."""

    holder: KeyHolder | None
    """Client account."""

    arrived_at: float
    """When it came, in seconds."""

    ends_at: float
    """When it is given up, in seconds."""

    engine: Engine | None = None
    """Engine of the service, where it has one."""

    tried: frozenset[ReplicaKey] = frozenset()
    """Replicas that it was sent to."""

    sends: int = 0
    """Attempts of which a byte may have left."""

    rejections: int = 0
    """Attempts of which a replica said that it ran nothing."""

    last_event: int | None = None
    """Last event that was passed on."""

    is_begun: bool = False
    """Whether the head of an answer was passed on."""

    @property
    def may_have_run(self) -> bool:
        """Return whether a replica may have run it."""
        return self.sends > self.rejections

    @property
    def tokens(self) -> int:
        """Return the tokens to be read and written."""
        return self.ask.prompt_tokens + self.ask.answer_tokens


class Forwarder:
    """Serves requests by what is in force.

    Parameters
    ----------
    parts
        What it works with.
    """

    def __init__(self, parts: ForwarderParts) -> None:
        """Keep the parts."""
        self._parts = parts

    async def serve(self, ask: Ask, answer: CallerAnswer) -> None:
        """Serve a request to its end.

        Raises
        ------
        Refusal
            When no answer was begun.
        """
        errand = self._identify(ask)
        self._parts.budget.note_request(errand.service, errand.arrived_at)
        await _Journey(self._parts, errand, answer).run()

    def _identify(self, ask: Ask) -> Errand:
        """Find route, account and service."""
        now = self._parts.clock.read()
        outlook = self._parts.outlook
        outlook.check_routes(now)
        route = outlook.index.find_route(ask.host, ask.path)
        if route is None:
            raise Refusal(Code.NO_ROUTE)
        holder = self._find_holder(ask, route, now)
        name = route.pick_service(self._parts.draw())
        service = None if name is None else outlook.index.find_service(name)
        if service is None:
            raise Refusal(Code.NO_WHOLE_GROUP, retry_after=COME_BACK_SECONDS)
        seconds = route.timeout
        if ask.seconds is not None:
            seconds = min(seconds, ask.seconds)
        return Errand(
            ask,
            route,
            service.name,
            holder,
            arrived_at=now,
            ends_at=now + seconds,
            engine=service.engine,
            last_event=ask.resume_after,
        )

    def _find_holder(
        self,
        ask: Ask,
        route: Route,
        now: float,
    ) -> KeyHolder | None:
        outlook = self._parts.outlook
        if route.public or not outlook.index.table.has_accounts:
            return None
        outlook.check_keys(now)
        holder = outlook.index.find_holder(ask.key)
        if holder is None:
            raise Refusal(Code.UNKNOWN_KEY)
        return holder


class _Journey:
    """The attempts at one request, until it is answered or given up."""

    def __init__(
        self,
        parts: ForwarderParts,
        errand: Errand,
        answer: CallerAnswer,
    ) -> None:
        self._parts = parts
        self._errand = errand
        self._answer = answer
        self._inbox = Inbox()
        self._running: list[Attempt] = []
        self._patience: Patience = measure_patience(
            errand.route, errand.engine, errand.ask
        )

    async def run(self) -> None:
        """Make attempts until one is answered or all is over."""
        try:
            self._start_first()
            while self._running:
                await self._step()
            self._give_up(Code.TARGET_FAILED)
        except _Answered:
            return
        finally:
            for attempt in tuple(self._running):
                self._drop(attempt)

    async def _step(self) -> None:
        """Take in one message, or what its absence means."""
        now = self._parts.clock.read()
        errand = self._errand
        if now >= errand.ends_at:
            self._note_silence(now)
            self._give_up(Code.DEADLINE_PASSED)
        wait = errand.ends_at - now
        if self._can_hedge():
            wait = min(wait, max(0.0, self._get_hedge_at() - now))
        message = await self._inbox.get(wait)
        if message is None:
            self._take_silence()
        elif isinstance(message, Attempt.Piece):
            await self._take_piece(message)
        elif isinstance(message, Attempt.Head):
            self._take_head(message)
        elif isinstance(message, Attempt.End):
            self._take_end(message)
        elif isinstance(message, Attempt.Fault):
            self._take_fault(message)

    def _start_first(self) -> None:
        if not self._start():
            raise Refusal(Code.NO_WHOLE_GROUP, retry_after=COME_BACK_SECONDS)

    def _start(self) -> bool:
        """Start an attempt at the best replica left; answer whether so."""
        errand = self._errand
        now = self._parts.clock.read()
        replica = self._parts.chooser.choose(
            self._parts.outlook.list_replicas(
                errand.service, errand.ask.model
            ),
            errand.tried,
            self._parts.book,
            now,
        )
        if replica is None:
            return False
        errand.tried |= {replica.key}
        attempt = Attempt(replica, len(errand.tried), self._inbox)
        self._running.append(attempt)
        book = self._parts.book
        if not book.get(replica.key).in_flight:
            book.get(replica.key).heard_at = now
        book.note_start(replica.key, errand.tokens)
        attempt.start(
            self._make_outgoing(replica, now),
            self._parts.wire,
            lambda: self._may_send(replica),
            now,
        )
        self._log(
            'attempt', attempt, now, load=book.get(replica.key).in_flight
        )
        return True

    def _make_outgoing(self, replica: Replica, now: float) -> Outgoing:
        errand = self._errand
        holder = errand.holder
        priority = errand.route.priority
        if holder is not None and holder.priority is not None:
            priority = holder.priority
        delivery = Delivery(
            account=None if holder is None else holder.account,
            seconds=errand.ends_at - now,
            resume_after=errand.last_event,
            priority=priority if errand.engine else None,
        )
        head = replica.head
        return Outgoing(
            head.host,
            head.port,
            errand.ask.method,
            errand.ask.target,
            self._parts.wire.make_headers(errand.ask, delivery, head),
            errand.ask.body,
        )

    def _may_send(self, replica: Replica) -> bool:
        """Answer, in the turn of the write, whether it still may go out."""
        errand = self._errand
        now = self._parts.clock.read()
        if now >= errand.ends_at:
            return False
        outlook = self._parts.outlook
        if errand.holder is not None:
            if not outlook.are_keys_fresh(now):
                return False
            if outlook.index.find_holder(errand.ask.key) is None:
                return False
        if not outlook.may_send_to(replica):
            return False
        errand.sends += 1
        return True

    def _can_hedge(self) -> bool:
        """Answer whether a second attempt may run beside the first."""
        return (
            len(self._running) == 1
            and self._errand.route.may_repeat
            and self._has_sends_left()
        )

    def _has_sends_left(self) -> bool:
        return self._errand.sends < self._errand.route.most_targets

    def _get_hedge_at(self) -> float:
        attempt = self._running[0]
        heard_at = self._parts.book.get(attempt.replica.key).heard_at
        if attempt.has_begun:
            return heard_at + self._patience.gap
        return attempt.started_at + self._patience.first

    def _take_silence(self) -> None:
        """Try elsewhere when the one attempt has been silent for too long."""
        now = self._parts.clock.read()
        if not self._can_hedge() or now < self._get_hedge_at():
            return
        self._note_silence(now)
        attempt = self._running[0]
        if self._spend(now) and self._start():
            self._log('hedged', attempt, now)
        else:
            # No second look before the first could have been answered.
            attempt.started_at = now
            self._parts.book.get(attempt.replica.key).heard_at = now

    def _note_silence(self, now: float) -> None:
        """Let a replica rest from which nothing at all comes any more."""
        book = self._parts.book
        for attempt in self._running:
            key = attempt.replica.key
            if book.is_silent(key, self._patience.gap, now):
                book.note_failure(key, now)
                self._parts.raise_doubt(attempt.replica)
                self._log('silent', attempt, now)

    def _spend(self, now: float) -> bool:
        return self._parts.budget.spend(
            self._errand.service, self._parts.count_nodes(), now
        )

    def _take_head(self, head: Attempt.Head) -> None:
        """Accept an answer's head, or try elsewhere."""
        attempt = head.attempt
        now = self._parts.clock.read()
        if head.mark.attempt != self._errand.ask.attempt:
            self._fail(attempt, now, 'foreign_answer')
            return
        if head.mark.is_rejected or head.mark.is_misdirected:
            self._take_rejection(head, now)
            return
        self._parts.book.note_heard(attempt.replica.key, now)
        if head.status >= SERVER_ERROR:
            self._parts.book.note_failure(attempt.replica.key, now)
            if self._retry(attempt, now, f'status_{head.status}'):
                return
        attempt.head = head

    def _take_rejection(self, head: Attempt.Head, now: float) -> None:
        """Go on after a replica that says that it ran nothing."""
        attempt = head.attempt
        self._errand.rejections += 1
        self._parts.book.note_failure(attempt.replica.key, now)
        if head.mark.is_misdirected:
            self._parts.outlook.doubt(attempt.replica)
        self._log('rejected', attempt, now, status=head.status)
        self._drop(attempt)
        if not self._running and not self._restart(now):
            self._give_up(Code.NO_WHOLE_GROUP)

    async def _take_piece(self, piece: Attempt.Piece) -> None:
        """Pass a piece on; the attempt that brings one first goes on alone."""
        attempt = piece.attempt
        if attempt not in self._running or attempt.head is None:
            return
        now = self._parts.clock.read()
        self._parts.book.note_heard(attempt.replica.key, now)
        if not self._is_next(piece):
            # Another attempt was ahead of this one, or it skips an event.
            self._fail(attempt, now, f'event_{piece.event.number}')
            return
        self._settle_on(attempt, now)
        if piece.event.number is not None:
            self._errand.last_event = piece.event.number
        self._begin(attempt.head)
        await self._answer.write(piece.event.raw)

    def _is_next(self, piece: Attempt.Piece) -> bool:
        """Answer whether a piece goes on where the answer stands."""
        last = self._errand.last_event
        number = piece.event.number
        return number is None or last is None or number == last + 1

    def _settle_on(self, attempt: Attempt, now: float) -> None:
        """Go on with the attempt that brought a piece, and no other."""
        for other in tuple(self._running):
            if other is not attempt:
                self._drop(other)
        if attempt.has_begun:
            return
        attempt.has_begun = True
        expected = self._patience.expected_first
        if expected > 0 and self._errand.engine is not None:
            ratio = (now - attempt.started_at) / expected
            self._parts.book.note_first(attempt.replica.key, ratio)

    def _begin(self, head: Attempt.Head) -> None:
        if not self._errand.is_begun:
            self._errand.is_begun = True
            length = head.length
            if self._errand.route.kind is RouteKind.STREAM:
                length = None
            self._answer.begin(head.status, head.headers, length)

    def _take_end(self, end: Attempt.End) -> None:
        attempt = end.attempt
        if attempt not in self._running or attempt.head is None:
            return
        now = self._parts.clock.read()
        if not end.is_whole:
            self._fail(attempt, now, 'cut')
            return
        for other in tuple(self._running):
            if other is not attempt:
                self._drop(other)
        self._begin(attempt.head)
        self._answer.finish()
        self._log('answered', attempt, now, status=attempt.head.status)
        self._drop(attempt)
        raise _Answered

    def _take_fault(self, fault: Attempt.Fault) -> None:
        attempt = fault.attempt
        now = self._parts.clock.read()
        if fault.fault is SendFault.BROKEN:
            self._fail(attempt, now, fault.fault.value)
            return
        if fault.fault is SendFault.NOT_SENT:
            self._parts.book.note_failure(attempt.replica.key, now)
        self._log('not_sent', attempt, now, fault=fault.fault.value)
        self._drop(attempt)
        if self._running:
            return
        self._check_key_again(now)
        if not self._start():
            self._give_up(Code.TARGET_UNREACHABLE)

    def _check_key_again(self, now: float) -> None:
        """Refuse when the reason not to send was the key."""
        if self._errand.holder is None or self._errand.may_have_run:
            return
        self._parts.outlook.check_keys(now)
        ask = self._errand.ask
        if self._parts.outlook.index.find_holder(ask.key) is None:
            raise Refusal(Code.UNKNOWN_KEY)

    def _fail(self, attempt: Attempt, now: float, why: str) -> None:
        """Drop an attempt that broke; go on elsewhere where that is safe."""
        self._parts.book.note_failure(attempt.replica.key, now)
        if not self._retry(attempt, now, why):
            self._log('failed', attempt, now, why=why)
            self._drop(attempt)
            if not self._running:
                self._give_up(Code.TARGET_FAILED)

    def _retry(self, attempt: Attempt, now: float, why: str) -> bool:
        """Replace an attempt where the request may run again."""
        if not self._errand.route.may_repeat:
            return False
        if self._errand.is_begun and not self._can_resume():
            return False
        if len(self._running) > 1:
            self._drop(attempt)
            return True
        if not self._has_sends_left() or not self._spend(now):
            return False
        if not self._start():
            return False
        self._log('retried', attempt, now, why=why)
        self._drop(attempt)
        return True

    def _can_resume(self) -> bool:
        """Answer whether the rest of a begun answer can come from another."""
        return (
            self._errand.route.resumable
            and self._errand.last_event is not None
        )

    def _restart(self, now: float) -> bool:
        """Send a request again that no replica has run."""
        if not self._has_sends_left() or not self._spend(now):
            return False
        return self._start()

    def _give_up(self, code: Code) -> None:
        """End a request that has no whole answer."""
        errand = self._errand
        now = self._parts.clock.read()
        log_event(
            'given_up',
            request=errand.ask.attempt,
            code=int(code),
            sends=errand.sends,
            begun=errand.is_begun,
            age=round(now - errand.arrived_at, 3),
        )
        if errand.is_begun:
            self._answer.cut()
            raise _Answered
        if errand.may_have_run:
            raise Refusal(code, Ran.MAY_HAVE_RUN)
        raise Refusal(code, retry_after=COME_BACK_SECONDS)

    def _drop(self, attempt: Attempt) -> None:
        if attempt in self._running:
            self._running.remove(attempt)
            attempt.stop()
            self._parts.book.note_end(attempt.replica.key, self._errand.tokens)

    def _log(
        self,
        event: str,
        attempt: Attempt,
        now: float,
        **pairs: object,
    ) -> None:
        errand = self._errand
        log_event(
            event,
            request=errand.ask.attempt,
            route=errand.route.name,
            attempt=attempt.number,
            box=attempt.replica.key.box,
            group=attempt.replica.group,
            last_event=errand.last_event,
            routes_age=self._parts.outlook.get_routes_age(now),
            boxes_age=self._parts.outlook.get_boxes_age(now),
            age=round(now - errand.arrived_at, 3),
            **pairs,
        )


class _Answered(Exception):  # noqa: N818 - not an error: the way out
    """The request has its answer, whole or cut."""
