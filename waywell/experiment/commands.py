"""The ``waywell experiment`` commands."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING

from waywell.experiment.load_file import read_load
from waywell.experiment.policy import CURRENT, POLICIES, find_policy
from waywell.experiment.runner import Experiment, simulate_seeds
from waywell.experiment.sweep import format_sweep, make_variants
from waywell.experiment.table import format_json, format_table
from waywell.version.input_validation import InvalidInputError

if TYPE_CHECKING:
    from waywell.experiment.comparison import Pair

DEFAULT_JOBS = 1
"""Default number of processes that simulate seeds."""

DEFAULT_SEEDS = 20
"""Default number of seeds."""


class ExperimentCommands:
    """Compares policies in a simulation of the fleet.

    A simulation sends nothing to running daemons.  Its result alone is no
    sufficient reason to adopt a policy.
    """

    def run(
        self,
        load: str,
        seeds: int = DEFAULT_SEEDS,
        against: str = 'no-resends',
        base: str = CURRENT,
        jobs: int = DEFAULT_JOBS,
        json: bool = False,
    ) -> str:
        """Compare two policies on a load file over the same seeds.

        ``--against`` and ``--base`` take the name of a policy or the path of
        a TOML file with one; ``--jobs`` is the number of processes.
        """
        _check_count('seeds', seeds)
        _check_count('jobs', jobs)
        experiment = Experiment(
            read_load(str(load)),
            find_policy(str(base)),
            find_policy(str(against)),
        )
        pairs = _simulate_seeds(experiment, seeds, jobs)
        if not pairs:
            raise InvalidInputError(
                ['interrupted before the first seed was completed']
            )
        names = (str(base), str(against))
        return (format_json if json else format_table)(names, pairs)

    def sweep(
        self,
        load: str,
        setting: str,
        values: tuple[object, ...],
        seeds: int = DEFAULT_SEEDS,
        base: str = CURRENT,
        jobs: int = DEFAULT_JOBS,
    ) -> str:
        """Simulate one policy with each value of a setting of a load file.

        For example, ``--setting=fleet.boxes_per_domain --values=8,10,12``
        shows how many boxes a load needs.
        """
        _check_count('seeds', seeds)
        _check_count('jobs', jobs)
        setting_values = values if isinstance(values, tuple) else (values,)
        policy = find_policy(str(base))
        variant_results = []
        for variant in make_variants(str(load), str(setting), setting_values):
            experiment = Experiment(variant.load, policy)
            pairs = _simulate_seeds(experiment, seeds, jobs)
            if len(pairs) < seeds:
                break
            variant_results.append((variant, pairs))
        return format_sweep(str(setting), variant_results)

    def list(self, folder: str = '.') -> str:
        """List the named policies and the load files in a folder."""
        loads = sorted(str(file) for file in Path(folder).glob('*.toml'))
        lines = [f'policy {name}' for name in POLICIES]
        return '\n'.join((*lines, *(f'load {file}' for file in loads)))


def _simulate_seeds(
    experiment: Experiment, seeds: int, jobs: int
) -> list[Pair]:
    """Return the results of the seeds completed before any interrupt."""
    pairs = simulate_seeds(experiment, seeds, jobs, _show_progress)
    if len(pairs) < seeds:
        completed = f'{len(pairs)} of {seeds} seeds completed'
        sys.stderr.write(f'waywell: interrupted: {completed}\n')
    return pairs


def _check_count(name: str, count: object) -> None:
    if isinstance(count, bool) or not isinstance(count, int) or count < 1:
        raise InvalidInputError(
            [f'--{name}: {count!r} is not a positive integer']
        )


def _show_progress(done: int, seeds: int, seconds_left: float) -> None:
    """Update the progress line if stderr is a terminal."""
    if sys.stderr.isatty():
        end = '\n' if done == seeds else ''
        sys.stderr.write(
            f'\r{done}/{seeds} seeds, {seconds_left:.0f} s left {end}'
        )
        sys.stderr.flush()
