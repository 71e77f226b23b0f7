"""Resident memory after successive imports of a daemon.

``python -m waywell.bench.memory`` measures each step in a separate process.
"""

from __future__ import annotations

import subprocess
import sys

from waywell.bench.figures import write_figures

PRINT_MEMORY_CODE = (
    'import os; pages = open("/proc/self/statm").read().split()[1]; '
    'print(int(pages) * os.sysconf("SC_PAGE_SIZE") / 1e6)'
)
"""Code that prints the resident memory of its process, in megabytes."""

INSTALL_REACTOR_CODE = (
    'import asyncio; from twisted.internet import asyncioreactor; '
    'asyncioreactor.install(asyncio.new_event_loop()); '
)
"""Code that installs the reactor."""

STEPS = {
    'interpreter': '',
    'reactor': INSTALL_REACTOR_CODE,
    'whole daemon': f'{INSTALL_REACTOR_CODE} import waywell.process.entry; ',
}
"""Code that runs before the memory is read, by the name of the step."""


def main() -> None:
    """Run the benchmark."""
    rows = []
    for step, code in STEPS.items():
        completed = subprocess.run(
            [sys.executable, '-c', f'{code}{PRINT_MEMORY_CODE}'],
            capture_output=True,
            check=True,
        )
        rows.append({'step': step, 'memory_mb': float(completed.stdout)})
    write_figures('memory', rows)


if __name__ == '__main__':
    main()
