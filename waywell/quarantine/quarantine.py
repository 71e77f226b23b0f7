"""The task that detects requests which crash replicas, and informs all nodes.

Each node observes the attempts that break at it.  Where the replica refuses a
new connection as well, it has ended, and the node tells all others which
requests were running there.  All nodes derive the same holds from the same
crashes, so the third crash is enough wherever a request arrives next.  A node
that starts or was disconnected gets the crashes that others know of over its
first stream; the platform keeps what must survive the loss of all nodes.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Any

import attrs

from waywell.connection.peer import (
    KnownCrashes,
    ReplicaEnded,
    RequestCleared,
    RequestHeld,
    SuspectRun,
)
from waywell.ids import Trait
from waywell.membership.links import PeerLinks
from waywell.process.actor import Actor, Message
from waywell.quarantine.crash_history import (
    CRASHES_TO_HOLD,
    Crash,
    CrashHistory,
    Hold,
)
from waywell.request.guard import RequestGuard
from waywell.request.paths import LinkCheck, assume_links_work
from waywell.request.prompt_parts import count_requests, describe_trait
from waywell.telemetry.events import log_detail, log_event, log_warning
from waywell.version.fleet import ReplicaKey

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable, Mapping

    from waywell.ids import NodeId
    from waywell.process.clock import Clock
    from waywell.request.running_attempts import RunningAttempts
    from waywell.request.traits import RequestTraits
    from waywell.version.fleet import FleetBox, Replica

BROADCAST_CLEARED_CRASHES = 2
"""Minimum number of crashes attributed to a trait for which all nodes are
notified that it was served.  One crash interrupts some ten requests, and
nearly all of them are served right after, so clearing a single crash is not
announced."""

PROBE_WAIT_SECONDS = 2.0
"""Delay in seconds before callers retry while one node tests whether a trait
still crashes replicas."""

MAX_WITNESSED = 2048
"""Maximum number of traits recorded as interrupted at this node."""

MAX_LOGGED_BOXES = 8
"""Maximum number of crashed boxes on a log line."""


class Quarantine(Actor, RequestGuard):
    """Holds back requests that crash the replicas that run them.

    Parameters
    ----------
    links
        Streams to other nodes.
    running
        Attempts in progress at this node.
    clock
        Source of the current time.
    is_reachable
        Returns whether a box accepts a new connection.
    is_prober
        Returns whether this node may send a trait whose hold has expired.
    verify
        Returns whether this node's links to a service work.
    """

    class Held(Message, frozen=True):
        """A hold started on a trait that was interrupted at this node."""

        trait: Trait
        """Request or prompt part that is held back."""

        hold: Hold
        """Crashes that the hold is based on."""

    class Freed(Message, frozen=True):
        """A hold was lifted."""

        trait: Trait
        """Request or prompt part that is no longer held back."""

    def __init__(
        self,
        links: PeerLinks,
        running: RunningAttempts,
        clock: Clock,
        is_reachable: Callable[[FleetBox], Awaitable[bool]],
        is_prober: Callable[[], bool],
        verify: LinkCheck = assume_links_work,
    ) -> None:
        """Start without holds."""
        super().__init__('quarantine')
        self.history = CrashHistory()
        self._links = links
        self._running = running
        self._clock = clock
        self._is_reachable = is_reachable
        self._is_prober = is_prober
        self._verify = verify
        self._witnessed: OrderedDict[Trait, None] = OrderedDict()
        self._listeners: list[Actor] = []
        self._crash_watchers: list[Callable[[ReplicaKey], None]] = []
        self._pending_checks: dict[ReplicaKey, dict[Trait, bool]] = {}
        links.subscribe(
            self,
            PeerLinks.Opened,
            ReplicaEnded,
            RequestHeld,
            RequestCleared,
            KnownCrashes,
        )

    def subscribe(self, listener: Actor) -> None:
        """Send ``Held`` and ``Freed`` messages to an actor."""
        self._listeners.append(listener)

    def watch_crashes(self, watcher: Callable[[ReplicaKey], None]) -> None:
        """Call a watcher with each crashed replica, whichever node saw it."""
        self._crash_watchers.append(watcher)

    def get_hold_seconds(self, traits: RequestTraits, now: float) -> float:
        """Return the seconds until a request may be sent; 0 if it may now."""
        known = self.history.holds
        holds = [known[trait] for trait in traits if trait in known]
        seconds = max((hold.expires_at - now for hold in holds), default=0.0)
        if holds and seconds <= 0 and not self._is_prober():
            return PROBE_WAIT_SECONDS
        return max(0.0, seconds)

    def may_send(
        self,
        traits: RequestTraits,
        running: int,
        now: float,
    ) -> bool:
        """Return whether a request may be sent to one more replica.

        An attempt that has just broken counts as a crash until the replica is
        found to be alive, and a running attempt counts as a future crash.
        """
        return all(self._may_risk(trait, running, now) for trait in traits)

    def record_broken_attempt(
        self,
        replica: Replica,
        traits: RequestTraits,
        *,
        has_begun: bool,
        has_ended: bool,
    ) -> None:
        """Record a broken attempt and check whether its replica has ended."""
        key = replica.key
        if has_ended:
            self._report_crash(replica, dict.fromkeys(traits, has_begun))
            return
        is_pending = key in self._pending_checks
        runs = self._pending_checks.setdefault(key, {})
        for trait in traits:
            # A begun answer counts in favour of all traits of its request.
            runs[trait] = has_begun or runs.get(trait, False)
        if not is_pending:
            self.spawn(self._check_replica(replica))

    def record_served(self, traits: RequestTraits) -> None:
        """Clear the traits of a request that was answered completely."""
        holds = self.history.holds
        for trait in traits:
            crashes = self.history.record_served(trait, self._clock.read())
            if crashes >= BROADCAST_CLEARED_CRASHES:
                log_event(
                    'request_cleared', **describe_trait(trait), ends=crashes
                )
                self._links.broadcast(RequestCleared(trait))
        self._publish_hold_changes(holds, 'own')

    def on_opened(self, opened: PeerLinks.Opened) -> None:
        """Send a new peer all known crashes and holds; it may lack some."""
        now = self._clock.read()
        self.history.drop_expired(now)
        ended = tuple(
            _encode_crash(crash, now)
            for crash in self.history.crashes
            if crash.runs
        )
        held = tuple(
            _encode_hold(trait, hold, now)
            for trait, hold in self.history.reported_holds.items()
        )
        if ended or held:
            self._links.send(opened.record.node, KnownCrashes(ended, held))

    def on_received(self, received: PeerLinks.Received) -> None:
        """Apply a message of another node and forward what is new."""
        message = received.message
        holds = self.history.holds
        for part in _split_message(message):
            self._clear_served(part, received.node)
            if self._apply_message(part):
                self._links.forward(part, received.node)
        self._publish_hold_changes(holds, received.node)

    def add_stored_hold(
        self,
        trait: Trait,
        hold: Hold,
    ) -> None:
        """Add a hold that is stored in the platform."""
        holds = self.history.holds
        if self.history.add_reported_hold(trait, hold):
            message = _encode_hold(trait, hold, self._clock.read())
            self._links.broadcast(message)
        self._publish_hold_changes(holds, 'platform')

    def count(self) -> dict[str, float]:
        """Return the number of recorded crashes and of active holds."""
        return {
            'ends': len(self.history.crashes),
            'held': len(self.history.holds),
        }

    def list_holds(self) -> dict[str, dict[str, float]]:
        """Return the holds as plain values, by request or prompt part."""
        now = self._clock.read()
        return {
            trait: {
                'ends': hold.crashes,
                'seconds_left': round(max(0.0, hold.expires_at - now), 1),
            }
            for trait, hold in self.history.holds.items()
        }

    def dump(self) -> dict[str, object]:
        """Return the state as plain values."""
        return {
            **super().dump(),
            'ends': len(self.history.crashes),
            'held': self.list_holds(),
        }

    def _may_risk(self, trait: Trait, running: int, now: float) -> bool:
        """Return whether a trait may be sent to one more replica."""
        if self.history.find_hold(trait, now):
            return False
        crashes = self.history.count_crashes(trait)
        crashes += sum(trait in runs for runs in self._pending_checks.values())
        if not crashes or self.history.was_recently_served(trait, now):
            return True
        if trait in self.history.holds:
            # The hold has expired; a single attempt tests the trait again.
            is_running = bool(running) or self._running.has_trait(trait)
            return self._is_prober() and not is_running
        return crashes + running < CRASHES_TO_HOLD

    async def _check_replica(self, replica: Replica) -> None:
        """Report a crash if the replica refuses a new connection as well.

        An attempt also breaks when its answer is lost, corrupted or reset, and
        a node that lost its links to replicas can't connect to any of them.
        """
        is_alive = await self._is_reachable(replica.head)
        is_conclusive = is_alive or await self._verify(replica.head.service)
        runs = self._pending_checks.pop(replica.key)
        if is_alive:
            log_detail('replica_goes_on', box=replica.key.box)
        elif is_conclusive:
            self._report_crash(replica, runs)
        else:
            log_event(
                'crash_unconfirmed',
                box=replica.key.box,
                requests=count_requests(runs),
            )

    def _report_crash(
        self,
        replica: Replica,
        runs: Mapping[Trait, bool],
    ) -> None:
        """Record a crash seen by this node and tell all other nodes."""
        now = self._clock.read()
        holds = self.history.holds
        self.history.drop_expired(now)
        crash = Crash(replica.key, now, replica.head.domain, dict(runs))
        if not self._record_crash(crash):
            return
        log_warning(
            'replica_ended',
            box=replica.key.box,
            group=replica.group,
            requests=count_requests(runs),
            most=max(self.history.count_crashes(trait) for trait in runs),
        )
        self._links.broadcast(_encode_crash(self._exclude_served(crash), now))
        self._remember_witnessed(runs)
        self._publish_hold_changes(holds, 'own')

    def _exclude_served(self, crash: Crash) -> Crash:
        """Return a crash without the traits that this node served recently.

        Peers that have not served them would suspect them.
        """
        runs = {
            trait: has_begun
            for trait, has_begun in crash.runs.items()
            if not self.history.was_recently_served(trait, crash.ended_at)
        }
        return attrs.evolve(crash, runs=runs)

    def _record_crash(self, crash: Crash) -> bool:
        """Record a crash; return whether it is new."""
        is_new = self.history.record_crash(
            crash.replica, crash.runs, crash.ended_at, crash.domain
        )
        for watcher in self._crash_watchers if is_new else ():
            watcher(crash.replica)
        return is_new

    def _remember_witnessed(self, runs: Iterable[Trait]) -> None:
        self._witnessed.update(dict.fromkeys(runs))
        while len(self._witnessed) > MAX_WITNESSED:
            self._witnessed.popitem(last=False)

    def _clear_served(self, message: Any, sender: NodeId) -> None:
        """Clear traits that the sender suspects and this node just served.

        A node that has just started has served nothing.  It alone would refuse
        a common request for ten minutes that all other nodes serve.
        """
        now = self._clock.read()
        for trait in _list_suspect_traits(message):
            if self.history.was_recently_served(trait, now):
                self._links.send(sender, RequestCleared(trait))

    def _apply_message(self, message: Any) -> bool:
        """Apply one message of another node; return whether it is new."""
        now = self._clock.read()
        if isinstance(message, ReplicaEnded):
            key = ReplicaKey(message.box, message.epoch, message.incarnation)
            runs = {run.trait: run.has_begun for run in message.runs}
            is_new = self._record_crash(
                Crash(key, now - message.age, message.domain, runs)
            )
            if is_new:
                log_event(
                    'end_received',
                    box=message.box,
                    requests=count_requests(runs),
                )
            return is_new
        if isinstance(message, RequestHeld):
            hold = Hold(message.crashes, now - message.age)
            return self.history.add_reported_hold(message.trait, hold)
        return self.history.record_served(message.trait, now) > 0

    def _publish_hold_changes(
        self, before: Mapping[Trait, Hold], by: str
    ) -> None:
        """Log and publish the holds that have started or ended."""
        after = self.history.holds
        if after is before:
            return
        for trait, hold in after.items():
            previous = before.get(trait)
            if previous is None or previous.crashes < hold.crashes:
                self._start_hold(trait, hold, by)
        for freed in before.keys() - after.keys():
            log_event('request_freed', **describe_trait(freed), by=by)
            self._publish(self.Freed(freed))

    def _start_hold(
        self,
        trait: Trait,
        hold: Hold,
        by: str,
    ) -> None:
        log_warning(
            'request_held',
            **describe_trait(trait),
            ends=hold.crashes,
            boxes=','.join(
                self.history.list_crashed_boxes(trait)[:MAX_LOGGED_BOXES]
            ),
            seconds=round(hold.expires_at - self._clock.read(), 1),
            by=by,
        )
        self._running.fail_quarantined(trait)
        if trait in self._witnessed:
            self._publish(self.Held(trait, hold))

    def _publish(self, message: Message) -> None:
        for listener in self._listeners:
            listener.post(message)


def _split_message(message: Any) -> tuple[Any, ...]:
    """Return the individual messages that a message contains."""
    if isinstance(message, KnownCrashes):
        return (*message.ended, *message.held)
    return (message,)


def _list_suspect_traits(message: Any) -> tuple[Trait, ...]:
    """Return the traits that a message reports as suspect or held."""
    if isinstance(message, ReplicaEnded):
        return tuple(run.trait for run in message.runs)
    return (message.trait,) if isinstance(message, RequestHeld) else ()


def _encode_crash(crash: Crash, now: float) -> ReplicaEnded:
    runs = crash.runs.items()
    return ReplicaEnded(
        crash.replica.box,
        crash.replica.epoch,
        crash.replica.incarnation,
        round(now - crash.ended_at, 3),
        tuple(SuspectRun(trait, has_begun) for trait, has_begun in runs),
        crash.domain,
    )


def _encode_hold(
    trait: Trait,
    hold: Hold,
    now: float,
) -> RequestHeld:
    age = round(now - hold.ended_at, 3)
    return RequestHeld(trait, hold.crashes, age)
