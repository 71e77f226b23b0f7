"""Faults of a load, drawn by seed."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import attrs

from waywell.experiment.arrivals import draw, draw_whole, make_random
from waywell.experiment.load_file import FaultKind
from waywell.experiment.model_box import ModelBox
from waywell.version.box_report import NORMAL_PACE

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from waywell.experiment.load_file import FaultSettings, Load
    from waywell.experiment.simulated_boxes import SimulatedBoxes
    from waywell.experiment.timeline import Timeline


@attrs.frozen
class Fault:
    """A fault at a moment."""

    kind: FaultKind
    """What goes wrong."""

    at: float
    """When, in seconds from the first caller."""

    boxes: tuple[ModelBox, ...]
    """Boxes that it meets."""

    lasts: float
    """Seconds after which it is over; 0 for never."""

    pace: float
    """Factor on all times of slow boxes."""


def draw_faults(
    load: Load,
    seed: int,
    boxes: Sequence[ModelBox],
) -> list[Fault]:
    """Return the faults of a load."""
    return [
        _draw_fault(settings, make_random(seed, f'fault.{index}'), boxes)
        for index, settings in enumerate(load.fault)
    ]


def schedule_fault(
    fault: Fault,
    fleet_model: SimulatedBoxes,
    timeline: Timeline,
    begins_at: float,
) -> None:
    """Let a fault begin, and end where it does."""
    at = begins_at + fault.at
    for box in fault.boxes:
        timeline.schedule(at, partial(_begin, fault, fleet_model, box))
        if fault.lasts:
            timeline.schedule(
                at + fault.lasts, partial(_end, fault, fleet_model, box)
            )


def _draw_fault(
    settings: FaultSettings,
    random: Random,
    boxes: Sequence[ModelBox],
) -> Fault:
    return Fault(
        settings.kind,
        draw(random, settings.at),
        _draw_boxes(settings, random, boxes),
        draw(random, settings.lasts),
        draw(random, settings.pace),
    )


def _draw_boxes(
    settings: FaultSettings,
    random: Random,
    boxes: Sequence[ModelBox],
) -> tuple[ModelBox, ...]:
    if settings.kind is FaultKind.DOMAIN:
        domain = random.choice(boxes).domain
        return tuple(box for box in boxes if box.domain == domain)
    count = min(len(boxes), draw_whole(random, settings.count))
    return tuple(random.sample(boxes, count))


def _begin(fault: Fault, fleet_model: SimulatedBoxes, box: ModelBox) -> None:
    if fault.kind is FaultKind.SLOW:
        fleet_model.change_pace(box, fault.pace)
    else:
        fleet_model.lose(box)


def _end(fault: Fault, fleet_model: SimulatedBoxes, box: ModelBox) -> None:
    if fault.kind is FaultKind.SLOW:
        fleet_model.change_pace(box, NORMAL_PACE)
    else:
        fleet_model.restart(box)
