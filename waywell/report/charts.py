"""Charts of played days, as PNG pictures."""

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
"""Resolution of a chart."""

MOST_PRICES = 6
"""Prices that a chart shows; the others are small and left out."""

SHARE_BAR = 0.75
"""Part of a bar's room that is filled."""

LEAST_WORTH = -0.1
"""Lowest worth that a chart shows."""

LEGEND_COLUMNS = 6
"""Names in one row of a legend: the days of a site."""

GRID_STRENGTH = 0.3
"""Opacity of the lines behind a chart."""


@attrs.frozen
class _Play:
    """One play of a day."""

    at: datetime
    """When its run began."""

    day: JournalDay
    """How it went."""


def draw_worth(site: str, entries: Iterable[JournalEntry]) -> bytes:
    """Draw the worth of each standard day over the runs of a site.

    Days that broke a rule or met a fault are marked by a cross.  The first
    tries of a site may lie below the chart.
    """
    figure, axes = _open_chart(f'{site}: worth of each run of a day')
    for name, plays in sorted(_gather_plays(entries).items()):
        axes.plot(
            [play.at for play in plays],
            [play.day.worth for play in plays],
            marker='o',
            markersize=3,
            label=name,
        )
        broken = [play for play in plays if not play.day.is_sound]
        axes.scatter(
            [play.at for play in broken],
            [play.day.worth for play in broken],
            marker='x',
            color='black',
            zorder=3,
        )
    figure.autofmt_xdate()
    axes.set_ylim(LEAST_WORTH, 1.0)
    axes.set_ylabel('worth')
    _add_legend(figure, axes)
    return _save(figure)


def draw_losses(title: str, days: Sequence[JournalDay]) -> bytes:
    """Draw for each day what was served, and the worth left after prices."""
    figure, axes = _open_chart(title)
    names = [day.name for day in days]
    axes.bar(
        names,
        [day.served for day in days],
        SHARE_BAR,
        color='#d9d9d9',
        label='served in worth',
    )
    axes.bar(
        names,
        [day.worth for day in days],
        SHARE_BAR / 2,
        color='#3b6ea5',
        label='worth',
    )
    axes.set_ylabel('share of what was owed')
    _add_legend(figure, axes)
    return _save(figure)


def draw_prices(title: str, days: Sequence[JournalDay]) -> bytes:
    """Draw for each day the largest prices paid, on top of each other."""
    figure, axes = _open_chart(title)
    names = [day.name for day in days]
    bottoms = [0.0 for _ in days]
    for what in _rank_prices(days):
        heights = [_sum_price(day, what) for day in days]
        axes.bar(names, heights, SHARE_BAR, bottom=bottoms, label=what)
        bottoms = [sum(pair) for pair in zip(bottoms, heights, strict=True)]
    axes.set_ylabel('worth paid')
    _add_legend(figure, axes)
    return _save(figure)


def draw_shares(title: str, days: Sequence[JournalDay]) -> bytes:
    """Draw the share earned by kind of request and by data hall."""
    figure, axes = _open_chart(title)
    for day in days:
        shares = [*day.by_class, *day.by_hall]
        places = [place for place, share in enumerate(shares) if share]
        axes.plot(
            places,
            [shares[place] or 0.0 for place in places],
            marker='o',
            label=day.name,
        )
    labels = _name_shares(days)
    axes.set_xticks(range(len(labels)), labels)
    axes.set_ylabel('share earned')
    _add_legend(figure, axes)
    return _save(figure)


def _name_shares(days: Sequence[JournalDay]) -> list[str]:
    """Return what the places of the chart of shares are."""
    if not days:
        return []
    kinds = [f'kind {place + 1}' for place in range(len(days[0].by_class))]
    halls = [f'hall {place + 1}' for place in range(len(days[0].by_hall))]
    return kinds + halls


def _add_legend(figure: Figure, axes: Any) -> None:
    """Put a legend below a chart, where it hides nothing."""
    if axes.get_legend_handles_labels()[0]:
        figure.legend(
            loc='outside lower center',
            fontsize='small',
            ncols=LEGEND_COLUMNS,
        )


def _open_chart(title: str) -> tuple[Figure, Any]:
    figure = Figure((WIDTH, HEIGHT), DOTS_PER_INCH, layout='constrained')
    axes = figure.subplots()
    axes.set_title(title)
    axes.grid(visible=True, axis='y', alpha=GRID_STRENGTH)
    return figure, axes


def _save(figure: Figure) -> bytes:
    raw = io.BytesIO()
    figure.savefig(raw, format='png')
    return raw.getvalue()


def _gather_plays(
    entries: Iterable[JournalEntry],
) -> dict[str, list[_Play]]:
    """Return the plays of each standard day, by the day's name."""
    plays = defaultdict(list)
    for entry in entries:
        began_at = datetime.fromisoformat(entry.at[0])
        for day in entry.days:
            if day.is_standard:
                plays[day.name].append(_Play(began_at, day))
    return plays


def _rank_prices(days: Sequence[JournalDay]) -> list[str]:
    """Return what took most worth over all days, the largest first."""
    totals: dict[str, float] = defaultdict(float)
    for day in days:
        for what, _amount, paid in day.prices:
            totals[what] += paid or 0.0
    ranked = sorted(totals, key=lambda name: -totals[name])
    return ranked[:MOST_PRICES]


def _sum_price(day: JournalDay, name: str) -> float:
    """Return the worth that was paid for one thing on a day."""
    return sum(
        paid or 0.0 for what, _amount, paid in day.prices if what == name
    )
