"""Destinations of attempts: where a request is sent."""

from __future__ import annotations

import abc
import asyncio
from typing import TYPE_CHECKING

from waywell.connection.exchange import OutgoingRequest
from waywell.request.decoded_request import DeliveryParameters
from waywell.telemetry.events import log_event

if TYPE_CHECKING:
    from waywell.connection.wire_format import RawHeaders
    from waywell.request.decoded_request import AnswerMetadata
    from waywell.request.permit_source import Permit
    from waywell.request.replica_table import ReplicaTable
    from waywell.request.request_context import (
        ForwarderDependencies,
        RequestContext,
    )
    from waywell.version.fleet import Replica, ReplicaKey


BOX_LIST_CHECK_SECONDS = 0.02
"""Seconds between checks whether an old box list has been replaced."""


class Destination(abc.ABC):
    """Destination of one attempt, which also records its outcome."""

    key: ReplicaKey
    """Key under which ``replica_table`` keeps records of the destination."""

    replica_table: ReplicaTable
    """This node's records of load, failures and silence."""

    replica: Replica | None = None
    """Replica that receives the request; ``None`` if a peer selects it."""

    @abc.abstractmethod
    def describe(self) -> dict[str, object]:
        """Return the fields that identify the destination in log lines."""

    @abc.abstractmethod
    def make_outgoing(self, now: float) -> OutgoingRequest:
        """Return the request in the form in which it is sent at ``now``."""

    async def await_current_boxes(self) -> None:
        """Wait until the box list that named the destination is current."""

    @abc.abstractmethod
    def may_send(self, now: float) -> bool:
        """Return, right before the write, whether the request may be sent."""

    @abc.abstractmethod
    def count_sends(self) -> int:
        """Return the maximum number of replicas that the attempt reaches."""

    @abc.abstractmethod
    def read_metadata(
        self, status: int, headers: RawHeaders
    ) -> AnswerMetadata:
        """Return the metadata from the head of an answer."""

    async def acquire_permit(self) -> bool:
        """Acquire a permit under the rate limit, if there is one.

        Returns
        -------
        bool
            Whether the request may be sent.
        """
        return True

    def on_connected(self, now: float) -> None:
        """Record that a connection was established."""

    def on_unreachable(self, now: float) -> None:
        """Record that no connection could be established."""

    def on_metadata(
        self, metadata: AnswerMetadata, sent_at: float, now: float
    ) -> None:
        """Apply the metadata of an answer, even if the attempt was dropped."""

    def on_failed(self, now: float) -> None:
        """Record that an attempt failed, was truncated or was rejected."""

    def on_silent(self) -> None:
        """Report that the destination sends nothing although it has work."""

    def on_broken(self, *, has_begun: bool, has_ended: bool) -> None:
        """Report that an attempt failed after bytes were sent."""

    def on_misdirected(self) -> None:
        """Report that another box, or none that is a head, has the address."""

    def on_pause(self, seconds: float) -> None:
        """Record the pause between two pieces of an answer, in seconds."""

    def on_first_piece(self, ratio: float) -> None:
        """Record the time to the first piece, divided by the expected time."""


