"""Charts of the days in a journal, as PNG images."""

from __future__ import annotations

import io
from collections import defaultdict
from datetime import datetime
from typing import TYPE_CHECKING, Any

import attrs
from matplotlib.figure import Figure

from waywell.report.entries import JournalDay

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from waywell.report.entries import JournalEntry

WIDTH = 9.0
"""Width of a chart, in inches."""

HEIGHT = 3.6
"""Height of a chart, in inches."""

DOTS_PER_INCH = 110
"""Resolution of a chart, in dots per inch."""

MAX_PRICES = 6
"""Maximum number of prices in a chart; smaller ones are left out."""

BAR_WIDTH = 0.75
"""Width of a bar, as a fraction of the distance between bars."""

MIN_WORTH = -0.1
"""Lower end of the axis of worth; lower values lie outside the chart."""

LEGEND_COLUMNS = 6
"""Columns of a legend, enough for the days of a site in one row."""

GRID_OPACITY = 0.3
"""Opacity of the grid lines, from 0 to 1."""


@attrs.frozen
class _DayRun:
    """One run of a day."""

    at: datetime
    """Start of the journal entry that contains it."""

    day: JournalDay
    """Results of the day."""


def draw_worth(site: str, entries: Iterable[JournalEntry]) -> bytes:
    """Draw the worth of each standard day over the runs of a site.

    Days with a broken rule or a fault are marked by a cross.  Early runs of a
    site may have a worth below the axis.
    """
    figure, axes = _make_chart(f'{site}: worth of each run of a day')
    for name, runs in sorted(_group_runs_by_day(entries).items()):
        axes.plot(
            [run.at for run in runs],
            [run.day.worth for run in runs],
            marker='o',
            markersize=3,
            label=name,
        )
        broken = [run for run in runs if not run.day.is_faultless]
        axes.scatter(
            [run.at for run in broken],
            [run.day.worth for run in broken],
            marker='x',
            color='black',
            zorder=3,
        )
    figure.autofmt_xdate()
    axes.set_ylim(MIN_WORTH, 1.0)
    axes.set_ylabel('worth')
    _add_legend(figure, axes)
    return _render_png(figure)


def draw_worth_after_prices(title: str, days: Sequence[JournalDay]) -> bytes:
    """Draw the share served of each day, and its worth after prices."""
    figure, axes = _make_chart(title)
    names = [day.name for day in days]
    axes.bar(
        names,
        [day.served for day in days],
        BAR_WIDTH,
        color='#d9d9d9',
        label='served in worth',
    )
    axes.bar(
        names,
        [day.worth for day in days],
        BAR_WIDTH / 2,
        color='#3b6ea5',
        label='worth',
    )
    axes.set_ylabel('share of worth owed')
    _add_legend(figure, axes)
    return _render_png(figure)


def draw_prices(title: str, days: Sequence[JournalDay]) -> bytes:
    """Draw the largest prices of each day as stacked bars."""
    figure, axes = _make_chart(title)
    names = [day.name for day in days]
    bottoms = [0.0 for _ in days]
    for price in _rank_prices(days):
        heights = [_sum_price(day, price) for day in days]
        axes.bar(names, heights, BAR_WIDTH, bottom=bottoms, label=price)
        bottoms = [sum(pair) for pair in zip(bottoms, heights, strict=True)]
    axes.set_ylabel('worth paid')
    _add_legend(figure, axes)
    return _render_png(figure)


def draw_shares(title: str, days: Sequence[JournalDay]) -> bytes:
    """Draw the earned share by kind of request and by data hall."""
    figure, axes = _make_chart(title)
    for day in days:
        shares = [*day.by_class, *day.by_hall]
        positions = [
            position for position, share in enumerate(shares) if share
        ]
        axes.plot(
            positions,
            [shares[position] or 0.0 for position in positions],
            marker='o',
            label=day.name,
        )
    labels = _make_share_labels(days)
    axes.set_xticks(range(len(labels)), labels)
    axes.set_ylabel('share earned')
    _add_legend(figure, axes)
    return _render_png(figure)


def _make_share_labels(days: Sequence[JournalDay]) -> list[str]:
    """Return the axis labels of the chart of shares."""
    if not days:
        return []
    kinds = [f'kind {index + 1}' for index in range(len(days[0].by_class))]
    halls = [f'hall {index + 1}' for index in range(len(days[0].by_hall))]
    return kinds + halls


def _add_legend(figure: Figure, axes: Any) -> None:
    """Add a legend below a chart, where it covers no data."""
    if axes.get_legend_handles_labels()[0]:
        figure.legend(
            loc='outside lower center',
            fontsize='small',
            ncols=LEGEND_COLUMNS,
        )


def _make_chart(title: str) -> tuple[Figure, Any]:
    figure = Figure((WIDTH, HEIGHT), DOTS_PER_INCH, layout='constrained')
    axes = figure.subplots()
    axes.set_title(title)
    axes.grid(visible=True, axis='y', alpha=GRID_OPACITY)
    return figure, axes


def _render_png(figure: Figure) -> bytes:
    raw = io.BytesIO()
    figure.savefig(raw, format='png')
    return raw.getvalue()


def _group_runs_by_day(
    entries: Iterable[JournalEntry],
) -> dict[str, list[_DayRun]]:
    """Return the runs of each standard day, by the day's name."""
    runs = defaultdict(list)
    for entry in entries:
        started_at = datetime.fromisoformat(entry.at[0])
        for day in entry.days:
            if day.is_standard:
                runs[day.name].append(_DayRun(started_at, day))
    return runs


def _rank_prices(days: Sequence[JournalDay]) -> list[str]:
    """Return the highest prices over all days, in descending order."""
    totals: dict[str, float] = defaultdict(float)
    for day in days:
        for price, _amount, paid in day.prices:
            totals[price] += paid or 0.0
    ranked = sorted(totals, key=lambda name: -totals[name])
    return ranked[:MAX_PRICES]


def _sum_price(day: JournalDay, name: str) -> float:
    """Return the worth paid for one price of a day."""
    return sum(
        paid or 0.0 for price, _amount, paid in day.prices if price == name
    )
