"""Joins that hold only for the state that a box itself told.

A join may be carried out at any time after it was sent, and the list from
which it was planned may be older than other orders.  So a box is asked before
it is joined, and the join carries the number of the state that it told: if the
box has begun any order since, it refuses.

A later life of the box begins to count anew, so that number may come again.  A
join that is carried out there still opens nothing: its group is opened only by
an order that was sent after all members were ready, and it can't undo a later
join, whose epoch is higher.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgspec

from waywell.version.fleet import BoxLife, MemberState, may_be_same_life
from waywell.version.orders import Assignment

if TYPE_CHECKING:
    from collections.abc import Mapping

    from waywell.version.box_report import BoxReport
    from waywell.version.fleet import FleetBox

_AT_WORK = frozenset((MemberState.OPEN, MemberState.CLOSING))
"""States of a head whose group serves."""


@attrs.frozen
class JoinCheck:
    """Joins of one group, checked against what its boxes told."""

    joins: tuple[Assignment, ...] = ()
    """The joins, each for the state that its box told; none where any box does
    not fit, as the others would wait in vain."""

    unfit: tuple[BoxLife, ...] = ()
    """Boxes that told nothing, or stand elsewhere than their entry says."""


def check_joins(
    joins: tuple[Assignment, ...],
    reports: Mapping[BoxLife, BoxReport],
) -> JoinCheck:
    """Return the joins of one group as they may be sent.

    Parameters
    ----------
    joins
        The joins as planned from the list.
    reports
        What the boxes told since; silent ones are missing.
    """
    unfit = tuple(
        join.box.life
        for join in joins
        if not _may_join(join.box, reports.get(join.box.life))
    )
    if unfit:
        return JoinCheck(unfit=unfit)
    return JoinCheck(
        tuple(_number_join(join, reports[join.box.life]) for join in joins),
    )


def _may_join(box: FleetBox, report: BoxReport | None) -> bool:
    """Answer whether a box is free in the state that it told.

    It is where it stands in no group, or in the one that the plan found to
    serve nowhere.  What was planned for one life holds for no later one.
    """
    if report is None:
        return False
    if not may_be_same_life(box.incarnation, report.incarnation):
        return False
    told, listed = report.standing, box.standing
    if told is None:
        return True
    if listed is None or told.state in _AT_WORK:
        return False
    return (told.group, told.epoch) == (listed.group, listed.epoch)


def _number_join(join: Assignment, report: BoxReport) -> Assignment:
    order = msgspec.structs.replace(
        join.order, orders_begun=report.orders_begun
    )
    return msgspec.structs.replace(join, order=order)
