"""Reads process counters, summarises them and writes benchmark results."""

from __future__ import annotations

import json
import os
import platform
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Sequence

RESULTS_FOLDER = Path('bench-results')
"""Folder for the JSON results."""

TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
"""Number of clock ticks, the unit of processor time in /proc, per second."""

PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
"""Size of a page, the unit of memory in /proc, in bytes."""

MEGABYTE = 1_000_000
"""Bytes in a megabyte."""

_UTIME_FIELD = 11


def read_cpu(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    text = Path(f'/proc/{pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    user, system = fields[_UTIME_FIELD : _UTIME_FIELD + 2]
    return (int(user) + int(system)) / TICKS_PER_SECOND


def read_memory(pid: int) -> float:
    """Return the resident memory of a process, in megabytes."""
    pages = int(Path(f'/proc/{pid}/statm').read_text().split()[1])
    return pages * PAGE_BYTES / MEGABYTE


def find_quantile(values: Sequence[float], share: float) -> float:
    """Return the value below which a share of the values lies."""
    ordered = sorted(values)
    index = min(len(ordered) - 1, int(len(ordered) * share))
    return ordered[index]


def fit_slope(points: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Return the slope and intercept of the least-squares line."""
    count = len(points)
    mean_size = sum(size for size, _ in points) / count
    mean_cost = sum(cost for _, cost in points) / count
    squares = sum((size - mean_size) ** 2 for size, _ in points)
    products = sum(
        (size - mean_size) * (cost - mean_cost) for size, cost in points
    )
    slope = products / squares if squares else 0
    return slope, mean_cost - slope * mean_size


def describe_machine() -> dict[str, Any]:
    """Return the properties of the machine that affect the results."""
    return {
        'cores': os.cpu_count(),
        'machine': platform.machine(),
        'python': platform.python_version(),
    }


def write_figures(name: str, rows: list[dict[str, Any]], **notes: Any) -> None:
    """Write the rows of a benchmark as JSON and print them as a table."""
    RESULTS_FOLDER.mkdir(exist_ok=True)
    document = {'machine': describe_machine(), 'notes': notes, 'rows': rows}
    (RESULTS_FOLDER / f'{name}.json').write_text(
        json.dumps(document, indent=2)
    )
    sys.stdout.write(f'\n## {name}\n{render_table(rows)}\n')
    for key, note in notes.items():
        sys.stdout.write(f'{key}: {note}\n')
    sys.stdout.flush()


def render_table(rows: list[dict[str, Any]]) -> str:
    """Return rows as a Markdown table, with the keys as column headings."""
    if not rows:
        return ''
    names = list(rows[0])
    lines = [' | '.join(names), ' | '.join('---' for _ in names)]
    lines.extend(
        ' | '.join(_format_cell(row.get(name, '')) for name in names)
        for row in rows
    )
    return '\n'.join(f'| {line} |' for line in lines)


def _format_cell(cell: Any) -> str:
    return f'{cell:.4g}' if isinstance(cell, float) else str(cell)
