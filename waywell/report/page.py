"""Report of a journal as one HTML page with charts and tables."""

from __future__ import annotations

import base64
import html
from collections import defaultdict
from typing import TYPE_CHECKING

from waywell.report.charts import (
    draw_prices,
    draw_shares,
    draw_worth,
    draw_worth_after_prices,
)

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from waywell.report.entries import JournalDay, JournalEntry

STANDARD_COMMANDS = frozenset(('run', 'score'))
"""Commands that run the standard days of a site."""

_STYLE = """
body { font: 15px/1.4 sans-serif; margin: 2em auto; max-width: 64em; }
table { border-collapse: collapse; }
td, th { padding: 0.2em 0.8em; border-bottom: 1px solid #ddd; }
td { text-align: left; }
"""


def make_page(entries: Sequence[JournalEntry]) -> str:
    """Return the report of a journal as HTML with embedded charts."""
    parts = ['<h1>Benchmark runs</h1>', _summarize(entries)]
    for site, site_entries in sorted(_group_by_site(entries).items()):
        parts.append(f'<h2>{html.escape(site)}</h2>')
        parts.extend(_draw_site(site, site_entries))
    body = '\n'.join(parts)
    return (
        '<!doctype html><html><head><meta charset="utf-8">'
        f'<title>waywell report</title><style>{_STYLE}</style></head>'
        f'<body>{body}</body></html>'
    )


def find_latest_days(entries: Iterable[JournalEntry]) -> list[JournalDay]:
    """Return the last run of each standard day, in order of name."""
    latest = {}
    for entry in entries:
        for day in entry.days:
            if day.is_standard:
                latest[day.name] = day
    return [latest[name] for name in sorted(latest)]


def _group_by_site(
    entries: Iterable[JournalEntry],
) -> dict[str, list[JournalEntry]]:
    sites: dict[str, list[JournalEntry]] = defaultdict(list)
    for entry in entries:
        if entry.command in STANDARD_COMMANDS and entry.days:
            sites[entry.site].append(entry)
    return sites


def _draw_site(site: str, entries: list[JournalEntry]) -> Iterable[str]:
    days = find_latest_days(entries)
    yield _embed_image(draw_worth(site, entries))
    yield _embed_image(draw_worth_after_prices('Last run of each day', days))
    yield _embed_image(draw_prices('Prices paid, last run of each day', days))
    yield _embed_image(
        draw_shares('Earned share by kind of request and data hall', days)
    )
    yield _make_table(days)


def _summarize(entries: Sequence[JournalEntry]) -> str:
    cut = sum(not entry.at[1] for entry in entries)
    broken = [
        f'{entry.run_id} {day.name}: {_list_faults(day)}'
        for entry in entries
        for day in entry.days
        if not day.is_faultless
    ]
    rows = ''.join(f'<li>{html.escape(text)}</li>' for text in broken)
    return (
        f'<p>{len(entries)} runs, {cut} of them cut off before their end. '
        f'Days that broke a rule or met a fault: {len(broken)}.</p>'
        f'<ul>{rows}</ul>'
    )


def _list_faults(day: JournalDay) -> str:
    return ', '.join([*day.rules, *([day.fault] if day.fault else [])])


def _make_table(days: list[JournalDay]) -> str:
    rows = ''.join(
        f'<tr><td>{html.escape(day.name)}</td><td>{day.worth:.3f}</td>'
        f'<td>{day.served:.3f}</td>'
        f'<td>{html.escape(_list_faults(day)) or "none"}</td></tr>'
        for day in days
    )
    return (
        '<table><tr><th>day</th><th>worth</th><th>served</th>'
        f'<th>broken</th></tr>{rows}</table>'
    )


def _embed_image(png: bytes) -> str:
    text = base64.b64encode(png).decode()
    return f'<p><img src="data:image/png;base64,{text}" alt="chart"></p>'
