"""The way of one request on the platform: route, account, service."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from waywell.codes import Code, Refusal
from waywell.request.fingerprint import make_fingerprint
from waywell.request.request_context import (
    CallerAnswer,
    ForwarderParts,
    RequestContext,
)
from waywell.request.request_execution import RequestExecution
from waywell.request.retry_after import RefusalReason, compute_retry_after
from waywell.request.traits import RequestTraits

if TYPE_CHECKING:
    from waywell.request.ask import Ask
    from waywell.version.routes import KeyHolder, Route


class Forwarder:
    """Serves requests by what is in force.

    Parameters
    ----------
    parts
        What it works with.
    """

    def __init__(self, parts: ForwarderParts) -> None:
        """Keep the parts."""
        self._parts = parts
        self._node_ends_at = math.inf
        parts.outlook.listen_for_ends(parts.running.break_off)

    def leave(self, ends_at: float) -> None:
        """Take nothing more that can't be expected to end by a moment.

        Callers do better elsewhere: of the streams that came within the last
        seconds of a planned stop, 2 to 4 were cut by the end of the process in
        each of four played days.
        """
        self._node_ends_at = ends_at

    async def serve(self, ask: Ask, answer: CallerAnswer) -> None:
        """Serve a request to its end.

        Raises
        ------
        Refusal
            When no answer was begun.
        """
        context = self._identify(ask)
        self._parts.guard.check(context.traits, context.arrived_at)
        self._check_end(context)
        if ask.forwarded is None:
            # A forwarded request counts at the node that its caller asked.
            self._parts.budget.record_request(
                context.service, context.arrived_at
            )
        await RequestExecution(self._parts, context, answer).run()

    def _check_end(self, context: RequestContext) -> None:
        """Refuse what would be cut by the end of this node."""
        if math.isinf(self._node_ends_at):
            return
        times = self._parts.answer_times
        if (
            times.estimate_end(context, context.arrived_at)
            > self._node_ends_at
        ):
            raise Refusal(Code.NODE_LEAVING, retry_after=0)

    def _identify(self, ask: Ask) -> RequestContext:
        """Find route, account and service."""
        now = self._parts.clock.read()
        outlook = self._parts.outlook
        outlook.check_routes(now)
        route = outlook.index.find_route(ask.host, ask.path)
        if route is None:
            raise Refusal(Code.NO_ROUTE)
        holder = self._find_holder(ask, route, now)
        name = route.pick_service(self._parts.draw())
        service = None if name is None else outlook.index.find_service(name)
        if service is None:
            raise Refusal(
                Code.NO_WHOLE_GROUP,
                retry_after=compute_retry_after(
                    RefusalReason.NO_GROUP, route.timeout, self._parts.draw()
                ),
            )
        seconds = route.timeout
        if ask.seconds is not None:
            seconds = min(seconds, ask.seconds)
        return RequestContext(
            ask,
            route,
            service.name,
            holder,
            arrived_at=now,
            ends_at=now + seconds,
            traits=RequestTraits(
                make_fingerprint(
                    ask.method,
                    ask.target,
                    ask.body,
                    None if holder is None else holder.account,
                ),
                ask.prompt_parts,
            ),
            engine=service.engine,
            last_event=ask.resume_after,
            most_sends=_count_sends(ask, route),
        )

    def _find_holder(
        self,
        ask: Ask,
        route: Route,
        now: float,
    ) -> KeyHolder | None:
        outlook = self._parts.outlook
        if route.public or not outlook.index.table.has_accounts:
            return None
        outlook.check_keys(now)
        holder = outlook.index.find_holder(ask.key)
        if holder is None:
            raise Refusal(Code.UNKNOWN_KEY)
        return holder


def _count_sends(ask: Ask, route: Route) -> int:
    """Return how many replicas this node may send a request to."""
    if ask.forwarded is None:
        return route.most_targets
    return min(route.most_targets, ask.forwarded.sends)
