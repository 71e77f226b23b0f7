"""Requests of a load, drawn by seed."""

from __future__ import annotations

import math
from random import Random
from typing import TYPE_CHECKING

import attrs

from waywell.experiment.load_file import (
    KindSettings,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from waywell.experiment.load_file import (
        ArrivalSettings,
        Load,
        Range,
    )


@attrs.frozen
class Arrival:
    """A request of a caller."""

    at: float
    """When, in seconds from the first caller."""

    kind: KindSettings
    """Its kind."""

    prompt_tokens: int
    """Tokens of its prompt."""

    answer_tokens: int
    """Tokens of its answer."""

    node: int
    """Number of the node that it is sent to."""


def make_random(seed: int, purpose: str) -> Random:
    """Return draws that depend on the seed and on their purpose alone."""
    return Random(f'{purpose}:{seed}')


def draw_number(random: Random, bounds: Range) -> float:
    """Return a figure within a range."""
    return random.uniform(*bounds)


def draw_integer(random: Random, bounds: Range) -> int:
    """Return a whole number within a range."""
    return random.randint(int(bounds[0]), int(bounds[1]))


def draw_arrivals(load: Load, seed: int, nodes: int) -> list[Arrival]:
    """Return all requests of a load, in the order of their time."""
    arrivals = [
        arrival
        for kind in load.kind
        for arrival in _draw_arrivals_of_kind(load, kind, seed, nodes)
    ]
    return sorted(arrivals, key=_get_arrival_time)


def _get_arrival_time(arrival: Arrival) -> float:
    return arrival.at


def _draw_arrivals_of_kind(
    load: Load,
    kind: KindSettings,
    seed: int,
    nodes: int,
) -> Iterator[Arrival]:
    random = make_random(seed, f'arrivals.{kind.name}')
    settings = load.arrivals
    peak = draw_number(random, kind.per_second) * (1 + settings.swing)
    bursts_per_second = peak / (sum(settings.clump) / 2)
    phase = random.random()
    at = random.expovariate(bursts_per_second)
    while at < load.seconds:
        if random.random() < _compute_rate_fraction(settings, at, phase):
            for _ in range(draw_integer(random, settings.clump)):
                yield _draw_request(random, kind, at, nodes)
        at += random.expovariate(bursts_per_second)


def _compute_rate_fraction(
    settings: ArrivalSettings,
    at: float,
    phase: float,
) -> float:
    """Return the rate at a moment as a part of the highest one."""
    angle = math.tau * (at / settings.period + phase)
    return (1 + settings.swing * math.sin(angle)) / (1 + settings.swing)


def _draw_request(
    random: Random,
    kind: KindSettings,
    at: float,
    nodes: int,
) -> Arrival:
    return Arrival(
        at,
        kind,
        draw_integer(random, kind.prompt_tokens),
        draw_integer(random, kind.answer_tokens),
        random.randrange(nodes),
    )
