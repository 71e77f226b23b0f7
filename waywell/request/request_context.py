"""State of a request in progress, and the collaborators of the forwarder."""

from __future__ import annotations

import abc
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from waywell.codes import Ran
from waywell.connection.wire_format import WireFormat
from waywell.ids import Fingerprint, ServiceName, Trait
from waywell.knowledge.cluster_view import ClusterView
from waywell.process.clock import Clock
from waywell.request.answer_times import AnswerTimes
from waywell.request.backpressure import Backpressure
from waywell.request.decoded_request import DecodedRequest
from waywell.request.guard import RequestGuard
from waywell.request.paths import DirectPaths, ReplicaPaths
from waywell.request.pauses import PauseEstimator
from waywell.request.permit_source import PermitSource
from waywell.request.placement import ReplicaChooser
from waywell.request.replica_table import ReplicaTable
from waywell.request.resend_budget import ResendBudget
from waywell.request.resend_rule import SendState
from waywell.request.running_attempts import RunningAttempts
from waywell.request.traits import RequestTraits
from waywell.telemetry.request_metrics import RequestMetrics
from waywell.version.fleet import Replica, ReplicaKey
from waywell.version.routes import Engine, KeyHolder, Route

if TYPE_CHECKING:
    from waywell.connection.forwarding import PeerRefusal
    from waywell.connection.wire_format import RawHeaders


class AnswerWriter(abc.ABC):
    """Writes the answer to a caller."""

    @abc.abstractmethod
    def begin(
        self,
        status: int,
        headers: RawHeaders,
        length: int | None,
    ) -> None:
        """Write the head of the answer; ``length`` is the body's, in bytes."""

    @abc.abstractmethod
    async def write(self, raw: bytes) -> None:
        """Write a piece of the body, waiting while the caller reads slowly."""

    def hold(self, size: int) -> bool:
        """Account for bytes of the answer that wait to be written.

        Parameters
        ----------
        size
            Number of bytes; negative for bytes that wait no more.

        Returns
        -------
        bool
            Whether the node has memory for more; always, by default.
        """
        return True

    @abc.abstractmethod
    def finish(self) -> None:
        """End a complete answer."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Abort the connection, so that the answer can't look complete."""


@attrs.frozen
class ForwarderDependencies:
    """Collaborators of a forwarder."""

    cluster: ClusterView
    """Routes and boxes in force, with their age."""

    wire: WireFormat
    """Encodes requests for replicas and decodes their answers."""

    chooser: ReplicaChooser
    """Selects the replica for an attempt."""

    replica_table: ReplicaTable
    """This node's records of load, failures and silence of replicas."""

    budget: ResendBudget
    """Budget for resends: retries and hedges."""

    clock: Clock
    """Clock of the node, in seconds."""

    draw: Callable[[], float]
    """Returns a random number, at least 0 and below 1."""

    count_nodes: Callable[[], int]
    """Returns the number of entry boxes that share the resend budget."""

    raise_doubt: Callable[[Replica], None]
    """Notifies the other nodes that a replica is silent."""

    metrics: RequestMetrics
    """Request counters and timers."""

    guard: RequestGuard
    """Holds back requests that crash replicas."""

    permits: PermitSource
    """Grants permits under the rate limits of replicas."""

    paths: ReplicaPaths = attrs.Factory(DirectPaths)
    """State of this node's links to replicas, and peers that can forward."""

    peer_table: ReplicaTable = attrs.Factory(ReplicaTable)
    """This node's records of the peers that forward requests."""

    node: str = ''
    """Name of this node, sent along with requests that peers forward."""

    pauses: PauseEstimator = attrs.Factory(PauseEstimator)
    """Estimates the usual pause between events, by model."""

    running: RunningAttempts = attrs.Factory(RunningAttempts)
    """Attempts of this node that are in progress."""

    backpressure: Backpressure = attrs.Factory(Backpressure)
    """Pauses that replicas asked for, and replicas that are leaving."""

    answer_times: AnswerTimes = attrs.Factory(AnswerTimes)
    """Bounds the time that answers still take."""


@attrs.define
class RequestContext:
    """State of a request in progress."""

    request: DecodedRequest
    """Decoded request of the caller."""

    route: Route
    """Route that matches the host and path of the request."""

    service: ServiceName
    """Service that was selected among the shares of the route."""

    holder: KeyHolder | None
    """Holder of the API key; ``None`` if the route needs no key."""

    arrived_at: float
    """Time of arrival by the node's clock, in seconds."""

    deadline_at: float
    """Time at which the request is given up, in seconds."""

    traits: RequestTraits = RequestTraits(Fingerprint(Trait('')))
    """Properties that crashes of replicas are attributed to."""

    engine: Engine | None = None
    """Engine of the service; ``None`` if it has none."""

    tried: frozenset[ReplicaKey] = frozenset()
    """Keys of the replicas and peers that were tried."""

    max_sends: int = 1
    """Maximum number of replicas to send the request to."""

    sends: int = 0
    """Number of replicas that may have received a byte of the request."""

    rejections: int = 0
    """Number of attempts that replicas rejected without running them."""

    permits_denied: int = 0
    """Number of replicas with a rate limit that denied a permit."""

    last_event: int | None = None
    """Number of the last event that was relayed to the caller."""

    is_begun: bool = False
    """Whether the head of an answer was sent to the caller."""

    passed_numbered_event: bool = False
    """Whether an event with a number was relayed."""

    passed_unnumbered_part: bool = False
    """Whether a piece without a number was relayed, other than comments."""

    @property
    def can_resume(self) -> bool:
        """Return whether another replica can continue a begun answer."""
        if not self.route.resumable or self.passed_unnumbered_part:
            return False
        return self.passed_numbered_event

    @property
    def may_retry_elsewhere(self) -> bool:
        """Return whether the request may be sent to another replica now."""
        if not self.route.may_repeat:
            return False
        return self.can_resume or not self.is_begun

    @property
    def may_have_run(self) -> bool:
        """Return whether a replica may have run the request."""
        return self.make_send_state().may_have_run

    def make_send_state(self, min_answer_seconds: float = 0.0) -> SendState:
        """Return what decides whether the request may be sent again.

        Parameters
        ----------
        min_answer_seconds
            Time that a replica needs at least to begin an answer, in seconds.
        """
        return SendState(
            may_repeat=self.may_retry_elsewhere,
            sends=self.sends,
            rejections=self.rejections,
            max_sends=self.max_sends,
            deadline_at=self.deadline_at,
            min_answer_seconds=min_answer_seconds,
        )

    def settle_peer_sends(self, reserved: int, refusal: PeerRefusal) -> None:
        """Count only those sends reserved for a peer that it has used.

        Parameters
        ----------
        reserved
            Number of replicas that the peer could send the request to.
        refusal
            Refusal of the peer.
        """
        unused = refusal.count_unused(reserved)
        self.sends -= unused
        if refusal.ran is Ran.NOT_RUN:
            self.rejections += reserved - unused

    @property
    def priority(self) -> int:
        """Return the priority in a replica's queue; 0 is served first."""
        if self.holder is not None and self.holder.priority is not None:
            return self.holder.priority
        return self.route.priority
