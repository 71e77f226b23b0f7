"""Random arrivals of a load's requests, determined by the seed."""

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
    """One request of a caller."""

    at: float
    """Arrival time, in seconds after the warm-up."""

    kind: KindSettings
    """Settings of its kind: model, goals and worth."""

    prompt_tokens: int
    """Length of the prompt, in tokens."""

    answer_tokens: int
    """Length of the complete answer, in tokens."""

    node: int
    """Index of the node that receives it."""


def make_random(seed: int, purpose: str) -> Random:
    """Return a generator that depends only on the seed and the purpose.

    Separate generators keep the draws of one purpose unchanged when another
    purpose draws more or fewer numbers.
    """
    return Random(f'{purpose}:{seed}')


def draw_number(random: Random, bounds: Range) -> float:
    """Return a uniformly distributed number within a range."""
    return random.uniform(*bounds)


def draw_integer(random: Random, bounds: Range) -> int:
    """Return a uniformly distributed integer within a range, ends included."""
    return random.randint(int(bounds[0]), int(bounds[1]))


def draw_arrivals(load: Load, seed: int, nodes: int) -> list[Arrival]:
    """Return all requests of a load, sorted by arrival time."""
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
    """Return the arrival rate at a time as a fraction of the peak rate."""
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
