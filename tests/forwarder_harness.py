"""Test harness of a forwarder, in which tests deliver the answers."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Any

import msgspec
import pytest

from tests.boxes import make_fleet, make_group
from tests.lone_quarantine import LoneQuarantine
from tests.lone_rate_limiter import LoneRateLimiter
from tests.manual_clock import ManualClock
from waywell.codes import Refusal
from waywell.connection.body_end import BodyEnd, BodyOutcome
from waywell.connection.exchange import SendFault
from waywell.connection.forwarding import FORWARDED_HEADER, ForwardingHeader
from waywell.ids import (
    BoxId,
    HallName,
    Incarnation,
    ModelName,
    ServiceName,
)
from waywell.knowledge.cluster_view import ClusterView
from waywell.membership.membership import NodeRecord
from waywell.process.front_settings import PromiseSettings
from waywell.request.attempt import Attempt
from waywell.request.decoded_request import AnswerMetadata, DecodedRequest
from waywell.request.forwarder import Forwarder
from waywell.request.paths import DirectPaths
from waywell.request.peer_chooser import make_peer_key
from waywell.request.placement import ReplicaChooser
from waywell.request.replica_table import ReplicaTable
from waywell.request.request_context import AnswerWriter, ForwarderDependencies
from waywell.request.resend_budget import ResendBudget, ResendLimits
from waywell.request.shared_loads import SharedLoads
from waywell.request.stream_events import StreamEvent
from waywell.telemetry.metrics import Metrics
from waywell.telemetry.request_metrics import RequestMetrics
from waywell.version.fleet import Fleet
from waywell.version.routes import (
    Engine,
    EngineModel,
    Route,
    RoutedService,
    RouteKind,
    RouteTable,
    ServiceShare,
)

MODEL = ModelName('notes')
STREAM_HEADERS = ((b'content-type', b'text/event-stream'),)


class RecordedAnswer(AnswerWriter):
    """Records the answer that a caller receives."""

    def __init__(self) -> None:
        self.body = b''
        self.status = 0
        self.end = ''

    def begin(self, status: int, headers: Any, length: int | None) -> None:
        assert not self.status
        self.status = status

    async def write(self, raw: bytes) -> None:
        self.body += raw

    def finish(self) -> None:
        self.end = 'complete'

    def abort(self) -> None:
        self.end = 'aborted'


class FakeWire:
    def make_headers(self, *_args: object) -> tuple:
        return ()

    def make_forward_headers(
        self, _request: DecodedRequest, mark: ForwardingHeader, *_args: object
    ) -> tuple:
        return ((FORWARDED_HEADER.encode(), mark.encode().encode()),)


class FakePaths(DirectPaths):
    """Link state and peers that a test sets."""

    def __init__(self) -> None:
        self.is_lost = False
        self.finds_loss = False
        self.peers: list[NodeRecord] = []

    def is_partitioned(self, service: ServiceName) -> bool:
        return self.is_lost

    async def await_diagnosis(self, service: ServiceName) -> None:
        self.is_lost = self.finds_loss

    def choose_peer(
        self, service: ServiceName, tried: Any, now: float
    ) -> NodeRecord | None:
        untried = [
            peer for peer in self.peers if make_peer_key(peer) not in tried
        ]
        return untried[0] if untried else None


class ForwarderHarness:
    """A forwarder whose attempts receive their answers from a test."""

    def __init__(
        self,
        kind: RouteKind = RouteKind.STREAM,
        most_targets: int = 2,
        read_per_second: float = 0.0,
        is_resumable: bool = True,
    ) -> None:
        self.clock = ManualClock()
        self.connects_at_once = True
        self.replica_table = ReplicaTable()
        self.attempts: list[Attempt] = []
        self.may_send_by_attempt: dict[Attempt, Any] = {}
        self.answer = RecordedAnswer()
        self.refusal: Refusal | None = None
        route = Route(
            'r',
            'h',
            '/',
            kind,
            timeout=8.0,
            goal=0.4,
            shares=(ServiceShare(ServiceName('llm'), 1.0),),
            gap_goal=0.3,
            most_targets=most_targets,
            resumable=is_resumable and kind is RouteKind.STREAM,
        )
        engine = Engine(
            9, (EngineModel(MODEL, 2),), read_per_second=read_per_second
        )
        cluster = ClusterView(PromiseSettings())
        cluster.apply_routes(
            RouteTable(
                1,
                (route,),
                (RoutedService(ServiceName('llm'), engine=engine),),
            ),
        )
        cluster.confirm_routes(self.clock.now)
        cluster.apply_fleet(
            make_fleet(
                *make_group('notes.7', 'a', 'b'),
                *make_group('notes.8', 'c', 'd'),
            ),
            self.clock.now,
        )
        self.cluster = cluster
        self.quarantine = LoneQuarantine(self.clock)
        self.turns = LoneRateLimiter(self.clock)
        self.paths = FakePaths()
        self.budget = ResendBudget(ResendLimits(0.2, 90.0, 10.0), 0.0)
        self.forwarder = Forwarder(
            ForwarderDependencies(
                cluster=cluster,
                wire=FakeWire(),
                chooser=ReplicaChooser(
                    HallName('port'), SharedLoads(), Random(1)
                ),
                replica_table=self.replica_table,
                budget=self.budget,
                paths=self.paths,
                node='own',
                clock=self.clock,
                draw=lambda: 0.0,
                count_nodes=lambda: 1,
                raise_doubt=lambda _replica: None,
                metrics=RequestMetrics(Metrics()),
                guard=self.quarantine,
                permits=self.turns,
                running=self.quarantine._running,
            ),
        )

    def record_start(
        self,
        attempt: Attempt,
        may_send: Any,
        now: float,
    ) -> None:
        attempt.started_at = now
        if not self._has_permit(attempt):
            attempt.post(Attempt.Fault(attempt, SendFault.NO_PERMIT))
            return
        assert not self.connects_at_once or may_send()
        self.may_send = may_send
        self.may_send_by_attempt[attempt] = may_send
        self.attempts.append(attempt)

    def _has_permit(self, attempt: Attempt) -> bool:
        """Acquire a permit as an attempt does; no other node is asked."""
        try:
            attempt.destination.acquire_permit().send(None)
        except StopIteration as end:
            return bool(end.value)
        raise AssertionError('the node asked another node for a permit')

    async def submit(
        self,
        forwarded: ForwardingHeader | None = None,
        resume_after: int | None = None,
        answer_tokens: int = 0,
        timeout_seconds: float | None = None,
        prompt_tokens: int = 0,
    ) -> asyncio.Task:
        request = DecodedRequest(
            'a1',
            'POST',
            '/x',
            'h',
            (),
            b'',
            model=MODEL,
            forwarded=forwarded,
            resume_after=resume_after,
            answer_tokens=answer_tokens,
            timeout_seconds=timeout_seconds,
            prompt_tokens=prompt_tokens,
        )
        self.answer = RecordedAnswer()
        # The node reads the box list all the time.
        self.cluster.confirm_fleet(self.clock.now)
        task = asyncio.create_task(self._serve(request, self.answer))
        await self.run_pending()
        return task

    async def run_pending(self) -> None:
        for _iteration in range(10):
            await asyncio.sleep(0)

    async def advance_time(self, seconds: float) -> None:
        """Advance the clock and wake the forwarder as a timer would."""
        self.clock.now += seconds
        self.cluster.confirm_fleet(self.clock.now)
        self.attempts[0]._inbox.put(None)
        await self.run_pending()

    async def deliver_head(self, attempt: Attempt, **changes: Any) -> None:
        head = {'status': 200, 'metadata': AnswerMetadata('a1'), **changes}
        attempt.receive_head(headers=STREAM_HEADERS, length=None, **head)
        await self.run_pending()

    async def deliver_events(self, attempt: Attempt, *numbers: int) -> None:
        for number in numbers:
            raw = b'id: %d\n\n' % number
            attempt.record_event()
            attempt.post(Attempt.Piece(attempt, StreamEvent(raw, number)))
        await self.run_pending()

    async def deliver_end(
        self, attempt: Attempt, is_whole: bool = True
    ) -> None:
        end = BodyEnd.DELIMITED if is_whole else BodyEnd.TRUNCATED
        attempt.post(Attempt.End(attempt, BodyOutcome(end)))
        await self.run_pending()

    async def _serve(
        self, request: DecodedRequest, answer: RecordedAnswer
    ) -> None:
        try:
            await self.forwarder.serve(request, answer)
        except Refusal as refusal:
            self.refusal = refusal

    async def restart_boxes(self, *names: str) -> None:
        """Deliver a box list in which boxes have restarted under their ids."""
        boxes = dict(self.cluster.fleet.boxes)
        for name in names:
            boxes[BoxId(name)] = msgspec.structs.replace(
                boxes[BoxId(name)],
                standing=None,
                incarnation=Incarnation(2),
            )
        self.cluster.apply_fleet(Fleet(boxes), self.clock.now)
        await self.run_pending()


def intercept_attempts(
    harness: ForwarderHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Direct attempts to the harness instead of the network."""
    monkeypatch.setattr(
        Attempt,
        'start',
        lambda *args: harness.record_start(*args),
    )
