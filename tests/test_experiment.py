"""Invariants of the fleet simulation for any load, and its commands."""

from __future__ import annotations

import json
import math
import subprocess
import sys
from collections import Counter
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from waywell.cli import run_command
from waywell.experiment.comparison import estimate_interval
from waywell.experiment.load_file import Load, check_load, read_load
from waywell.experiment.policy import POLICIES, find_policy
from waywell.experiment.runner import Experiment, simulate_seeds
from waywell.experiment.simulation import Simulation, simulate
from waywell.experiment.timeline import Timeline
from waywell.version.input_validation import InvalidInputError

CURRENT = POLICIES['current']
EXAMPLES = Path(__file__).parent.parent / 'docs' / 'experiments'
PAIRED_SEEDS = 50

ENGINE = {
    'places': 4,
    'queue': 3,
    'step_seconds': 0.01,
    'sequence_seconds': 0.0005,
    'read_per_second': 20000.0,
    'steps_a_pass': 4,
}
KIND = {
    'prompt_tokens': [50, 500],
    'answer_tokens': [1, 60],
    'goal': 0.4,
    'gap_goal': 0.3,
    'timeout': 4.0,
    'worth': 2.0,
}


def make_raw(
    boxes: int = 6,
    rate: float = 8.0,
    faults: tuple[dict[str, Any], ...] = (),
) -> dict[str, Any]:
    """Return the content of a small load file."""
    return {
        'seconds': 6.0,
        'warm_up': 12.0,
        'fleet': {'domains_per_hall': 2, 'boxes_per_domain': [boxes, boxes]},
        'engine': dict(ENGINE),
        'model': [
            {'name': 'small', 'boxes_per_group': 2, 'load_seconds': 4.0},
            {'name': 'large', 'boxes_per_group': 3, 'load_seconds': 6.0},
        ],
        'kind': [
            {
                **KIND,
                'name': 'chat',
                'model': 'small',
                'per_second': [rate, rate],
            },
            {
                **KIND,
                'name': 'draft',
                'model': 'large',
                'per_second': [2, rate],
            },
        ],
        'fault': list(faults),
    }


def make_load(*args: Any, **pairs: Any) -> Load:
    return check_load(make_raw(*args, **pairs), 'test')


FAULTS = st.fixed_dictionaries(
    {
        'kind': st.sampled_from(['boxes', 'domain', 'slow']),
        'at': st.sampled_from([[0.0, 1.0], [1.0, 5.0]]),
        'count': st.sampled_from([[1, 1], [2, 5]]),
        'lasts': st.sampled_from([[0.0, 0.0], [0.2, 4.0]]),
    },
)
LOADS = st.builds(
    make_load,
    boxes=st.integers(1, 9),
    rate=st.sampled_from([3.0, 20.0, 60.0]),
    faults=st.lists(FAULTS, max_size=3).map(tuple),
)
SEEDS = st.integers(0, 1_000_000)


def check_groups(simulation: Simulation) -> None:
    """Check that no box runs two groups and no group exceeds its places."""
    groups = simulation.simulated_fleet.groups
    running = [
        group for group in groups.values() if not group.engine.is_stalled
    ]
    members = Counter(name for group in running for name in group.join.members)
    assert not [name for name, count in members.items() if count > 1]
    assert sum(members.values()) <= len(simulation.simulated_fleet.boxes)
    for name, group in groups.items():
        assert name.rpartition('.')[0] == group.join.model
        assert group.engine.running <= ENGINE['places']


@settings(max_examples=25, deadline=None)
@given(load=LOADS, seed=SEEDS, policy=st.sampled_from(sorted(POLICIES)))
def test_each_request_ends_once_and_all_worth_is_accounted_for(
    load: Load, seed: int, policy: str
) -> None:
    simulation = Simulation(load, POLICIES[policy], seed)
    simulation.timeline.schedule(
        0,
        lambda: simulation.timeline.repeat(
            0.1, lambda: check_groups(simulation)
        ),
    )
    figures = simulation.run()
    # A second ending of a request raises an exception.
    assert all(
        request.ending is not None for request in simulation.simulated_requests
    )
    assert sum(figures.endings.values()) == len(simulation.simulated_requests)
    assert figures.requests == len(simulation.simulated_requests)
    assert math.isclose(
        figures.worth + sum(figures.prices.values()),
        figures.possible,
        abs_tol=1e-6,
    )
    assert not simulation.simulated_fleet.invariant_violations
    assert all(
        not record.in_flight
        for node in simulation.context.nodes
        for record in node.replica_table._records.values()
    )


