"""The way of one request: checks, claim, choice, attempts, answer."""

from __future__ import annotations

from functools import partial
from http import HTTPStatus
from random import Random
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, TypeVar

import attrs
from returns.result import Failure, Result

from waywell.codes import Code, Ran, Refusal
from waywell.connection.target import DispatchFault, Target
from waywell.health.health import HealthTable
from waywell.ids import ServiceName
from waywell.process.clock import Clock
from waywell.process.documents import InForce
from waywell.request.admission import Admission
from waywell.request.backpressure import Backpressure
from waywell.request.balance import Balance
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
from waywell.request.request_claims import (
    NO_GROUP_RETRY_SECONDS,
    RequestClaims,
)
from waywell.request.retry import MOST_ATTEMPTS, RetryBudget
from waywell.request.return_advice import advise_return
from waywell.request.routing import (
    Choice,
    choose_for_session,
    choose_less_loaded,
)
from waywell.request.submission import (
    CallerConnection,
    PendingRequest,
    Submission,
)
from waywell.request.traits import RequestTraits
from waywell.request.turn_source import Turn, TurnSource
from waywell.request.unroutable import explain_unroutable
from waywell.telemetry.history import History
from waywell.version.roster import Group, GroupState
from waywell.version.serving import RequestShape

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from waywell.connection.target import TargetAnswer
    from waywell.request.facts import RequestFacts

Inner = TypeVar('Inner')
"""What a step of the way finds."""

_CODE_BY_FAULT = MappingProxyType(
    {
        DispatchFault.NOT_SENT: Code.TARGET_UNREACHABLE,
        DispatchFault.TOO_LATE: Code.DEADLINE_PASSED,
        DispatchFault.BROKEN: Code.TARGET_FAILED,
        DispatchFault.TIMED_OUT: Code.DEADLINE_PASSED,
        DispatchFault.FENCED: Code.FENCE_REFUSED,
        DispatchFault.RESTING: Code.REPLICAS_REST,
        DispatchFault.NO_TURN: Code.REPLICAS_LIMITED,
    },
)

MOST_NAMED_PEERS = 8
"""Entry boxes that a refusal names to the caller."""

_WANTS_LESS = frozenset((DispatchFault.RESTING, DispatchFault.NO_TURN))
"""Faults by which a group does not want the request for now."""

_NO_FAILURES = _WANTS_LESS | {DispatchFault.TOO_LATE}
"""Faults that say nothing against the health of a group."""

_NOT_RUN_FAULTS = _NO_FAILURES | {DispatchFault.NOT_SENT, DispatchFault.FENCED}

_LAST_FAULTS = frozenset((DispatchFault.TOO_LATE, DispatchFault.TIMED_OUT))


@attrs.frozen
class NodeFacts:
    """What the dispatcher has to know of its node."""

    live_nodes: int
    """Live entry boxes, this one counted."""

    may_route_unfenced: bool
    """Whether it may still send to targets that check no fence."""


@attrs.frozen
class Parts:
    """What a dispatcher works with."""

    in_force: InForce
    """Versions in force."""

    health: HealthTable
    """What speaks against groups."""

    balance: Balance
    """Loads of the groups."""

    admission: Admission
    """Limits."""

    budget: RetryBudget
    """Budget of retries."""

    claims: RequestClaims
    """Claims of ids that run at most once."""

    target: Target
    """Calls to targets."""

    clock: Clock
    """Where the time is read."""

    history: History
    """Where the events of requests are noted."""

    random: Random
    """Draws the groups that are compared."""

    guard: RequestGuard
    """Knows which requests crash targets."""

    turns: TurnSource
    """Knows the limits of targets."""

    paths: ReplicaPaths = attrs.Factory(DirectPaths)
    """Knows whether this node's links to targets work."""

    backpressure: Backpressure = attrs.Factory(Backpressure)
    """What targets have asked of this node."""


