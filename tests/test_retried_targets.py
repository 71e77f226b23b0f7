"""Requests that the entry daemon sends to targets again."""

from __future__ import annotations

import asyncio
from collections import deque
from random import Random
from typing import Any
from unittest.mock import AsyncMock, Mock

import msgspec
import pytest
from returns.result import Failure, Result

from tests.manual_clock import ManualClock
from tests.test_draining_dispatcher import ENTRIES
from waywell.codes import Code, Ran, Refusal
from waywell.connection.target import DispatchFault
from waywell.ids import BoxId, Epoch, GroupId, HallName
from waywell.process.documents import InForce
from waywell.request.admission import Admission
from waywell.request.dispatcher import Dispatcher, DispatcherParts, NodeFacts
from waywell.request.retry import ATTEMPT_LIMIT, RetryBudget
from waywell.request.routing import GroupLoad
from waywell.request.submission import Submission
from waywell.standins.harness import CALLER_KEY
from waywell.version.document import Document, DocumentKind
from waywell.version.roster import Group, GroupState, Member

ACCOUNT = 'desk'

REQUESTS_PER_RETRY = 13
"""Requests of an account that earn it one retry."""

HANG_SECONDS = 20
"""Time in seconds that only a request which hangs takes."""

RUNNING_FAULTS = (DispatchFault.BROKEN, DispatchFault.MALFORMED)
"""Faults after which a target may have run the request."""

UNSENT_FAULTS = (
    DispatchFault.NOT_SENT,
    DispatchFault.RESTING,
    DispatchFault.NO_PERMIT,
    DispatchFault.GROUP_CHANGED,
)
"""Faults after which no target can have received the request."""


class ScriptedTarget:
    """Target whose attempts fail with the next faults of a script."""

    def __init__(self, clock: ManualClock) -> None:
        self.script: deque[DispatchFault] = deque()
        self.asked: list[str] = []
        self.seconds = 0.0
        self._clock = clock

    async def dispatch(
        self, dispatch: Any, _seconds: float, may_send: Any
    ) -> Result:
        self.asked.append(dispatch.group)
        assert may_send()
        self._clock.now += self.seconds
        return Failure(self.script.popleft())


class EntryNode:
    """A dispatcher with three groups of a service whose timeout is 30 s."""

    def __init__(self) -> None:
        in_force = InForce()
        in_force.adopt(DocumentKind.CONFIGURATION, Document(1, ENTRIES))
        groups = [
            Group(
                GroupId(name),
                'app',
                'app',
                Epoch(1),
                GroupState.SERVING,
                HallName('h'),
                (Member(BoxId(name), '10.0.0.1', 80, 1),),
            )
            for name in ('app.1', 'app.2', 'app.3')
        ]
        bodies = {
            f'group/{group.group}': msgspec.to_builtins(group)
            for group in groups
        }
        in_force.adopt(DocumentKind.ROSTER, Document(1, bodies))
        loads = Mock()
        loads.build_loads().get_load.return_value = GroupLoad(0.0, 1.0)
        self.clock = ManualClock()
        self.target = ScriptedTarget(self.clock)
        self.budget = RetryBudget()
        self.diagnosis = AsyncMock()
        self.metrics = Mock()
        self.dispatcher = Dispatcher(
            DispatcherParts(
                in_force=in_force,
                health=Mock(),
                service_loads=loads,
                admission=Admission(10),
                budget=self.budget,
                claims=Mock(claim=AsyncMock(return_value=None)),
                target=self.target,  # type: ignore[arg-type]
                clock=self.clock,
                history=Mock(),
                random=Random(1),
                guard=Mock(),
                permits=Mock(acquire_permit=AsyncMock()),
                paths=Mock(
                    await_diagnosis=self.diagnosis,
                    is_partitioned=Mock(return_value=False),
                ),
                backpressure=Mock(get_shortest_rest=Mock(return_value=0.0)),
                metrics=self.metrics,
            ),
            lambda: NodeFacts(1, may_route_unfenced=True),
        )

    def earn(self, retries: int) -> None:
        for _request in range(retries * REQUESTS_PER_RETRY):
            self.budget.earn(ACCOUNT)

    def serve(
        self, *script: DispatchFault, repeatable: str = 'yes', **headers: str
    ) -> Refusal:
        """Serve a request whose attempts fail and return its refusal."""
        self.target.script.extend(script)
        sent = {
            'authorization': f'Bearer {CALLER_KEY}',
            'waywell-repeatable': repeatable,
            **headers,
        }
        submission = Submission('GET', '/services/app/x', sent, (), b'')
        caller = Mock(is_disconnected=Mock(return_value=False))
        serving = self.dispatcher.serve(submission, caller)
        with pytest.raises(Refusal) as caught:
            asyncio.run(asyncio.wait_for(serving, HANG_SECONDS))
        return caught.value