@pytest.mark.parametrize(('few', 'many'), [(3, 6), (6, 8), (6, 12)])
def test_more_boxes_never_serve_fewer_requests_without_faults(
    few: int, many: int
) -> None:
    small, large = make_load(boxes=few), make_load(boxes=many)
    worse = [
        seed
        for seed in range(PAIRED_SEEDS)
        if simulate(large, CURRENT, seed).served
        < simulate(small, CURRENT, seed).served
    ]
    assert not worse


def test_results_depend_on_the_seed_and_not_on_the_number_of_processes() -> (
    None
):
    experiment = Experiment(
        make_load(faults=({'kind': 'boxes', 'at': [1, 2], 'count': [1, 3]},)),
        CURRENT,
        POLICIES['no-resends'],
    )
    in_process = simulate_seeds(experiment, 3, 1, lambda *_progress: None)
    in_pool = simulate_seeds(experiment, 3, 2, lambda *_progress: None)
    assert in_process == in_pool
    assert in_process[0].base != in_process[1].base


def test_refused_callers_return_once_after_retry_after() -> None:
    load = make_load(boxes=1, rate=20.0)
    figures = simulate(load, CURRENT, 1)
    assert figures.endings['refused'] == figures.requests
    assert figures.refusals == 2 * figures.requests


def test_a_lost_domain_reduces_the_worth() -> None:
    without_faults = simulate(make_load(boxes=3), CURRENT, 1)
    lost = make_load(boxes=3, faults=({'kind': 'domain', 'at': [1, 1]},))
    assert simulate(lost, CURRENT, 1).worth < without_faults.worth


def test_events_run_in_time_order() -> None:
    timeline, seen = Timeline(), []
    for at in (2.0, 1.0, 1.0, 3.5):
        timeline.schedule(at, lambda: seen.append(timeline.now))
    timeline.run_until(3.0)
    assert seen == [1.0, 1.0, 2.0]
    assert timeline.now == 3.0


def test_the_confidence_interval_contains_the_mean() -> None:
    low, high = estimate_interval([0.0, 1.0, 2.0, 3.0])
    assert 0.0 <= low < 1.5 < high <= 3.0


@pytest.mark.parametrize('file', sorted(EXAMPLES.glob('*.toml')))
def test_example_load_files_are_valid(file: Path) -> None:
    assert read_load(str(file)).kind


@pytest.mark.parametrize(
    ('table', 'key', 'invalid', 'message'),
    [
        ('engine', 'places', 0, 'engine.places: 0 is not above 0'),
        ('engine', 'plces', 1, 'engine.plces: unknown key'),
        (
            'fleet',
            'boxes_per_domain',
            [3, 2],
            'fleet.boxes_per_domain: (3.0, 2.0) is an empty',
        ),
        ('fleet', 'boxes_per_domain', [1.5, 2], 'whole numbers'),
        ('fleet', 'halls', 'two', "fleet.halls: 'two' is not of type int"),
        (
            'platform',
            'list_seconds',
            math.nan,
            'platform.list_seconds: nan is not finite',
        ),
    ],
)
def test_an_invalid_value_is_reported_with_its_key(
    table: str, key: str, invalid: object, message: str
) -> None:
    raw = make_raw()
    raw.setdefault(table, {})[key] = invalid
    with pytest.raises(InvalidInputError) as caught:
        check_load(raw, 'load.toml')
    assert len(caught.value.faults) == 1
    assert message in caught.value.faults[0]
    assert caught.value.faults[0].startswith('load.toml.')


def test_a_request_kind_needs_a_model_of_the_load() -> None:
    raw = make_raw()
    raw['kind'][1]['model'] = 'other'
    with pytest.raises(
        InvalidInputError, match=r"kind\[1\].model: 'other' is not one of"
    ):
        check_load(raw, 'load.toml')


