"""Statistical comparison of two policies over the same seeds."""

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
"""Resamples that the bootstrap interval is estimated from."""

TAIL_FRACTION = 0.025
"""Fraction of the resamples beyond each end of the 95% interval."""

DETECTABLE_STANDARD_ERRORS = 2.8
"""Distance of a mean from 0, in standard errors, that a two-sided test at the
5% level detects with a power of 80%."""

MEASURES = ('share', 'served', 'worst_kind')
"""Properties of ``Summary`` that are compared."""


@attrs.frozen
class Pair:
    """Results of both policies with one seed."""

    seed: int
    """Seed of both simulations."""

    base: Summary
    """Result of the base policy."""

    other: Summary
    """Result of the other policy; the base result if there is none."""


@attrs.frozen
class Difference:
    """Difference of a measure between the policies: other minus base."""

    measure: str
    """Name of the measure, one of ``MEASURES``."""

    base: float
    """Mean over the seeds under the base policy."""

    other: float
    """Mean over the seeds under the other policy."""

    mean: float
    """Mean of the paired differences."""

    low: float
    """Lower end of the bootstrap confidence interval of ``mean``."""

    high: float
    """Upper end of the bootstrap confidence interval of ``mean``."""

    seeds_needed: int | None
    """Seeds needed to detect a difference of this size; ``None`` if the mean
    difference is 0 or there are fewer than two seeds."""


def compare(pairs: Sequence[Pair]) -> list[Difference]:
    """Return the difference between the policies for each measure."""
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
    """Return the bootstrap confidence interval of a mean.

    The resamples are seeded, so equal input gives an equal interval.
    """
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