@pytest.mark.parametrize('fault', RUNNING_FAULTS)
def test_a_request_that_may_not_run_again_fails_at_once(
    fault: DispatchFault,
) -> None:
    node = EntryNode()
    node.earn(2)
    refusal = node.serve(fault, repeatable='no')
    assert len(node.target.asked) == 1
    assert (refusal.status, refusal.ran) == (502, Ran.MAY_HAVE_RUN)
    counter = node.metrics.add_instrument.return_value
    counter.record.assert_called_once_with(
        1, {'outcome': 'not_repeatable', 'service': 'app'}
    )


@pytest.mark.parametrize('fault', [*UNSENT_FAULTS, DispatchFault.FENCED])
def test_a_request_that_no_target_ran_is_sent_to_another(
    fault: DispatchFault,
) -> None:
    node = EntryNode()
    node.earn(2)
    refusal = node.serve(fault, DispatchFault.BROKEN, repeatable='no')
    assert len(set(node.target.asked)) == 2
    assert (refusal.status, refusal.ran) == (502, Ran.MAY_HAVE_RUN)


@pytest.mark.parametrize('fault', UNSENT_FAULTS)
def test_an_attempt_that_reached_no_target_needs_no_budget(
    fault: DispatchFault,
) -> None:
    """The first requests of an account could not pass a box without power."""
    node = EntryNode()
    refusal = node.serve(fault, fault, fault)
    assert len(set(node.target.asked)) == ATTEMPT_LIMIT
    assert refusal.ran is Ran.NOT_RUN


@pytest.mark.parametrize('fault', [*RUNNING_FAULTS, DispatchFault.FENCED])
@pytest.mark.parametrize('retries', [0, 1])
def test_an_attempt_after_one_that_reached_a_target_draws_on_the_budget(
    fault: DispatchFault, retries: int
) -> None:
    node = EntryNode()
    node.earn(retries)
    node.serve(fault, fault)
    assert len(node.target.asked) == 1 + retries


def test_no_status_promises_that_a_request_has_not_run() -> None:
    """All groups were tried, and the first one may have run the request."""
    node = EntryNode()
    node.earn(2)
    refusal = node.serve(
        DispatchFault.BROKEN, DispatchFault.NOT_SENT, DispatchFault.NOT_SENT
    )
    assert (refusal.status, refusal.ran) == (502, Ran.MAY_HAVE_RUN)
    assert refusal.code is Code.TARGET_UNREACHABLE


def test_a_request_is_not_sent_again_after_its_deadline() -> None:
    node = EntryNode()
    node.earn(2)
    node.target.seconds = 5.0
    node.serve(DispatchFault.BROKEN, **{'waywell-deadline': '5'})
    assert len(node.target.asked) == 1


def test_the_diagnosis_of_links_outlasts_no_deadline() -> None:
    """The node held a request while it tested its links, however late."""
    node = EntryNode()
    node.target.seconds = 5.0

    async def never(_service: object) -> None:
        await asyncio.Event().wait()

    node.diagnosis.side_effect = never
    refusal = node.serve(DispatchFault.NOT_SENT, **{'waywell-deadline': '5'})
    assert refusal.ran is Ran.NOT_RUN
    assert len(node.target.asked) == 1
