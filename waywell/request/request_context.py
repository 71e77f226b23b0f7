"""A request while it is served, and what serves it."""

from __future__ import annotations

import abc
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from waywell.connection.wire_format import WireFormat
from waywell.ids import Fingerprint, ServiceName, Trait
from waywell.knowledge.cluster_view import ClusterView
from waywell.process.clock import Clock
from waywell.request.answer_times import AnswerTimes
from waywell.request.ask import Ask
from waywell.request.backpressure import Backpressure
from waywell.request.guard import RequestGuard
from waywell.request.paths import DirectPaths, ReplicaPaths
from waywell.request.pauses import PauseGauge
from waywell.request.placement import Chooser
from waywell.request.replica_book import ReplicaBook
from waywell.request.resend_budget import ResendBudget
from waywell.request.running import RunningAttempts
from waywell.request.traits import RequestTraits
from waywell.request.turn_source import TurnSource
from waywell.telemetry.request_metrics import RequestMetrics
from waywell.version.fleet import Replica, ReplicaKey
from waywell.version.routes import Engine, KeyHolder, Route

if TYPE_CHECKING:
    from waywell.connection.wire_format import RawHeaders


class CallerAnswer(abc.ABC):
    """The caller's side of a request."""

    @abc.abstractmethod
    def begin(
        self,
        status: int,
        headers: RawHeaders,
        length: int | None,
    ) -> None:
        """Write the head."""

    @abc.abstractmethod
    async def write(self, raw: bytes) -> None:
        """Write a piece of the body; waits while the caller reads slowly."""

    @abc.abstractmethod
    def finish(self) -> None:
        """End a whole answer."""

    @abc.abstractmethod
    def cut(self) -> None:
        """Break the connection, so that the answer can't look whole."""


@attrs.frozen
class ForwarderParts:
    """What a forwarder works with."""

    cluster: ClusterView
    """Routes and boxes in force, with how fresh they are."""

    wire: WireFormat
    """How requests and answers look."""

    chooser: Chooser
    """Chooses replicas."""

    book: ReplicaBook
    """What this node has seen of replicas."""

    budget: ResendBudget
    """Second sends."""

    clock: Clock
    """Where the time is read."""

    draw: Callable[[], float]
    """Returns a number from 0 up to 1."""

    count_nodes: Callable[[], int]
    """Returns how many entry boxes share the budget."""

    raise_doubt: Callable[[Replica], None]
    """Tells the other nodes that nothing comes from a replica."""

    metrics: RequestMetrics
    """Counts and times."""

    guard: RequestGuard
    """Knows which requests crash replicas."""

    turns: TurnSource
    """Knows the limits of replicas."""

    paths: ReplicaPaths = attrs.Factory(DirectPaths)
    """This node's links to replicas, and peers that forward requests."""

    peer_book: ReplicaBook = attrs.Factory(ReplicaBook)
    """What this node has seen of those peers."""

    node: str = ''
    """Name of this node."""

    pauses: PauseGauge = attrs.Factory(PauseGauge)
    """Pauses between events that are usual."""

    running: RunningAttempts = attrs.Factory(RunningAttempts)
    """Attempts that run now."""

    backpressure: Backpressure = attrs.Factory(Backpressure)
    """What replicas have asked of this node."""

    answer_times: AnswerTimes = attrs.Factory(AnswerTimes)
    """How long whole answers take."""


@attrs.define
class RequestContext:
    """A request while it is served."""

    ask: Ask
    """What the caller asks."""

    route: Route
    """Its route."""

    service: ServiceName
    """Service that was drawn."""

    holder: KeyHolder | None
    """Client account."""

    arrived_at: float
    """When it came, in seconds."""

    ends_at: float
    """When it is given up, in seconds."""

    traits: RequestTraits = RequestTraits(Fingerprint(Trait('')))
    """What it may be blamed by when replicas crash."""

    engine: Engine | None = None
    """Engine of the service, where it has one."""

    tried: frozenset[ReplicaKey] = frozenset()
    """Replicas that it was sent to."""

    most_sends: int = 1
    """Replicas that it may be sent to."""

    sends: int = 0
    """Replicas that a byte of it may have reached."""

    rejections: int = 0
    """Attempts of which a replica said that it ran nothing."""

    turns_missed: int = 0
    """Replicas with a limit that had no turn for it."""

    last_event: int | None = None
    """Last event that was passed on."""

    is_begun: bool = False
    """Whether the head of an answer was passed on."""

    passed_number: bool = False
    """Whether an event with a number was passed on."""

    passed_unnumbered: bool = False
    """Whether a part without a number was passed on, comments aside."""

    @property
    def can_resume(self) -> bool:
        """Return whether the rest of a begun answer can come from another."""
        if not self.route.resumable or self.passed_unnumbered:
            return False
        return self.passed_number

    @property
    def may_move(self) -> bool:
        """Return whether another replica may take over from here."""
        if not self.route.may_repeat:
            return False
        return self.can_resume or not self.is_begun

    @property
    def may_have_run(self) -> bool:
        """Return whether a replica may have run it."""
        return self.sends > self.rejections

    @property
    def priority(self) -> int:
        """Return its rank among the requests of a replica, 0 first."""
        if self.holder is not None and self.holder.priority is not None:
            return self.holder.priority
        return self.route.priority
