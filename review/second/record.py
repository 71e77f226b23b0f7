"""The record of a case: what was sent, answered and run."""

from __future__ import annotations

import signal
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

HELD = 0
"""Exit code if the rule held."""

BROKEN = 1
"""Exit code if the rule was broken."""

NOT_RUN = 2
"""Exit code if the case could not run."""


class Record:
    """Lines with the seconds since the start of the case.

    Parameters
    ----------
    path
        File that is written at the end.
    """

    def __init__(self, path: Path) -> None:
        """Start without a line."""
        self._path = path
        self._began_at = time.monotonic()
        self._lines: list[tuple[float, str]] = []

    def add(self, text: str, at: float | None = None) -> None:
        """Add a line, now or for an earlier moment."""
        self._lines.append((time.monotonic() if at is None else at, text))

    def write(self, verdict: str) -> None:
        """Write the lines in the order of their moments, and the verdict."""
        lines = [
            f'{at - self._began_at:8.3f} {text}'
            for at, text in sorted(self._lines, key=lambda line: line[0])
        ]
        self._path.write_text('\n'.join([*lines, verdict, '']))
        print(verdict)


def run_case(main: Callable[[], int], record: Path) -> int:
    """Run a case; an error, or the order to end, means that it could not run.

    Parameters
    ----------
    main
        Plays the case, ends what it started and returns the exit code.
    record
        File of the record, which gets the error.
    """
    signal.signal(signal.SIGTERM, _end)
    try:
        return main()
    except Exception as error:
        record.write_text(f'could not run: {error!r}\n')
        print(f'could not run: {error!r}')
        return NOT_RUN


def _end(*_details: object) -> None:
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    raise RuntimeError('told to end')
