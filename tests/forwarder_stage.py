"""A forwarder whose attempts are driven by hand, for tests."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Any

import msgspec
import pytest

from tests.boxes import make_fleet, make_group
from tests.held_clock import HeldClock
from tests.lone_quarantine import LoneQuarantine
from tests.lone_rate_limiter import LoneRateLimiter
from waywell.codes import Refusal
from waywell.connection.body_end import BodyEnd, BodyOutcome
from waywell.connection.exchange import SendFault
from waywell.connection.forwarding import FORWARDED_HEADER, ForwardMark
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
from waywell.request.ask import AnswerMark, Ask
from waywell.request.attempt import Attempt
from waywell.request.forwarder import Forwarder
from waywell.request.paths import DirectPaths
from waywell.request.peer_chooser import make_peer_key
from waywell.request.placement import Chooser
from waywell.request.replica_book import ReplicaBook
from waywell.request.request_context import CallerAnswer, ForwarderParts
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


class StageAnswer(CallerAnswer):
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
        self.end = 'whole'

    def cut(self) -> None:
        self.end = 'cut'


class _Wire:
    def make_headers(self, *_words: object) -> tuple:
        return ()

    def make_forward_headers(
        self, _ask: Ask, mark: ForwardMark, *_words: object
    ) -> tuple:
        return ((FORWARDED_HEADER.encode(), mark.encode().encode()),)


class HeldPaths(DirectPaths):
    """Links that a test takes away, with peers that it names."""

    def __init__(self) -> None:
        self.is_lost = False
        self.is_found_lost = False
        self.peers: list[NodeRecord] = []

    def is_partitioned(self, service: ServiceName) -> bool:
        return self.is_lost

    async def await_diagnosis(self, service: ServiceName) -> None:
        self.is_lost = self.is_found_lost

    def choose_peer(
        self, service: ServiceName, tried: Any, now: float
    ) -> NodeRecord | None:
        left = [one for one in self.peers if make_peer_key(one) not in tried]
        return left[0] if left else None


class Stage:
    """A forwarder whose attempts are driven by hand."""

    def __init__(self, kind: RouteKind = RouteKind.STREAM) -> None:
        self.clock = HeldClock()
        self.connects_at_once = True
        self.book = ReplicaBook()
        self.attempts: list[Attempt] = []
        self.answer = StageAnswer()
        self.refusal: Refusal | None = None
        stream = kind is RouteKind.STREAM
        route = Route(
            'r',
            'h',
            '/',
            kind,
            timeout=8.0,
            goal=0.4,
            shares=(ServiceShare(ServiceName('llm'), 1.0),),
            gap_goal=0.3,
            most_targets=2,
            resumable=stream,
        )
        engine = Engine(9, (EngineModel(MODEL, 2),))
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
        self.paths = HeldPaths()
        self.budget = ResendBudget(ResendLimits(0.2, 90.0, 10.0), 0.0)
        self.forwarder = Forwarder(
            ForwarderParts(
                cluster=cluster,
                wire=_Wire(),
                chooser=Chooser(HallName('port'), SharedLoads(), Random(1)),
                book=self.book,
                budget=self.budget,
                paths=self.paths,
                node='own',
                clock=self.clock,
                draw=lambda: 0.0,
                count_nodes=lambda: 1,
                raise_doubt=lambda _replica: None,
                metrics=RequestMetrics(Metrics()),
                guard=self.quarantine,
                turns=self.turns,
                running=self.quarantine._running,
            ),
        )

    def note_start(
        self,
        attempt: Attempt,
        may_send: Any,
        now: float,
    ) -> None:
        attempt.started_at = now
        if not self._has_turn(attempt):
            attempt.tell(Attempt.Fault(attempt, SendFault.NO_PERMIT))
            return
        assert not self.connects_at_once or may_send()
        self.may_send = may_send
        self.attempts.append(attempt)

    def _has_turn(self, attempt: Attempt) -> bool:
        """Take a turn as an attempt does; the node deals all itself."""
        try:
            attempt.destination.take_turn().send(None)
        except StopIteration as end:
            return bool(end.value)
        raise AssertionError('the node asked another one')

    async def begin(
        self,
        forwarded: ForwardMark | None = None,
        resume_after: int | None = None,
    ) -> asyncio.Task:
        ask = Ask(
            'a1',
            'POST',
            '/x',
            'h',
            (),
            b'',
            model=MODEL,
            forwarded=forwarded,
            resume_after=resume_after,
        )
        self.answer = StageAnswer()
        task = asyncio.create_task(self._serve(ask, self.answer))
        await self.settle()
        return task

    async def settle(self) -> None:
        for _turn in range(10):
            await asyncio.sleep(0)

    async def pass_time(self, seconds: float) -> None:
        """Let the clock pass, and wake the forwarder as a timer would."""
        self.clock.now += seconds
        self.attempts[0]._inbox.put(None)
        await self.settle()

    async def head(self, attempt: Attempt, **changes: Any) -> None:
        facts = {'status': 200, 'mark': AnswerMark('a1'), **changes}
        attempt.take_head(headers=STREAM_HEADERS, length=None, **facts)
        await self.settle()

    async def events(self, attempt: Attempt, *numbers: int) -> None:
        for number in numbers:
            raw = b'id: %d\n\n' % number
            attempt.tell(Attempt.Piece(attempt, StreamEvent(raw, number)))
        await self.settle()

    async def end(self, attempt: Attempt, is_whole: bool = True) -> None:
        end = BodyEnd.DELIMITED if is_whole else BodyEnd.TRUNCATED
        attempt.tell(Attempt.End(attempt, BodyOutcome(end)))
        await self.settle()

    async def _serve(self, ask: Ask, answer: StageAnswer) -> None:
        try:
            await self.forwarder.serve(ask, answer)
        except Refusal as refusal:
            self.refusal = refusal

    async def restart(self, *names: str) -> None:
        """Let a newer list show boxes that started again under their ids."""
        boxes = dict(self.cluster.fleet.boxes)
        for name in names:
            boxes[BoxId(name)] = msgspec.structs.replace(
                boxes[BoxId(name)],
                standing=None,
                incarnation=Incarnation(2),
            )
        self.cluster.apply_fleet(Fleet(boxes), self.clock.now)
        await self.settle()


def drive(made: Stage, monkeypatch: pytest.MonkeyPatch) -> None:
    """Let attempts go to the stage in place of the network."""
    monkeypatch.setattr(
        Attempt,
        'start',
        lambda *words: made.note_start(*words),
    )
