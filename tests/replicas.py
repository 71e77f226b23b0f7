"""Simulated model replicas that carry out orders as the platform specifies.

A replica may restart under its id: it is then in no group, has begun no orders
and refuses no epoch, while the head of its former group continues until it
breaks by itself.

Replicas are not connected to a network. They use the terms of the protocol, so
that the effect of an order depends only on what is sent.
"""

from __future__ import annotations

import json
from collections import defaultdict
from http import HTTPStatus
from typing import Any

import attrs

from tests.manual_clock import ManualClock

DOMAIN = 'd0'
"""Fabric domain of replicas without another one."""

STALL_SECONDS = 6.0
"""Seconds for which a head that has lost a member continues."""


@attrs.frozen
class Membership:
    """Current place of a replica in a group."""

    group: str
    epoch: int
    members: tuple[str, ...]
    rank: int
    state: str

    def encode(self) -> dict[str, Any]:
        """Return the group part of reports and entries."""
        return {
            'name': self.group,
            'epoch': self.epoch,
            'rank': self.rank,
            'state': self.state,
        }


@attrs.define(eq=False)
class SimReplica:
    """A replica in its current life.

    Parameters
    ----------
    name
        Id of the replica.
    sim_fleet
        All replicas, which share the rules for groups.
    """

    name: str
    sim_fleet: SimFleet
    domain: str = DOMAIN
    is_alive: bool = True
    is_listed: bool = True
    is_reachable: bool = True
    born: int = 1
    orders_begun: int = 0
    highest_epoch: int = 0
    staged: tuple[str, ...] = ()
    membership: Membership | None = None
    reports: list[dict[str, Any]] = attrs.Factory(list)
    """All reports, the oldest first; the last one describes the current
    state."""

    def __attrs_post_init__(self) -> None:
        """Record the first report."""
        self.record_report()

    def apply_order(self, order: dict[str, Any]) -> int:
        """Carry out an order; return the status of the answer."""
        expected = order.get('expect_rev')
        if expected is not None and expected != self.orders_begun:
            return HTTPStatus.CONFLICT
        operation = order['operation']
        if operation == 'stage':
            return self._apply_stage(order)
        if operation == 'join':
            return self._apply_join(order)
        own = self.membership
        if own is None or (own.group, own.epoch) != _get_group_key(order):
            return HTTPStatus.CONFLICT
        if operation == 'leave':
            self.membership = None
            self.sim_fleet.record_left(self.name, own.group)
        elif operation == 'open':
            return self._apply_open(own)
        else:
            self.set_state('ready')
        return self._record_begun_order()

    def restart(self) -> None:
        """Restart under the same id; only the host's weights remain."""
        if self.membership is not None:
            self.sim_fleet.record_loss(self.membership.group)
        self.is_alive = True
        self.born += 1
        self.orders_begun = 0
        self.highest_epoch = 0
        self.membership = None
        self.reports = []
        self.record_report()

    def set_state(self, state: str) -> None:
        """Change the state of the replica in its group."""
        assert self.membership is not None
        self.membership = attrs.evolve(self.membership, state=state)
        if state == 'ready':
            self.sim_fleet.record_ready(self)
        self.record_report()

    def finish_load(self) -> None:
        """Become ready if joining a group."""
        if self.membership is not None and self.membership.state == 'joining':
            self.set_state('ready')

    def is_member_of(self, other: Membership) -> bool:
        """Return whether the replica is alive and in the same group."""
        own = self.membership
        if not self.is_alive or own is None:
            return False
        return (own.group, own.epoch) == (other.group, other.epoch)

    def record_report(self) -> None:
        """Record a report of the current state."""
        own = self.membership
        self.reports.append(
            {
                'born': self.born,
                'seq_no': self.orders_begun,
                'group': None if own is None else own.encode(),
                'pace': 1.0,
            },
        )

    def encode_report(self, changes_behind: int = 0) -> bytes:
        """Return a report, outdated by the given number of changes."""
        latest = len(self.reports) - 1
        return json.dumps(
            self.reports[max(0, latest - changes_behind)]
        ).encode()

    def make_entry(self) -> dict[str, Any]:
        """Return the current entry of the replica in the box list."""
        own = self.membership
        return {
            'service': 'llm',
            'address': '10.0.0.1:8000',
            'zone': 'port',
            'version': 'v1',
            'slots': 9,
            'state': 'ready',
            'cold_left_ms': 0,
            'seq_no': len(self.reports),
            'born': self.born,
            'domain': self.domain,
            'staged': list(self.staged),
            'group': None if own is None else own.encode(),
        }

    def _record_begun_order(self) -> int:
        self.orders_begun += 1
        self.record_report()
        return HTTPStatus.ACCEPTED

    def _apply_stage(self, order: dict[str, Any]) -> int:
        self.staged = (order['model'],)
        return self._record_begun_order()

    def _apply_join(self, order: dict[str, Any]) -> int:
        own = self.membership
        members = tuple(order['members'])
        if order['epoch'] < self.highest_epoch:
            return HTTPStatus.PRECONDITION_FAILED
        if own is not None and (own.group, own.epoch) == _get_group_key(order):
            same = own.members == members
            return HTTPStatus.OK if same else HTTPStatus.PRECONDITION_FAILED
        self.sim_fleet.check_join(self, order)
        self.highest_epoch = order['epoch']
        self.staged = (order['model'],)
        if own is not None:
            self.sim_fleet.record_left(self.name, own.group)
        rank = members.index(self.name)
        group, epoch = _get_group_key(order)
        self.membership = Membership(group, epoch, members, rank, 'joining')
        return self._record_begun_order()

    def _apply_open(self, own: Membership) -> int:
        if own.state != 'ready':
            return HTTPStatus.CONFLICT
        self.sim_fleet.check_open(own)
        self.set_state('open')
        return self._record_begun_order()


