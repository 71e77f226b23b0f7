"""The repair policy on a trace of box events, compared with two baselines.

The trace is replayed through the planner, which receives the time as an
argument: boxes fail, restart and pause, a fabric domain fails for a while and
the box list lags.  No processes run; only the decisions are evaluated.
"""

from __future__ import annotations

import heapq
import math
import time
from random import Random
from typing import TYPE_CHECKING, Any

import attrs
import msgspec

from waywell.bench.decisions import (
    DOMAIN_BOXES,
    make_boxes,
    make_group_configuration,
)
from waywell.bench.figures import write_figures
from waywell.ids import BoxId, GroupId
from waywell.version.assembly import AssemblyView, plan_assembly
from waywell.version.objects import Configuration, Goal
from waywell.version.repair import (
    MAX_TYPICAL_PAUSES,
    CostPolicy,
    RepairPolicy,
    SparesOnly,
    WaitOnly,
)
from waywell.version.roster import Box, BoxState, GroupState, Roster

if TYPE_CHECKING:
    from collections.abc import Iterator

DAY_SECONDS = 86_400.0
"""Seconds of a day."""

FULL_GROUPS = 600
"""Number of groups to which the daily event counts apply."""

FAILURES_PER_DAY = 14
"""Number of boxes that fail in a day, at full size."""

RESTARTS_PER_DAY = 68
"""Number of boxes that restart in a day, at full size."""

PAUSES_PER_DAY = 60
"""Number of boxes that pause in a day, at full size; an assumption."""

REPLACEMENT_SECONDS = 7200.0
"""Median time until a failed box is replaced."""

RESTART_SECONDS = 60.0
"""Median duration of a restart."""

DOMAIN_OUTAGE_SECONDS = 1800.0
"""Duration of the outage of one fabric domain, once in a trace."""

LIST_LAG_SECONDS = 3.0
"""Delay until the box list shows an event."""

SIGMA = 0.6
"""Standard deviation of the logarithm of durations."""

EVENT_KINDS = (
    (FAILURES_PER_DAY, REPLACEMENT_SECONDS, True),
    (RESTARTS_PER_DAY, RESTART_SECONDS, True),
    (PAUSES_PER_DAY, Goal().pause_seconds, False),
)
"""Daily count, median absence in seconds, and whether the box restarts, for
each kind of event."""

WEIGHTS = {'skovbjerg': (5.0, 1.0), 'lafleur': (1.0, 2.0)}
"""Cost weights of downtime and stranded accelerators, by user."""


@attrs.frozen(order=True)
class BoxEvent:
    """A change of a box's state in the box list."""

    at: float
    """Time of the change, in seconds from the start of the trace."""

    box: BoxId
    """Box whose state changes."""

    live: bool
    """Whether the box is live after the change."""

    reboot: bool
    """Whether the box restarted during its absence."""


def make_trace(groups: int, days: float, seed: int) -> list[BoxEvent]:
    """Return the box events of a number of days, sorted by time."""
    random = Random(seed)
    names = sorted(make_boxes(groups))
    events: list[BoxEvent] = []
    for daily, median, reboot in EVENT_KINDS:
        for _ in range(round(daily * days * groups / FULL_GROUPS)):
            at = random.uniform(0, days * DAY_SECONDS)
            absence = random.lognormvariate(0, SIGMA) * median
            events.extend(
                _make_absence(random.choice(names), at, absence, reboot),
            )
    outage_at = random.uniform(0, days * DAY_SECONDS)
    for box in names[:DOMAIN_BOXES]:
        events.extend(
            _make_absence(box, outage_at, DOMAIN_OUTAGE_SECONDS, reboot=True)
        )
    events.sort()
    return events


def _make_absence(
    box: BoxId,
    at: float,
    absence: float,
    reboot: bool,
) -> Iterator[BoxEvent]:
    yield BoxEvent(at + LIST_LAG_SECONDS, box, live=False, reboot=False)
    yield BoxEvent(
        at + absence + LIST_LAG_SECONDS, box, live=True, reboot=reboot
    )


