"""Leases in the platform's store: one holder per duty, fenced by an epoch.

Clocks of different nodes are never compared.  A candidate takes over a lease
after it has seen the same holder and beat for longer than the term, measured
by its own clock.  A holder measures its lease from the time before it sent the
last renewal that is known to have taken effect.

A new run of a node knows that the node's former run has ended, so it need not
wait for a lease held by that run.  Other nodes must wait: if a clock was set
back, the newer of two runs may have the lower incarnation.

Each term has its own epoch.  A holder that no longer trusts its lease acquires
it with the next epoch, even if no other node held it in between.  State
discarded at the end of one term therefore never shares an epoch with that of
the next.

A store restored from an older copy may lack the lease of a holder that still
trusts it.  After a new era begins, a candidate therefore waits for a full
term, even if the lease is vacant or its own, unless the record was written in
the new era.
"""

from __future__ import annotations

import enum

import msgspec

from waywell.bounded_types import Count, VersionNumber
from waywell.connection.store_era import (
    UNREPORTED_ERA,
    UNSEEN_ERA,
    StoreEra,
    is_reported,
)
from waywell.ids import Incarnation, NodeId

TRUSTED_TERM_FRACTION = 0.8
"""Fraction of the term for which a holder trusts its own lease."""

RENEWAL_TERM_FRACTION = 0.25
"""Fraction of the term after which a holder renews its lease."""

EPOCHS_SKIPPED_PER_ERA = 100
"""Epochs skipped when a new era begins; must exceed the number of terms that a
restored copy of the store can lack."""

NO_HOLDER = NodeId('')
"""Holder of a lease that has been released."""

UNKNOWN_HOLDER = NodeId('?')
"""Holder of a lease that another writer has overwritten; the former holder may
still trust it, so candidates wait for a full term."""


class LeaseRecord(msgspec.Struct, frozen=True):
    """Record of a lease in the platform's store."""

    holder: NodeId
    """Entry box that holds the lease."""

    incarnation: Incarnation
    """Incarnation of the holder when it acquired the lease."""

    epoch: VersionNumber
    """Fencing token; increases with each term, even for the same holder."""

    beat: Count = 0
    """Number of renewals in this term."""

    operation: str = ''
    """Id of the write, which identifies it if its answer is lost."""

    era: StoreEra = UNREPORTED_ERA
    """Era of the store in which the record was written."""


class LeaseAction(enum.Enum):
    """Action due for a candidate."""

    WAIT = 'wait'
    """None: another node holds the lease, or no renewal is due."""

    RENEW = 'renew'
    """Renew the lease held by this node."""

    ACQUIRE = 'take'
    """Take over or create the lease."""


