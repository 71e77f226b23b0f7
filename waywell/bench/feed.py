"""Cost of sharing the box list and of planning groups, by number of boxes.

``python -m waywell.bench.feed`` measures the messages between nodes and the
plan alone, without sockets: sizes in bytes, and the shortest time of several
rounds.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import msgspec

from waywell.bench.figures import write_figures
from waywell.connection.peer import BoxLoad, FeedAnswer
from waywell.ids import (
    BoxId,
    DomainName,
    Epoch,
    HallName,
    ModelName,
    ServiceName,
)
from waywell.version.fleet import (
    Fleet,
    FleetBox,
    MemberState,
    Standing,
    make_group_name,
)
from waywell.version.forming import FormingPlanner, FormingView
from waywell.version.forming_memory import FormingMemory
from waywell.version.routes import Engine, EngineModel

if TYPE_CHECKING:
    from collections.abc import Callable

BOXES = (60, 216, 2400)
"""Numbers of boxes: present sites, the larger one after growth, and the
target."""

GROUP_BOXES = 4
"""Number of boxes in a group."""

DOMAIN_BOXES = 20
"""Number of boxes in a fabric domain."""

ROUNDS = 20
"""Number of rounds; the fastest counts."""

MODEL = ModelName('notes-7b')
"""Model of all groups."""

SERVICE = ServiceName('llm')
"""Service of all boxes."""


def make_fleet(count: int) -> Fleet:
    """Return a fleet in which every box is in a serving group."""
    boxes = {}
    for number in range(count):
        rank = number % GROUP_BOXES
        epoch = Epoch(1 + number // GROUP_BOXES)
        state = MemberState.READY if rank else MemberState.OPEN
        box = FleetBox(
            BoxId(f'i-{number:010x}'),
            SERVICE,
            f'10.1.{number // 250}.{number % 250}',
            8080,
            HallName('hall-port'),
            DomainName(f'hall-port-d{number // DOMAIN_BOXES}'),
            places=9,
            staged=(MODEL,),
            standing=Standing(
                make_group_name(MODEL, epoch), epoch, rank, state
            ),
        )
        boxes[box.box] = box
    return Fleet(boxes)


def make_answer(fleet: Fleet, is_whole: bool) -> FeedAnswer:
    """Return a reader's answer with the loads of all heads.

    Parameters
    ----------
    fleet
        Fleet that the answer describes.
    is_whole
        Whether the answer contains the box list, or only the loads.
    """
    heads = [group.members[0] for group in fleet.groups.values()]
    return FeedAnswer(
        number=1,
        version=7,
        routes_age=0.5,
        incarnation=1796215502028,
        serial=12,
        boxes_age=0.3,
        is_whole=is_whole,
        boxes=tuple(fleet.boxes.values()) if is_whole else (),
        loads=tuple(BoxLoad(box.box, 3) for box in heads),
    )


def measure_cpu_ms(work: Callable[[], object]) -> float:
    """Return the shortest processor time of several calls, in ms."""
    times: list[float] = []
    while len(times) < ROUNDS:
        started_at = time.process_time()
        work()
        times.append(time.process_time() - started_at)
    return min(times) * 1000


def measure_boxes(count: int) -> dict[str, Any]:
    """Return all figures for a number of boxes."""
    fleet = make_fleet(count)
    whole, same = make_answer(fleet, True), make_answer(fleet, False)
    raw_whole = msgspec.msgpack.encode(whole)
    raw_same = msgspec.msgpack.encode(same)
    engine = Engine(9, (EngineModel(MODEL, GROUP_BOXES, load_seconds=16.0),))
    demand = {MODEL: 9.0}
    return {
        'boxes': count,
        'whole_bytes': len(raw_whole),
        'same_bytes': len(raw_same),
        'encode_same_ms': measure_cpu_ms(lambda: msgspec.msgpack.encode(same)),
        'decode_same_ms': measure_cpu_ms(
            lambda: msgspec.msgpack.decode(raw_same, type=FeedAnswer)
        ),
        'decode_whole_ms': measure_cpu_ms(
            lambda: msgspec.msgpack.decode(raw_whole, type=FeedAnswer)
        ),
        'plan_ms': measure_cpu_ms(
            lambda: FormingPlanner(
                FormingView(SERVICE, engine, Fleet(fleet.boxes), demand),
                FormingMemory(),
                1.0,
            ).plan()
        ),
    }


def main() -> None:
    """Run the benchmark."""
    write_figures('feed', [measure_boxes(count) for count in BOXES])


if __name__ == '__main__':
    main()
