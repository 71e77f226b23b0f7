"""Actor that enforces the replicas' rate limits together with other nodes.

A change of a limit is broadcast to all nodes.  Before a node sends a request
to a rate-limited replica, it asks one of the replica's issuers for a permit.
Without a permit the request goes to another replica or is refused at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from waywell.connection.limit_header import NO_LIMIT
from waywell.connection.peer import (
    KnownLimits,
    LimitNotice,
    PermitAnswer,
    PermitRequest,
)
from waywell.limits.issuer_assignment import IssuerAssignment, make_view
from waywell.limits.permit_bucket import (
    MAX_RETRY_SECONDS,
    MIN_RETRY_SECONDS,
    PermitGrant,
)
from waywell.limits.permit_issuer import PermitIssuer
from waywell.limits.permit_requests import PermitRequests
from waywell.limits.reported_limits import LimitReport, ReportedLimits
from waywell.membership.links import PeerLinks
from waywell.process.actor import Actor, Message
from waywell.request.permit_source import (
    MAX_PERMIT_DENIALS,
    Permit,
    PermitSource,
)
from waywell.version.fleet import BoxLife

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence
    from random import Random

    from waywell.ids import HallName, NodeId
    from waywell.membership.gossip import Gossip
    from waywell.process.clock import Clock
    from waywell.version.fleet import Replica
    from waywell.version.life_tracker import EndedLife

PERMIT_SECONDS = 0.5
"""Lifetime of a permit from the time it was requested, in seconds: a few times
the longest delay between halls plus the time to open a connection."""

STARTUP_SECONDS = 2.0
"""Seconds after its start for which a node issues no permits: it may not have
met the present issuers yet."""


@attrs.define
class _HeldPermits:
    """Unused permits of this node for one replica."""

    permits: int
    expires_at: float


class RateLimiter(Actor, PermitSource):
    """Broadcasts limits, issues permits and requests them from other nodes.

    Parameters
    ----------
    gossip
        Membership of the nodes.
    links
        Streams to other nodes.
    clock
        Source of the time.
    random
        Source of random numbers for the order of issuers and retry delays.
    has_joined
        Returns whether this node has met other nodes or knows that it is
        alone.
    """

    class Changed(Message, frozen=True):
        """A limit has changed."""

    def __init__(
        self,
        gossip: Gossip,
        links: PeerLinks,
        clock: Clock,
        random: Random,
        has_joined: Callable[[], bool],
    ) -> None:
        """Start without limits and subscribe to the messages of peers."""
        super().__init__('turns')
        self.limits = ReportedLimits()
        self._issuer = PermitIssuer(self.limits)
        self._gossip = gossip
        self._links = links
        self._clock = clock
        self._random = random
        self._has_joined = has_joined
        self._issues_from = clock.read() + STARTUP_SECONDS
        self._assignment = IssuerAssignment(
            make_view(gossip.table, has_joined=False)
        )
        self._had_limits = False
        self._is_refresh_due = False
        self._permit_requests = PermitRequests(links)
        self._held: dict[BoxLife, _HeldPermits] = {}
        self._retry_at: dict[BoxLife, float] = {}
        links.subscribe(
            self,
            PeerLinks.Opened,
            LimitNotice,
            KnownLimits,
            PermitRequest,
            PermitAnswer,
        )

    def refresh(self, now: float) -> None:
        """Apply the current membership and limits; drop expired state."""
        self.limits.forget_old(now)
        self._permit_requests.forget_old(now)
        limited = self.limits.list_limited()
        if not limited and not self._had_limits:
            return
        self._had_limits = bool(limited)
        has_joined = now >= self._issues_from and self._has_joined()
        view = make_view(self._gossip.table, has_joined=has_joined)
        if view != self._assignment.view:
            self._assignment = IssuerAssignment(view)
        self._issuer.update(self._assignment, now)
        self._keep_streams(limited)
        for kept in (self._retry_at, self._held):
            for life in kept.keys() - limited.keys():
                kept.pop(life)

    def record_limit(
        self,
        life: BoxLife,
        hall: HallName,
        limit: float,
        sent_at: float,
    ) -> None:
        """Record the limit that an answer reported; broadcast a change."""
        if limit == NO_LIMIT and self.limits.find(life) is None:
            return
        now = self._clock.read()
        report = LimitReport(limit, sent_at, now, now, hall)
        if self.limits.record(life, report, 'own'):
            self._handle_change(life)
            self._links.broadcast(_make_message(life, report, now))

    def get_limit(self, life: BoxLife) -> float:
        """Return the limit of a box, in requests a second from all nodes."""
        return self.limits.get(life)

    def may_ask(self, life: BoxLife, denied: int, now: float) -> bool:
        """Return whether a box has no limit, or may have a permit left."""
        if denied >= MAX_PERMIT_DENIALS and self.limits.is_limited(life):
            return False
        return self._retry_at.get(life, 0.0) <= now

    def filter_available(
        self,
        replicas: Sequence[Replica],
        denied: int,
        now: float,
    ) -> Sequence[Replica]:
        """Return the replicas that may be asked for a permit."""
        if not self._retry_at and not denied:
            return replicas
        return [
            replica
            for replica in replicas
            if self.may_ask(replica.key.life, denied, now)
        ]

    async def acquire_permit(
        self,
        life: BoxLife,
        hall: HallName,
        rank: int,
    ) -> Permit | None:
        """Return a permit for a replica, or ``None`` if there is none now."""
        now = self._clock.read()
        if not self.limits.is_limited(life):
            return Permit()
        held = self._consume_held_permit(life, now)
        if held is not None:
            return held
        issuers = self._list_issuers(life, hall, now)
        # Streams to the issuers of a new limit are about to be opened.
        wait = MAX_RETRY_SECONDS if issuers else MIN_RETRY_SECONDS
        for issuer in issuers:
            grant = await self._request_permit(issuer, life, rank)
            if grant.permits:
                self._hold(life, grant.permits, now + PERMIT_SECONDS)
                return self._consume_held_permit(life, self._clock.read())
            wait = min(wait, grant.retry_after)
        wait *= 0.5 + self._random.random()
        self._retry_at[life] = self._clock.read() + wait
        return None

    def find_wait(self, lives: Iterable[BoxLife], now: float) -> float | None:
        """Return the seconds until one of the boxes may have a permit."""
        waits = [
            max(MIN_RETRY_SECONDS, self._retry_at.get(life, now) - now)
            if self.limits.is_limited(life)
            else 0.0
            for life in lives
        ]
        return min(waits, default=0.0) or None

    def forget_ended(self, ended: Iterable[EndedLife]) -> None:
        """Forget the limits of boxes whose life has ended."""
        self.limits.forget_ended(ended)
        self.refresh(self._clock.read())

    def on_changed(self, _changed: Changed) -> None:
        """Apply the limits that have changed."""
        self._is_refresh_due = False
        self.refresh(self._clock.read())

    def on_opened(self, opened: PeerLinks.Opened) -> None:
        """Send all reports to a new peer, which may have missed them."""
        now = self._clock.read()
        messages = tuple(
            _make_message(life, report, now)
            for life, report in self.limits.list_reports().items()
        )
        if messages:
            self._links.send(opened.record.node, KnownLimits(messages))

    def on_received(self, received: PeerLinks.Received) -> None:
        """Handle a message of a peer: a report, a request or an answer."""
        message = received.message
        if isinstance(message, PermitRequest):
            self._answer_request(received.node, message)
        elif isinstance(message, PermitAnswer):
            self._handle_answer(message)
        elif isinstance(message, KnownLimits):
            for told in message.notices:
                self._handle_report(told, received.node)
        else:
            self._handle_report(message, received.node)

    def count(self) -> dict[str, float]:
        """Return the number of limits in force and the issuer's counts."""
        limited = float(len(self.limits.list_limited()))
        return {'limited': limited, **self._issuer.count()}

    def dump(self) -> dict[str, object]:
        """Return the state as plain values."""
        now = self._clock.read()
        return {
            **super().dump(),
            'limits': self.limits.dump(now),
            'dealt_here': self._issuer.dump(),
            'asked': self._permit_requests.count_pending(),
        }

    def _handle_change(self, life: BoxLife) -> None:
        """Drop the permits of a changed limit and schedule one refresh.

        Changes that come together share the refresh.
        """
        self._retry_at.pop(life, None)
        self._held.pop(life, None)
        if not self._is_refresh_due:
            self._is_refresh_due = True
            self.post(self.Changed())

    def _consume_held_permit(self, life: BoxLife, now: float) -> Permit | None:
        """Return one of the permits that this node holds, if any."""
        held = self._held.get(life)
        if held is None or now >= held.expires_at or not held.permits:
            return None
        held.permits -= 1
        return Permit(held.expires_at)

    def _hold(self, life: BoxLife, permits: int, expires_at: float) -> None:
        """Hold granted permits unless those already held expire later."""
        held = self._held.get(life)
        if held is None or held.expires_at < expires_at:
            self._held[life] = _HeldPermits(permits, expires_at)

    def _list_issuers(
        self,
        life: BoxLife,
        hall: HallName,
        now: float,
    ) -> list[NodeId]:
        """Return the issuers that may be asked, in random order."""
        own = self._gossip.table.own.node
        issuers = [
            node
            for node in self._assignment.choose(life.box, hall)
            if node == own or self._permit_requests.may_ask(node, now)
        ]
        self._random.shuffle(issuers)
        return issuers

    async def _request_permit(
        self, issuer: NodeId, life: BoxLife, rank: int
    ) -> PermitGrant:
        """Request a permit from an issuer, which may be this node."""
        now = self._clock.read()
        if issuer == self._gossip.table.own.node:
            return self._issuer.grant(life, rank, now)
        report = self.limits.find(life)
        if report is None:
            return PermitGrant(1)
        told = _make_message(life, report, now)
        return await self._permit_requests.ask(issuer, told, rank, now)

    def _answer_request(self, node: NodeId, ask: PermitRequest) -> None:
        self._handle_report(ask.notice, node)
        life = BoxLife(ask.notice.box, ask.notice.incarnation)
        grant = self._issuer.grant(life, ask.rank, self._clock.read())
        answer = PermitAnswer(
            ask.number, grant.permits, round(grant.retry_after, 3)
        )
        self._links.send(node, answer)

    def _handle_answer(self, answer: PermitAnswer) -> None:
        """Complete a permit request; hold late permits for the next one."""
        late = self._permit_requests.handle_answer(answer)
        if late is not None and late.permits:
            self._hold(
                late.life, late.permits, late.requested_at + PERMIT_SECONDS
            )
            self._retry_at.pop(late.life, None)

    def _handle_report(self, told: LimitNotice, sender: NodeId) -> None:
        """Record a peer's report; reply if this node has a newer one."""
        now = self._clock.read()
        life = BoxLife(told.box, told.incarnation)
        report = _read_message(told, now)
        known = self.limits.find(life)
        if self.limits.record(life, report, sender):
            self._handle_change(life)
            self._links.forward(told, sender)
        elif known is not None and not report.is_equivalent(known):
            self._links.send(sender, _make_message(life, known, now))

    def _keep_streams(self, limited: Iterable[BoxLife]) -> None:
        """Keep a stream open to each issuer of the limited replicas."""
        table = self._gossip.table
        issuers = {
            node
            for life in limited
            for node in self._assignment.choose(
                life.box, self.limits.get_hall(life)
            )
        }
        records = [table.find(node) for node in sorted(issuers)]
        self._gossip.keep_streams(
            self.name,
            tuple(
                record
                for record in records
                if record is not None and record.node != table.own.node
            ),
        )


def _make_message(
    life: BoxLife, report: LimitReport, now: float
) -> LimitNotice:
    """Return a report as a message, with ages instead of local times."""
    return LimitNotice(
        life.box,
        life.incarnation,
        report.hall,
        None if report.limit == NO_LIMIT else report.limit,
        round(now - report.sent_at, 4),
        round(now - report.received_at, 4),
        round(now - report.limited_since, 3),
    )


def _read_message(told: LimitNotice, now: float) -> LimitReport:
    return LimitReport(
        NO_LIMIT if told.limit is None else told.limit,
        now - told.sent_age,
        now - told.received_age,
        now - told.limited_age,
        told.hall,
    )
