"""Dispatch of requests: checks, admission, claim, choice and attempts."""

from __future__ import annotations

import asyncio
import contextlib
from functools import partial
from http import HTTPStatus
from random import Random
from types import MappingProxyType
from typing import TYPE_CHECKING, TypeVar

import attrs
from returns.result import Failure, Result

from waywell.codes import Code, Ran, Refusal
from waywell.connection.target import DispatchFault, Target
from waywell.health.health import HealthTable
from waywell.ids import ServiceName
from waywell.process.clock import Clock
from waywell.process.documents import InForce
from waywell.request.admission import Admission, Drain
from waywell.request.backpressure import Backpressure
from waywell.request.claim import ClaimKey, ClaimState
from waywell.request.decoded_request import AnswerMetadata
from waywell.request.facts import read_facts
from waywell.request.fingerprint import make_fingerprint
from waywell.request.group_views import (
    make_dispatch,
    make_fleet_box,
    make_life,
    make_replica,
)
from waywell.request.guard import RequestGuard
from waywell.request.paths import DirectPaths, ReplicaPaths
from waywell.request.permit_source import Permit, PermitSource
from waywell.request.request_claims import (
    NO_GROUP_RETRY_SECONDS,
    RequestClaims,
)
from waywell.request.resend_rule import SendVerdict, check_send
from waywell.request.retry import ATTEMPT_LIMIT, RetryBudget
from waywell.request.retry_after import compute_retry_after
from waywell.request.retry_policy import RetryPolicy
from waywell.request.routing import (
    Choice,
    choose_for_session,
    choose_less_loaded,
)
from waywell.request.service_loads import ServiceLoadCache
from waywell.request.submission import (
    CallerConnection,
    PendingRequest,
    Submission,
)
from waywell.request.traits import RequestTraits
from waywell.request.unroutable import explain_unroutable
from waywell.telemetry.history import History
from waywell.telemetry.metrics import Metrics
from waywell.telemetry.resend_decisions import ResendDecisions
from waywell.version.roster import Group, GroupState
from waywell.version.serving import RequestShape

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from waywell.connection.target import TargetAnswer
    from waywell.request.facts import RequestFacts

Inner = TypeVar('Inner')
"""Value of a successful result."""

_CODE_BY_FAULT = MappingProxyType(
    {
        DispatchFault.NOT_SENT: Code.TARGET_UNREACHABLE,
        DispatchFault.TOO_LATE: Code.DEADLINE_PASSED,
        DispatchFault.BROKEN: Code.TARGET_FAILED,
        DispatchFault.MALFORMED: Code.TARGET_FAILED,
        DispatchFault.TIMED_OUT: Code.DEADLINE_PASSED,
        DispatchFault.GROUP_CHANGED: Code.NO_WHOLE_GROUP,
        DispatchFault.FENCED: Code.FENCE_REFUSED,
        DispatchFault.RESTING: Code.REPLICAS_REST,
        DispatchFault.NO_PERMIT: Code.REPLICAS_LIMITED,
    },
)

MAX_NAMED_PEERS = 8
"""Maximum number of entry boxes that a refusal names to the caller."""

_BACKPRESSURE_FAULTS = frozenset(
    (DispatchFault.RESTING, DispatchFault.NO_PERMIT)
)
"""Faults of groups that do not accept the request for now."""

_HARMLESS_FAULTS = _BACKPRESSURE_FAULTS | {
    DispatchFault.TOO_LATE,
    DispatchFault.GROUP_CHANGED,
}
"""Faults that do not count against the health of a group."""

_UNSENT_FAULTS = _HARMLESS_FAULTS | {DispatchFault.NOT_SENT}
"""Faults after which no target can have received the request."""

_FINAL_FAULTS = frozenset((DispatchFault.TOO_LATE, DispatchFault.TIMED_OUT))
"""Faults after which no time is left for another attempt."""


@attrs.frozen
class NodeFacts:
    """Present state of the node that the dispatcher depends on."""

    live_nodes: int
    """Number of live entry boxes, including this one."""

    may_route_unfenced: bool
    """Whether the node may still send to targets that check no fence."""

    drain: Drain | None = None
    """Drain of the node; ``None`` unless it is leaving."""


