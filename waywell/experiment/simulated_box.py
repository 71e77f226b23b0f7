"""A simulated target box and its membership in a group."""

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
"""The only service of the simulation."""

HOST = '127.0.0.1'
"""Address in box entries; the simulation opens no connections."""


@attrs.frozen
class Membership:
    """Membership of a box in a group."""

    join: Join
    """Order by which the box joined."""

    rank: int
    """Index in the group's list of members."""

    state: MemberState = MemberState.JOINING
    """State that the box publishes."""

    @property
    def standing(self) -> Standing:
        """Return the standing in the box's entries and reports."""
        join = self.join
        return Standing(join.group, join.epoch, self.rank, self.state)


@attrs.define(eq=False)
class SimulatedBox:
    """State of a target box."""

    name: BoxId
    """Id, which is kept across restarts."""

    hall: HallName
    """Data hall that holds the box."""

    domain: DomainName
    """Fabric domain that the box belongs to."""

    places: int
    """Maximum number of requests that a group runs at once."""

    incarnation: Incarnation = Incarnation(1)
    """Number of the current life; restarts increment it."""

    is_alive: bool = True
    """Whether it executes orders and publishes entries."""

    lost_at: float = 0.0
    """Time of its last loss, in seconds of the timeline."""

    pace: float = NORMAL_PACE
    """Factor by which all its work takes longer."""

    orders_begun: int = 0
    """Number of orders begun in this life."""

    highest_epoch: int = 0
    """Highest epoch of a join in this life."""

    loaded: ModelName | None = None
    """Model whose weights are in the accelerators."""

    staged: tuple[ModelName, ...] = ()
    """Models whose weights are in host memory."""

    is_staging: bool = False
    """Whether it is loading a model to host memory."""

    membership: Membership | None = None
    """Membership in a group; ``None`` if it is in no group."""

    entry_number: int = 0
    """Number of the current entry in this life."""

    _entry: FleetBox | None = None

    def invalidate_entry(self) -> None:
        """Discard the cached entry and number the next one."""
        self._entry = None
        self.entry_number += 1

    def set_member_state(self, state: MemberState) -> None:
        """Set the published state of its membership, if it has one."""
        if self.membership is not None:
            self.membership = attrs.evolve(self.membership, state=state)
            self.invalidate_entry()

    def leave_group(self) -> None:
        """End the membership."""
        self.membership = None
        self.invalidate_entry()

    def restart(self) -> None:
        """Start another life, which keeps only the weights in host memory."""
        self.incarnation = Incarnation(self.incarnation + 1)
        self.is_alive = True
        self.orders_begun = 0
        self.highest_epoch = 0
        self.loaded = None
        self.is_staging = False
        self.entry_number = 0
        self.leave_group()

    def make_entry(self) -> FleetBox:
        """Return the entry for the box list, cached until the box changes."""
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
        """Return the answer to a probe."""
        return BoxReport(
            self.pace,
            self.orders_begun,
            self.membership.standing if self.membership else None,
            self.incarnation,
        )
