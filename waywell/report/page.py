"""The report as one page: charts and tables of a journal."""

from __future__ import annotations

import base64
import html
from collections import defaultdict
from typing import TYPE_CHECKING

from waywell.report.charts import (
    draw_losses,
    draw_prices,
    draw_shares,
    draw_worth,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from waywell.report.entries import JournalDay, JournalEntry

PLAYED = frozenset(('run', 'score'))
"""Commands whose days are standard ones."""

_STYLE = """
body { font: 15px/1.4 sans-serif; margin: 2em auto; max-width: 64em; }
table { border-collapse: collapse; }
td, th { padding: 0.2em 0.8em; border-bottom: 1px solid #ddd; }
td { text-align: left; }
"""


def make_page(entries: Sequence[JournalEntry]) -> str:
    """Return the report of a journal as HTML with the charts inside."""
    parts = ['<h1>Played days</h1>', _describe(entries)]
    for site, played in sorted(_gather_sites(entries).items()):
        parts.append(f'<h2>{html.escape(site)}</h2>')
        parts.extend(_draw_site(site, played))
    body = '\n'.join(parts)
    return (
        '<!doctype html><html><head><meta charset="utf-8">'
        f'<title>waywell report</title><style>{_STYLE}</style></head>'
        f'<body>{body}</body></html>'
    )


def find_latest_days(entries: Iterable[JournalEntry]) -> list[JournalDay]:
    """Return the last play of each standard day."""
    latest = {}
    for entry in entries:
        for day in entry.days:
            if day.is_standard:
                latest[day.name] = day
    return [latest[name] for name in sorted(latest)]


def _gather_sites(
    entries: Iterable[JournalEntry],
) -> dict[str, list[JournalEntry]]:
    sites: dict[str, list[JournalEntry]] = defaultdict(list)
    for entry in entries:
        if entry.command in PLAYED and entry.days:
            sites[entry.site].append(entry)
    return sites


def _draw_site(site: str, entries: list[JournalEntry]) -> Iterable[str]:
    days = find_latest_days(entries)
    yield _embed(draw_worth(site, entries))
    yield _embed(draw_losses('Last play of each day', days))
    yield _embed(draw_prices('What was paid, last play of each day', days))
    yield _embed(draw_shares('By kind of request and data hall', days))
    yield _tabulate(days)


def _describe(entries: Sequence[JournalEntry]) -> str:
    cut = sum(not entry.at[1] for entry in entries)
    broken = [
        f'{entry.run_id} {day.name}: {_name_faults(day)}'
        for entry in entries
        for day in entry.days
        if not day.is_sound
    ]
    rows = ''.join(f'<li>{html.escape(text)}</li>' for text in broken)
    return (
        f'<p>{len(entries)} runs, {cut} of them cut off before their end. '
        f'Days that broke a rule or met a fault: {len(broken)}.</p>'
        f'<ul>{rows}</ul>'
    )


def _name_faults(day: JournalDay) -> str:
    return ', '.join([*day.rules, *([day.fault] if day.fault else [])])


def _tabulate(days: list[JournalDay]) -> str:
    rows = ''.join(
        f'<tr><td>{html.escape(day.name)}</td><td>{day.worth:.3f}</td>'
        f'<td>{day.served:.3f}</td>'
        f'<td>{html.escape(_name_faults(day)) or "none"}</td></tr>'
        for day in days
    )
    return (
        '<table><tr><th>day</th><th>worth</th><th>served</th>'
        f'<th>broken</th></tr>{rows}</table>'
    )


def _embed(png: bytes) -> str:
    text = base64.b64encode(png).decode()
    return f'<p><img src="data:image/png;base64,{text}" alt="chart"></p>'