@attrs.frozen
class DispatcherParts:
    """Components that a dispatcher uses."""

    in_force: InForce
    """Versions of the documents in force, with their index."""

    health: HealthTable
    """Failures and answer times of groups."""

    service_loads: ServiceLoadCache
    """Loads of the groups of each service."""

    admission: Admission
    """Limits of client accounts and of the node."""

    budget: RetryBudget
    """Retries that each client account has left."""

    claims: RequestClaims
    """Claims of request ids that run at most once."""

    target: Target
    """Sends requests to targets."""

    clock: Clock
    """Source of the current time."""

    history: History
    """Records the events of requests."""

    random: Random
    """Source of the random draws of groups, peers and retry delays."""

    guard: RequestGuard
    """Holds back requests that crash targets."""

    permits: PermitSource
    """Rate limits of targets, and permits within them."""

    paths: ReplicaPaths = attrs.Factory(DirectPaths)
    """Tracks whether this node's links to targets work."""

    backpressure: Backpressure = attrs.Factory(Backpressure)
    """Backpressure signals that targets have sent."""

    metrics: Metrics = attrs.Factory(Metrics)
    """Metrics of the process."""


class Dispatcher:
    """Serves requests by the documents in force.

    Parameters
    ----------
    parts
        Components that the dispatcher uses.
    describe_node
        Returns the present state of this node.
    """

    def __init__(
        self,
        parts: DispatcherParts,
        describe_node: Callable[[], NodeFacts],
    ) -> None:
        """Create a dispatcher without requests."""
        self._parts = parts
        self._describe_node = describe_node
        self._retries = RetryPolicy(
            parts.budget, parts.guard, ResendDecisions(parts.metrics)
        )

    async def serve(
        self, submission: Submission, caller: CallerConnection
    ) -> None:
        """Serve a request until its answer has been relayed.

        Raises
        ------
        Refusal
            If no answer was begun; nothing has been sent to the caller then.
        """
        facts = _unwrap(
            read_facts(
                submission.method,
                submission.target,
                submission.headers,
            ),
        )
        key = None
        try:
            work = self._resolve_request(submission, caller, facts)
            self._admit(work)
        except Refusal as refusal:
            raise _mark_possibly_run(refusal, facts) from refusal
        try:
            key = await self._parts.claims.claim(work)
            await self._run(work, key)
        finally:
            self._parts.admission.release(work.account.name)

    def refuse_leaving(self, submission: Submission, drain: Drain) -> None:
        """Refuse a request because the node is leaving.

        Raises
        ------
        Refusal
            Always, with the addresses of the other entry boxes as its detail.
        """
        facts = _unwrap(
            read_facts(
                submission.method,
                submission.target,
                submission.headers,
            ),
        )
        raise _mark_possibly_run(drain.make_refusal(), facts)

    def _resolve_request(
        self,
        submission: Submission,
        caller: CallerConnection,
        facts: RequestFacts,
    ) -> PendingRequest:
        """Return the request with its account, service and routing shape."""
        in_force = self._parts.in_force
        if not in_force.numbers.configuration:
            raise Refusal(Code.NODE_STARTING, retry_after=1)
        index = in_force.index
        account = index.find_account(facts.key)
        if account is None:
            raise Refusal(Code.UNKNOWN_KEY)
        service = index.find_service(facts.service)
        if service is None:
            raise Refusal(Code.UNKNOWN_SERVICE)
        shape = RequestShape(
            facts.service,
            account.name,
            facts.kind,
            facts.session_labels,
        )
        if not index.list_rules(shape):
            raise Refusal(Code.NOT_ADMITTED)
        seconds = facts.deadline or service.timeout
        now = self._parts.clock.read()
        return PendingRequest(
            submission=submission,
            caller=caller,
            facts=facts,
            account=account,
            service=service,
            shape=shape,
            arrived_at=now,
            deadline_at=now + seconds,
            traits=RequestTraits(
                make_fingerprint(
                    submission.method,
                    facts.path,
                    submission.body,
                    f'{facts.service}/{account.name}',
                ),
                facts.prompt_parts,
            ),
        )

    def _admit(self, work: PendingRequest) -> None:
        """Admit the request, or raise a refusal."""
        node = self._describe_node()
        now = self._parts.clock.read()
        self._parts.guard.check(work.traits, now)
        if node.drain is not None:
            node.drain.check(work, now)
        _unwrap(
            self._parts.admission.admit(work.account, node.live_nodes, now)
        )
        self._parts.budget.earn(work.account.name)

    async def _run(self, work: PendingRequest, key: ClaimKey | None) -> None:
        """Run the attempts and settle the claim by their outcome."""
        state = ClaimState.UNKNOWN
        try:
            is_complete = await self._attempt_all(work)
            state = ClaimState.DONE if is_complete else ClaimState.UNKNOWN
        except Refusal as refusal:
            if refusal.ran is Ran.NOT_RUN:
                state = ClaimState.REFUSED
            raise
        finally:
            if key is not None:
                self._parts.claims.settle(key, state)

    async def _attempt_all(self, work: PendingRequest) -> bool:
        """Make attempts until one is answered; return whether completely."""
        for attempt in range(ATTEMPT_LIMIT):
            self._check_links(work)
            choice, permit = await self._choose_with_permit(work)
            answer = await self._attempt(work, choice, permit)
            if not isinstance(answer, DispatchFault):
                return await self._relay(work, choice, answer)
            if answer is DispatchFault.NOT_SENT:
                seconds = work.deadline_at - self._parts.clock.read()
                await _await_diagnosis(self._parts.paths, work, seconds)
                self._check_links(work)
            if not self._may_retry(work, answer, attempt):
                raise self._make_refusal(work, answer)
        raise self._make_refusal(work, DispatchFault.NOT_SENT)

    def _check_links(self, work: PendingRequest) -> None:
        """Refuse a request whose targets only peers can reach.

        Raises
        ------
        Refusal
            If this node has lost its links to the service, with the addresses
            of peers that reach it as its detail.
        """
        paths = self._parts.paths
        service = _get_service(work)
        if not paths.is_partitioned(service):
            return
        peers = paths.list_peers(service)
        count = min(MAX_NAMED_PEERS, len(peers))
        named = self._parts.random.sample(peers, count)
        raise Refusal(
            Code.NODE_PARTITIONED,
            _get_ran(work),
            ' '.join(f'{peer.host}:{peer.caller_port}' for peer in named),
            retry_after=0 if named else NO_GROUP_RETRY_SECONDS,
            sends=work.sends or None,
        )

    async def _choose_with_permit(
        self, work: PendingRequest
    ) -> tuple[Choice, Permit]:
        """Choose a group and acquire its permit for the request."""
        while True:
            choice = self._choose(work)
            group = choice.group
            permit = await self._parts.permits.acquire_permit(
                make_life(group), group.hall, -work.account.priority
            )
            if permit is not None:
                return choice, permit
            work.tried.add(group.group)
            work.permits_denied += 1

    def _choose(self, work: PendingRequest) -> Choice:
        """Choose a group, or raise a refusal if none can serve."""
        # The index may have changed since the previous attempt.
        groups = self._parts.in_force.index.list_groups(work.shape)
        now = self._parts.clock.read()
        loads = self._parts.service_loads.build_loads(
            work.service.name, groups, now
        )
        is_usable = partial(self._can_use, work)
        if work.session is None:
            choice = choose_less_loaded(
                groups,
                is_usable,
                loads,
                self._parts.random,
            )
        else:
            choice = choose_for_session(work.session, groups, is_usable, loads)
        if choice is None:
            raise self._explain_unroutable(work, groups, now)
        return choice

    def _explain_unroutable(
        self,
        work: PendingRequest,
        groups: Sequence[Group],
        now: float,
    ) -> Refusal:
        """Return a refusal with the reason and the time to retry."""
        lives = [make_life(group) for group in groups]
        backpressure = self._parts.backpressure
        wanting = [life for life in lives if backpressure.may_send(life, now)]
        unroutable = explain_unroutable(
            backpressure.get_shortest_rest(lives, now),
            self._parts.permits.find_wait(wanting, now),
            rejections=0,
        )
        seconds = NO_GROUP_RETRY_SECONDS
        if unroutable.wait:
            draw = self._parts.random.random()
            seconds_left = work.deadline_at - now
            seconds = compute_retry_after(
                unroutable.reason, seconds_left, draw, unroutable.wait
            )
        return Refusal(
            unroutable.code,
            _get_ran(work),
            retry_after=seconds,
            sends=work.sends or None,
        )

    def _can_use(self, work: PendingRequest, group: Group) -> bool:
        if group.group in work.tried or not self._is_serving(work, group):
            return False
        now = self._parts.clock.read()
        life = make_life(group)
        if not self._parts.backpressure.may_send(life, now):
            return False
        if not self._parts.permits.may_ask(life, work.permits_denied, now):
            return False
        return self._parts.health.is_usable(group.group, group.epoch, now)

    def _is_serving(self, work: PendingRequest, group: Group) -> bool:
        """Return whether a group serves in the same epoch by the roster."""
        roster = self._parts.in_force.roster
        current = roster.groups.get(group.group)
        if current is None or current.epoch != group.epoch:
            return False
        if current.state is not GroupState.SERVING:
            return False
        return work.service.fenced or self._describe_node().may_route_unfenced

    async def _attempt(
        self,
        work: PendingRequest,
        choice: Choice,
        permit: Permit,
    ) -> TargetAnswer | DispatchFault:
        """Send the request to a group and record the outcome."""
        clock = self._parts.clock
        group = choice.group
        self._record_event(
            'dispatched', work, group, reason=choice.reason.value
        )
        started_at = clock.read()
        health = self._parts.health
        health.record_start(group.group)
        try:
            answer = await self._parts.target.dispatch(
                make_dispatch(work, group),
                work.deadline_at - started_at,
                lambda: self._may_send(work, group, permit),
            )
        except BaseException:
            # The attempt is cancelled when the caller disconnects.
            health.record_end(group.group)
            raise
        now = clock.read()
        self._record_connection(group, answer, now)
        if not isinstance(answer, Failure):
            return self._record_answer(group, answer.unwrap(), started_at)
        health.record_end(group.group)
        fault = self._classify_fault(
            work, group, answer.failure(), permit, now
        )
        if fault is DispatchFault.TIMED_OUT:
            health.record_timeout(group.group, now - started_at, now)
        elif fault not in _HARMLESS_FAULTS:
            health.record_failure(group.group, now)
        return self._record_fault(work, group, fault)

    def _record_connection(
        self,
        group: Group,
        answer: Result[TargetAnswer, DispatchFault],
        now: float,
    ) -> None:
        """Record whether a connection to the group's box was established."""
        is_unsent = answer == Failure(DispatchFault.NOT_SENT)
        if is_unsent or not isinstance(answer, Failure):
            box = make_fleet_box(group, group.head)
            self._parts.paths.record(box, now, is_connected=not is_unsent)

    def _record_answer(
        self,
        group: Group,
        answer: TargetAnswer,
        started_at: float,
    ) -> TargetAnswer:
        """Record what the head of an answer states about its group."""
        now = self._parts.clock.read()
        if answer.rest_seconds:
            metadata = AnswerMetadata(rest_seconds=answer.rest_seconds)
            self._parts.backpressure.record(make_life(group), metadata, now)
        if answer.limit is not None:
            self._parts.permits.record_limit(
                make_life(group), group.hall, answer.limit, started_at
            )
        self._parts.health.record_answer(group.group, now - started_at, now)
        return answer

    def _classify_fault(
        self,
        work: PendingRequest,
        group: Group,
        fault: DispatchFault,
        permit: Permit,
        now: float,
    ) -> DispatchFault:
        """Return the precise fault of a request that was not written.

        Backpressure and a change of the group while the request connects are
        reported as a passed deadline; this method distinguishes them.
        """
        if fault is not DispatchFault.TOO_LATE:
            return fault
        if not self._is_serving(work, group):
            return DispatchFault.GROUP_CHANGED
        life = make_life(group)
        if not self._parts.backpressure.may_send(life, now):
            return DispatchFault.RESTING
        if not self._parts.permits.may_send(life, permit, now):
            return DispatchFault.NO_PERMIT
        return fault

    def _record_fault(
        self,
        work: PendingRequest,
        group: Group,
        fault: DispatchFault,
    ) -> DispatchFault:
        """Record a failed attempt and whether the request may have run."""
        work.tried.add(group.group)
        if fault in {DispatchFault.BROKEN, DispatchFault.MALFORMED}:
            self._record_broken_attempt(work, group, has_begun=False)
        if fault not in _UNSENT_FAULTS:
            work.sends += 1
        if fault is DispatchFault.FENCED:
            work.rejections += 1
        self._record_event('attempt_failed', work, group, fault=fault.value)
        return fault

    def _may_send(
        self, work: PendingRequest, group: Group, permit: Permit
    ) -> bool:
        """Return whether to send the request, right before the write."""
        if work.caller.is_disconnected():
            return False
        if not self._is_serving(work, group):
            return False
        now = self._parts.clock.read()
        life = make_life(group)
        if not self._parts.backpressure.may_send(life, now):
            return False
        if not self._parts.permits.may_send(life, permit, now):
            return False
        verdict = check_send(work.make_send_state(), now)
        return verdict is SendVerdict.ALLOWED

    async def _relay(
        self,
        work: PendingRequest,
        choice: Choice,
        answer: TargetAnswer,
    ) -> bool:
        """Relay the answer to the caller; return whether it was complete."""
        try:
            is_complete = await work.caller.relay(answer, work.service)
        finally:
            self._parts.health.record_end(choice.group.group)
        self._record_event('answered', work, choice.group, whole=is_complete)
        if is_complete and answer.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            cleared = work.traits.select_cleared(answer.status)
            self._parts.guard.record_served(cleared)
        if not is_complete:
            self._record_broken_attempt(work, choice.group, has_begun=True)
        return is_complete

    def _record_broken_attempt(
        self,
        work: PendingRequest,
        group: Group,
        *,
        has_begun: bool,
    ) -> None:
        """Record an attempt at a target that may have crashed."""
        self._parts.guard.record_broken_attempt(
            make_replica(work, group),
            work.traits,
            has_begun=has_begun,
            has_ended=False,
        )

    def _may_retry(
        self,
        work: PendingRequest,
        fault: DispatchFault,
        attempt: int,
    ) -> bool:
        """Return whether to make another attempt after one that failed."""
        if attempt + 1 >= ATTEMPT_LIMIT or fault in _FINAL_FAULTS:
            return False
        return self._retries.may_retry(work, self._parts.clock.read())

    def _make_refusal(
        self, work: PendingRequest, fault: DispatchFault
    ) -> Refusal:
        code = _CODE_BY_FAULT[fault]
        sends = work.sends or None
        if fault in _FINAL_FAULTS:
            return Refusal(code, _get_ran(work), sends=sends)
        seconds: float | None = NO_GROUP_RETRY_SECONDS
        if fault in _BACKPRESSURE_FAULTS:
            groups = self._parts.in_force.index.list_groups(work.shape)
            now = self._parts.clock.read()
            seconds = self._explain_unroutable(work, groups, now).retry_after
        return Refusal(code, _get_ran(work), retry_after=seconds, sends=sends)

    def _record_event(
        self,
        event: str,
        work: PendingRequest,
        group: Group,
        **pairs: object,
    ) -> None:
        self._parts.history.record(
            event,
            request=work.facts.request_id or '',
            group=group.group,
            epoch=group.epoch,
            configuration=self._parts.in_force.numbers.configuration,
            **pairs,
        )


def _unwrap(outcome: Result[Inner, Refusal]) -> Inner:
    """Return the value of a result, or raise its refusal."""
    if isinstance(outcome, Failure):
        raise outcome.failure()
    return outcome.unwrap()


def _mark_possibly_run(refusal: Refusal, facts: RequestFacts) -> Refusal:
    """Return a refusal that leaves open whether the request id has run.

    The claim of the id was not checked.  Another submission of the same id
    may be running, so the refusal must not state that it has not run.
    """
    if facts.repeatable or facts.request_id is None:
        return refusal
    return Refusal(
        refusal.code,
        Ran.MAY_HAVE_RUN,
        refusal.detail,
        refusal.retry_after,
    )


async def _await_diagnosis(
    paths: ReplicaPaths, work: PendingRequest, seconds: float
) -> None:
    """Wait until the node knows whether its links are lost, or a timeout."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(max(0.0, seconds)):
            await paths.await_diagnosis(_get_service(work))


def _get_ran(work: PendingRequest) -> Ran:
    return Ran.MAY_HAVE_RUN if work.may_have_run else Ran.NOT_RUN


def _get_service(work: PendingRequest) -> ServiceName:
    return ServiceName(work.service.name)
