"""Result codes and their documentation."""

from __future__ import annotations

from pathlib import Path

from waywell.codes import CODE_FACTS, Code, Ran, Refusal, render_codes

PAGE = Path(__file__).parent.parent / 'docs' / 'CODES.md'


def test_documentation_contains_the_table() -> None:
    assert render_codes() in PAGE.read_text(encoding='utf-8')


def test_every_code_has_facts() -> None:
    assert set(CODE_FACTS) == set(Code)


def test_refusal_reports_status_code_and_retry_advice() -> None:
    refusal = Refusal(Code.ACCOUNT_RATE, Ran.NOT_RUN, 'slow down', 1.5)
    assert refusal.status == 429
    assert refusal.describe()['code'] == 2001
    assert refusal.describe()['ran'] == 'not_run'
    assert refusal.describe()['retry_after'] == 1.5