class ReplicaDestination(Destination):
    """A replica that this node connects to directly.

    Parameters
    ----------
    dependencies
        Collaborators of the forwarder.
    context
        State of the request.
    replica
        Replica that receives the request.
    """

    def __init__(
        self,
        dependencies: ForwarderDependencies,
        context: RequestContext,
        replica: Replica,
    ) -> None:
        """Prepare the destination without acquiring a permit."""
        self.replica: Replica = replica
        self.key = replica.key
        self.replica_table = dependencies.replica_table
        self._dependencies = dependencies
        self._context = context
        self._permit: Permit | None = None

    def describe(self) -> dict[str, object]:
        """Return the fields that identify the destination in log lines."""
        return {'box': self.key.box, 'group': self.replica.group}

    def make_outgoing(self, now: float) -> OutgoingRequest:
        """Return the request in the form in which it is sent at ``now``."""
        context = self._context
        holder = context.holder
        delivery = DeliveryParameters(
            account=None if holder is None else holder.account,
            seconds=context.deadline_at - now,
            resume_after=context.last_event,
            priority=context.priority if context.engine else None,
        )
        head = self.replica.head
        return OutgoingRequest(
            head.host,
            head.port,
            context.request.method,
            context.request.target,
            self._dependencies.wire.make_headers(
                context.request, delivery, head
            ),
            context.request.body,
        )

    async def acquire_permit(self) -> bool:
        """Acquire a permit under the rate limit, if there is one.

        Returns
        -------
        bool
            Whether the request may be sent.
        """
        self._permit = await self._dependencies.permits.acquire_permit(
            self.key.life, self.replica.head.hall, self._context.priority
        )
        if self._permit is None:
            self._context.permits_denied += 1
        return self._permit is not None

    async def await_current_boxes(self) -> None:
        """Wait until the box list is current, or the deadline has passed.

        A list is old if its reader has ended or this process was suspended;
        the node reads it within a fraction of a second.
        """
        cluster, clock = self._dependencies.cluster, self._dependencies.clock
        now = clock.read()
        if cluster.are_boxes_current(now):
            return
        log_event(
            'box_list_awaited',
            request=self._context.request.attempt_id,
            box=self.key.box,
            boxes_age=cluster.get_boxes_age(now),
        )
        while not cluster.are_boxes_current(now):
            if now >= self._context.deadline_at:
                return
            await asyncio.sleep(BOX_LIST_CHECK_SECONDS)
            now = clock.read()

    def may_send(self, now: float) -> bool:
        """Return, right before the write, whether the request may be sent."""
        life = self.key.life
        if not self._dependencies.backpressure.may_send(life, now):
            return False
        if not self._dependencies.permits.may_send(life, self._permit, now):
            return False
        cluster = self._dependencies.cluster
        if self._context.holder is not None:
            if not cluster.are_keys_fresh(now):
                return False
            if (
                cluster.index.find_holder(self._context.request.api_key)
                is None
            ):
                return False
        return cluster.may_send_to(self.replica, now)

    def count_sends(self) -> int:
        """Return the maximum number of replicas that the attempt reaches."""
        return 1

    def read_metadata(
        self, status: int, headers: RawHeaders
    ) -> AnswerMetadata:
        """Return the metadata from the head of an answer."""
        return self._dependencies.wire.read_metadata(status, headers)

    def on_connected(self, now: float) -> None:
        """Record that a connection was established."""
        self._dependencies.paths.record(
            self.replica.head, now, is_connected=True
        )

    def on_unreachable(self, now: float) -> None:
        """Record that no connection could be established."""
        self._dependencies.paths.record(
            self.replica.head, now, is_connected=False
        )

    def on_metadata(
        self, metadata: AnswerMetadata, sent_at: float, now: float
    ) -> None:
        """Apply the metadata of an answer, even if the attempt was dropped."""
        life = self.key.life
        self._dependencies.backpressure.record(life, metadata, now)
        if metadata.rate_limit is not None:
            hall = self.replica.head.hall
            self._dependencies.permits.record_limit(
                life, hall, metadata.rate_limit, sent_at
            )

    def on_failed(self, now: float) -> None:
        """Record that an attempt failed, was truncated or was rejected."""
        self.replica_table.record_failure(self.key, now)

    def on_silent(self) -> None:
        """Report that the destination sends nothing although it has work."""
        self._dependencies.raise_doubt(self.replica)

    def on_broken(self, *, has_begun: bool, has_ended: bool) -> None:
        """Report that an attempt failed after bytes were sent."""
        self._dependencies.guard.record_broken_attempt(
            self.replica,
            self._context.traits,
            has_begun=has_begun,
            has_ended=has_ended,
        )

    def on_misdirected(self) -> None:
        """Report that another box, or none that is a head, has the address."""
        self._dependencies.cluster.exclude_replica(self.replica)

    def on_pause(self, seconds: float) -> None:
        """Record the pause between two pieces of an answer in seconds."""
        self._dependencies.pauses.record(self.replica.model, seconds)

    def on_first_piece(self, ratio: float) -> None:
        """Record the time to the first piece, divided by the expected time."""
        self.replica_table.record_first_event(self.key, ratio)
