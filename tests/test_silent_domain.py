"""Boxes that fall silent together are detected before they are used.

A fifth of the boxes of a fabric domain go silent at the same moment, some of
them idle. Only groups with requests are doubted, so without asking the whole
domain the holder formed groups of idle boxes that were silent as well; each
such attempt took 0.6 s, and two seconds after 20 boxes had gone silent the
holder still counted 158 of 167 boxes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.holder import Holder
from tests.replicas import SimFleet
from waywell.duties.box_monitor import DOUBT_DELAY_SECONDS, REPROBE_SECONDS
from waywell.duties.forming import SETTLE_SECONDS
from waywell.ids import ModelName, ServiceName
from waywell.version.forming_memory import ORDER_TIMEOUT_SECONDS
from waywell.version.routes import Engine, EngineModel

if TYPE_CHECKING:
    from collections.abc import Iterator

    from waywell.version.box_report import BoxReport
    from waywell.version.fleet import FleetBox

LLM = ServiceName('llm')
TRIPLE = ModelName('triple')
ENGINE = Engine(
    9,
    (EngineModel(TRIPLE, 3, load_seconds=16.0, warm_seconds=1.6),),
    loads_per_second=5.0,
    loads_at_once=7,
)
GROUPED = ('a', 'b', 'c')
IDLE = ('d', 'e')


@pytest.fixture
def holder() -> Iterator[Holder]:
    """Return a holder with one serving group and two idle boxes."""
    started = Holder(SimFleet(), ENGINE)
    started.demand = {TRIPLE: 50.0}
    for name in GROUPED:
        started.sim_fleet.add(name, ('triple',))
    started.refresh()
    started.plan()
    started.clock.now += SETTLE_SECONDS
    started.plan()
    started.carry_out_all()
    for name in GROUPED:
        started.sim_fleet.replicas[name].finish_load()
    started.refresh()
    started.clock.now += ORDER_TIMEOUT_SECONDS + 0.1
    started.plan()
    started.carry_out_all()
    for name in IDLE:
        started.sim_fleet.add(name, ('triple',))
    started.refresh()
    yield started
    started.close()


def _make_unreachable(holder: Holder, *names: str) -> None:
    for name in names:
        holder.sim_fleet.replicas[name].is_reachable = False


def _find_group(holder: Holder) -> str:
    membership = holder.sim_fleet.replicas['a'].membership
    assert membership is not None
    return membership.group


def _record_questions(holder: Holder) -> list[str]:
    """Return a list that collects the boxes that are asked from now on."""
    asked: list[str] = []
    read = holder.orders.read_report

    async def record(box: FleetBox) -> BoxReport | None:
        asked.append(box.box)
        return await read(box)

    holder.orders.read_report = record  # type: ignore[method-assign]
    return asked


def test_one_silent_box_causes_its_whole_domain_to_be_asked(
    holder: Holder,
) -> None:
    member = next(
        replica.name
        for replica in holder.sim_fleet.replicas.values()
        if replica.membership and replica.membership.rank
    )
    _make_unreachable(holder, member, 'd')
    holder.plan()
    assert not holder.duty._get_memory(LLM).lost
    holder.report_doubt(_find_group(holder))
    assert set(holder.duty._get_memory(LLM).lost) == {
        holder.find_entry(name).life for name in (member, 'd')
    }


def test_domain_whose_boxes_answer_is_not_asked_further(
    holder: Holder,
) -> None:
    asked = _record_questions(holder)
    holder.report_doubt(_find_group(holder))
    assert sorted(asked) == sorted(GROUPED)


def test_a_silent_domain_is_asked_once_and_not_by_each_silent_box(
    holder: Holder,
) -> None:
    asked = _record_questions(holder)
    _make_unreachable(holder, *GROUPED, *IDLE)
    holder.report_doubt(_find_group(holder))
    # Each silent box is asked twice, as one packet may be lost.
    assert len(asked) == 2 * len(GROUPED + IDLE)


def test_boxes_unreachable_only_for_the_holder_stay_in_their_groups(
    holder: Holder,
) -> None:
    """Silence towards the holder alone must not count as loss.

    26 of 222 boxes are cut off from the platform and from orders. A box
    crashes, the holder asks its domain, and boxes of serving groups don't
    answer, although callers are served. When that counted as loss, all groups
    of sixteen were dissolved within 2 s although none of their streams had
    paused, and the large model's requests were late or refused for the 10 s in
    which the groups were formed again.
    """
    group = _find_group(holder)
    holder.request_counts = {holder.find_head(group): 9}
    _make_unreachable(holder, *GROUPED, *IDLE)
    holder.ask('d')
    holder.plan()
    lost = {life.box for life in holder.duty._get_memory(LLM).lost}
    assert lost == set(IDLE)
    assert not holder.find_in_flight(holder.find_head(group), 'leave')


def test_silent_group_without_requests_is_lost(
    holder: Holder,
) -> None:
    group = _find_group(holder)
    _make_unreachable(holder, *GROUPED, *IDLE)
    holder.ask('d')
    lost = {life.box for life in holder.duty._get_memory(LLM).lost}
    assert lost == {*GROUPED, *IDLE}
    assert group


def test_doubted_group_that_is_heard_again_keeps_its_silent_boxes(
    holder: Holder,
) -> None:
    """A stream that pauses while a long prompt is read is no sign of loss.

    A sound group of sixteen is doubted about once a second, so a doubt alone
    must not make unreachable boxes count as lost.
    """
    group = _find_group(holder)
    holder.request_counts = {holder.find_head(group): 9}
    _make_unreachable(holder, *GROUPED, *IDLE)
    holder.report_doubt(group)
    holder.report_group_heard(group)
    holder.clock.now += REPROBE_SECONDS + 0.1
    holder.plan()
    lost = {life.box for life in holder.duty._get_memory(LLM).lost}
    assert not lost & set(GROUPED)


def test_a_doubted_group_that_stays_silent_is_lost(holder: Holder) -> None:
    group = _find_group(holder)
    holder.request_counts = {holder.find_head(group): 9}
    _make_unreachable(holder, *GROUPED, *IDLE)
    holder.ask('d')
    holder.report_doubt(group)
    holder.clock.now += DOUBT_DELAY_SECONDS + 0.01
    holder.plan()
    lost = {life.box for life in holder.duty._get_memory(LLM).lost}
    assert lost == {*GROUPED, *IDLE}
