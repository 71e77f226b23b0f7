"""Simulations of a load with several values of one setting."""

from __future__ import annotations

import copy
import statistics
from typing import TYPE_CHECKING, Any

import attrs

from waywell.experiment.comparison import MEASURES, Pair
from waywell.experiment.load_file import Load, check_load
from waywell.experiment.table import format_line
from waywell.version.input_validation import InvalidInputError
from waywell.version.toml_text import read_text, read_toml

if TYPE_CHECKING:
    from collections.abc import Sequence


@attrs.frozen
class Variant:
    """A load with one setting changed."""

    setting: object
    """Value of the changed setting."""

    load: Load
    """Load with that value."""


VariantResults = tuple[Variant, list[Pair]]
"""A variant and its results, one pair for each seed."""


def make_variants(
    path: str,
    key: str,
    settings: Sequence[object],
) -> list[Variant]:
    """Return a variant of a load file for each value of a setting.

    Parameters
    ----------
    path
        Path of the load file.
    key
        Setting to change, such as ``engine.places`` or
        ``kind.0.per_second``.
    settings
        Values of the setting.  For a range, a single number sets both
        bounds.

    Raises
    ------
    InvalidInputError
        If there is no such setting or a value is invalid.
    """
    raw = read_toml(read_text(path), path)
    return [
        Variant(value, check_load(_replace_setting(raw, key, value), path))
        for value in settings
    ]


def format_sweep(
    key: str,
    variant_results: Sequence[VariantResults],
) -> str:
    """Return a table with the means of all measures for each value."""
    lines = [format_line((key, *MEASURES, 'requests', 'seeds'))]
    for variant, pairs in variant_results:
        means = (
            statistics.fmean(getattr(pair.base, measure) for pair in pairs)
            for measure in MEASURES
        )
        requests = statistics.fmean(pair.base.requests for pair in pairs)
        cells = [f'{mean:.4f}' for mean in means]
        lines.append(
            format_line(
                (
                    str(variant.setting),
                    *cells,
                    f'{requests:.0f}',
                    str(len(pairs)),
                ),
            ),
        )
    return '\n'.join(lines)


def _replace_setting(raw: dict[str, Any], key: str, setting: object) -> Any:
    """Return a copy of a load file's content with one setting changed."""
    changed = copy.deepcopy(raw)
    *path, name = key.split('.')
    table: Any = changed
    for part in path:
        table = _get_child(table, part, key)
    if not isinstance(table, dict):
        raise InvalidInputError([f'{key}: no such setting'])
    is_range = isinstance(table.get(name), list)
    is_number = isinstance(setting, int | float)
    table[name] = [setting, setting] if is_range and is_number else setting
    return changed


def _get_child(table: Any, part: str, key: str) -> Any:
    if isinstance(table, dict):
        return table.setdefault(part, {})
    if part.isdecimal() and int(part) < len(table):
        return table[int(part)]
    raise InvalidInputError([f'{key}: no such setting'])
