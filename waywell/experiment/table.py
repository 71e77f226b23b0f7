"""Results of an experiment as a text table and as JSON."""

from __future__ import annotations

import json
import statistics
from typing import TYPE_CHECKING

import attrs

from waywell.experiment.comparison import compare

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from waywell.experiment.comparison import Difference, Pair

_HEAD = ('measure', 'base', 'other', 'difference', '95% interval', 'seeds')
_WIDTHS = (28, 10, 10, 12, 22, 6)


def format_table(
    names: tuple[str, str],
    pairs: Sequence[Pair],
) -> str:
    """Return the comparison as a text table.

    Parameters
    ----------
    names
        Names of the base policy and the other policy.
    pairs
        Results of both policies, one pair for each seed; at least one.
    """
    lines = [
        f'{len(pairs)} seeds; base: {names[0]}, other: {names[1]}',
        format_line(_HEAD),
        *(_format_difference(difference) for difference in compare(pairs)),
        '',
        'requests a seed, and lost worth a seed as a share of all worth',
        *_list_endings(pairs),
    ]
    return '\n'.join(lines)


def format_json(names: tuple[str, str], pairs: Sequence[Pair]) -> str:
    """Return the comparison and the results of each seed as JSON."""
    document = {
        'base': names[0],
        'other': names[1],
        'differences': [
            attrs.asdict(difference) for difference in compare(pairs)
        ],
        'plays': [
            {
                'seed': pair.seed,
                'base': attrs.asdict(pair.base),
                'other': attrs.asdict(pair.other),
            }
            for pair in pairs
        ],
    }
    return json.dumps(document, indent=2, sort_keys=True)


def format_line(cells: Sequence[str]) -> str:
    """Return cells as one line with aligned columns."""
    padded = (
        f'{cell} '.ljust(width)
        for cell, width in zip(cells, _WIDTHS, strict=True)
    )
    return ''.join(padded).rstrip()


def _format_difference(difference: Difference) -> str:
    needed = difference.seeds_needed
    return format_line(
        (
            difference.measure,
            f'{difference.base:.4f}',
            f'{difference.other:.4f}',
            f'{difference.mean:+.4f}',
            f'{difference.low:+.4f} to {difference.high:+.4f}',
            '-' if needed is None else str(needed),
        ),
    )


def _list_endings(pairs: Sequence[Pair]) -> Iterator[str]:
    yield format_line(('ending', 'base', 'other', '', 'lost by base', ''))
    for ending in pairs[0].base.endings:
        base = statistics.fmean(pair.base.endings[ending] for pair in pairs)
        other = statistics.fmean(pair.other.endings[ending] for pair in pairs)
        lost = statistics.fmean(
            pair.base.prices.get(ending, 0.0) / pair.base.possible
            if pair.base.possible
            else 0.0
            for pair in pairs
        )
        yield format_line(
            (ending, f'{base:.1f}', f'{other:.1f}', '', f'{lost:.4f}', ''),
        )