class Dispatcher:
    """Serves requests by what is in force.

    Parameters
    ----------
    parts
        What it works with.
    describe_node
        Returns the present facts of this node.
    """

    def __init__(
        self,
        parts: Parts,
        describe_node: Callable[[], NodeFacts],
    ) -> None:
        """Keep the parts."""
        self._parts = parts
        self._describe_node = describe_node

    async def serve(
        self, submission: Submission, caller: CallerConnection
    ) -> None:
        """Serve a request to its end.

        Raises
        ------
        Refusal
            When no answer was begun; nothing was said to the caller then.
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
            work = self._identify(submission, caller, facts)
            self._admit(work)
        except Refusal as refusal:
            raise self._doubt(refusal, facts) from refusal
        try:
            key = await self._parts.claims.claim(work)
            await self._run(work, key)
        finally:
            self._parts.admission.release(work.account.name)

    def refuse_leaving(
        self,
        submission: Submission,
        entries: dict[str, Any],
    ) -> None:
        """Refuse a request because the node is leaving.

        Raises
        ------
        Refusal
            Always, with the entry list as its detail.
        """
        facts = _unwrap(
            read_facts(
                submission.method,
                submission.target,
                submission.headers,
            ),
        )
        names = ' '.join(
            f'{entry["host"]}:{entry["port"]}' for entry in entries['entries']
        )
        refusal = Refusal(Code.NODE_LEAVING, detail=names, retry_after=0)
        raise self._doubt(refusal, facts)

    def _identify(
        self,
        submission: Submission,
        caller: CallerConnection,
        facts: RequestFacts,
    ) -> PendingRequest:
        """Find account, service and groups."""
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
        return PendingRequest(
            submission=submission,
            caller=caller,
            facts=facts,
            account=account,
            service=service,
            shape=shape,
            deadline_at=self._parts.clock.read() + seconds,
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
        """Count the request in, or refuse it."""
        nodes = self._describe_node().live_nodes
        now = self._parts.clock.read()
        self._parts.guard.check(work.traits, now)
        _unwrap(self._parts.admission.admit(work.account, nodes, now))
        self._parts.budget.earn(work.account.name)

    def _doubt(self, refusal: Refusal, facts: RequestFacts) -> Refusal:
        """Say less of an id whose claim was not looked at.

        Another submission of the same id may be under way, so "not run"
        would say too much.
        """
        if facts.repeatable or facts.request_id is None:
            return refusal
        return Refusal(
            refusal.code,
            Ran.MAY_HAVE_RUN,
            refusal.detail,
            refusal.retry_after,
        )

    async def _run(self, work: PendingRequest, key: ClaimKey | None) -> None:
        """Make attempts, and settle the claim by how they ended."""
        state = ClaimState.UNKNOWN
        try:
            whole = await self._attempt_all(work)
            state = ClaimState.DONE if whole else ClaimState.UNKNOWN
        except Refusal as refusal:
            if refusal.ran is Ran.NOT_RUN:
                state = ClaimState.REFUSED
            raise
        finally:
            if key is not None:
                self._parts.claims.settle(key, state)

    async def _attempt_all(self, work: PendingRequest) -> bool:
        """Make attempts until one is answered."""
        for attempt in range(MOST_ATTEMPTS):
            self._check_links(work)
            choice, turn = await self._choose_with_turn(work)
            answer = await self._attempt(work, choice, turn)
            if not isinstance(answer, DispatchFault):
                return await self._relay(work, choice, answer)
            if answer is DispatchFault.NOT_SENT:
                await self._parts.paths.await_diagnosis(_get_service(work))
                self._check_links(work)
            if not self._may_retry(work, answer, attempt):
                raise self._refuse(work, answer)
        raise self._refuse(work, DispatchFault.NOT_SENT)

    def _check_links(self, work: PendingRequest) -> None:
        """Refuse a request for targets that peers alone reach.

        Raises
        ------
        Refusal
            With peers that reach them as its detail.
        """
        paths = self._parts.paths
        service = _get_service(work)
        if not paths.is_partitioned(service):
            return
        peers = paths.list_peers(service)
        count = min(MOST_NAMED_PEERS, len(peers))
        named = self._parts.random.sample(peers, count)
        raise Refusal(
            Code.NODE_PARTITIONED,
            _get_ran(work),
            ' '.join(f'{one.host}:{one.caller_port}' for one in named),
            retry_after=0 if named else NO_GROUP_RETRY_SECONDS,
        )

    async def _choose_with_turn(
        self, work: PendingRequest
    ) -> tuple[Choice, Turn]:
        """Choose a group that has a turn for the request."""
        while True:
            choice = self._choose(work)
            group = choice.group
            turn = await self._parts.turns.take_turn(
                make_life(group), group.hall, -work.account.priority
            )
            if turn is not None:
                return choice, turn
            work.tried.add(group.group)
            work.permits_missed += 1

    def _choose(self, work: PendingRequest) -> Choice:
        """Choose a group, or refuse where none can serve."""
        # The index may be a newer one than at the attempt before.
        groups = self._parts.in_force.index.list_groups(work.shape)
        now = self._parts.clock.read()
        loads = self._parts.balance.weigh(work.service.name, groups, now)
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
        """Return why no group can serve, and when one may."""
        lives = [make_life(group) for group in groups]
        backpressure = self._parts.backpressure
        wanting = [life for life in lives if backpressure.may_send(life, now)]
        unroutable = explain_unroutable(
            backpressure.find_release(lives, now),
            self._parts.turns.find_wait(wanting, now),
            rejections=0,
        )
        seconds = NO_GROUP_RETRY_SECONDS
        if unroutable.rest:
            draw = self._parts.random.random()
            left = work.deadline_at - now
            seconds = advise_return(
                unroutable.reason, left, draw, unroutable.rest
            )
        return Refusal(unroutable.code, _get_ran(work), retry_after=seconds)

    def _can_use(self, work: PendingRequest, group: Group) -> bool:
        if group.state is not GroupState.SERVING or group.group in work.tried:
            return False
        if not work.service.fenced:
            facts = self._describe_node()
            if not facts.may_route_unfenced:
                return False
        now = self._parts.clock.read()
        life = make_life(group)
        if not self._parts.backpressure.may_send(life, now):
            return False
        if not self._parts.turns.may_ask(life, work.permits_missed, now):
            return False
        return self._parts.health.is_usable(group.group, group.epoch, now)

    async def _attempt(
        self,
        work: PendingRequest,
        choice: Choice,
        turn: Turn,
    ) -> TargetAnswer | DispatchFault:
        """Send the request to a group; take in how that went."""
        clock = self._parts.clock
        group = choice.group
        self._note('dispatched', work, group, reason=choice.reason.value)
        started_at = clock.read()
        health = self._parts.health
        health.record_start(group.group)
        try:
            answer = await self._parts.target.dispatch(
                make_dispatch(work, group),
                work.deadline_at - started_at,
                lambda: self._may_send(work, group, turn),
            )
        except BaseException:
            # The caller has gone, and the attempt was cancelled.
            health.record_end(group.group)
            raise
        now = clock.read()
        self._record_connection(group, answer, now)
        if not isinstance(answer, Failure):
            return self._take_answer(group, answer.unwrap(), started_at)
        health.record_end(group.group)
        fault = self._name_fault(group, answer.failure(), turn, now)
        if fault is DispatchFault.TIMED_OUT:
            health.record_timeout(group.group, now - started_at, now)
        elif fault not in _NO_FAILURES:
            health.record_failure(group.group, now)
        return self._take_fault(work, group, fault)

    def _record_connection(
        self,
        group: Group,
        answer: Result[TargetAnswer, DispatchFault],
        now: float,
    ) -> None:
        """Record whether the links to a group's box work."""
        is_unsent = answer == Failure(DispatchFault.NOT_SENT)
        if is_unsent or not isinstance(answer, Failure):
            box = make_fleet_box(group, group.head)
            self._parts.paths.record(box, now, is_connected=not is_unsent)

    def _take_answer(
        self,
        group: Group,
        answer: TargetAnswer,
        started_at: float,
    ) -> TargetAnswer:
        """Note what the head of an answer says of its group."""
        now = self._parts.clock.read()
        if answer.rest_seconds:
            mark = AnswerMetadata(rest_seconds=answer.rest_seconds)
            self._parts.backpressure.note(make_life(group), mark, now)
        if answer.limit is not None:
            self._parts.turns.note_answer(
                make_life(group), group.hall, answer.limit, started_at
            )
        self._parts.health.record_answer(group.group, now - started_at, now)
        return answer

    def _name_fault(
        self,
        group: Group,
        fault: DispatchFault,
        turn: Turn,
        now: float,
    ) -> DispatchFault:
        """Tell a wish that came while it connected from a late request."""
        if fault is not DispatchFault.TOO_LATE:
            return fault
        life = make_life(group)
        if not self._parts.backpressure.may_send(life, now):
            return DispatchFault.RESTING
        if not self._parts.turns.may_send(life, turn, now):
            return DispatchFault.NO_TURN
        return fault

    def _take_fault(
        self,
        work: PendingRequest,
        group: Group,
        fault: DispatchFault,
    ) -> DispatchFault:
        """Note what a failed attempt leaves open."""
        work.tried.add(group.group)
        if fault is DispatchFault.BROKEN:
            self._note_broken(work, group, has_begun=False)
        if fault not in _NOT_RUN_FAULTS:
            work.may_have_run = True
        self._note('attempt_failed', work, group, fault=fault.value)
        return fault

    def _may_send(
        self, work: PendingRequest, group: Group, turn: Turn
    ) -> bool:
        """Answer, right before the write, whether it is still wanted."""
        if work.caller.is_disconnected():
            return False
        now = self._parts.clock.read()
        life = make_life(group)
        if not self._parts.backpressure.may_send(life, now):
            return False
        if not self._parts.turns.may_send(life, turn, now):
            return False
        return now < work.deadline_at

    async def _relay(
        self,
        work: PendingRequest,
        choice: Choice,
        answer: TargetAnswer,
    ) -> bool:
        """Pass the answer on to the caller."""
        try:
            whole = await work.caller.relay(answer, work.service)
        finally:
            self._parts.health.record_end(choice.group.group)
        self._note('answered', work, choice.group, whole=whole)
        if whole and answer.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            cleared = work.traits.list_cleared(answer.status)
            self._parts.guard.note_served(cleared)
        if not whole:
            self._note_broken(work, choice.group, has_begun=True)
        return whole

    def _note_broken(
        self,
        work: PendingRequest,
        group: Group,
        *,
        has_begun: bool,
    ) -> None:
        """Note what ran at a target that may have ended under it."""
        self._parts.guard.note_broken(
            make_replica(work, group),
            work.traits,
            has_begun=has_begun,
            is_over=False,
        )

    def _may_retry(
        self,
        work: PendingRequest,
        fault: DispatchFault,
        attempt: int,
    ) -> bool:
        if attempt + 1 >= MOST_ATTEMPTS or fault in _LAST_FAULTS:
            return False
        if work.may_have_run and not work.facts.repeatable:
            return False
        now = self._parts.clock.read()
        if not self._parts.guard.may_send(work.traits, 0, now):
            return False
        return self._parts.budget.spend(work.account.name)

    def _refuse(self, work: PendingRequest, fault: DispatchFault) -> Refusal:
        code = _CODE_BY_FAULT[fault]
        if fault in _LAST_FAULTS:
            return Refusal(code, _get_ran(work))
        seconds: float | None = NO_GROUP_RETRY_SECONDS
        if fault in _WANTS_LESS:
            groups = self._parts.in_force.index.list_groups(work.shape)
            now = self._parts.clock.read()
            seconds = self._explain_unroutable(work, groups, now).retry_after
        return Refusal(code, _get_ran(work), retry_after=seconds)

    def _note(
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
    """Return what a step found, or raise its refusal."""
    if isinstance(outcome, Failure):
        raise outcome.failure()
    return outcome.unwrap()


def _get_ran(work: PendingRequest) -> Ran:
    return Ran.MAY_HAVE_RUN if work.may_have_run else Ran.NOT_RUN


def _get_service(work: PendingRequest) -> ServiceName:
    return ServiceName(work.service.name)
