"""Exit codes and messages of the command line."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

from tests.entry_settings import SETTINGS
from waywell.cli import run_command
from waywell.standins.harness import OPERATOR_KEY, Bench, hash_text

if TYPE_CHECKING:
    from collections.abc import Iterator

CONFIGURATION = f"""
[[service]]
name = "llm"
[[operator]]
name = "ops"
key_hashes = ["{hash_text(OPERATOR_KEY)}"]
"""

Output = pytest.CaptureFixture[str]


@pytest.fixture(scope='module')
def single_entry() -> Iterator[Bench]:
    with Bench() as bench:
        bench.start_entry('e1')
        yield bench


@pytest.fixture
def admin(single_entry: Bench, monkeypatch: pytest.MonkeyPatch) -> Bench:
    port = single_entry.entries['e1'].ports['admin_port']
    monkeypatch.setenv('WAYWELL_ADMIN', f'http://127.0.0.1:{port}')
    monkeypatch.setenv('WAYWELL_KEY', OPERATOR_KEY)
    return single_entry


def write(folder: Path, text: str) -> str:
    file = folder / 'file.toml'
    file.write_text(text)
    return str(file)


def test_check_reports_that_there_are_no_faults(
    tmp_path: Path,
    capsys: Output,
) -> None:
    file = write(tmp_path, SETTINGS)
    assert run_command(['check', f'--settings={file}']) == 0
    assert 'no faults' in capsys.readouterr().out


def test_check_lists_all_faults(tmp_path: Path, capsys: Output) -> None:
    text = SETTINGS.replace('hall', 'hal') + '[timing]\nbeat = 0\ndran = 1\n'
    file = write(tmp_path, text)
    assert run_command(['check', f'--settings={file}']) == 2
    output = capsys.readouterr().err
    assert 'node.hal: unknown key; nearest known key: hall' in output
    assert 'timing.dran: unknown key; nearest known key: drain' in output
    assert 'file.toml' in output


@pytest.mark.parametrize(
    ('change', 'fault'),
    [
        (
            'name = "e 1"',
            'node.name: must be 1 to 64 letters, digits or ._-',
        ),
        (
            'name = "e1"\nhost = "box.example"',
            'node.host: must be an IP address',
        ),
        (
            'name = "e1"\ncaller_port = 70000',
            'node.caller_port: must be 0 to 65535',
        ),
    ],
)
def test_invalid_settings_are_reported(
    change: str,
    fault: str,
    tmp_path: Path,
    capsys: Output,
) -> None:
    file = write(tmp_path, SETTINGS.replace('name = "e1"', change))
    assert run_command(['check', f'--settings={file}']) == 2
    assert fault in capsys.readouterr().err


def test_missing_file_is_named(capsys: Output) -> None:
    assert run_command(['apply', '--file=/nowhere/x.toml', '--admin=x']) == 2
    assert '/nowhere/x.toml' in capsys.readouterr().err


def test_apply_get_explain_status_dump(
    admin: Bench,
    tmp_path: Path,
    capsys: Output,
) -> None:
    file = write(tmp_path, CONFIGURATION)
    assert run_command(['apply', f'--file={file}']) == 0
    number = json.loads(capsys.readouterr().out)['number']
    assert run_command(['apply', f'--file={file}', '--expected=0']) == 1
    assert '4002 STALE_VERSION' in capsys.readouterr().err
    assert run_command(['get', '--label=kind:service']) == 0
    shown = json.loads(capsys.readouterr().out)
    assert shown['number'] == number
    assert set(shown['entries']) == {'service/llm'}
    arguments = ['explain', '--service=llm', '--account=nobody']
    assert run_command(arguments) == 0
    assert json.loads(capsys.readouterr().out)['groups'] == []
    for command in ('status', 'dump'):
        assert run_command([command]) == 0
        assert json.loads(capsys.readouterr().out)['node'] == 'e1'


def test_relabel_by_selector(admin: Bench, capsys: Output) -> None:
    from waywell.standins.harness import BoxSpec

    admin.start_box(BoxSpec('b1', labels={'rack': 'r1'}))
    admin.start_box(BoxSpec('b2', labels={'rack': 'r2'}))
    arguments = ['relabel', '--select=rack:r1', '--labels=pool:llm,rack:']
    assert run_command(arguments) == 0
    assert json.loads(capsys.readouterr().out) == {'changed': ['b1']}
    assert run_command(['get', 'boxes', '--label=pool:llm']) == 0
    assert json.loads(capsys.readouterr().out)[0]['labels'] == {'pool': 'llm'}


def test_wrong_key_and_unreachable_daemon_have_exit_codes(
    admin: Bench,
    capsys: Output,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setenv('WAYWELL_KEY', 'wrong')
    assert run_command(['status']) == 1
    assert '4006 FORBIDDEN' in capsys.readouterr().err
    assert run_command(['status', '--admin=http://127.0.0.1:1']) == 4


def test_start_reports_a_port_in_use(admin: Bench, tmp_path: Path) -> None:
    import subprocess
    import sys

    port = admin.entries['e1'].ports['caller_port']
    text = SETTINGS.replace('hall =', f'caller_port = {port}\nhall =')
    file = write(tmp_path, text)
    completed = subprocess.run(
        [sys.executable, '-m', 'waywell', 'start', f'--settings={file}'],
        capture_output=True,
        timeout=60,
        check=False,
    )
    assert completed.returncode != 0
    assert b'cannot start' in completed.stderr
