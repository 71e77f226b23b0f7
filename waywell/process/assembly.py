"""The assembly duty: one entry box plans groups and orders boxes to form them.

The holder of the duty writes the roster to the platform before it sends the
orders of a group to its boxes.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from returns.result import Failure

from waywell.connection.platform import Kind
from waywell.connection.stored_body import decode_body
from waywell.connection.target import GroupOrder, OrderOutcome
from waywell.duties.duty import Duty, make_operation
from waywell.health.health import Verdict
from waywell.ids import BoxId, GroupId
from waywell.membership.gossip import Gossip
from waywell.process.actor import Message
from waywell.process.release import ReleaseTracker
from waywell.process.store import DocumentStore
from waywell.telemetry.events import log_event, log_warning
from waywell.version.assembly import (
    AssemblyView,
    is_box_list_implausible,
    plan_assembly,
)
from waywell.version.document import Document, DocumentKind
from waywell.version.repair import CostPolicy
from waywell.version.roster import (
    Box,
    Group,
    GroupState,
    Member,
    Roster,
    parse_roster,
)

if TYPE_CHECKING:
    from waywell.connection.platform import Changes, Platform
    from waywell.connection.target import Target
    from waywell.health.health import Evidence, HealthTable
    from waywell.process.clock import Clock
    from waywell.process.documents import Documents
    from waywell.telemetry.timing import TimingSettings
    from waywell.version.draft import RosterPlan

PLAN_SECONDS = 0.5
"""Period of planning, in seconds."""

ORDER_SECONDS = 5.0
"""Timeout of an order to a box, in seconds."""

PROBE_SECONDS = 1.0
"""Timeout of a probe for a box's requests in flight, in seconds."""

WATCH_SECONDS = 20.0
"""Seconds that a watch of the box list waits for a change."""

RETRY_SECONDS = 1.0
"""Seconds before a failed call is retried."""


