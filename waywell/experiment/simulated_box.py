"""A target box of the model and its place in a group."""

from __future__ import annotations

import attrs

from waywell.ids import (
    BoxId,
    DomainName,
    HallName,
    Incarnation,
    ModelName,
    ServiceName,
)
from waywell.version.box_report import NORMAL_PACE, BoxReport
from waywell.version.fleet import FleetBox, MemberState, Standing
from waywell.version.orders import Join

SERVICE = ServiceName('model')
"""The one service of the model."""

HOST = '127.0.0.1'
"""Address in box entries; nothing connects to it."""


@attrs.frozen
class Membership:
    """A box's place in a group."""

    join: Join
    """The order that put it there."""

    rank: int
    """Place in the list of members."""

    state: MemberState = MemberState.JOINING
    """What the box says of it."""

    @property
    def standing(self) -> Standing:
        """Return what entries and reports tell of it."""
        join = self.join
        return Standing(join.group, join.epoch, self.rank, self.state)


@attrs.define(eq=False)
class SimulatedBox:
    """A target box."""

    name: BoxId
    """Name."""

    hall: HallName
    """Data hall."""

    domain: DomainName
    """Fabric domain."""

    places: int
    """Requests that a group runs at once."""

    incarnation: Incarnation = Incarnation(1)
    """Which of its lives this is."""

    is_alive: bool = True
    """Whether it does anything."""

    lost_at: float = 0.0
    """When it was lost last, in seconds."""

    pace: float = NORMAL_PACE
    """Factor on all its times."""

    orders_begun: int = 0
    """Orders that it has begun in this life."""

    highest_epoch: int = 0
    """Highest epoch that it has seen in this life."""

    loaded: ModelName | None = None
    """Model in its accelerators."""

    staged: tuple[ModelName, ...] = ()
    """Models on its host."""

    is_staging: bool = False
    """Whether it loads a model to its host."""

    membership: Membership | None = None
    """Its place in a group."""

    entry_number: int = 0
    """Number of its entry."""

    _entry: FleetBox | None = None

    def invalidate_entry(self) -> None:
        """Write another entry."""
        self._entry = None
        self.entry_number += 1

    def set_member_state(self, state: MemberState) -> None:
        """Change what it says of its place."""
        if self.membership is not None:
            self.membership = attrs.evolve(self.membership, state=state)
            self.invalidate_entry()

    def leave_group(self) -> None:
        """Stand in no group."""
        self.membership = None
        self.invalidate_entry()

    def restart(self) -> None:
        """Begin another life; only the host keeps what it had."""
        self.incarnation = Incarnation(self.incarnation + 1)
        self.is_alive = True
        self.orders_begun = 0
        self.highest_epoch = 0
        self.loaded = None
        self.is_staging = False
        self.entry_number = 0
        self.leave_group()

    def make_entry(self) -> FleetBox:
        """Return its entry in the box list; the same one until it changes."""
        if self._entry is None:
            self._entry = FleetBox(
                self.name,
                SERVICE,
                HOST,
                0,
                self.hall,
                self.domain,
                self.places,
                staged=self.staged,
                standing=self.membership.standing if self.membership else None,
                incarnation=self.incarnation,
                entry_number=self.entry_number,
            )
        return self._entry

    def make_report(self) -> BoxReport:
        """Return what it tells when it is asked."""
        return BoxReport(
            self.pace,
            self.orders_begun,
            self.membership.standing if self.membership else None,
            self.incarnation,
        )
