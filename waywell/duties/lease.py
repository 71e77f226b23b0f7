"""Leases in the platform: who holds a duty, fenced by an epoch.

No clocks are compared: a contender takes a lease over when it has seen
the same holder and the same beat for longer than the term by its own
clock; a holder counts its lease from before it sent the last renewal
that is known to have taken effect.

A run of a node proves to itself that the node's former run has ended, so it
need not wait for a lease which that run held.  Other nodes wait: where a clock
was set back, the number of a newer run may be the lower one.

Each term of work has an epoch of its own: a holder that has lost trust in its
lease takes it anew with the next epoch, also where nobody took it meanwhile.
What it forgot at the end of one term is so never numbered like that of the
next.

A store that comes back from an older copy may lack the lease of a holder that
still trusts it.  So a contender waits for a whole term after a new era began,
also for a lease that is vacant or its own, unless that was written in the era.
"""

from __future__ import annotations

import enum

import msgspec

from waywell.connection.store_era import (
    UNREPORTED_ERA,
    UNSEEN_ERA,
    StoreEra,
    is_reported,
)
from waywell.ids import Incarnation, NodeId

HOLDER_SHARE = 0.8
"""Part of the term for which a holder trusts its own lease."""

RENEW_SHARE = 0.25
"""Part of the term after which a holder renews."""

LOST_EPOCHS = 100
"""Epochs that each era skips; a copy lacks fewer terms."""

NOBODY = NodeId('')
"""Holder of a lease that was given back."""

UNKNOWN_HOLDER = NodeId('?')
"""Holder of a lease over which another writer has written: whoever held it may
still trust it, so it is waited for as for any other."""


class LeaseRecord(msgspec.Struct, frozen=True):
    """A lease as the platform keeps it."""

    holder: NodeId
    """Entry box that holds the duty."""

    incarnation: Incarnation
    """Incarnation of the holder."""

    epoch: int
    """Fence: rises with each term of work, also of the same holder."""

    beat: int = 0
    """Rises with each renewal."""

    operation: str = ''
    """Id of the write, to recognise it when its answer was lost."""

    era: StoreEra = UNREPORTED_ERA
    """Era of the store in which it was written."""


class LeaseMove(enum.Enum):
    """What a contender should do now."""

    WAIT = 'wait'
    """Nothing: another holds it, or the own lease is fresh."""

    RENEW = 'renew'
    """Renew the own lease."""

    TAKE = 'take'
    """Take it over, or create it."""