class AssemblyDuty(Duty):
    """Plans groups, writes the roster and sends the orders.

    Parameters
    ----------
    platform
        Client of the platform's object API.
    gossip
        Membership, as exchanged with other entry boxes.
    clock
        Clock of the node.
    documents
        Documents in force at this node.
    target
        Client of the boxes.
    health
        Results of health checks by group.
    timing
        Terms and timeouts.
    """

    class PlanTick(Message, frozen=True):
        """Starts the next plan."""

    class Ordered(Message, frozen=True):
        """Reports that the orders to all boxes of a group have ended."""

        group: GroupId
        """Group that was ordered to form."""

        epoch: int
        """Epoch of the orders."""

        outcomes: tuple[OrderOutcome, ...]
        """Outcome of the order to each member."""

    def __init__(
        self,
        platform: Platform,
        gossip: Gossip,
        clock: Clock,
        documents: Documents,
        target: Target,
        health: HealthTable,
        timing: TimingSettings,
    ) -> None:
        """Create the duty, which doesn't hold its lease yet."""
        self._health = health
        super().__init__('assembly', platform, gossip, clock, timing.lease)
        self._documents = documents
        self._target = target
        self._store = DocumentStore(DocumentKind.ROSTER, platform)
        self._base: Document | None = None
        self._object_version = 0
        self._boxes: dict[BoxId, Box] | None = None
        self._broken_since: dict[GroupId, float] = {}
        self._ready: set[tuple[GroupId, int]] = set()
        self._ordering: set[tuple[GroupId, int]] = set()
        self._roster = Roster(0)
        self._box_changes = 0
        self._planned_inputs: tuple[int, ...] = ()
        self._fenced: set[tuple[GroupId, int]] = set()
        self._loads: dict[GroupId, int | None] = {}
        self._tracker = ReleaseTracker(timing.route_term, timing.group_drain)

    def start(self) -> None:
        """Start to check the lease, to plan and to watch the box list."""
        super().start()
        self.repeat(PLAN_SECONDS, self.PlanTick())
        self.spawn(self._watch_boxes())

    async def start_work(self) -> None:
        """Discard the stored roster and readiness known in an earlier term."""
        self._base = None
        self._ready.clear()

    def on_ordered(self, ordered: Ordered) -> None:
        """Record whether a group is ready to serve after its orders."""
        key = (ordered.group, ordered.epoch)
        self._ordering.discard(key)
        if all(
            outcome is OrderOutcome.ACCEPTED for outcome in ordered.outcomes
        ):
            self._ready.add(key)
            return
        if OrderOutcome.FENCED in ordered.outcomes:
            self._fenced.add(key)
        log_warning(
            'order_failed',
            group=ordered.group,
            epoch=ordered.epoch,
            outcomes=','.join(outcome.value for outcome in ordered.outcomes),
        )

    async def on_plan_tick(self, _tick: PlanTick) -> None:
        """Plan, write the changed roster and send outstanding orders."""
        if not self.is_held() or self._boxes is None:
            return
        if self._base is None and not await self._read_base():
            return
        if self._base is None:
            return
        roster = self._roster
        if self._is_unchanged(roster) or self._distrusts_boxes(roster):
            return
        await self._probe_loads(roster)
        plan = self._plan(roster)
        if plan and self.is_held():
            # The same inputs have to be planned again if the write fails.
            self._planned_inputs = ()
            await self._write_roster(roster, plan)
        if self._base is not None and self.is_held():
            self._send_orders(self._roster)

    def dump(self) -> dict[str, object]:
        """Return the duty's state as plain values for the state dump."""
        boxes = self._boxes or {}
        return {
            **super().dump(),
            'boxes': len(boxes),
            'broken_since': dict(self._broken_since),
            'ordering': sorted(key[0] for key in self._ordering),
        }

    @property
    def boxes(self) -> dict[BoxId, Box]:
        """Return the boxes by name; empty unless this node watches them."""
        return self._boxes or {}

    async def _read_base(self) -> bool:
        """Read the stored roster, or restore it from the one in force.

        Returns
        -------
        bool
            Whether the stored roster was read and can be planned on.
        """
        read = await self._store.read()
        if isinstance(read, Failure):
            return False
        stored = read.unwrap()
        current = self._documents.get_current(DocumentKind.ROSTER)
        self._object_version = stored.version
        if current.number > stored.document.number:
            log_warning('roster_restored', number=current.number)
            await self._store.write(current, stored.version)
            return False
        self._documents.adopt(DocumentKind.ROSTER, stored.document)
        self._base = stored.document
        self._roster = parse_roster(stored.document)
        return True

    def _is_unchanged(self, roster: Roster) -> bool:
        """Return whether a plan has the same inputs as the last one.

        A plan goes through all groups, so it is skipped while all of them
        serve and neither boxes, configuration nor health changed.  The
        inputs are recorded for the next call.
        """
        inputs = (
            roster.number,
            self._documents.in_force.numbers.configuration,
            self._box_changes,
            self._health.count_updates(),
        )
        has_changed = inputs != self._planned_inputs
        self._planned_inputs = inputs
        is_changing = any(
            group.state is not GroupState.SERVING
            for group in roster.groups.values()
        )
        return not has_changed and not is_changing and not self._fenced

    def _distrusts_boxes(self, roster: Roster) -> bool:
        """Return whether the box list is too implausible to plan on."""
        down = self._health.list_down(self.clock.read())
        if not is_box_list_implausible(roster, self.boxes, down):
            return False
        # Checked again at each tick: health checks may confirm the list.
        self._planned_inputs = ()
        log_warning('box_list_doubted', boxes=len(self.boxes))
        return True

    def _plan(self, roster: Roster) -> RosterPlan:
        now = self.clock.read()
        self._update_broken(roster, now)
        configuration = self._documents.in_force.configuration
        view = AssemblyView(
            boxes=self.boxes,
            configuration=configuration,
            broken_since=self._broken_since,
            released=self._find_released(roster, now),
            ready=frozenset(
                group.group
                for group in roster
                if (group.group, group.epoch) in self._ready
            ),
            with_stale_orders=self._find_stale_orders(roster, now),
        )
        policy = CostPolicy(configuration.goal)
        return plan_assembly(roster, view, policy, now)

    def _find_stale_orders(
        self,
        roster: Roster,
        now: float,
    ) -> frozenset[GroupId]:
        found = {
            name for name, _epoch in self._fenced if name in roster.groups
        }
        for name, evidence in self._health.list_down(now).items():
            group = roster.groups.get(name)
            if group is not None and _has_lost_order(group, evidence):
                found.add(name)
        return frozenset(found)

    def _update_broken(self, roster: Roster, now: float) -> None:
        broken = {
            group.group for group in roster if group.state is GroupState.BROKEN
        }
        for name in tuple(self._broken_since):
            if name not in broken:
                self._broken_since.pop(name)
        for name in broken:
            self._broken_since.setdefault(name, now)

    def _find_released(
        self,
        roster: Roster,
        now: float,
    ) -> frozenset[GroupId]:
        records = self.gossip.table.records
        self._tracker.update_lost_nodes(records, now)
        leaving = [
            group for group in roster if group.state is GroupState.LEAVING
        ]
        self._tracker.retain(leaving)
        return frozenset(
            group.group
            for group in leaving
            if self._tracker.is_released(
                group,
                self._is_fenced(group),
                records,
                self._loads.get(group.group),
                now,
            )
        )

    def _is_fenced(self, group: Group) -> bool:
        service = self._documents.in_force.index.find_service(group.service)
        return service is not None and service.fenced

    async def _probe_loads(self, roster: Roster) -> None:
        """Read the requests in flight from the heads of leaving groups."""
        leaving = [
            group for group in roster if group.state is GroupState.LEAVING
        ]
        answers = await asyncio.gather(
            *(
                self._target.probe(group.head, PROBE_SECONDS)
                for group in leaving
            ),
        )
        self._loads = {
            group.group: answer.load if answer else None
            for group, answer in zip(leaving, answers, strict=True)
        }

    async def _write_roster(self, roster: Roster, plan: RosterPlan) -> None:
        if self._base is None:
            return
        next_roster = roster.replace(
            roster.number + 1, plan.changed, plan.removed
        )
        document = self._base.make_next_version(
            next_roster.to_entries(), make_operation()
        )
        written = await self._store.write(document, self._object_version)
        # Whatever the outcome, the next plan starts from the stored roster.
        self._base = None
        if isinstance(written, Failure):
            log_warning('roster_not_written', fault=written.failure().value)
            return
        self.gossip.post(Gossip.PlatformReached())
        self._documents.adopt(DocumentKind.ROSTER, document)
        for group in plan.changed:
            log_event(
                'group_changed',
                group=group.group,
                state=group.state.value,
                epoch=group.epoch,
                missing=','.join(group.missing),
            )
        await self._read_base()

    def _send_orders(self, roster: Roster) -> None:
        current = {(group.group, int(group.epoch)) for group in roster}
        self._ready &= current
        self._fenced &= current
        for group in roster:
            key = (group.group, int(group.epoch))
            if group.state is not GroupState.FORMING or key in self._ready:
                continue
            if not self._is_fenced(group):
                # A target without fencing doesn't accept orders either.
                self._ready.add(key)
            elif key not in self._ordering:
                self._ordering.add(key)
                self.spawn(self._order_group(group))

    async def _order_group(self, group: Group) -> None:
        index = self._documents.in_force.index
        service = index.find_service(group.service)
        order = GroupOrder(
            group=group.group,
            epoch=group.epoch,
            service=group.service,
            model=service.model if service else '',
            boxes=tuple(member.box for member in group.members),
        )
        outcomes = await asyncio.gather(
            *(self._send_order(member, order) for member in group.members),
        )
        if any(outcome is OrderOutcome.UNKNOWN for outcome in outcomes):
            await asyncio.sleep(RETRY_SECONDS)
        self.post(self.Ordered(group.group, group.epoch, tuple(outcomes)))

    async def _send_order(
        self,
        member: Member,
        order: GroupOrder,
    ) -> OrderOutcome:
        return await self._target.order(member, order, ORDER_SECONDS)

    async def _watch_boxes(self) -> None:
        revision = 0
        while True:
            if not self.is_held():
                self._boxes = None
                await asyncio.sleep(RETRY_SECONDS / 4)
                continue
            if self._boxes is None:
                answer = await self.platform.fetch_all(Kind.BOX)
            else:
                answer = await self.platform.watch(
                    (Kind.BOX,),
                    revision,
                    WATCH_SECONDS,
                )
            if isinstance(answer, Failure):
                await asyncio.sleep(RETRY_SECONDS)
                continue
            changes = answer.unwrap()
            revision = changes.revision
            self._apply_box_changes(changes)

    def _apply_box_changes(self, changes: Changes) -> None:
        boxes = {} if changes.complete else dict(self.boxes)
        for stored in changes.objects:
            name = BoxId(stored.name)
            # An entry by another writer does not describe a usable box.
            boxes.pop(name, None)
            if stored.body is None:
                continue
            box = decode_body(stored, Box)
            if box is not None:
                boxes[name] = box
        self._boxes = boxes
        self._box_changes += 1


def _has_lost_order(group: Group, evidence: Evidence) -> bool:
    """Return whether a box of a serving group no longer has its order."""
    disordered = evidence.verdict is Verdict.DISORDERED
    current = evidence.epoch == group.epoch
    return disordered and current and group.state is GroupState.SERVING
