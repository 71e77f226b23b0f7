"""Weights that crash each box that loads them.

Symptom: boxes were ordered to load one and the same model for as long as its
callers came, and each of them ended as it loaded.
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

GOOD, DEADLY = ModelName('good'), ModelName('deadly')
BOXES = 12
STEP_SECONDS = 0.5
LOADS_AT_ONCE = 3
ENGINE = Engine(
    9,
    (
        EngineModel(GOOD, 2, 0.5, load_seconds=4.0, warm_seconds=0.5),
        EngineModel(DEADLY, 2, 0.5, load_seconds=4.0, warm_seconds=0.5),
    ),
    loads_per_second=5.0,
    loads_at_once=LOADS_AT_ONCE,
)
QUIET_SECONDS = 60
HOUR_SECONDS = 3600
LOAD_SECONDS = 1.0


class DeadlyWeights:
    """Boxes that crash as they load one model, before a holder."""

    def __init__(self, holder: Holder) -> None:
        self.holder = holder
        self.sim_fleet = holder.sim_fleet
        self.crashes = 0
        self.is_deadly = True

    def play(self, seconds: float) -> None:
        """Let the holder plan and boxes act for some time."""
        for _step in range(int(seconds / STEP_SECONDS)):
            self.sim_fleet.clock.now += STEP_SECONDS
            self.holder.refresh()
            self.holder.plan()
            self.holder.carry_out_all()
            for replica in self.sim_fleet.replicas.values():
                self._act(replica)

    def count_open(self, model: ModelName) -> int:
        """Return the groups of a model that serve."""
        return sum(
            replica.membership is not None
            and replica.membership.state == 'open'
            and replica.membership.group.startswith(model)
            for replica in self.sim_fleet.replicas.values()
        )

    def _act(self, replica: SimReplica) -> None:
        """Load what was ordered, or crash."""
        own = replica.membership
        is_loading = DEADLY in replica.staged
        if own is not None and own.state == 'joining':
            is_loading = is_loading or own.group.startswith(DEADLY)
        if is_loading and self.is_deadly:
            self.crashes += 1
            replica.staged = ()
            replica.restart()
        else:
            replica.finish_load()


@pytest.fixture
def weights() -> Iterator[DeadlyWeights]:
    """Return boxes without any weights before a holder."""
    sim_fleet = SimFleet()
    for number in range(BOXES):
        sim_fleet.add(f'b{number:02}')
    holder = Holder(sim_fleet, ENGINE)
    holder.refresh()
    holder.plan()
    sim_fleet.clock.now += SETTLE_SECONDS
    yield DeadlyWeights(holder)
    holder.close()


def test_few_boxes_are_given_to_weights_that_crash_them(
    weights: DeadlyWeights,
) -> None:
    weights.holder.demand = {GOOD: 30.0, DEADLY: 30.0}
    weights.play(QUIET_SECONDS)
    assert 0 < weights.crashes <= 3 + LOADS_AT_ONCE + 3
    before = weights.crashes
    weights.play(HOUR_SECONDS)
    assert weights.crashes - before <= 12


def test_other_models_are_served_by_the_boxes_left(
    weights: DeadlyWeights,
) -> None:
    weights.holder.demand = {GOOD: 30.0, DEADLY: 30.0}
    weights.play(3 * QUIET_SECONDS)
    assert weights.count_open(GOOD) == BOXES // 2


def test_a_model_is_loaded_again_once_its_weights_are_whole(
    weights: DeadlyWeights,
) -> None:
    weights.holder.demand = {GOOD: 30.0, DEADLY: 30.0}
    weights.play(QUIET_SECONDS)
    weights.is_deadly = False
    weights.play(3 * QUIET_SECONDS)
    assert weights.count_open(DEADLY) > 1


def test_an_empty_fleet_is_not_given_whole_to_weights_that_crash_it(
    weights: DeadlyWeights,
) -> None:
    weights.holder.demand = {}
    weights.play(QUIET_SECONDS)
    assert 0 < weights.crashes <= BOXES
    before = weights.crashes
    weights.play(HOUR_SECONDS)
    assert weights.crashes - before <= 24
    assert weights.count_open(GOOD)


def test_an_empty_fleet_is_given_twice_at_most_to_weights_that_crash_it(
    weights: DeadlyWeights,
) -> None:
    weights.holder.demand = {}
    weights.play(QUIET_SECONDS)
    # Two waves of joins before anything is known of the weights.
    assert 0 < weights.crashes <= 2 * BOXES
    before = weights.crashes
    weights.play(HOUR_SECONDS)
    assert weights.crashes - before <= 24
    assert weights.count_open(GOOD)


def _begin(
    failures: LoadFailures,
    *boxes: FleetBox,
    now: float,
    model: ModelName = DEADLY,
) -> None:
    for box in boxes:
        failures.record_start(box, model, LoadKind.STAGE, now)


def _crash_alone(failures: LoadFailures, count: int, start: float) -> float:
    """Let boxes crash one after another; return when the last one did."""
    for number in range(count):
        _begin(failures, make_box(f'c{number}'), now=start + 10.0 * number)
        failures.update(
            make_fleet(), (), 4.0, start + 10.0 * number + LOAD_SECONDS
        )
    return start + 10.0 * (count - 1) + LOAD_SECONDS


def test_a_lost_domain_tells_nothing_of_weights() -> None:
    failures = LoadFailures()
    _begin(failures, *(make_box(f'b{number}') for number in range(4)), now=0.0)
    failures.update(make_fleet(make_box('b0'), make_box('b1')), (), 4.0, 1.0)
    failures.update(make_fleet(), (), 4.0, 1.5)
    assert failures.may_load(DEADLY)
    assert not failures.list_limited()


def test_crashes_at_different_moments_limit_the_loads_of_a_model() -> None:
    failures = LoadFailures()
    _crash_alone(failures, CRASH_LIMIT, 0.0)
    assert not failures.may_load(DEADLY)
    assert failures.may_load(GOOD)
    assert failures.list_limited() == {DEADLY: CRASH_LIMIT}


def test_a_load_that_succeeds_ends_the_limit() -> None:
    failures = LoadFailures()
    at = _crash_alone(failures, CRASH_LIMIT, 0.0)
    loaded = make_box('b0', staged=(DEADLY,))
    _begin(failures, loaded, now=at)
    failures.update(make_fleet(loaded), (), 4.0, at + 1.0)
    assert failures.may_load(DEADLY)


def test_one_load_at_a_time_follows_the_back_off() -> None:
    failures = LoadFailures()
    at = _crash_alone(failures, CRASH_LIMIT, 0.0) + FIRST_BACKOFF
    trial = make_box('b0')
    failures.update(make_fleet(trial), (), 4.0, at)
    assert failures.may_load(DEADLY)
    _begin(failures, trial, now=at)
    assert not failures.may_load(DEADLY)


@pytest.mark.parametrize('is_listed', [True, False])
def test_a_box_that_leaves_or_is_silent_has_not_crashed(
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
    assert failures.may_load(DEADLY)
    failures.update(make_fleet(), {box.life}, 4.0, 52.0)
    assert failures.may_load(DEADLY)


def test_a_group_of_a_limited_model_goes_on(weights: DeadlyWeights) -> None:
    weights.is_deadly = False
    weights.holder.demand = {GOOD: 30.0, DEADLY: 30.0}
    weights.play(QUIET_SECONDS)
    before = weights.count_open(DEADLY)
    failures = weights.holder.duty.loads.get(ServiceName('llm'))
    now = weights.sim_fleet.clock.now
    _crash_alone(failures, 8, now - 80.0)
    weights.holder.demand = {GOOD: 60.0, DEADLY: 0.0}
    weights.play(QUIET_SECONDS)
    assert not failures.may_load(DEADLY)
    assert weights.count_open(DEADLY) == before > 0


def test_a_holder_that_takes_the_duty_again_knows_the_crashes(
    weights: DeadlyWeights,
) -> None:
    weights.holder.demand = {GOOD: 30.0, DEADLY: 30.0}
    weights.play(QUIET_SECONDS)
    duty = weights.holder.duty
    weights.holder.loop.run_until_complete(duty.take_up())
    duty.lay_down()
    assert duty.loads.count_crashes()[f'llm/{DEADLY}'] >= CRASH_LIMIT
