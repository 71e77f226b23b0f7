"""Builders of boxes, groups and box lists."""

from __future__ import annotations

import msgspec

from waywell.ids import (
    BoxId,
    DomainName,
    Epoch,
    GroupId,
    HallName,
    Incarnation,
    ModelName,
    ServiceName,
)
from waywell.version.fleet import (
    BoxLife,
    Fleet,
    FleetBox,
    MemberState,
    Standing,
)


def make_life(name: str, incarnation: int = 0) -> BoxLife:
    """Return a life of a box, by default one without an incarnation."""
    return BoxLife(BoxId(name), Incarnation(incarnation))


def make_box(
    name: str,
    domain: str = 'd0',
    staged: tuple[str, ...] = (),
    service: str = 'llm',
) -> FleetBox:
    """Return a box that is in no group."""
    return FleetBox(
        BoxId(name),
        ServiceName(service),
        '10.0.0.1',
        8000,
        HallName('port'),
        DomainName(domain),
        staged=tuple(ModelName(model) for model in staged),
    )


def make_group(
    group: str,
    *names: str,
    head_state: MemberState = MemberState.OPEN,
    member_state: MemberState = MemberState.READY,
    leaving: str = '',
    domain: str = 'd0',
) -> list[FleetBox]:
    """Return the boxes of a group, the head first.

    Parameters
    ----------
    group
        Name of the group, which contains its model and epoch.
    *names
        Names of the boxes.
    head_state
        State that the head reports.
    member_state
        State that the other boxes report.
    leaving
        Name of the box that is leaving, if any.
    domain
        Fabric domain of the boxes.
    """
    epoch = Epoch(int(group.rpartition('.')[2]))
    model = group.rpartition('.')[0]
    boxes = []
    for rank, name in enumerate(names):
        state = member_state if rank else head_state
        standing = Standing(GroupId(group), epoch, rank, state)
        box = make_box(name, domain, staged=(model,))
        boxes.append(
            msgspec.structs.replace(
                box, standing=standing, leaving=name == leaving
            ),
        )
    return boxes


def make_fleet(*boxes: FleetBox) -> Fleet:
    """Return a snapshot of the box list."""
    return Fleet({box.box: box for box in boxes})
