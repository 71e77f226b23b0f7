"""Simulations of many seeds, in one process or several."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable
from contextlib import contextmanager, suppress
from multiprocessing import Pool
from typing import TYPE_CHECKING

import attrs
from loguru import logger

from waywell.experiment.comparison import Pair
from waywell.experiment.load_file import Load
from waywell.experiment.policy import Policy
from waywell.experiment.simulation import simulate

if TYPE_CHECKING:
    from collections.abc import Iterator


ProgressCallback = Callable[[int, int, float], None]
"""Called with the completed seeds, all seeds and the seconds left."""


@attrs.frozen
class Experiment:
    """One policy, or two to compare, under one load."""

    load: Load
    """Load of every simulation."""

    base: Policy
    """Base of the comparison."""

    other: Policy | None = None
    """Policy compared with the base; ``None`` for no comparison."""

    def simulate_seed(self, seed: int) -> Pair:
        """Simulate each policy with one seed."""
        with _disable_log():
            base = simulate(self.load, self.base, seed)
            if self.other is None:
                return Pair(seed, base, base)
            return Pair(seed, base, simulate(self.load, self.other, seed))


def simulate_seeds(
    experiment: Experiment,
    seeds: int,
    jobs: int,
    report_progress: ProgressCallback,
) -> list[Pair]:
    """Simulate the seeds from 0 on; return the results in their order.

    A keyboard interrupt ends the run early with the completed seeds.

    Parameters
    ----------
    experiment
        Load and policies to simulate.
    seeds
        Number of seeds.
    jobs
        Number of worker processes; 1 to use this process.
    report_progress
        Called after each seed.
    """
    started_at = time.monotonic()
    pairs: list[Pair] = []
    run_seeds = _simulate_in_process if jobs == 1 else _simulate_in_pool
    # The caller recognises an interrupt by fewer pairs than seeds.
    with suppress(KeyboardInterrupt):
        for pair in run_seeds(experiment, seeds, jobs):
            pairs.append(pair)
            elapsed = time.monotonic() - started_at
            seconds_left = elapsed / len(pairs) * (seeds - len(pairs))
            report_progress(len(pairs), seeds, seconds_left)
    return sorted(pairs, key=_get_seed)


def _simulate_in_process(
    experiment: Experiment,
    seeds: int,
    _jobs: int,
) -> Iterator[Pair]:
    yield from map(experiment.simulate_seed, range(seeds))


def _simulate_in_pool(
    experiment: Experiment,
    seeds: int,
    jobs: int,
) -> Iterator[Pair]:
    # Leaving the block terminates the workers, even in mid-simulation.
    with Pool(jobs, _ignore_interrupts) as pool:
        yield from pool.imap_unordered(experiment.simulate_seed, range(seeds))


def _ignore_interrupts() -> None:
    """Ignore interrupts in a worker; the parent process handles them."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)


def _get_seed(pair: Pair) -> int:
    return pair.seed


@contextmanager
def _disable_log() -> Iterator[None]:
    """Suppress log lines, which would describe simulated events."""
    logger.disable('waywell')
    try:
        yield
    finally:
        logger.enable('waywell')
