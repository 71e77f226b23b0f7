"""Where an attempt sends its request."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

from waywell.connection.exchange import OutgoingRequest
from waywell.request.ask import Delivery

if TYPE_CHECKING:
    from waywell.connection.wire_format import RawHeaders
    from waywell.request.ask import AnswerMark
    from waywell.request.replica_book import ReplicaBook
    from waywell.request.request_context import ForwarderParts, RequestContext
    from waywell.request.turn_source import Turn
    from waywell.version.fleet import Replica, ReplicaKey


class Destination(abc.ABC):
    """Where one attempt goes, and what its outcome says of that place."""

    key: ReplicaKey
    """What tells it from other destinations."""

    book: ReplicaBook
    """What this node has seen of destinations of its kind."""

    replica: Replica | None = None
    """The replica; ``None`` where a peer chooses it."""

    @abc.abstractmethod
    def describe(self) -> dict[str, object]:
        """Return what log lines tell of it."""

    @abc.abstractmethod
    def make_outgoing(self, now: float) -> OutgoingRequest:
        """Return the request as it is sent there at ``now``."""

    @abc.abstractmethod
    def may_send(self, now: float) -> bool:
        """Answer, in the turn of the write, whether the request may go."""

    @abc.abstractmethod
    def count_sends(self) -> int:
        """Return how many replicas the attempt may reach."""

    @abc.abstractmethod
    def read_mark(self, status: int, headers: RawHeaders) -> AnswerMark:
        """Return what the head of an answer says of it."""

    async def take_turn(self) -> bool:
        """Answer whether a request may go there by its limit."""
        return True

    def on_connected(self, now: float) -> None:
        """Take in that a connection came up."""

    def on_unreachable(self, now: float) -> None:
        """Take in that no connection came up."""

    def on_mark(self, mark: AnswerMark, sent_at: float, now: float) -> None:
        """Take in what an answer says, also where nobody waits for it."""

    def on_failed(self, now: float) -> None:
        """Take in that an answer failed, broke off or was refused."""

    def on_silent(self) -> None:
        """Take in that nothing comes although it has work."""

    def on_broken(self, *, has_begun: bool, is_over: bool) -> None:
        """Take in that an attempt broke after bytes had left."""

    def on_misdirected(self) -> None:
        """Take in that it is not what it was taken for."""

    def on_pause(self, seconds: float) -> None:
        """Take in for how long it was silent between two pieces."""

    def on_first_piece(self, ratio: float) -> None:
        """Take in how slowly an answer began, as a part of what is usual."""


class ReplicaDestination(Destination):
    """A replica that this node connects to.

    Parameters
    ----------
    parts
        What the forwarder works with.
    context
        The request.
    replica
        The replica.
    """

    def __init__(
        self,
        parts: ForwarderParts,
        context: RequestContext,
        replica: Replica,
    ) -> None:
        """Send nothing yet."""
        self.replica: Replica = replica
        self.key = replica.key
        self.book = parts.book
        self._parts = parts
        self._context = context
        self._turn: Turn | None = None

    def describe(self) -> dict[str, object]:
        """Return what log lines tell of it."""
        return {'box': self.key.box, 'group': self.replica.group}

    def make_outgoing(self, now: float) -> OutgoingRequest:
        """Return the request as it is sent there at ``now``."""
        context = self._context
        holder = context.holder
        delivery = Delivery(
            account=None if holder is None else holder.account,
            seconds=context.ends_at - now,
            resume_after=context.last_event,
            priority=context.priority if context.engine else None,
        )
        head = self.replica.head
        return OutgoingRequest(
            head.host,
            head.port,
            context.ask.method,
            context.ask.target,
            self._parts.wire.make_headers(context.ask, delivery, head),
            context.ask.body,
        )

    async def take_turn(self) -> bool:
        """Answer whether a request may go there by its limit."""
        self._turn = await self._parts.turns.take_turn(
            self.key.life, self.replica.head.hall, self._context.priority
        )
        if self._turn is None:
            self._context.turns_missed += 1
        return self._turn is not None

    def may_send(self, now: float) -> bool:
        """Answer, in the turn of the write, whether the request may go."""
        life = self.key.life
        if not self._parts.backpressure.may_send(life, now):
            return False
        if not self._parts.turns.may_send(life, self._turn, now):
            return False
        cluster = self._parts.cluster
        if self._context.holder is not None:
            if not cluster.are_keys_fresh(now):
                return False
            if cluster.index.find_holder(self._context.ask.key) is None:
                return False
        return cluster.may_send_to(self.replica)

    def count_sends(self) -> int:
        """Return how many replicas the attempt may reach."""
        return 1

    def read_mark(self, status: int, headers: RawHeaders) -> AnswerMark:
        """Return what the head of an answer says of it."""
        return self._parts.wire.read_mark(status, headers)

    def on_connected(self, now: float) -> None:
        """Take in that a connection came up."""
        self._parts.paths.record(self.replica.head, now, is_connected=True)

    def on_unreachable(self, now: float) -> None:
        """Take in that no connection came up."""
        self._parts.paths.record(self.replica.head, now, is_connected=False)

    def on_mark(self, mark: AnswerMark, sent_at: float, now: float) -> None:
        """Take in what an answer says, also where nobody waits for it."""
        life = self.key.life
        self._parts.backpressure.note(life, mark, now)
        if mark.limit is not None:
            hall = self.replica.head.hall
            self._parts.turns.note_answer(life, hall, mark.limit, sent_at)

    def on_failed(self, now: float) -> None:
        """Take in that an answer failed, broke off or was refused."""
        self.book.note_failure(self.key, now)

    def on_silent(self) -> None:
        """Take in that nothing comes although it has work."""
        self._parts.raise_doubt(self.replica)

    def on_broken(self, *, has_begun: bool, is_over: bool) -> None:
        """Take in that an attempt broke after bytes had left."""
        self._parts.guard.note_broken(
            self.replica,
            self._context.traits,
            has_begun=has_begun,
            is_over=is_over,
        )

    def on_misdirected(self) -> None:
        """Take in that it is not what it was taken for."""
        self._parts.cluster.exclude_replica(self.replica)

    def on_pause(self, seconds: float) -> None:
        """Take in for how long it was silent between two pieces."""
        self._parts.pauses.note(self.replica.model, seconds)

    def on_first_piece(self, ratio: float) -> None:
        """Take in how slowly an answer began, as a part of what is usual."""
        self.book.note_first(self.key, ratio)
