"""Random faults of a load, determined by the seed."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import attrs

from waywell.experiment.arrivals import draw_integer, draw_number, make_random
from waywell.experiment.load_file import FaultKind
from waywell.experiment.simulated_box import SimulatedBox
from waywell.version.box_report import NORMAL_PACE

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from waywell.experiment.load_file import FaultSettings, Load
    from waywell.experiment.simulated_fleet import SimulatedFleet
    from waywell.experiment.timeline import Timeline


@attrs.frozen
class Fault:
    """A fault with its time and the boxes that it affects."""

    kind: FaultKind
    """Whether the boxes are lost or slow."""

    at: float
    """Start, in seconds after the warm-up."""

    boxes: tuple[SimulatedBox, ...]
    """Boxes that it affects."""

    lasts: float
    """Duration in seconds; 0 if it never ends."""

    pace: float
    """Factor by which all work of a slow box takes longer."""


def draw_faults(
    load: Load,
    seed: int,
    boxes: Sequence[SimulatedBox],
) -> list[Fault]:
    """Return the faults of a load with their times and boxes drawn."""
    return [
        _draw_fault(settings, make_random(seed, f'fault.{index}'), boxes)
        for index, settings in enumerate(load.fault)
    ]


def schedule_fault(
    fault: Fault,
    simulated_fleet: SimulatedFleet,
    timeline: Timeline,
    load_start: float,
) -> None:
    """Schedule the start of a fault and, if it ends, its end.

    Parameters
    ----------
    fault
        Fault to schedule.
    simulated_fleet
        Fleet that the boxes of the fault belong to.
    timeline
        Events of the simulation.
    load_start
        End of the warm-up, in seconds of the timeline.
    """
    at = load_start + fault.at
    for box in fault.boxes:
        timeline.schedule(
            at, partial(_begin_fault, fault, simulated_fleet, box)
        )
        if fault.lasts:
            timeline.schedule(
                at + fault.lasts,
                partial(_end_fault, fault, simulated_fleet, box),
            )


def _draw_fault(
    settings: FaultSettings,
    random: Random,
    boxes: Sequence[SimulatedBox],
) -> Fault:
    return Fault(
        settings.kind,
        draw_number(random, settings.at),
        _draw_boxes(settings, random, boxes),
        draw_number(random, settings.lasts),
        draw_number(random, settings.pace),
    )


def _draw_boxes(
    settings: FaultSettings,
    random: Random,
    boxes: Sequence[SimulatedBox],
) -> tuple[SimulatedBox, ...]:
    if settings.kind is FaultKind.DOMAIN:
        domain = random.choice(boxes).domain
        return tuple(box for box in boxes if box.domain == domain)
    count = min(len(boxes), draw_integer(random, settings.count))
    return tuple(random.sample(boxes, count))


def _begin_fault(
    fault: Fault, simulated_fleet: SimulatedFleet, box: SimulatedBox
) -> None:
    if fault.kind is FaultKind.SLOW:
        simulated_fleet.change_pace(box, fault.pace)
    else:
        simulated_fleet.lose_box(box)


def _end_fault(
    fault: Fault, simulated_fleet: SimulatedFleet, box: SimulatedBox
) -> None:
    if fault.kind is FaultKind.SLOW:
        simulated_fleet.change_pace(box, NORMAL_PACE)
    else:
        simulated_fleet.restart_box(box)
