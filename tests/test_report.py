"""Reading of a journal and the report made of it."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from waywell.cli import EXIT_FAULTS, run_command
from waywell.report.charts import draw_prices, draw_worth_after_prices
from waywell.report.entries import JournalDay, read_journal
from waywell.report.page import find_latest_days, make_page

PNG_SIGNATURE = b'\x89PNG'


def _write_entry(folder: Path, number: int, **changes: object) -> None:
    day = {
        'name': 'quiet-1',
        'G': 0.5 + number / 100,
        'served': 0.9,
        'rules': {},
        'fault': None,
        'by_class': [0.8, None, 0.9],
        'by_zone': [0.7, 0.9],
        'prices': [['machine-seconds', 487.8, 0.05], ['orders', 2.0, 0.01]],
        'unknown_field': 1,
        **changes,
    }
    entry = {
        'id': f'run{number}',
        'at': [f'2026-12-0{number}T10:00:00Z', ''],
        'cmd': 'run',
        'argv': ['sites/shop.toml', 'quiet-1'],
        'why': 'a test',
        'days': [day],
    }
    (folder / f'2026120{number}.json').write_text(json.dumps(entry))


def test_the_report_shows_the_last_run_of_a_day_and_its_broken_rules(
    tmp_path: Path,
) -> None:
    _write_entry(tmp_path, 1)
    _write_entry(tmp_path, 2, rules={'TWO': 1}, name='scale-1')
    _write_entry(tmp_path, 3)
    _write_entry(tmp_path, 4, name='fresh-abc')
    entries = read_journal(tmp_path)
    days = find_latest_days(entries)
    assert [(day.name, day.worth) for day in days] == [
        ('quiet-1', 0.53),
        ('scale-1', 0.52),
    ]
    assert [day.is_faultless for day in days] == [True, False]
    page = make_page(entries)
    assert '4 runs, 4 of them cut off' in page
    assert 'run2 scale-1: TWO' in page
    assert page.count('<img') == 4


def test_an_unreadable_entry_is_left_out(tmp_path: Path) -> None:
    _write_entry(tmp_path, 1)
    (tmp_path / 'broken.json').write_text('{')
    assert [entry.run_id for entry in read_journal(tmp_path)] == ['run1']


def test_charts_are_images_even_without_data() -> None:
    day = JournalDay('quiet-1', worth=0.5, served=0.9)
    assert draw_worth_after_prices('a', [day]).startswith(PNG_SIGNATURE)
    assert draw_prices('b', []).startswith(PNG_SIGNATURE)


def test_the_report_command_writes_the_page(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    out = tmp_path / 'report.html'
    arguments = ['report', f'--journal={tmp_path}', f'--out={out}']
    assert run_command(arguments) == EXIT_FAULTS
    _write_entry(tmp_path, 1)
    assert run_command(arguments) == 0
    assert '1 runs' in capsys.readouterr().out
    assert '<h2>shop</h2>' in out.read_text()
