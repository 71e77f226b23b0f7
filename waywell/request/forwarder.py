"""Resolution of a request to its route, account and service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from waywell.codes import Code, Refusal
from waywell.request.fingerprint import make_fingerprint
from waywell.request.request_context import (
    AnswerWriter,
    ForwarderDependencies,
    RequestContext,
)
from waywell.request.request_execution import RequestExecution
from waywell.request.retry_after import RefusalReason, compute_retry_after
from waywell.request.traits import RequestTraits
from waywell.telemetry.events import log_event

if TYPE_CHECKING:
    from waywell.request.decoded_request import DecodedRequest
    from waywell.request.drain_window import DrainWindow
    from waywell.version.routes import KeyHolder, Route


class Forwarder:
    """Serves requests according to the routes and boxes in force.

    Parameters
    ----------
    dependencies
        Collaborators of the forwarder.
    """

    def __init__(self, dependencies: ForwarderDependencies) -> None:
        """Subscribe to ended replicas, to fail the attempts at them."""
        self._dependencies = dependencies
        self._drain_window: DrainWindow | None = None
        self._executions: set[RequestExecution] = set()
        dependencies.cluster.add_end_listener(dependencies.running.fail_ended)

    def start_draining(self, window: DrainWindow) -> None:
        """Refuse new requests that may not end within the window.

        Another node can serve them, while this one would have to cut them.
        """
        self._drain_window = window

    async def serve(
        self, request: DecodedRequest, answer: AnswerWriter
    ) -> None:
        """Serve a request until its answer has ended.

        Raises
        ------
        Refusal
            If no part of an answer was sent to the caller.
        """
        context = self._resolve(request)
        self._dependencies.guard.check(context.traits, context.arrived_at)
        self._check_node_end(context)
        if request.forwarded is None:
            # A forwarded request counts at the node that received it first.
            self._dependencies.budget.record_request(
                context.service, context.arrived_at
            )
        execution = RequestExecution(self._dependencies, context, answer)
        self._executions.add(execution)
        try:
            await execution.run()
        finally:
            self._executions.discard(execution)

    def end_requests(self, now: float) -> None:
        """Answer the requests whose answers were not begun; log all others.

        The end of the node cuts the answers that were begun.
        """
        for execution in tuple(self._executions):
            execution.end_with_node(now)

    def _check_node_end(self, context: RequestContext) -> None:
        """Refuse a request that would still run when this node stops."""
        window = self._drain_window
        if window is None:
            return
        now = context.arrived_at
        end = self._dependencies.answer_times.estimate_end(context, now)
        is_accepted = window.may_accept(context, end)
        log_event(
            'leaving_admission',
            request=context.request.attempt_id,
            route=context.route.name,
            tokens=context.request.answer_tokens,
            estimate=round(end.ends_at - now, 3),
            basis=end.basis.value,
            deadline=round(context.deadline_at - now, 3),
            left=round(window.ends_at - now, 3),
            estimates_left=round(window.estimates_until - now, 3),
            forwarded=context.request.forwarded is not None,
            accepted=is_accepted,
        )
        if not is_accepted:
            raise Refusal(Code.NODE_LEAVING, retry_after=0)

    def _resolve(self, request: DecodedRequest) -> RequestContext:
        """Resolve the route, client account and service of a request."""
        now = self._dependencies.clock.read()
        cluster = self._dependencies.cluster
        cluster.check_routes(now)
        route = cluster.index.find_route(request.host, request.path)
        if route is None:
            raise Refusal(Code.NO_ROUTE)
        holder = self._find_holder(request, route, now)
        name = route.pick_service(self._dependencies.draw())
        service = None if name is None else cluster.index.find_service(name)
        if service is None:
            raise Refusal(
                Code.NO_WHOLE_GROUP,
                retry_after=compute_retry_after(
                    RefusalReason.NO_GROUP,
                    route.timeout,
                    self._dependencies.draw(),
                ),
            )
        seconds = route.timeout
        if request.timeout_seconds is not None:
            seconds = min(seconds, request.timeout_seconds)
        return RequestContext(
            request,
            route,
            service.name,
            holder,
            arrived_at=now,
            deadline_at=now + seconds,
            traits=RequestTraits(
                make_fingerprint(
                    request.method,
                    request.target,
                    request.body,
                    None if holder is None else holder.account,
                ),
                request.prompt_parts,
            ),
            engine=service.engine,
            last_event=request.resume_after,
            max_sends=_count_sends(request, route),
        )

    def _find_holder(
        self,
        request: DecodedRequest,
        route: Route,
        now: float,
    ) -> KeyHolder | None:
        cluster = self._dependencies.cluster
        if route.public or not cluster.index.table.has_accounts:
            return None
        cluster.check_keys(now)
        holder = cluster.index.find_holder(request.api_key)
        if holder is None:
            raise Refusal(Code.UNKNOWN_KEY)
        return holder


def _count_sends(request: DecodedRequest, route: Route) -> int:
    """Return the maximum number of replicas to send a request to."""
    if request.forwarded is None:
        return route.most_targets
    return min(route.most_targets, request.forwarded.sends)
