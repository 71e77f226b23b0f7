"""Duties, each performed by the entry box that holds its lease."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

import msgspec
from returns.result import Failure

from waywell.connection.lenient_json import DECODING_ERRORS
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
"""Nodes that compete for the lease of one duty."""

TICKS_PER_TERM = 6
"""Checks of a lease per term."""


def make_operation() -> str:
    """Return a new random id for a write."""
    return secrets.token_hex(8)


class LeaseManager:
    """Acquires and renews one lease in the platform's store.

    Parameters
    ----------
    name
        Name of the lease.
    platform
        Client of the platform's store.
    gossip
        Membership; informed of each successful call to the platform.
    clock
        Time source.
    term
        Term of the lease, in seconds.
    eras
        Tracker of the era of the platform's store.
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
        """Start without reading the lease."""
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
        """Return whether this node holds the lease now."""
        return self.state.is_held(self._clock.read())

    async def update(self) -> None:
        """Read the lease if needed; renew or acquire it if due."""
        if not self.is_held() or not self._has_seen_era():
            await self._read()
        if not self._has_seen_era():
            return
        now = self._clock.read()
        action = self.state.choose_action(now)
        if action is not LeaseAction.WAIT:
            await self._write(action, now)

    async def release(self) -> None:
        """Release the lease, so that no candidate waits for it to expire."""
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

    async def _read(self) -> None:
        """Read the lease, with a cached read while its holder is known to run.

        Cached reads may be seconds old and show renewals of a holder that has
        stopped since.  With reads up to 6 s old, a duty had no holder for
        8.0 s instead of the term of 2 s, so an uncertain holder causes a
        fresh read.
        """
        has_era_changed = self._seen_era not in {None, self._eras.current}
        fresh = self._is_holder_uncertain() or has_era_changed
        answer = await self._platform.fetch(
            Kind.LEASE, self._name, fresh=fresh
        )
        if isinstance(answer, Failure):
            return
        self._gossip.post(Gossip.PlatformReached())
        stored = answer.unwrap()
        if fresh or (stored is not None and stored.version >= self._version):
            self._observe(stored)
        elif stored is None and not self._version:
            self._observe(None)

    def _is_holder_uncertain(self) -> bool:
        """Return whether the holder is not known to be running."""
        record = self.state.record
        if record is None:
            return False
        known = self._gossip.table.find(record.holder)
        if known is None or known.incarnation != record.incarnation:
            return True
        return known.state is not NodeState.LIVE

    def _has_seen_era(self) -> bool:
        """Return whether the lease was last read in the current store era.

        A version is valid only in its era: in a later one the same number may
        belong to another write.
        """
        return self._seen_era == self._eras.current

    def _observe(self, stored: Stored | None) -> None:
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
        except DECODING_ERRORS as error:
            log_warning(
                'lease_unreadable',
                lease=self._name,
                version=stored.version,
                error=str(error),
            )
            self.state.observe_unreadable(stored.version, now, era)
            return
        self.state.observe(record, now, era)

    async def _write(self, action: LeaseAction, sent_at: float) -> None:
        record = self.state.make_next_record(action, make_operation())
        answer = await self._platform.write(
            Kind.LEASE,
            self._name,
            msgspec.to_builtins(record),
            self._version,
        )
        if isinstance(answer, Failure):
            await self._verify_write(record, sent_at, answer.failure())
            return
        self._gossip.post(Gossip.PlatformReached())
        if not self._has_seen_era():
            # The expected version may belong to another write in the new era.
            await self._verify_write(record, sent_at, PlatformFault.FORMER_ERA)
            return
        self._version = answer.unwrap().version
        self.state.confirm_write(record, sent_at, self._clock.read())

    async def _verify_write(
        self,
        record: LeaseRecord,
        sent_at: float,
        fault: PlatformFault,
    ) -> None:
        """Check whether a write without a definite result took effect."""
        if fault is PlatformFault.NOT_SENT:
            return
        answer = await self._platform.fetch(Kind.LEASE, self._name)
        if isinstance(answer, Failure):
            return
        stored = answer.unwrap()
        self._observe(stored)
        current = self.state.record
        # A write applied in a later era than it was sent in matched a reused
        # version, so it does not count.
        if current == record and current.era == self._eras.current:
            self.state.confirm_write(current, sent_at, self._clock.read())


class Duty(Actor):
    """Actor that performs a duty while this node holds its lease.

    Parameters
    ----------
    name
        Name of the duty and of its lease.
    platform
        Client of the platform's store.
    gossip
        Membership, from which the candidates are selected.
    clock
        Time source.
    term
        Term of the lease, in seconds.
    eras
        Tracker of the store's era; by default one whose era never changes.
    """

    class LeaseTick(Message, frozen=True):
        """A check of the lease is due."""

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
        self._active_epoch: int | None = None
        self._ranked_digest = -1
        self._candidates: list[NodeId] = []

    def start(self) -> None:
        """Start the periodic check of the lease."""
        super().start()
        self.repeat(self._term / TICKS_PER_TERM, self.LeaseTick())

    def is_held(self) -> bool:
        """Return whether this node performs the duty now.

        A lease that expires and is acquired again between two checks begins a
        new term, which must not use state of the previous one.  It counts only
        from the check that calls ``start_work``, which resets that state.
        """
        return self.lease.is_held() and self._active_epoch == self.epoch

    @property
    def epoch(self) -> int:
        """Return the epoch of the lease as last read."""
        return self.lease.state.epoch

    def list_eligible(self) -> list[NodeRecord]:
        """Return the nodes that may become candidates for the duty."""
        return self.gossip.table.list_live()

    def is_candidate(self) -> bool:
        """Return whether this node competes for the lease."""
        table = self.gossip.table
        if table.digest != self._ranked_digest:
            self._ranked_digest = table.digest
            self._candidates = rank_candidates(
                self.list_eligible(),
                self.name,
                CANDIDATES_PER_DUTY,
            )
        return table.own.node in self._candidates

    def can_hold(self) -> bool:
        """Return whether this node is able to perform the duty."""
        return True

    def find_highest_used_epoch(self) -> int:
        """Return the highest epoch known to have been used."""
        return 0

    async def start_work(self) -> None:
        """Start the work of the duty; called after the lease is acquired."""

    def stop_work(self) -> None:
        """Stop the work of the duty; called after the lease is lost."""

    async def release(self) -> None:
        """Release the lease before this node stops."""
        await self.lease.release()

    async def on_lease_tick(self, _tick: LeaseTick) -> None:
        """Renew, acquire or read the lease; start or stop the work."""
        if self.lease.is_held() and not self.can_hold():
            await self.release()
        elif self.is_candidate() or self.lease.is_held():
            self.lease.state.record_used_epoch(self.find_highest_used_epoch())
            await self.lease.update()
        epoch = self.epoch if self.lease.is_held() else None
        if epoch == self._active_epoch:
            return
        if self._active_epoch is not None:
            log_event('duty_lost', duty=self.name, epoch=self._active_epoch)
            self.stop_work()
        self._active_epoch = epoch
        if epoch is not None:
            log_event('duty_taken', duty=self.name, epoch=epoch)
            await self.start_work()

    def dump(self) -> dict[str, object]:
        """Return the state of the lease as plain values."""
        record = self.lease.state.record
        return {
            'held': self.is_held(),
            'record': msgspec.to_builtins(record) if record else None,
        }