def test_a_policy_file_is_read_and_validated(tmp_path: Path) -> None:
    file = tmp_path / 'mine.toml'
    file.write_text('resend_ratio = 0.3\n')
    assert find_policy(str(file)).resend_ratio == 0.3
    file.write_text('resend_ratio = -1.0\n')
    with pytest.raises(
        InvalidInputError, match='mine.toml.resend_ratio: -1.0'
    ):
        find_policy(str(file))


@pytest.mark.parametrize(
    ('arguments', 'message'),
    [
        (['absent.toml'], 'absent.toml: '),
        (['LOAD', '--against=none'], 'none: unknown policy'),
        (['LOAD', '--seeds=0'], '--seeds: 0 is not a positive integer'),
        (['LOAD', '--jobs=many'], "--jobs: 'many' is not a positive integer"),
    ],
)
def test_invalid_arguments_are_reported_on_one_line(
    arguments: list[str], message: str, capsys: pytest.CaptureFixture[str]
) -> None:
    load = str(EXAMPLES / 'calm.toml')
    words = [load if word == 'LOAD' else word for word in arguments]
    assert run_command(['experiment', 'run', *words]) == 2
    output = capsys.readouterr()
    assert output.err.startswith(f'waywell: {message}')
    assert output.err.count('\n') == 1


def test_a_syntax_error_is_reported_with_its_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / 'load.toml'
    file.write_text('seconds = 3\nseconds = \n')
    assert run_command(['experiment', 'run', str(file)]) == 2
    assert 'at line 2' in capsys.readouterr().err


def test_a_run_is_printed_as_a_table_or_as_json(
    capsys: pytest.CaptureFixture[str],
) -> None:
    words = [
        'experiment',
        'run',
        str(EXAMPLES / 'calm.toml'),
        '--seeds=1',
        '--jobs=1',
    ]
    assert run_command(words) == 0
    assert 'worst_kind' in capsys.readouterr().out
    assert run_command([*words, '--json']) == 0
    document = json.loads(capsys.readouterr().out)
    assert document['base'] == 'current'
    assert len(document['plays']) == 1


def test_daemons_and_their_commands_do_not_import_the_simulation() -> None:
    program = (
        'import sys; from waywell.cli import run_command; '
        'import waywell.process.front, waywell.process.entry; '
        "run_command(['check']); "
        "sys.exit(any('experiment' in name for name in sys.modules))"
    )
    subprocess.run([sys.executable, '-c', program], check=True)


def test_a_sweep_simulates_each_value(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    load = str(EXAMPLES / 'calm.toml')
    words = ['experiment', 'sweep', load, '--seeds=1', '--jobs=1']
    setting = '--setting=fleet.boxes_per_domain'
    assert run_command([*words, setting, '--values=3,8']) == 0
    rows = [line.split() for line in capsys.readouterr().out.splitlines()]
    assert [row[0] for row in rows] == ['fleet.boxes_per_domain', '3', '8']
    assert rows[1][1] <= rows[2][1]


@pytest.mark.parametrize(
    ('setting', 'message'),
    [
        ('kind.7.goal', 'kind.7.goal: no such setting'),
        ('engine.plces', 'engine.plces: unknown key'),
        ('engine.places', 'engine.places: 0 is not above 0'),
    ],
)
def test_an_invalid_setting_is_reported_on_one_line(
    setting: str, message: str, capsys: pytest.CaptureFixture[str]
) -> None:
    load = str(EXAMPLES / 'calm.toml')
    words = ['experiment', 'sweep', load, f'--setting={setting}', '--values=0']
    assert run_command(words) == 2
    output = capsys.readouterr()
    assert message in output.err
    assert output.err.count('\n') == 1


@pytest.mark.parametrize('jobs', [1, 2])
def test_an_interrupt_returns_the_completed_seeds(jobs: int) -> None:
    def interrupt(*_progress: object) -> None:
        raise KeyboardInterrupt

    pairs = simulate_seeds(
        Experiment(make_load(), CURRENT), 5, jobs, interrupt
    )
    assert len(pairs) == 1