class LeaseState:
    """What one contender knows of a lease.

    Parameters
    ----------
    node
        This entry box.
    incarnation
        Its incarnation.
    term
        Term of the lease, in seconds.
    """

    def __init__(
        self,
        node: NodeId,
        incarnation: Incarnation,
        term: float,
    ) -> None:
        """Start without a look at the lease."""
        self.record: LeaseRecord | None = None
        self._node = node
        self._incarnation = incarnation
        self._term = term
        self.is_first_start = False
        """Whether a lease that is not there was never held."""
        self._era = UNSEEN_ERA
        self._has_seen_record = False
        self._seen_at = 0.0
        self._least_epoch = 0
        self._held_from = float('-inf')
        self._term_epoch = 0

    @property
    def epoch(self) -> int:
        """Return the epoch last seen."""
        return self.record.epoch if self.record else 0

    def raise_least(self, epoch: int) -> None:
        """Let the next term have a higher epoch than one that was in use."""
        self._least_epoch = max(self._least_epoch, epoch)

    def observe(
        self,
        record: LeaseRecord | None,
        now: float,
        era: StoreEra | None = None,
    ) -> None:
        """Take in what the platform shows at ``now``.

        Parameters
        ----------
        record
            The lease, or ``None`` where there is none.
        now
            The present time, in seconds.
        era
            Era of the store; that of the last look by default.
        """
        era = self._era if era is None else era
        if record == self.record and era == self._era:
            return
        self.raise_least(self.epoch)
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
        """Take in that another writer has written over the lease.

        Parameters
        ----------
        version
            Version of what is there.
        now
            The present time, in seconds.
        era
            Era of the store; that of the last look by default.
        """
        unknown = LeaseRecord(UNKNOWN_HOLDER, Incarnation(0), 0, version)
        self.observe(unknown, now, era)

    def confirm(self, record: LeaseRecord, sent_at: float, now: float) -> None:
        """Take in that an own write, sent at ``sent_at``, took effect.

        A renewal that is known only after the trust has lapsed does not bring
        the term back: its work may have been given up meanwhile.
        """
        has_lapsed = record.epoch == self._term_epoch and not self.is_held(now)
        self.observe(record, now)
        if not has_lapsed:
            self._term_epoch = record.epoch
            self._held_from = sent_at

    def distrust(self) -> None:
        """Give the present term up, as a later one is known of."""
        self._held_from = float('-inf')

    def is_held(self, now: float) -> bool:
        """Answer whether this node holds the lease at ``now``."""
        # A copy may show a record of an earlier term of this holder.
        is_present_term = self._is_mine() and self.epoch == self._term_epoch
        return is_present_term and now < self._held_from + self._trusted

    def choose_move(self, now: float) -> LeaseMove:
        """Return what to do at ``now``."""
        if self._is_free():
            return LeaseMove.TAKE
        if self.is_held(now) or self._is_mine() and self._is_of_this_era():
            return self._choose_own_move(now)
        if now - self._seen_at > self._term:
            return LeaseMove.TAKE
        return LeaseMove.WAIT

    def make_next(self, move: LeaseMove, operation: str) -> LeaseRecord:
        """Return the record to write for a move."""
        if move is LeaseMove.RENEW and self.record is not None:
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

    def make_vacant(self, operation: str) -> LeaseRecord:
        """Return the record that gives the own lease back."""
        return LeaseRecord(
            NOBODY, self._incarnation, self.epoch, 0, operation, self._era
        )

    def _choose_own_move(self, now: float) -> LeaseMove:
        """Return what to do about an own record."""
        if not self.is_held(now) or self._least_epoch > self.epoch:
            return LeaseMove.TAKE
        is_due = now >= self._held_from + self._term * RENEW_SHARE
        if is_due or not self._is_of_this_era():
            return LeaseMove.RENEW
        return LeaseMove.WAIT

    def _is_free(self) -> bool:
        """Return whether nobody can trust the lease."""
        if self.record is None:
            return not self._has_seen_record and self._is_of_this_era()
        if not self._is_of_this_era():
            return False
        return self.record.holder == NOBODY or self._is_of_former_run()

    def _is_of_this_era(self) -> bool:
        """Return whether the store has kept all since the record's writing.

        A store that tells no era is taken to lose nothing.
        """
        if not is_reported(self._era):
            return True
        if self.record is None:
            return self.is_first_start
        return self.record.era == self._era

    def _choose_epoch(self) -> int:
        """Return an epoch above those that were or may have been in use."""
        used = max(self.epoch, self._least_epoch)
        if not is_reported(self._era):
            return used + 1
        # Where the copy lacks any lease, the era alone tells the terms apart.
        used = max(used, (self._era - 1) * LOST_EPOCHS)
        if self.record is not None and not self._is_of_this_era():
            return used + LOST_EPOCHS
        return used + 1

    def _is_of_former_run(self) -> bool:
        """Answer whether an earlier run of this node holds the lease."""
        record = self.record
        return (
            record is not None
            and record.holder == self._node
            and record.incarnation != self._incarnation
        )

    @property
    def _trusted(self) -> float:
        return self._term * HOLDER_SHARE

    def _is_mine(self) -> bool:
        record = self.record
        return (
            record is not None
            and record.holder == self._node
            and record.incarnation == self._incarnation
        )
