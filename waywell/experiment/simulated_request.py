"""Simulation of one request with the daemons' own routing decisions."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

import attrs

from waywell.experiment.forming_holder import FormingHolder
from waywell.experiment.group_engine import EngineClient, EngineRequest
from waywell.experiment.node import Node
from waywell.experiment.policy import Policy
from waywell.experiment.simulated_box import SERVICE
from waywell.experiment.simulated_fleet import SimulatedFleet
from waywell.experiment.tally import Ending, Tally
from waywell.experiment.timeline import Timeline
from waywell.ids import ModelName
from waywell.knowledge.cluster_view import ClusterView
from waywell.request.decoded_request import DecodedRequest
from waywell.request.hedge_timeouts import (
    HedgeTimeouts,
    compute_hedge_timeouts,
)
from waywell.request.retry_after import compute_retry_after
from waywell.request.unroutable import explain_unroutable
from waywell.version.routes import Engine, Route

if TYPE_CHECKING:
    from waywell.experiment.arrivals import Arrival
    from waywell.experiment.group_engine import GroupEngine
    from waywell.version.fleet import Replica, ReplicaKey


class EndedTwiceError(Exception):
    """A simulated request ended a second time."""


@attrs.frozen(eq=False)
class SimulationContext:
    """Objects that all requests of one simulation share."""

    timeline: Timeline
    """Events and clock of the simulation."""

    cluster: ClusterView
    """View of the fleet that all nodes share."""

    simulated_fleet: SimulatedFleet
    """Target boxes that requests are sent to."""

    holder: FormingHolder
    """Holder of the forming duty, which receives doubts about replicas."""

    engine: Engine
    """Engine figures that the hedge timeouts are computed from."""

    routes: Mapping[str, Route]
    """Routes by the name of the request kind."""

    nodes: tuple[Node, ...]
    """Entry boxes, in the order of ``Arrival.node``."""

    policy: Policy
    """Policy under test."""

    tally: Tally
    """Counters of endings, refusals and resends."""


class SimulatedRequest:
    """One request of a caller, with its attempts and returns.

    Parameters
    ----------
    context
        Objects that all requests share.
    arrival
        Kind, size and entry box of the request.
    """

    def __init__(self, context: SimulationContext, arrival: Arrival) -> None:
        """Prepare the request without submitting it."""
        self.context = context
        self.arrival = arrival
        self.node = context.nodes[arrival.node]
        self.hedge_timeouts = self._compute_hedge_timeouts()
        self.received_tokens = 0
        self.ending: Ending | None = None
        self._route = context.routes[arrival.kind.name]
        self._arrived_at = 0.0
        self._ends_at = 0.0
        self._first_event_at: float | None = None
        self._paused_since: float | None = None
        self._longest_pause = 0.0
        self._attempts: list[_Attempt] = []
        self._tried: frozenset[ReplicaKey] = frozenset()
        self._sends = 0
        self._rejections = 0
        self._returns_left = arrival.kind.returns

    def start(self) -> None:
        """Submit the request now and schedule its deadline."""
        timeline = self.context.timeline
        self._arrived_at = timeline.now
        self._ends_at = timeline.now + self._route.timeout
        timeline.schedule(self._ends_at, self._expire)
        self._submit()

    def has_attempt(self, attempt: _Attempt) -> bool:
        """Return whether an attempt is still in progress."""
        return attempt in self._attempts

    def on_first_event(self, attempt: _Attempt) -> None:
        """Keep the attempt that received an event first; stop the others."""
        for other in tuple(self._attempts):
            if other is not attempt:
                self._stop_attempt(other)
        now = self.context.timeline.now
        if self._first_event_at is None:
            self._first_event_at = now
        if self._paused_since is not None:
            pause = now - self._paused_since
            self._longest_pause = max(self._longest_pause, pause)
            self._paused_since = None

    def on_pause(self) -> None:
        """Record the start of a pause in the answer."""
        if self._paused_since is None:
            self._paused_since = self.context.timeline.now

    def on_end(self, attempt: _Attempt) -> None:
        """Finish the request after its complete answer."""
        self._stop_attempt(attempt)
        self._finish(Ending.IN_AIM if self._has_met_goals() else Ending.LATE)

    def on_rejected(self, attempt: _Attempt) -> None:
        """Continue after a replica rejected the request without running it."""
        self._rejections += 1
        attempt.record_failure()
        self._stop_attempt(attempt)
        if not self._attempts and not self._resend_within_budget():
            self._refuse()

    def on_broken(self, attempt: _Attempt) -> None:
        """Continue after the connection of an attempt broke."""
        attempt.record_failure()
        self._stop_attempt(attempt)
        if not self._attempts and not self._resend_within_budget():
            self._refuse()

    def hedge(self, attempt: _Attempt) -> None:
        """Start a second attempt beside a silent one, or extend the wait."""
        if len(self._attempts) > 1 or not self._has_sends_left():
            return
        attempt.record_silence()
        if not self._resend_within_budget():
            attempt.extend_wait()

    def _compute_hedge_timeouts(self) -> HedgeTimeouts:
        arrival = self.arrival
        decoded_request = DecodedRequest(
            attempt_id='',
            method='POST',
            target='/',
            host='',
            headers=(),
            body=b'',
            model=ModelName(arrival.kind.model),
            prompt_tokens=arrival.prompt_tokens,
            answer_tokens=arrival.answer_tokens,
        )
        route = self.context.routes[arrival.kind.name]
        return compute_hedge_timeouts(
            route, self.context.engine, decoded_request
        )

    def _submit(self) -> None:
        if self.ending is not None:
            return
        now = self.context.timeline.now
        self.node.budget.record_request(SERVICE, now)
        self._tried = frozenset()
        self._sends = 0
        self._rejections = 0
        replica = self._choose_replica()
        if replica is None:
            self._refuse()
        else:
            self._send(replica)

    def _choose_replica(self) -> Replica | None:
        context = self.context
        model = ModelName(self.arrival.kind.model)
        return self.node.chooser.choose(
            context.cluster.list_replicas(SERVICE, model),
            self._tried,
            self.node.replica_table,
            context.timeline.now,
        )

    def _has_sends_left(self) -> bool:
        return self._sends < self._route.most_targets

    def _resend_within_budget(self) -> bool:
        """Start another attempt if possible; return whether it started.

        The route limits the attempts, and the budget limits the resends.
        """
        if self.ending is not None or not self._has_sends_left():
            return False
        replica = self._choose_replica()
        now, nodes = self.context.timeline.now, len(self.context.nodes)
        if replica is None:
            return False
        if not self.node.budget.spend(SERVICE, nodes, now):
            return False
        self.context.tally.resends += 1
        self._send(replica)
        return True

    def _send(self, replica: Replica) -> None:
        self._tried |= {replica.key}
        self._sends += 1
        attempt = _Attempt(self, replica)
        self._attempts.append(attempt)
        attempt.start()

    def _stop_attempt(self, attempt: _Attempt) -> None:
        if attempt in self._attempts:
            self._attempts.remove(attempt)
            attempt.stop()

    def _refuse(self) -> None:
        """Refuse the request; its caller returns later or gives up.

        A request whose answer has begun ends as broken instead.
        """
        if self._first_event_at is not None:
            self._finish(Ending.BROKEN)
            return
        self.context.tally.refusals += 1
        back_at = self.context.timeline.now + self._compute_retry_after()
        if not self._returns_left or back_at >= self._ends_at:
            self._finish(Ending.REFUSED)
            return
        self._returns_left -= 1
        self.context.timeline.schedule(back_at, self._submit)

    def _compute_retry_after(self) -> float:
        if self.context.policy.return_seconds:
            return self.context.policy.return_seconds
        unroutable = explain_unroutable(None, None, self._rejections)
        seconds_left = self._ends_at - self.context.timeline.now
        draw = self.node.random.random()
        return compute_retry_after(
            unroutable.reason, seconds_left, draw, unroutable.wait
        )

    def _expire(self) -> None:
        if self.ending is not None:
            return
        for attempt in tuple(self._attempts):
            attempt.record_silence()
            self._stop_attempt(attempt)
        self._finish(Ending.EXPIRED)

    def _has_met_goals(self) -> bool:
        if self._first_event_at is None:
            return False
        kind = self.arrival.kind
        is_in_time = self._first_event_at - self._arrived_at <= kind.goal
        has_long_pause = 0 < kind.gap_goal < self._longest_pause
        return is_in_time and not has_long_pause

    def _finish(self, ending: Ending) -> None:
        if self.ending is not None:
            raise EndedTwiceError(self.arrival, self.ending, ending)
        self.ending = ending
        self.context.tally.record_ending(self.arrival.kind, ending)


class _Attempt(EngineClient):
    """One attempt of a request at one replica."""

    def __init__(
        self, simulated_request: SimulatedRequest, replica: Replica
    ) -> None:
        self._request = simulated_request
        self._replica = replica
        self._replica_table = simulated_request.node.replica_table
        self._timeline = simulated_request.context.timeline
        self._started_at = simulated_request.context.timeline.now
        self._has_begun = False
        self._engine: GroupEngine | None = None
        # An attempt that resumes an answer also has to read the tokens that
        # the caller already received.
        self._prior_tokens = simulated_request.received_tokens
        self._engine_request = EngineRequest(
            self,
            simulated_request.arrival.prompt_tokens
            + simulated_request.received_tokens,
            max(
                1,
                simulated_request.arrival.answer_tokens
                - simulated_request.received_tokens,
            ),
        )

    def start(self) -> None:
        """Send the request to the replica."""
        key, now = self._replica.key, self._timeline.now
        record = self._replica_table.get(key)
        if not record.in_flight:
            record.heard_at = now
        self._replica_table.record_start(key)
        simulated_fleet = self._request.context.simulated_fleet
        self._timeline.schedule_in(
            self._request.hedge_timeouts.first, self._check_silence
        )
        if not simulated_fleet.boxes[key.box].is_alive:
            return
        running_group = simulated_fleet.find_running_group(key)
        if running_group is None:
            self._request.context.cluster.exclude_replica(self._replica)
            self._request.on_rejected(self)
        elif running_group.engine.submit(self._engine_request):
            self._engine = running_group.engine
        else:
            self._request.on_rejected(self)

    def stop(self) -> None:
        """End the attempt and cancel the request at the engine."""
        self._replica_table.record_end(self._replica.key)
        if self._engine is not None:
            self._record_received_tokens()
            self._engine.cancel(self._engine_request)

    def on_first_event(self) -> None:
        """Record the first event and how late it was."""
        now = self._timeline.now
        self._replica_table.record_event(self._replica.key, now)
        self._has_begun = True
        expected = self._request.hedge_timeouts.expected_first
        if expected > 0:
            ratio = (now - self._started_at) / expected
            self._replica_table.record_first_event(self._replica.key, ratio)
        self._request.on_first_event(self)

    def on_end(self) -> None:
        """Record the last event and finish the request."""
        self._replica_table.record_event(self._replica.key, self._timeline.now)
        self._request.on_end(self)

    def on_stalled(self) -> None:
        """Record the pause if the answer has begun, and check it later."""
        if self._has_begun:
            now = self._timeline.now
            self._replica_table.record_event(self._replica.key, now)
            self._record_received_tokens()
            self._request.on_pause()
            self._timeline.schedule_in(
                self._request.hedge_timeouts.gap, self._check_silence
            )

    def on_broken(self) -> None:
        """Report the broken connection unless the attempt was stopped."""
        if not self._request.has_attempt(self):
            return
        if self._has_begun:
            self._record_received_tokens()
            self._request.on_pause()
        self._request.on_broken(self)

    def record_failure(self) -> None:
        """Record a failure, after which the replica is avoided for a while."""
        self._replica_table.record_failure(
            self._replica.key, self._timeline.now
        )

    def record_silence(self) -> None:
        """Record a failure of a silent replica and raise a doubt about it."""
        key, now = self._replica.key, self._timeline.now
        if self._is_responsive():
            self._replica_table.record_message(key, now)
        if self._replica_table.is_silent(
            key, self._request.hedge_timeouts.gap, now
        ):
            self._replica_table.record_failure(key, now)
            self._request.context.holder.raise_doubt(self._replica)

    def extend_wait(self) -> None:
        """Wait for another hedge timeout."""
        now, hedge_timeouts = self._timeline.now, self._request.hedge_timeouts
        self._started_at = now
        self._replica_table.get(self._replica.key).heard_at = now
        seconds = (
            hedge_timeouts.gap if self._has_begun else hedge_timeouts.first
        )
        self._timeline.schedule_in(seconds, self._check_silence)

    def _check_silence(self) -> None:
        if not self._request.has_attempt(self):
            return
        if not self._has_begun or not self._is_responsive():
            self._request.hedge(self)

    def _is_responsive(self) -> bool:
        return self._engine is not None and not self._engine.is_stalled

    def _record_received_tokens(self) -> None:
        """Update the number of tokens that the caller has received."""
        if self._engine is not None and self._has_begun:
            received_tokens = (
                self._prior_tokens
                + self._engine.count_generated_tokens(self._engine_request)
            )
            self._request.received_tokens = max(
                self._request.received_tokens, received_tokens
            )
