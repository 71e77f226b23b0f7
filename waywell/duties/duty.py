"""Duties that one entry box holds by a lease in the platform."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

import msgspec
from returns.result import Failure

from waywell.connection.platform import Kind, PlatformFault
from waywell.connection.store_era import EraTracker
from waywell.duties.lease import LeaseAction, LeaseRecord, LeaseState
from waywell.membership.gossip import Gossip
from waywell.membership.membership import NodeState, rank_candidates
from waywell.process.actor import Actor, Message
from waywell.telemetry.events import log_event, log_warning

if TYPE_CHECKING:
    from waywell.connection.platform import Platform, Stored
    from waywell.connection.store_era import StoreEra
    from waywell.ids import NodeId
    from waywell.membership.membership import NodeRecord
    from waywell.process.clock import Clock

CANDIDATES_PER_DUTY = 3
"""Nodes that contend for one duty."""

TICKS_PER_TERM = 6
"""Looks at a lease within its term."""


def make_operation() -> str:
    """Return a fresh id for a write."""
    return secrets.token_hex(8)


class LeaseManager:
    """Takes and renews one lease in the platform.

    Parameters
    ----------
    name
        Name of the lease.
    platform
        The platform.
    gossip
        Membership, which learns that the platform was reached.
    clock
        Where the time is read.
    term
        Term of the lease, in seconds.
    eras
        Era of the platform's store.
    """

    def __init__(
        self,
        name: str,
        platform: Platform,
        gossip: Gossip,
        clock: Clock,
        term: float,
        eras: EraTracker,
    ) -> None:
        """Start without a look at the lease."""
        own = gossip.table.own
        self.state = LeaseState(own.node, own.incarnation, term)
        self._eras = eras
        self._seen_era: StoreEra | None = None
        self._name = name
        self._platform = platform
        self._gossip = gossip
        self._clock = clock
        self._version = 0

    def is_held(self) -> bool:
        """Answer whether this node holds the lease now."""
        return self.state.is_held(self._clock.read())

    async def update(self) -> None:
        """Look at the lease, renew it or take it."""
        if not self.is_held() or not self._has_seen_era():
            await self._look()
        if not self._has_seen_era():
            return
        now = self._clock.read()
        move = self.state.choose_action(now)
        if move is not LeaseAction.WAIT:
            await self._write(move, now)

    async def release(self) -> None:
        """Give the lease back, so that nobody waits for its end."""
        if not self.is_held() or not self._has_seen_era():
            return
        record = self.state.make_released_record(make_operation())
        self.state.abandon_term()
        answer = await self._platform.write(
            Kind.LEASE,
            self._name,
            msgspec.to_builtins(record),
            self._version,
        )
        if isinstance(answer, Failure):
            log_warning(
                'lease_kept', lease=self._name, fault=answer.failure().value
            )

    async def _look(self) -> None:
        """Look at the lease, by a cheap answer while its holder runs.

        Cheap answers may be seconds old and show the renewals of a holder that
        has ended since: with answers of up to 6 s before, a duty lay idle for
        8.0 s in place of the term of 2 s.
        """
        has_era_changed = self._seen_era not in {None, self._eras.current}
        fresh = self._doubts_holder() or has_era_changed
        answer = await self._platform.fetch(
            Kind.LEASE, self._name, fresh=fresh
        )
        if isinstance(answer, Failure):
            return
        self._gossip.post(Gossip.PlatformReached())
        stored = answer.unwrap()
        if fresh or (stored is not None and stored.version >= self._version):
            self._take_in(stored)
        elif stored is None and not self._version:
            self._take_in(None)

    def _doubts_holder(self) -> bool:
        """Answer whether the holder is not known to run any more."""
        record = self.state.record
        if record is None:
            return False
        known = self._gossip.table.find(record.holder)
        if known is None or known.incarnation != record.incarnation:
            return True
        return known.state is not NodeState.LIVE

    def _has_seen_era(self) -> bool:
        """Return whether the lease was read in the store's present era.

        Its version is one of that era, and may name another write later.
        """
        return self._seen_era == self._eras.current

    def _take_in(self, stored: Stored | None) -> None:
        era = self._eras.current
        self._seen_era = era
        self.state.is_first_start = self._eras.is_first_start
        self._version = stored.version if stored else 0
        now = self._clock.read()
        if stored is None:
            self.state.observe(None, now, era)
            return
        try:
            record = msgspec.convert(stored.body, LeaseRecord)
        except msgspec.ValidationError as error:
            log_warning(
                'lease_unreadable',
                lease=self._name,
                version=stored.version,
                error=str(error),
            )
            self.state.observe_unreadable(stored.version, now, era)
            return
        self.state.observe(record, now, era)

    async def _write(self, move: LeaseAction, sent_at: float) -> None:
        record = self.state.make_next_record(move, make_operation())
        answer = await self._platform.write(
            Kind.LEASE,
            self._name,
            msgspec.to_builtins(record),
            self._version,
        )
        if isinstance(answer, Failure):
            await self._settle(record, sent_at, answer.failure())
            return
        self._gossip.post(Gossip.PlatformReached())
        if not self._has_seen_era():
            # The version that was expected may name another write by now.
            await self._settle(record, sent_at, PlatformFault.FORMER_ERA)
            return
        self._version = answer.unwrap().version
        self.state.confirm_write(record, sent_at, self._clock.read())

    async def _settle(
        self,
        record: LeaseRecord,
        sent_at: float,
        fault: PlatformFault,
    ) -> None:
        """Find out whether a write without an answer took effect."""
        if fault is PlatformFault.NOT_SENT:
            return
        answer = await self._platform.fetch(Kind.LEASE, self._name)
        if isinstance(answer, Failure):
            return
        stored = answer.unwrap()
        self._take_in(stored)
        current = self.state.record
        # One that was carried out in a later era than it was sent in met a
        # version that was given out again.
        if current == record and current.era == self._eras.current:
            self.state.confirm_write(current, sent_at, self._clock.read())


class Duty(Actor):
    """Holds a lease and does its work while it holds it.

    Parameters
    ----------
    name
        Name of the duty and of its lease.
    platform
        The platform.
    gossip
        Membership, to know the contenders.
    clock
        Where the time is read.
    term
        Term of the lease, in seconds.
    eras
        Era of the platform's store; one that never changes by default.
    """

    class LeaseTick(Message, frozen=True):
        """A look at the lease is due."""

    def __init__(
        self,
        name: str,
        platform: Platform,
        gossip: Gossip,
        clock: Clock,
        term: float,
        eras: EraTracker | None = None,
    ) -> None:
        """Start without the lease."""
        super().__init__(name)
        self.lease = LeaseManager(
            name, platform, gossip, clock, term, eras or EraTracker()
        )
        self.platform = platform
        self.gossip = gossip
        self.clock = clock
        self._term = term
        self._taken_epoch: int | None = None
        self._ranked_for = -1
        self._candidates: list[NodeId] = []

    def start(self) -> None:
        """Begin to look at the lease."""
        super().start()
        self.repeat(self._term / TICKS_PER_TERM, self.LeaseTick())

    def is_held(self) -> bool:
        """Answer whether this node holds the duty now.

        A lease that lapsed and was taken again within one look begins a new
        term, whose work must not go on by what the former one knew; so it
        counts from when that was forgotten.
        """
        return self.lease.is_held() and self._taken_epoch == self.epoch

    @property
    def epoch(self) -> int:
        """Return the epoch of the lease, as last seen."""
        return self.lease.state.epoch

    def list_eligible(self) -> list[NodeRecord]:
        """Return the nodes that the duty may fall to."""
        return self.gossip.table.list_live()

    def is_candidate(self) -> bool:
        """Answer whether this node is one of the few that contend."""
        table = self.gossip.table
        if table.digest != self._ranked_for:
            self._ranked_for = table.digest
            self._candidates = rank_candidates(
                self.list_eligible(),
                self.name,
                CANDIDATES_PER_DUTY,
            )
        return table.own.node in self._candidates

    def can_hold(self) -> bool:
        """Answer whether this node can do the work of the duty."""
        return True

    def find_minimum_epoch(self) -> int:
        """Return the highest epoch that is known to have been in use."""
        return 0

    async def start_work(self) -> None:
        """Begin the duty; called when the lease was taken."""

    def stop_work(self) -> None:
        """End the duty; called when the lease was lost."""

    async def release(self) -> None:
        """Give the duty back before this node stops."""
        await self.lease.release()

    async def on_lease_tick(self, _tick: LeaseTick) -> None:
        """Renew, take or watch the lease."""
        if self.lease.is_held() and not self.can_hold():
            await self.release()
        elif self.is_candidate() or self.lease.is_held():
            self.lease.state.raise_minimum_epoch(self.find_minimum_epoch())
            await self.lease.update()
        epoch = self.epoch if self.lease.is_held() else None
        if epoch == self._taken_epoch:
            return
        if self._taken_epoch is not None:
            log_event('duty_lost', duty=self.name, epoch=self._taken_epoch)
            self.stop_work()
        self._taken_epoch = epoch
        if epoch is not None:
            log_event('duty_taken', duty=self.name, epoch=epoch)
            await self.start_work()

    def dump(self) -> dict[str, object]:
        """Return the lease as plain values."""
        record = self.lease.state.record
        return {
            'held': self.is_held(),
            'record': msgspec.to_builtins(record) if record else None,
        }
