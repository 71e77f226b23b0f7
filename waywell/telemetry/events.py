"""Log lines: one event a line, as key=value pairs."""

from __future__ import annotations

import os
import sys
import time
from collections import Counter
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from loguru import Record

_PLAIN = frozenset(
    'abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._:/@+-',
)

MAX_LINES_PER_SECOND = 200
"""Lines of one event that a process writes in a second; some 20 requests a
second are usual, so only a flood is cut."""


def quote_text(raw: object) -> str:
    """Return a value as one word, quoted where it needs to be."""
    text = str(raw)
    if text and not set(text) - _PLAIN:
        return text
    escaped = text.replace('\\', r'\\').replace('"', r'\"')
    escaped = escaped.replace('\n', r'\n').replace('\r', r'\r')
    return f'"{escaped}"'


def format_pairs(pairs: dict[str, object]) -> str:
    """Return pairs as ``key=value`` words."""
    return ' '.join(f'{key}={quote_text(raw)}' for key, raw in pairs.items())


def _format_record(record: Record) -> str:
    stamp = record['time'].isoformat(timespec='milliseconds')
    level = record['level'].name.lower()
    text = record['message']
    record['extra']['_line'] = f'time={stamp} level={level} {text}'
    return '{extra[_line]}\n'


class LineBudget:
    """Bounds the lines of each event in a second.

    Parameters
    ----------
    lines
        Lines that an event may have in a second.
    """

    def __init__(self, lines: int) -> None:
        """Start without lines."""
        self._lines = lines
        self._second = 0
        self._written: Counter[str] = Counter()

    def allow(self, event: str, now: float) -> bool:
        """Count a line; answer whether it may be written."""
        if int(now) != self._second:
            self._second = int(now)
            self._written.clear()
        self._written[event] += 1
        return self._written[event] <= self._lines

    def pop_dropped_counts(self, now: float) -> dict[str, int]:
        """Return the lines left out in a second that is over, by event."""
        if int(now) == self._second:
            return {}
        left_out = {
            event: count - self._lines
            for event, count in self._written.items()
            if count > self._lines
        }
        self._written.clear()
        return left_out


class PipeSink:
    """Writes lines to a file descriptor and never waits for its reader.

    Parameters
    ----------
    descriptor
        File descriptor.
    """

    def __init__(self, descriptor: int) -> None:
        """Make the descriptor non-blocking."""
        self.lost = 0
        self._descriptor = descriptor
        self._rest = b''
        os.set_blocking(descriptor, False)

    def __call__(self, line: str) -> None:
        """Write a line whole, or count it as lost.

        How many were lost is told before the next line that is written.
        """
        self._rest = self._rest[self._write(self._rest) :]
        if self._rest:
            self.lost += 1
            return
        raw = line.encode()
        if self.lost:
            pairs = {'event': 'lines_lost', 'lines': self.lost}
            raw = f'{format_pairs(pairs)}\n'.encode() + raw
        written = self._write(raw)
        if written:
            self.lost = 0
            self._rest = raw[written:]
        else:
            self.lost += 1

    def _write(self, raw: bytes) -> int:
        """Write as much as the reader takes now; return how much."""
        if not raw:
            return 0
        try:
            return os.write(self._descriptor, raw)
        except BlockingIOError:
            return 0


_budget = LineBudget(MAX_LINES_PER_SECOND)


def open_log(level: str) -> None:
    """Send events of a level and above to the standard error."""
    logger.remove()
    logger.add(sys.stderr, level=level, format=_format_record)


def open_output_log(level: str) -> PipeSink:
    """Send events to the standard output, without ever waiting for it."""
    sink = PipeSink(sys.stdout.fileno())
    logger.remove()
    logger.add(sink, level=level, format=_format_record)
    return sink


def log_event(event: str, /, **pairs: object) -> None:
    """Log an event of normal work."""
    _log('INFO', event, pairs)


def log_warning(event: str, /, **pairs: object) -> None:
    """Log an event that an operator may have to look at."""
    _log('WARNING', event, pairs)


def log_detail(event: str, /, **pairs: object) -> None:
    """Log an event that matters when something is looked into."""
    _log('DEBUG', event, pairs)


def _log(level: str, event: str, pairs: dict[str, object]) -> None:
    now = time.monotonic()
    for left_event, count in _budget.pop_dropped_counts(now).items():
        left_out = {'event': 'left_out', 'of': left_event, 'lines': count}
        logger.log('WARNING', format_pairs(left_out))
    if _budget.allow(event, now):
        logger.log(level, format_pairs({'event': event, **pairs}))
