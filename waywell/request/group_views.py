"""Conversions of roster groups to the types that serving a request uses."""

from __future__ import annotations

from typing import TYPE_CHECKING

from waywell.connection.target import Dispatch
from waywell.ids import Incarnation, ServiceName
from waywell.version.fleet import BoxLife, FleetBox, Replica, ReplicaKey

if TYPE_CHECKING:
    from waywell.request.submission import PendingRequest
    from waywell.version.roster import Group, Member


def make_dispatch(work: PendingRequest, group: Group) -> Dispatch:
    """Return the dispatch of a request to a group."""
    return Dispatch(
        member=group.head,
        group=group.group,
        epoch=group.epoch,
        method=work.submission.method,
        path=work.facts.path,
        headers=work.submission.forwarded_headers,
        body=work.submission.body,
        priority=work.account.priority,
        # The target may close an idle connection while the request is being
        # written, which leaves open whether the request ran.
        needs_new_connection=not work.facts.repeatable,
    )


def make_life(group: Group) -> BoxLife:
    """Return the box incarnation that a group was formed with."""
    return BoxLife(group.head.box, Incarnation(group.head.boot))


def make_replica(work: PendingRequest, group: Group) -> Replica:
    """Return a group as a replica for the request guard."""
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
    """Return a group member as a fleet box of the group's service."""
    return FleetBox(
        member.box,
        ServiceName(group.service),
        member.host,
        member.port,
        group.hall,
        incarnation=Incarnation(member.boot),
    )