class LeaseState:
    """State of a lease as seen by one candidate.

    Parameters
    ----------
    node
        Name of this entry box.
    incarnation
        Incarnation of this entry box.
    term
        Term of the lease, in seconds.
    """

    def __init__(
        self,
        node: NodeId,
        incarnation: Incarnation,
        term: float,
    ) -> None:
        """Start without having read the lease."""
        self.record: LeaseRecord | None = None
        self._node = node
        self._incarnation = incarnation
        self._term = term
        self.is_first_start = False
        """Whether a missing lease is known never to have been held."""
        self._era = UNSEEN_ERA
        self._has_seen_record = False
        self._seen_at = 0.0
        self._highest_used_epoch = 0
        self._held_from = float('-inf')
        self._term_epoch = 0

    @property
    def epoch(self) -> int:
        """Return the epoch of the last record seen; 0 if there is none."""
        return self.record.epoch if self.record else 0

    def record_used_epoch(self, epoch: int) -> None:
        """Require the next term to have a higher epoch than a used one."""
        self._highest_used_epoch = max(self._highest_used_epoch, epoch)

    def observe(
        self,
        record: LeaseRecord | None,
        now: float,
        era: StoreEra | None = None,
    ) -> None:
        """Record the lease as read from the store at ``now``.

        Parameters
        ----------
        record
            Lease record, or ``None`` if there is none.
        now
            Current time, in seconds.
        era
            Era of the store; by default that of the last read.
        """
        era = self._era if era is None else era
        if record == self.record and era == self._era:
            return
        self.record_used_epoch(self.epoch)
        self.record = record
        self._has_seen_record |= record is not None
        self._era = era
        self._seen_at = now

    def observe_unreadable(
        self,
        version: int,
        now: float,
        era: StoreEra | None = None,
    ) -> None:
        """Record that another writer has overwritten the lease.

        Parameters
        ----------
        version
            Version of the overwritten object.
        now
            Current time, in seconds.
        era
            Era of the store; by default that of the last read.
        """
        unknown = LeaseRecord(UNKNOWN_HOLDER, Incarnation(0), 0, version)
        self.observe(unknown, now, era)

    def confirm_write(
        self, record: LeaseRecord, sent_at: float, now: float
    ) -> None:
        """Record that this node's write, sent at ``sent_at``, took effect.

        A renewal confirmed only after the lease has expired does not restore
        the term, since its work may have been stopped in between.
        """
        has_lapsed = record.epoch == self._term_epoch and not self.is_held(now)
        self.observe(record, now)
        if not has_lapsed:
            self._term_epoch = record.epoch
            self._held_from = sent_at

    def abandon_term(self) -> None:
        """Stop trusting the lease, as a later term is known to exist."""
        self._held_from = float('-inf')

    def is_held(self, now: float) -> bool:
        """Return whether this node holds the lease at ``now``."""
        # A restored store may show this node's record of an earlier term.
        is_current_term = self._is_own() and self.epoch == self._term_epoch
        return is_current_term and now < self._held_from + self._trusted_for

    def choose_action(self, now: float) -> LeaseAction:
        """Return the action due at ``now``."""
        if self._is_free():
            return LeaseAction.ACQUIRE
        if self.is_held(now) or self._is_own() and self._is_current_era():
            return self._choose_holder_action(now)
        if now - self._seen_at > self._term:
            return LeaseAction.ACQUIRE
        return LeaseAction.WAIT

    def make_next_record(
        self, action: LeaseAction, operation: str
    ) -> LeaseRecord:
        """Return the record to write for an action."""
        if action is LeaseAction.RENEW and self.record is not None:
            return msgspec.structs.replace(
                self.record,
                beat=self.record.beat + 1,
                operation=operation,
                era=self._era,
            )
        return LeaseRecord(
            self._node,
            self._incarnation,
            self._choose_epoch(),
            operation=operation,
            era=self._era,
        )

    def make_released_record(self, operation: str) -> LeaseRecord:
        """Return the record that releases the lease held by this node."""
        return LeaseRecord(
            NO_HOLDER, self._incarnation, self.epoch, 0, operation, self._era
        )

    def _choose_holder_action(self, now: float) -> LeaseAction:
        """Return the action due for a lease whose record names this run."""
        if not self.is_held(now) or self._highest_used_epoch > self.epoch:
            return LeaseAction.ACQUIRE
        is_due = now >= self._held_from + self._term * RENEWAL_TERM_FRACTION
        if is_due or not self._is_current_era():
            return LeaseAction.RENEW
        return LeaseAction.WAIT

    def _is_free(self) -> bool:
        """Return whether no node can still trust the lease."""
        if self.record is None:
            return not self._has_seen_record and self._is_current_era()
        if not self._is_current_era():
            return False
        return self.record.holder == NO_HOLDER or self._is_held_by_former_run()

    def _is_current_era(self) -> bool:
        """Return whether the record was written in the store's current era.

        A missing record counts as current only on the first start.  A store
        that reports no era is assumed to lose no writes.
        """
        if not is_reported(self._era):
            return True
        if self.record is None:
            return self.is_first_start
        return self.record.era == self._era

    def _choose_epoch(self) -> int:
        """Return an epoch above all that were or may have been used."""
        used = max(self.epoch, self._highest_used_epoch)
        if not is_reported(self._era):
            return used + 1
        # If the copy lacks the lease, only the era separates the terms.
        used = max(used, (self._era - 1) * EPOCHS_SKIPPED_PER_ERA)
        if self.record is not None and not self._is_current_era():
            return used + EPOCHS_SKIPPED_PER_ERA
        return used + 1

    def _is_held_by_former_run(self) -> bool:
        """Return whether an earlier run of this node holds the lease."""
        record = self.record
        return (
            record is not None
            and record.holder == self._node
            and record.incarnation != self._incarnation
        )

    @property
    def _trusted_for(self) -> float:
        return self._term * TRUSTED_TERM_FRACTION

    def _is_own(self) -> bool:
        record = self.record
        return (
            record is not None
            and record.holder == self._node
            and record.incarnation == self._incarnation
        )
