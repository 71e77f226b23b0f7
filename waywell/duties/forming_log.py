"""Log lines of the forming duty: group counts, load backoffs and orders."""

from __future__ import annotations

from typing import TYPE_CHECKING

from waywell.telemetry.events import log_event, log_warning
from waywell.version.orders import Join, OrderResult, Stage

if TYPE_CHECKING:
    from collections.abc import Iterable

    from waywell.ids import ServiceName
    from waywell.version.forming import FormingSummary, FormingView
    from waywell.version.load_failures import LoadBackoff
    from waywell.version.orders import Assignment


def log_group_counts(summary: FormingSummary, view: FormingView) -> None:
    """Log the boxes, groups by state, idle boxes and demand of a service."""
    log_event(
        'groups',
        service=view.service,
        boxes=len(view.fleet.boxes),
        **summary.groups,
        idle=','.join(
            f'{domain}:{count}'
            for domain, count in sorted(summary.idle.items())
        ),
        demand=','.join(
            f'{model}:{places:.0f}'
            for model, places in sorted(view.demand.items())
        ),
    )


def log_load_backoffs(
    service: ServiceName,
    backoffs: Iterable[LoadBackoff],
) -> None:
    """Log the models whose loads are suspended after crashes."""
    for backoff in backoffs:
        log_warning(
            'model_loads_limited',
            service=service,
            model=backoff.model,
            kind=backoff.kind.value,
            crashes=backoff.crashes,
            backoff_s=backoff.seconds,
        )


def log_order(assignment: Assignment, result: OrderResult) -> None:
    """Log an order and its result.

    ``shown`` is the box's group and state as listed when the plan was made.
    ``begun`` is the order count of the box for which a join is valid.
    """
    log = log_event if result is OrderResult.ACCEPTED else log_warning
    order, standing = assignment.order, assignment.box.standing
    shown = f'{standing.group}.{standing.state.value}' if standing else 'none'
    log(
        'order',
        order=type(order).__name__.lower(),
        box=assignment.box.box,
        group=order.model if isinstance(order, Stage) else order.group,
        why=assignment.reason.value,
        shown=shown,
        begun=order.orders_begun if isinstance(order, Join) else '',
        result=result.value,
    )