class Replay:
    """Replays a trace through the planner and accumulates the measures.

    Parameters
    ----------
    configuration
        Configuration with the group set to plan.
    boxes
        Boxes at the start, by id.
    policy
        Repair policy under test.
    """

    def __init__(
        self,
        configuration: Configuration,
        boxes: dict[BoxId, Box],
        policy: RepairPolicy,
    ) -> None:
        """Start with all groups serving and all measures at 0."""
        self.downtime = 0.0
        self.stranded = 0.0
        self.moves = 0
        self.writes = 0
        self.plans = 0
        self._configuration = configuration
        self._boxes = dict(boxes)
        self._policy = policy
        self._roster = Roster(0)
        self._broken_since: dict[GroupId, float] = {}
        self._loading: dict[tuple[GroupId, int], float] = {}
        self._now = 0.0
        self._plan()
        self._loading = dict.fromkeys(self._loading, 0)
        self._plan()
        self.writes = 0

    def run(self, trace: list[BoxEvent], end: float) -> None:
        """Replay the events up to an end time, in seconds."""
        queue = [(event.at, 0, event) for event in trace]
        heapq.heapify(queue)
        while queue:
            at, _, event = heapq.heappop(queue)
            if at > end:
                break
            self._advance(at)
            self._apply_event(event)
            self._plan_until(queue[0][0] if queue else end)
        self._advance(end)

    def _plan_until(self, until: float) -> None:
        """Plan now, and whenever the passage of time can change the plan."""
        self._plan()
        moment = self._find_next_plan_time()
        while moment < until:
            self._advance(moment)
            self._plan()
            moment = self._find_next_plan_time()

    def _find_next_plan_time(self) -> float:
        """Return the next time at which a load or a group's wait ends."""
        goal = self._configuration.goal
        wait_limit = MAX_TYPICAL_PAUSES * goal.pause_seconds
        moments = [
            *self._loading.values(),
            *(since + wait_limit for since in self._broken_since.values()),
        ]
        return min(
            (moment for moment in moments if moment > self._now),
            default=math.inf,
        )

    def _advance(self, at: float) -> None:
        elapsed = max(0, at - self._now)
        self._now = max(self._now, at)
        serving = [
            group
            for group in self._roster.groups.values()
            if group.state is GroupState.SERVING
        ]
        wanted = self._configuration.group_set[0].groups
        busy = sum(len(group.members) for group in serving)
        live = sum(box.state is BoxState.LIVE for box in self._boxes.values())
        self.downtime += max(0, wanted - len(serving)) * elapsed
        self.stranded += max(0, live - busy) * elapsed

    def _apply_event(self, event: BoxEvent) -> None:
        box = self._boxes[event.box]
        self._boxes[event.box] = msgspec.structs.replace(
            box,
            state=BoxState.LIVE if event.live else BoxState.LOST,
            boot=box.boot + event.reboot,
        )

    def _plan(self) -> None:
        view = AssemblyView(
            self._boxes,
            self._configuration,
            self._broken_since,
            ready=self._find_ready(),
        )
        plan = plan_assembly(self._roster, view, self._policy, self._now)
        self.plans += 1
        if plan:
            before = self._roster
            number = before.number + 1
            self._roster = before.replace(number, plan.changed, plan.removed)
            self.writes += 1
            self.moves += self._count_moved(before)
        self._update_group_states()

    def _find_ready(self) -> frozenset[GroupId]:
        return frozenset(
            name for (name, _), at in self._loading.items() if at <= self._now
        )

    def _count_moved(self, before: Roster) -> int:
        return sum(
            before.find_holder(member.box) not in {None, group.group}
            for group in self._roster
            for member in group.members
        )

    def _update_group_states(self) -> None:
        load = self._configuration.goal.load_seconds
        loading = {}
        broken = {}
        for group in self._roster.groups.values():
            key = (group.group, int(group.epoch))
            if group.state is GroupState.FORMING:
                loading[key] = self._loading.get(key, self._now + load)
            elif group.state is GroupState.BROKEN:
                since = self._broken_since.get(group.group, self._now)
                broken[group.group] = since
        self._loading = loading
        self._broken_since = broken


def measure_policy(
    policy: RepairPolicy,
    trace: list[BoxEvent],
    groups: int,
    days: float,
) -> dict[str, Any]:
    """Replay a trace with one policy; return its figures."""
    started_at = time.perf_counter()
    replay = Replay(
        make_group_configuration(groups), make_boxes(groups), policy
    )
    replay.run(trace, days * DAY_SECONDS)
    elapsed = time.perf_counter() - started_at
    costs = {
        f'cost_{user}': down * replay.downtime + idle * replay.stranded
        for user, (down, idle) in WEIGHTS.items()
    }
    return {
        'downtime_s': replay.downtime,
        'stranded_s': replay.stranded,
        **costs,
        'moves': replay.moves,
        'writes': replay.writes,
        'plans_a_second': replay.plans / elapsed,
    }


def measure(groups: int, days: float, seed: int) -> list[dict[str, Any]]:
    """Replay one random trace with each policy; return their figures."""
    trace = make_trace(groups, days, seed)
    policies = {
        'wait': WaitOnly(),
        'spares': SparesOnly(),
        'cost': CostPolicy(Goal()),
    }
    shared = {'groups': groups, 'days': days, 'seed': seed}
    return [
        {
            **shared,
            'policy': name,
            **measure_policy(policy, trace, groups, days),
        }
        for name, policy in policies.items()
    ]


def main() -> None:
    """Run the benchmark with 60 groups and at full size."""
    rows = []
    for seed in (1, 2, 3):
        rows.extend(measure(60, 10, seed))
    rows.extend(measure(FULL_GROUPS, 1, 1))
    write_figures('repair', rows, weights=WEIGHTS)


if __name__ == '__main__':
    main()