@attrs.define(eq=False)
class SimFleet:
    """All replicas, with the rules that their groups must keep."""

    replicas: dict[str, SimReplica] = attrs.Factory(dict)
    was_ready: set[tuple[str, str, int]] = attrs.Factory(set)
    violations: list[str] = attrs.Factory(list)
    """Descriptions of the rules that were violated."""

    clock: ManualClock = attrs.Factory(ManualClock)
    """Source of the current time."""

    left: dict[str, set[str]] = attrs.Factory(lambda: defaultdict(set))
    """Replicas that left a group, by group."""

    lost_at: dict[str, float] = attrs.Factory(dict)
    """When a group first lost a member by a restart, in seconds."""

    def add(self, name: str, staged: tuple[str, ...] = ()) -> SimReplica:
        """Start a replica under a new id."""
        self.replicas[name] = SimReplica(name, self, staged=staged)
        return self.replicas[name]

    def record_ready(self, replica: SimReplica) -> None:
        """Record that a member was ready in its group."""
        own = replica.membership
        assert own is not None
        self.was_ready.add((replica.name, own.group, own.epoch))

    def check_join(self, joining: SimReplica, order: dict[str, Any]) -> None:
        """Record a violation if a replica joins while its group serves."""
        for head in self.replicas.values():
            other = head.membership
            if not head.is_alive or other is None or other.rank:
                continue
            if other.group == order['group'] or other.state != 'open':
                continue
            if self._has_member(other, joining):
                own = other
                self.violations.append(
                    f'{joining.name} joins {order["group"]} while'
                    f' {own.group} is open',
                )

    def record_left(self, name: str, group: str) -> None:
        """Record that a replica has left a group by order."""
        self.left[group].add(name)

    def record_loss(self, group: str) -> None:
        """Record when a group lost its first member by a restart."""
        self.lost_at.setdefault(group, self.clock.now)

    def _has_member(self, open_group: Membership, joining: SimReplica) -> bool:
        """Return whether an open group still has a replica as its member."""
        own = joining.membership
        if own is not None and own.group == open_group.group:
            return True
        is_member = joining.name in open_group.members
        lost_at = self.lost_at.get(open_group.group)
        if not is_member or joining.name in self.left[open_group.group]:
            return False
        if lost_at is None:
            return True
        return self.clock.now - lost_at < STALL_SECONDS

    def check_open(self, own: Membership) -> None:
        """Record a violation if a group opens before members were ready."""
        for member in own.members:
            if (member, own.group, own.epoch) not in self.was_ready:
                self.violations.append(f'{own.group} opens before {member}')


def _get_group_key(order: dict[str, Any]) -> tuple[str, int]:
    return order['group'], order['epoch']
