"""A group of the roster, as what serves a request looks at it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from waywell.connection.target import Dispatch
from waywell.ids import Incarnation, ServiceName
from waywell.version.fleet import BoxLife, FleetBox, Replica, ReplicaKey

if TYPE_CHECKING:
    from waywell.request.submission import Work
    from waywell.version.roster import Group, Member


def make_dispatch(work: Work, group: Group) -> Dispatch:
    """Return a request on its way to a group."""
    return Dispatch(
        member=group.head,
        group=group.group,
        epoch=group.epoch,
        method=work.submission.method,
        path=work.facts.path,
        headers=work.submission.passed,
        body=work.submission.body,
        priority=work.account.priority,
        # A kept connection may be closed by the target in the moment of
        # the write, which leaves the outcome open.
        needs_new_connection=not work.facts.repeatable,
    )


def make_life(group: Group) -> BoxLife:
    """Return the life of the box that a group was formed with."""
    return BoxLife(group.head.box, Incarnation(group.head.boot))


def make_replica(work: Work, group: Group) -> Replica:
    """Return a group as the guard knows replicas."""
    head = group.head
    box = FleetBox(
        head.box,
        ServiceName(work.service.name),
        head.host,
        head.port,
        group.hall,
    )
    key = ReplicaKey(head.box, group.epoch, make_life(group).incarnation)
    return Replica(key, box, group=group.group)


def make_fleet_box(group: Group, member: Member) -> FleetBox:
    """Return a member of a group as a box of the group's service."""
    return FleetBox(
        member.box,
        ServiceName(group.service),
        member.host,
        member.port,
        group.hall,
        incarnation=Incarnation(member.boot),
    )
