"""The way of one request through the model, by the product's decisions."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

import attrs

from waywell.experiment.forming_holder import FormingHolder
from waywell.experiment.group_engine import EngineClient, Work
from waywell.experiment.model_box import SERVICE
from waywell.experiment.node import Node
from waywell.experiment.policy import Policy
from waywell.experiment.simulated_boxes import SimulatedBoxes
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
    """A request of the model ended a second time."""


@attrs.frozen(eq=False)
class CallParts:
    """What all requests work with."""

    timeline: Timeline
    """Events of the model."""

    cluster: ClusterView
    """Box list that the nodes see."""

    fleet_model: SimulatedBoxes
    """The boxes."""

    holder: FormingHolder
    """Holder of the forming duty."""

    engine: Engine
    """Engines, as the decisions know them."""

    routes: Mapping[str, Route]
    """Routes by kind."""

    nodes: tuple[Node, ...]
    """Entry boxes."""

    policy: Policy
    """What differs from the daemons' ways."""

    tally: Tally
    """Counts endings."""


class Call:
    """One request of a caller.

    Parameters
    ----------
    parts
        What all requests work with.
    arrival
        The request.
    """

    def __init__(self, parts: CallParts, arrival: Arrival) -> None:
        """Ask nothing yet."""
        self.parts = parts
        self.arrival = arrival
        self.node = parts.nodes[arrival.node]
        self.patience = self._measure_patience()
        self.made = 0
        self.ending: Ending | None = None
        self._route = parts.routes[arrival.kind.name]
        self._arrived_at = 0.0
        self._ends_at = 0.0
        self._first_at: float | None = None
        self._quiet_since: float | None = None
        self._longest_pause = 0.0
        self._attempts: list[_Attempt] = []
        self._tried: frozenset[ReplicaKey] = frozenset()
        self._sends = 0
        self._rejections = 0
        self._returns_left = arrival.kind.returns

    def begin(self) -> None:
        """Let the request arrive now."""
        timeline = self.parts.timeline
        self._arrived_at = timeline.now
        self._ends_at = timeline.now + self._route.timeout
        timeline.schedule(self._ends_at, self._expire)
        self._ask()

    def has_attempt(self, attempt: _Attempt) -> bool:
        """Answer whether an attempt goes on."""
        return attempt in self._attempts

    def on_first(self, attempt: _Attempt) -> None:
        """Go on with the attempt that brought an event first."""
        for other in tuple(self._attempts):
            if other is not attempt:
                self._drop(other)
        now = self.parts.timeline.now
        if self._first_at is None:
            self._first_at = now
        if self._quiet_since is not None:
            pause = now - self._quiet_since
            self._longest_pause = max(self._longest_pause, pause)
            self._quiet_since = None

    def on_quiet(self) -> None:
        """Note since when a begun answer has paused."""
        if self._quiet_since is None:
            self._quiet_since = self.parts.timeline.now

    def on_end(self, attempt: _Attempt) -> None:
        """End the answered request."""
        self._drop(attempt)
        self._finish(Ending.IN_AIM if self._is_in_aim() else Ending.LATE)

    def on_rejected(self, attempt: _Attempt) -> None:
        """Go on after a replica that has run nothing."""
        self._rejections += 1
        attempt.record_failure()
        self._drop(attempt)
        if not self._attempts and not self._send_paid():
            self._give_up()

    def on_broken(self, attempt: _Attempt) -> None:
        """Go on after a connection that broke."""
        attempt.record_failure()
        self._drop(attempt)
        if not self._attempts and not self._send_paid():
            self._give_up()

    def hedge(self, attempt: _Attempt) -> None:
        """Try elsewhere beside a silent attempt, or wait once more."""
        if len(self._attempts) > 1 or not self._has_sends_left():
            return
        attempt.record_silence()
        if not self._send_paid():
            attempt.wait_again()

    def _measure_patience(self) -> HedgeTimeouts:
        arrival = self.arrival
        ask = DecodedRequest(
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
        route = self.parts.routes[arrival.kind.name]
        return compute_hedge_timeouts(route, self.parts.engine, ask)

    def _ask(self) -> None:
        if self.ending is not None:
            return
        now = self.parts.timeline.now
        self.node.budget.record_request(SERVICE, now)
        self._tried = frozenset()
        self._sends = 0
        self._rejections = 0
        replica = self._choose()
        if replica is None:
            self._give_up()
        else:
            self._send(replica)

    def _choose(self) -> Replica | None:
        parts = self.parts
        model = ModelName(self.arrival.kind.model)
        return self.node.chooser.choose(
            parts.cluster.list_replicas(SERVICE, model),
            self._tried,
            self.node.book,
            parts.timeline.now,
        )

    def _has_sends_left(self) -> bool:
        return self._sends < self._route.most_targets

    def _send_paid(self) -> bool:
        """Start a second attempt within the budget; answer whether so."""
        if self.ending is not None or not self._has_sends_left():
            return False
        replica = self._choose()
        now, nodes = self.parts.timeline.now, len(self.parts.nodes)
        if replica is None:
            return False
        if not self.node.budget.spend(SERVICE, nodes, now):
            return False
        self.parts.tally.resends += 1
        self._send(replica)
        return True

    def _send(self, replica: Replica) -> None:
        self._tried |= {replica.key}
        self._sends += 1
        attempt = _Attempt(self, replica)
        self._attempts.append(attempt)
        attempt.start()

    def _drop(self, attempt: _Attempt) -> None:
        if attempt in self._attempts:
            self._attempts.remove(attempt)
            attempt.stop()

    def _give_up(self) -> None:
        """Refuse; the caller comes back as advised, or gives up."""
        if self._first_at is not None:
            self._finish(Ending.BROKEN)
            return
        self.parts.tally.refusals += 1
        back_at = self.parts.timeline.now + self._advise()
        if not self._returns_left or back_at >= self._ends_at:
            self._finish(Ending.REFUSED)
            return
        self._returns_left -= 1
        self.parts.timeline.schedule(back_at, self._ask)

    def _advise(self) -> float:
        if self.parts.policy.return_seconds:
            return self.parts.policy.return_seconds
        unroutable = explain_unroutable(None, None, self._rejections)
        seconds_left = self._ends_at - self.parts.timeline.now
        draw = self.node.random.random()
        return compute_retry_after(
            unroutable.reason, seconds_left, draw, unroutable.wait
        )

    def _expire(self) -> None:
        if self.ending is not None:
            return
        for attempt in tuple(self._attempts):
            attempt.record_silence()
            self._drop(attempt)
        self._finish(Ending.EXPIRED)

    def _is_in_aim(self) -> bool:
        if self._first_at is None:
            return False
        kind = self.arrival.kind
        is_prompt = self._first_at - self._arrived_at <= kind.goal
        has_gaps = 0 < kind.gap_goal < self._longest_pause
        return is_prompt and not has_gaps

    def _finish(self, ending: Ending) -> None:
        if self.ending is not None:
            raise EndedTwiceError(self.arrival, self.ending, ending)
        self.ending = ending
        self.parts.tally.add(self.arrival.kind, ending)


class _Attempt(EngineClient):
    """A request at one replica."""

    def __init__(self, call: Call, replica: Replica) -> None:
        self._call = call
        self._replica = replica
        self._book = call.node.book
        self._timeline = call.parts.timeline
        self._started_at = call.parts.timeline.now
        self._has_begun = False
        self._engine: GroupEngine | None = None
        # A replica that goes on elsewhere reads what was made as well.
        self._skipped = call.made
        self._work = Work(
            self,
            call.arrival.prompt_tokens + call.made,
            max(1, call.arrival.answer_tokens - call.made),
        )

    def start(self) -> None:
        """Send the request."""
        key, now = self._replica.key, self._timeline.now
        record = self._book.get(key)
        if not record.in_flight:
            record.heard_at = now
        self._book.record_start(key)
        fleet_model = self._call.parts.fleet_model
        self._timeline.schedule_in(
            self._call.patience.first, self._check_silence
        )
        if not fleet_model.boxes[key.box].is_alive:
            return
        running = fleet_model.find_running(key)
        if running is None:
            self._call.parts.cluster.exclude_replica(self._replica)
            self._call.on_rejected(self)
        elif running.engine.submit(self._work):
            self._engine = running.engine
        else:
            self._call.on_rejected(self)

    def stop(self) -> None:
        """Break it off."""
        self._book.record_end(self._replica.key)
        if self._engine is not None:
            self._record_attempt()
            self._engine.drop(self._work)

    def on_first(self) -> None:
        """Take in the first event."""
        now = self._timeline.now
        self._book.record_event(self._replica.key, now)
        self._has_begun = True
        expected = self._call.patience.expected_first
        if expected > 0:
            ratio = (now - self._started_at) / expected
            self._book.record_first_event(self._replica.key, ratio)
        self._call.on_first(self)

    def on_end(self) -> None:
        """Take in the last event."""
        self._book.record_event(self._replica.key, self._timeline.now)
        self._call.on_end(self)

    def on_stalled(self) -> None:
        """Take in that nothing more comes."""
        if self._has_begun:
            now = self._timeline.now
            self._book.record_event(self._replica.key, now)
            self._record_attempt()
            self._call.on_quiet()
            self._timeline.schedule_in(
                self._call.patience.gap, self._check_silence
            )

    def on_broken(self) -> None:
        """Take in that the connection broke."""
        if not self._call.has_attempt(self):
            return
        if self._has_begun:
            self._record_attempt()
            self._call.on_quiet()
        self._call.on_broken(self)

    def record_failure(self) -> None:
        """Let the replica rest."""
        self._book.record_failure(self._replica.key, self._timeline.now)

    def record_silence(self) -> None:
        """Let a replica rest from which nothing comes, and doubt it."""
        key, now = self._replica.key, self._timeline.now
        if self._is_sound():
            self._book.record_message(key, now)
        if self._book.is_silent(key, self._call.patience.gap, now):
            self._book.record_failure(key, now)
            self._call.parts.holder.raise_doubt(self._replica)

    def wait_again(self) -> None:
        """Wait once more for as long as before."""
        now, patience = self._timeline.now, self._call.patience
        self._started_at = now
        self._book.get(self._replica.key).heard_at = now
        seconds = patience.gap if self._has_begun else patience.first
        self._timeline.schedule_in(seconds, self._check_silence)

    def _check_silence(self) -> None:
        if not self._call.has_attempt(self):
            return
        if not self._has_begun or not self._is_sound():
            self._call.hedge(self)

    def _is_sound(self) -> bool:
        return self._engine is not None and not self._engine.is_stalled

    def _record_attempt(self) -> None:
        """Note the tokens that the caller has."""
        if self._engine is not None and self._has_begun:
            made = self._skipped + self._engine.count_made(self._work)
            self._call.made = max(self._call.made, made)
