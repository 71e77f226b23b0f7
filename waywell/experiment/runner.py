"""Plays of many seeds, in one process or several."""

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
"""Called with the seeds done, all seeds, and the seconds left."""


@attrs.frozen
class Experiment:
    """One or two policies before one load."""

    load: Load
    """The load."""

    base: Policy
    """One policy."""

    other: Policy | None = None
    """The policy that it is compared with; ``None`` for no comparison."""

    def simulate_seed(self, seed: int) -> Pair:
        """Play the policies with one seed."""
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
    """Play the seeds from 0 on; return their pairs in order.

    An interrupt ends it early, with the pairs that are done.

    Parameters
    ----------
    experiment
        What is played.
    seeds
        How many seeds.
    jobs
        Processes that play; 1 for this process alone.
    report
        Called after each seed.
    """
    started_at = time.monotonic()
    pairs: list[Pair] = []
    run_seeds = _simulate_in_process if jobs == 1 else _simulate_in_pool
    # Fewer pairs than seeds tell the caller of an interrupt.
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
    # Leaving the block ends the processes, whatever they play.
    with Pool(jobs, _ignore_interrupts) as pool:
        yield from pool.imap_unordered(experiment.simulate_seed, range(seeds))


def _ignore_interrupts() -> None:
    """Leave interrupts to the process that began this one."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)


def _get_seed(pair: Pair) -> int:
    return pair.seed


@contextmanager
def _disable_log() -> Iterator[None]:
    """Write no log lines: those of the decisions tell of the model."""
    logger.disable('waywell')
    try:
        yield
    finally:
        logger.enable('waywell')
