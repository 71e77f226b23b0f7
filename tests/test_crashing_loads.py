"""Weights that crash each box that loads them.

Guards against ordering box after box to load the same model, for as long as
callers ask for it, while each of them ends during the load.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import pytest

from tests.boxes import make_box, make_fleet
from tests.holder import Holder
from tests.replicas import SimFleet, SimReplica
from waywell.duties.forming import SETTLE_SECONDS
from waywell.ids import ModelName, ServiceName
from waywell.version.load_failures import (
    CRASH_LIMIT,
    FIRST_BACKOFF,
    LoadFailures,
    LoadKind,
)
from waywell.version.routes import Engine, EngineModel

if TYPE_CHECKING:
    from collections.abc import Iterator

    from waywell.version.fleet import FleetBox

HEALTHY, CRASHING = ModelName('healthy'), ModelName('crashing')
BOXES = 12
STEP_SECONDS = 0.5
LOADS_AT_ONCE = 3
ENGINE = Engine(
    9,
    (
        EngineModel(HEALTHY, 2, 0.5, load_seconds=4.0, warm_seconds=0.5),
        EngineModel(CRASHING, 2, 0.5, load_seconds=4.0, warm_seconds=0.5),
    ),
    loads_per_second=5.0,
    loads_at_once=LOADS_AT_ONCE,
)
QUIET_SECONDS = 60
HOUR_SECONDS = 3600
LOAD_SECONDS = 1.0


class CrashingWeights:
    """Boxes that crash when they load one model, with a holder."""

    def __init__(self, holder: Holder) -> None:
        self.holder = holder
        self.sim_fleet = holder.sim_fleet
        self.crashes = 0
        self.is_crashing = True

    def run(self, seconds: float) -> None:
        """Let the holder plan and the boxes act for some time."""
        for _step in range(int(seconds / STEP_SECONDS)):
            self.sim_fleet.clock.now += STEP_SECONDS
            self.holder.refresh()
            self.holder.plan()
            self.holder.carry_out_all()
            for replica in self.sim_fleet.replicas.values():
                self._act(replica)

    def count_open(self, model: ModelName) -> int:
        """Return how many groups of a model serve."""
        return sum(
            replica.membership is not None
            and replica.membership.state == 'open'
            and replica.membership.group.startswith(model)
            for replica in self.sim_fleet.replicas.values()
        )

    def _act(self, replica: SimReplica) -> None:
        """Finish the ordered load, or crash."""
        own = replica.membership
        is_loading = CRASHING in replica.staged
        if own is not None and own.state == 'joining':
            is_loading = is_loading or own.group.startswith(CRASHING)
        if is_loading and self.is_crashing:
            self.crashes += 1
            replica.staged = ()
            replica.restart()
        else:
            replica.finish_load()


@pytest.fixture
def weights() -> Iterator[CrashingWeights]:
    """Return boxes without any weights, with a holder."""
    sim_fleet = SimFleet()
    for number in range(BOXES):
        sim_fleet.add(f'b{number:02}')
    holder = Holder(sim_fleet, ENGINE)
    holder.refresh()
    holder.plan()
    sim_fleet.clock.now += SETTLE_SECONDS
    yield CrashingWeights(holder)
    holder.close()


def test_loads_of_crashing_weights_end_few_boxes(
    weights: CrashingWeights,
) -> None:
    weights.holder.demand = {HEALTHY: 30.0, CRASHING: 30.0}
    weights.run(QUIET_SECONDS)
    assert 0 < weights.crashes <= 3 + LOADS_AT_ONCE + 3
    before = weights.crashes
    weights.run(HOUR_SECONDS)
    assert weights.crashes - before <= 12


def test_remaining_boxes_serve_the_other_model(
    weights: CrashingWeights,
) -> None:
    weights.holder.demand = {HEALTHY: 30.0, CRASHING: 30.0}
    weights.run(3 * QUIET_SECONDS)
    assert weights.count_open(HEALTHY) == BOXES // 2


def test_model_is_loaded_again_once_its_weights_are_repaired(
    weights: CrashingWeights,
) -> None:
    weights.holder.demand = {HEALTHY: 30.0, CRASHING: 30.0}
    weights.run(QUIET_SECONDS)
    weights.is_crashing = False
    weights.run(3 * QUIET_SECONDS)
    assert weights.count_open(CRASHING) > 1


def test_an_empty_fleet_is_not_given_whole_to_weights_that_crash_it(
    weights: CrashingWeights,
) -> None:
    weights.holder.demand = {}
    weights.run(QUIET_SECONDS)
    assert 0 < weights.crashes <= BOXES
    before = weights.crashes
    weights.run(HOUR_SECONDS)
    assert weights.crashes - before <= 24
    assert weights.count_open(HEALTHY)


def test_an_empty_fleet_is_given_twice_at_most_to_weights_that_crash_it(
    weights: CrashingWeights,
) -> None:
    weights.holder.demand = {}
    weights.run(QUIET_SECONDS)
    # Two waves of joins begin before any crash is known.
    assert 0 < weights.crashes <= 2 * BOXES
    before = weights.crashes
    weights.run(HOUR_SECONDS)
    assert weights.crashes - before <= 24
    assert weights.count_open(HEALTHY)


def _begin(
    failures: LoadFailures,
    *boxes: FleetBox,
    now: float,
    model: ModelName = CRASHING,
) -> None:
    for box in boxes:
        failures.record_start(box, model, LoadKind.STAGE, now)


def _crash_alone(failures: LoadFailures, count: int, start: float) -> float:
    """Crash boxes one after another; return when the last one crashed."""
    for number in range(count):
        _begin(failures, make_box(f'c{number}'), now=start + 10.0 * number)
        failures.update(
            make_fleet(), (), 4.0, start + 10.0 * number + LOAD_SECONDS
        )
    return start + 10.0 * (count - 1) + LOAD_SECONDS


def test_loss_of_a_domain_does_not_limit_loads() -> None:
    failures = LoadFailures()
    _begin(failures, *(make_box(f'b{number}') for number in range(4)), now=0.0)
    failures.update(make_fleet(make_box('b0'), make_box('b1')), (), 4.0, 1.0)
    failures.update(make_fleet(), (), 4.0, 1.5)
    assert failures.may_load(CRASHING)
    assert not failures.list_limited()


def test_crashes_at_different_moments_limit_the_loads_of_a_model() -> None:
    failures = LoadFailures()
    _crash_alone(failures, CRASH_LIMIT, 0.0)
    assert not failures.may_load(CRASHING)
    assert failures.may_load(HEALTHY)
    assert failures.list_limited() == {CRASHING: CRASH_LIMIT}


def test_a_load_that_succeeds_ends_the_limit() -> None:
    failures = LoadFailures()
    at = _crash_alone(failures, CRASH_LIMIT, 0.0)
    loaded = make_box('b0', staged=(CRASHING,))
    _begin(failures, loaded, now=at)
    failures.update(make_fleet(loaded), (), 4.0, at + 1.0)
    assert failures.may_load(CRASHING)


def test_one_load_at_a_time_is_allowed_after_the_back_off() -> None:
    failures = LoadFailures()
    at = _crash_alone(failures, CRASH_LIMIT, 0.0) + FIRST_BACKOFF
    trial = make_box('b0')
    failures.update(make_fleet(trial), (), 4.0, at)
    assert failures.may_load(CRASHING)
    _begin(failures, trial, now=at)
    assert not failures.may_load(CRASHING)


@pytest.mark.parametrize('is_listed', [True, False])
def test_leaving_or_silent_box_does_not_count_as_crashed(
    *,
    is_listed: bool,
) -> None:
    failures = LoadFailures()
    _crash_alone(failures, CRASH_LIMIT - 1, 0.0)
    box = make_box('b0')
    _begin(failures, box, now=50.0)
    leaving = msgspec.structs.replace(box, leaving=True)
    fleet = make_fleet(leaving) if is_listed else make_fleet()
    failures.update(fleet, {box.life}, 4.0, 51.0)
    assert failures.may_load(CRASHING)
    failures.update(make_fleet(), {box.life}, 4.0, 52.0)
    assert failures.may_load(CRASHING)


def test_groups_of_a_limited_model_keep_serving(
    weights: CrashingWeights,
) -> None:
    weights.is_crashing = False
    weights.holder.demand = {HEALTHY: 30.0, CRASHING: 30.0}
    weights.run(QUIET_SECONDS)
    before = weights.count_open(CRASHING)
    failures = weights.holder.duty.loads.get(ServiceName('llm'))
    now = weights.sim_fleet.clock.now
    _crash_alone(failures, 8, now - 80.0)
    weights.holder.demand = {HEALTHY: 60.0, CRASHING: 0.0}
    weights.run(QUIET_SECONDS)
    assert not failures.may_load(CRASHING)
    assert weights.count_open(CRASHING) == before > 0


def test_crash_counts_survive_a_lost_and_regained_duty(
    weights: CrashingWeights,
) -> None:
    weights.holder.demand = {HEALTHY: 30.0, CRASHING: 30.0}
    weights.run(QUIET_SECONDS)
    duty = weights.holder.duty
    weights.holder.loop.run_until_complete(duty.start_work())
    duty.stop_work()
    assert duty.loads.count_crashes()[f'llm/{CRASHING}'] >= CRASH_LIMIT
