"""Two policies compared over the same seeds."""

from __future__ import annotations

import math
import statistics
from typing import TYPE_CHECKING

import attrs

from waywell.experiment.arrivals import make_random
from waywell.experiment.tally import Summary

if TYPE_CHECKING:
    from collections.abc import Sequence


BOOTSTRAP_SAMPLES = 2000
"""Bootstrap samples."""

TAIL_FRACTION = 0.025
"""Part of the samples beyond each end of the interval: it holds 95%."""

DETECTABLE_STANDARD_ERRORS = 2.8
"""Standard errors by which a mean must differ from 0 to be told from it with
a power of 80% at the level of the interval."""

MEASURES = ('share', 'served', 'worst_kind')
"""Properties of a summary that are compared."""


@attrs.frozen
class Pair:
    """Both policies played with one seed."""

    seed: int
    """The seed."""

    base: Summary
    """The daemons' policy."""

    other: Summary
    """The policy that it is compared with."""


@attrs.frozen
class Difference:
    """A measure of the other policy less that of the base, over seeds."""

    measure: str
    """Name of the measure."""

    base: float
    """Its mean for the base."""

    other: float
    """Its mean for the other policy."""

    mean: float
    """Mean of the differences by seed."""

    low: float
    """Lower end of the bootstrap confidence interval."""

    high: float
    """Upper end."""

    seeds_needed: int | None
    """Seeds after which a difference of this size is told from none; ``None``
    where there is none."""


def compare(pairs: Sequence[Pair]) -> list[Difference]:
    """Return the differences of all measures."""
    return [_compare_measure(measure, pairs) for measure in MEASURES]


def _compare_measure(measure: str, pairs: Sequence[Pair]) -> Difference:
    base = [getattr(pair.base, measure) for pair in pairs]
    other = [getattr(pair.other, measure) for pair in pairs]
    differences = [
        after - before for before, after in zip(base, other, strict=True)
    ]
    low, high = estimate_interval(differences)
    return Difference(
        measure,
        statistics.fmean(base),
        statistics.fmean(other),
        statistics.fmean(differences),
        low,
        high,
        _count_seeds_needed(differences),
    )


def estimate_interval(differences: Sequence[float]) -> tuple[float, float]:
    """Return the bootstrap interval of a mean; the same for the same input."""
    random = make_random(len(differences), 'bootstrap')
    means = sorted(
        statistics.fmean(random.choices(differences, k=len(differences)))
        for _sample in range(BOOTSTRAP_SAMPLES)
    )
    last = BOOTSTRAP_SAMPLES - 1
    return means[round(TAIL_FRACTION * last)], means[
        round((1 - TAIL_FRACTION) * last)
    ]


def _count_seeds_needed(differences: Sequence[float]) -> int | None:
    mean = statistics.fmean(differences)
    if not mean or len(differences) < 2:
        return None
    deviation = statistics.stdev(differences)
    return max(
        2, math.ceil((DETECTABLE_STANDARD_ERRORS * deviation / mean) ** 2)
    )
