"""The attempts at one request that run side by side."""

from __future__ import annotations

from typing import TYPE_CHECKING

from waywell.codes import Code, Refusal
from waywell.connection.exchange import Outgoing
from waywell.request.ask import Delivery
from waywell.request.attempt import Attempt, Inbox
from waywell.request.lack import Lack, explain_lack
from waywell.request.patience import measure_patience
from waywell.telemetry.events import log_event

if TYPE_CHECKING:
    from waywell.request.ask import AnswerMark
    from waywell.request.errand import Errand, ForwarderParts
    from waywell.version.fleet import Replica


class Attempts:
    """Starts and drops the attempts at one request.

    Parameters
    ----------
    parts
        What the forwarder works with.
    errand
        The request.
    inbox
        Where what comes back is put.
    """

    def __init__(
        self,
        parts: ForwarderParts,
        errand: Errand,
        inbox: Inbox,
    ) -> None:
        """Start none yet."""
        self.running: list[Attempt] = []
        self.patience = measure_patience(
            errand.route,
            errand.engine,
            errand.ask,
            parts.pauses.get(errand.ask.model),
        )
        self._parts = parts
        self._errand = errand
        self._inbox = inbox

    def start(self) -> bool:
        """Start an attempt at the best replica left; answer whether so."""
        now = self._parts.clock.read()
        replica = self._choose(now) if self._may_risk(0, now) else None
        if replica is None:
            return False
        self._send(replica, now)
        return True

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
        replica = self._choose(now)
        # Nothing is paid for an attempt that no replica is left for.
        if replica is None or not self._spend(now):
            return False
        self._send(replica, now)
        return True

    def drop(self, attempt: Attempt) -> None:
        """Break an attempt off, unless it was dropped before."""
        if attempt in self.running:
            self.running.remove(attempt)
            self._parts.running.discard(attempt)
            self._parts.book.note_end(attempt.replica.key)
            attempt.stop()

    def drop_others(self, attempt: Attempt) -> None:
        """Give all up but one.

        A replica that is asked no more may still answer that it wants no
        requests for a while, or that it leaves.
        """
        seconds = self._errand.ends_at - self._parts.clock.read()
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
            and self._errand.route.may_repeat
            and self.has_sends_left()
            and self._may_risk(1, self._parts.clock.read())
        )

    def has_sends_left(self) -> bool:
        """Answer whether the route allows one more replica."""
        return self._errand.sends < self._errand.route.most_targets

    def get_hedge_at(self) -> float:
        """Return when the one attempt has been silent for too long."""
        attempt = self.running[0]
        heard_at = self._parts.book.get(attempt.replica.key).heard_at
        if attempt.has_begun:
            return heard_at + self.patience.gap
        return attempt.started_at + self.patience.first

    def hedge(self, now: float) -> None:
        """Start a second attempt beside a silent one, or wait once more."""
        attempt = self.running[0]
        self.note_silence(now)
        if self.start_paid(now, beside=1):
            self.log('hedged', attempt, now)
            return
        attempt.started_at = now
        self._parts.book.get(attempt.replica.key).heard_at = now

    def note_silence(self, now: float) -> None:
        """Let a replica rest from which nothing at all comes any more."""
        book = self._parts.book
        for attempt in self.running:
            key = attempt.replica.key
            if book.is_silent(key, self.patience.gap, now):
                book.note_failure(key, now)
                self._parts.raise_doubt(attempt.replica)
                self.log('silent', attempt, now)

    def check_unsent(self, now: float) -> None:
        """Refuse a request that was not sent because of what it is.

        Raises
        ------
        Refusal
            When its key was removed, or replicas ended under it meanwhile.
        """
        errand = self._errand
        if errand.may_have_run:
            return
        self._parts.guard.check(errand.fingerprint, now)
        if errand.holder is None:
            return
        outlook = self._parts.outlook
        outlook.check_keys(now)
        if outlook.index.find_holder(errand.ask.key) is None:
            raise Refusal(Code.UNKNOWN_KEY)

    def log(
        self,
        event: str,
        attempt: Attempt,
        now: float,
        **pairs: object,
    ) -> None:
        """Log what becomes of an attempt."""
        errand = self._errand
        outlook = self._parts.outlook
        self._parts.metrics.count_attempt(event, errand.service)
        log_event(
            event,
            request=errand.ask.attempt,
            fingerprint=errand.fingerprint,
            route=errand.route.name,
            attempt=attempt.number,
            box=attempt.replica.key.box,
            group=attempt.replica.group,
            last_event=errand.last_event,
            routes_age=outlook.get_routes_age(now),
            boxes_age=outlook.get_boxes_age(now),
            age=round(now - errand.arrived_at, 3),
            **pairs,
        )

    def explain_lack(self, now: float) -> Lack:
        """Return why no replica is left for the request."""
        backpressure = self._parts.backpressure
        replicas = self._list_replicas()
        wanting = backpressure.list_open(replicas, now)
        return explain_lack(
            backpressure.find_release([one.key.life for one in replicas], now),
            self._parts.turns.find_wait(
                [one.key.life for one in wanting], now
            ),
            self._errand.rejections,
        )

    def _send(self, replica: Replica, now: float) -> None:
        errand = self._errand
        errand.tried |= {replica.key}
        attempt = Attempt(
            replica,
            len(errand.tried),
            self._inbox,
            errand.fingerprint,
            self._note_mark,
            self._take_turn,
            lambda is_connected: self._parts.reachability.record(
                replica.head,
                self._parts.clock.read(),
                is_connected=is_connected,
            ),
        )
        self.running.append(attempt)
        self._parts.running.add(attempt)
        record = self._parts.book.get(replica.key)
        if not record.in_flight:
            # Silence is counted from when it has work.
            record.heard_at = now
        self._parts.book.note_start(replica.key)
        attempt.start(
            self._make_outgoing(replica, now),
            self._parts.wire,
            lambda: self._may_send(attempt),
            now,
        )
        rests = round(max(0.0, record.rests_until - now), 3)
        self.log(
            'attempt',
            attempt,
            now,
            load=record.in_flight,
            rests=rests,
            limit=self._parts.turns.get_limit(replica.key.life),
        )

    def _list_replicas(self) -> list[Replica]:
        errand = self._errand
        return self._parts.outlook.list_replicas(
            errand.service, errand.ask.model
        )

    def _choose(self, now: float) -> Replica | None:
        # A replica that has asked for rest, or has no turn, is no last resort.
        replicas = self._parts.backpressure.list_open(
            self._list_replicas(), now
        )
        missed = self._errand.turns_missed
        return self._parts.chooser.choose(
            self._parts.turns.list_open(replicas, missed, now),
            self._errand.tried,
            self._parts.book,
            now,
        )

    def _note_mark(self, attempt: Attempt, mark: AnswerMark) -> None:
        now = self._parts.clock.read()
        life = attempt.replica.key.life
        self._parts.backpressure.note(life, mark, now)
        if mark.limit is not None:
            hall = attempt.replica.head.hall
            self._parts.turns.note_answer(
                life, hall, mark.limit, attempt.sent_at
            )

    async def _take_turn(self, attempt: Attempt) -> bool:
        replica = attempt.replica
        attempt.turn = await self._parts.turns.take_turn(
            replica.key.life, replica.head.hall, self._errand.priority
        )
        if attempt.turn is None:
            self._errand.turns_missed += 1
        return attempt.turn is not None

    def _may_risk(self, beside: int, now: float) -> bool:
        """Answer whether the request may put one more replica at risk."""
        return self._parts.guard.may_send(
            self._errand.fingerprint, beside, now
        )

    def _spend(self, now: float) -> bool:
        return self._parts.budget.spend(
            self._errand.service, self._parts.count_nodes(), now
        )

    def _make_outgoing(self, replica: Replica, now: float) -> Outgoing:
        errand = self._errand
        holder = errand.holder
        delivery = Delivery(
            account=None if holder is None else holder.account,
            seconds=errand.ends_at - now,
            resume_after=errand.last_event,
            priority=errand.priority if errand.engine else None,
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

    def _may_send(self, attempt: Attempt) -> bool:
        """Answer, in the turn of the write, whether it still may go out."""
        errand = self._errand
        replica = attempt.replica
        now = self._parts.clock.read()
        if now >= errand.ends_at:
            return False
        if self._parts.guard.find_release(errand.fingerprint, now):
            return False
        if not self._is_wanted(attempt, now):
            return False
        outlook = self._parts.outlook
        if errand.holder is not None:
            if not outlook.are_keys_fresh(now):
                return False
            if outlook.index.find_holder(errand.ask.key) is None:
                return False
        if not outlook.may_send_to(replica):
            return False
        attempt.sent_at = now
        errand.sends += 1
        return True

    def _is_wanted(self, attempt: Attempt, now: float) -> bool:
        """Answer whether the replica wants the request."""
        life = attempt.replica.key.life
        if not self._parts.backpressure.may_send(life, now):
            return False
        return self._parts.turns.may_send(life, attempt.turn, now)
