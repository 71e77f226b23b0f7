"""Check of planned joins against the state that each box has reported.

A join may be carried out at any time after it was sent, and the box list from
which it was planned may be older than other orders. Each box is therefore
asked before it is joined, and the join carries the number of the reported
state: a box that has begun any order since then refuses the join.

A later life of the box counts its orders from zero, so the same number may
occur again. A join that is carried out there still opens nothing: its group is
opened only by an order that was sent after all members were ready, and the
join can't undo a later one, whose epoch is higher.
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

_SERVING_STATES = frozenset((MemberState.OPEN, MemberState.CLOSING))
"""States of a head whose group serves."""


@attrs.frozen
class JoinCheck:
    """Result of checking the joins of one group."""

    joins: tuple[Assignment, ...] = ()
    """The joins, each bound to the state that its box reported; empty if any
    box is unfit, as the others would wait in vain."""

    unfit: tuple[BoxLife, ...] = ()
    """Boxes that did not answer, or whose state contradicts their entry."""


def check_joins(
    joins: tuple[Assignment, ...],
    reports: Mapping[BoxLife, BoxReport],
) -> JoinCheck:
    """Return the joins of one group as they may be sent.

    Parameters
    ----------
    joins
        The joins as planned from the box list.
    reports
        What the boxes have reported since; boxes that did not answer are
        missing.
    """
    unfit = tuple(
        join.box.life
        for join in joins
        if not _may_join(join.box, reports.get(join.box.life))
    )
    if unfit:
        return JoinCheck(unfit=unfit)
    return JoinCheck(
        tuple(_bind_join(join, reports[join.box.life]) for join in joins),
    )


def _may_join(box: FleetBox, report: BoxReport | None) -> bool:
    """Return whether a box is free in the state that it reported.

    It is free if it is in no group, or in the group that the plan found to
    serve nowhere. A join planned for one life never holds for a later one.
    """
    if report is None:
        return False
    if not may_be_same_life(box.incarnation, report.incarnation):
        return False
    reported, listed = report.standing, box.standing
    if reported is None:
        return True
    if listed is None or reported.state in _SERVING_STATES:
        return False
    return (reported.group, reported.epoch) == (listed.group, listed.epoch)


def _bind_join(join: Assignment, report: BoxReport) -> Assignment:
    order = msgspec.structs.replace(
        join.order, orders_begun=report.orders_begun
    )
    return msgspec.structs.replace(join, order=order)
