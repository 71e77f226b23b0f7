"""Log events, written one to a line as ``key=value`` pairs."""

from __future__ import annotations

import os
import sys
import time
from collections import Counter
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from loguru import Record

_UNQUOTED_CHARACTERS = frozenset(
    'abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._:/@+-',
)

MAX_LINES_PER_SECOND = 200
"""Maximum lines of one event that a process writes in a second.  Some 20
requests a second are usual, so only a flood of events is truncated."""


def quote_text(raw: object) -> str:
    """Return a value as text, quoted and escaped if it has special characters.

    A quoted value can't be mistaken for other pairs or other lines.
    """
    text = str(raw)
    if text and not set(text) - _UNQUOTED_CHARACTERS:
        return text
    escaped = text.replace('\\', r'\\').replace('"', r'\"')
    escaped = escaped.replace('\n', r'\n').replace('\r', r'\r')
    return f'"{escaped}"'


def format_pairs(pairs: dict[str, object]) -> str:
    """Return pairs as ``key=value`` texts separated by spaces."""
    return ' '.join(f'{key}={quote_text(raw)}' for key, raw in pairs.items())


def _format_record(record: Record) -> str:
    stamp = record['time'].isoformat(timespec='milliseconds')
    level = record['level'].name.lower()
    text = record['message']
    record['extra']['_line'] = f'time={stamp} level={level} {text}'
    return '{extra[_line]}\n'


class LineBudget:
    """Limits the lines of each event in a second.

    Parameters
    ----------
    lines
        Maximum lines of one event in a second.
    """

    def __init__(self, lines: int) -> None:
        """Start with no lines counted."""
        self._lines = lines
        self._second = 0
        self._line_counts: Counter[str] = Counter()

    def allow(self, event: str, now: float) -> bool:
        """Count a line and return whether it may be written."""
        if int(now) != self._second:
            self._second = int(now)
            self._line_counts.clear()
        self._line_counts[event] += 1
        return self._line_counts[event] <= self._lines

    def pop_dropped_counts(self, now: float) -> dict[str, int]:
        """Return and clear the dropped lines of a past second, by event."""
        if int(now) == self._second:
            return {}
        dropped = {
            event: count - self._lines
            for event, count in self._line_counts.items()
            if count > self._lines
        }
        self._line_counts.clear()
        return dropped


class NonBlockingSink:
    """Writes lines to a file descriptor without blocking on its reader.

    Parameters
    ----------
    descriptor
        File descriptor, which is set to non-blocking mode.
    """

    def __init__(self, descriptor: int) -> None:
        """Set the descriptor to non-blocking mode."""
        self.lost_lines = 0
        self._descriptor = descriptor
        self._unwritten = b''
        os.set_blocking(descriptor, False)

    def __call__(self, line: str) -> None:
        """Write a complete line, or count it as lost.

        The number of lost lines is written before the next line.
        """
        self._unwritten = self._unwritten[self._write(self._unwritten) :]
        if self._unwritten:
            self.lost_lines += 1
            return
        raw = line.encode()
        if self.lost_lines:
            pairs = {'event': 'lines_lost', 'lines': self.lost_lines}
            raw = f'{format_pairs(pairs)}\n'.encode() + raw
        written = self._write(raw)
        if written:
            self.lost_lines = 0
            self._unwritten = raw[written:]
        else:
            self.lost_lines += 1

    def _write(self, raw: bytes) -> int:
        """Write as much as possible and return the number of bytes."""
        if not raw:
            return 0
        try:
            return os.write(self._descriptor, raw)
        except BlockingIOError:
            return 0


_budget = LineBudget(MAX_LINES_PER_SECOND)


def open_log(level: str) -> None:
    """Write events of a level and above to standard error."""
    logger.remove()
    logger.add(sys.stderr, level=level, format=_format_record)


def open_output_log(level: str) -> NonBlockingSink:
    """Write events of a level and above to standard output, non-blocking."""
    sink = NonBlockingSink(sys.stdout.fileno())
    logger.remove()
    logger.add(sink, level=level, format=_format_record)
    return sink


def log_event(event: str, /, **pairs: object) -> None:
    """Log an event of normal operation, at level INFO."""
    _log('INFO', event, pairs)


def log_warning(event: str, /, **pairs: object) -> None:
    """Log an event that an operator may have to examine, at level WARNING."""
    _log('WARNING', event, pairs)


def log_detail(event: str, /, **pairs: object) -> None:
    """Log an event that matters only for diagnosis, at level DEBUG."""
    _log('DEBUG', event, pairs)


def _log(level: str, event: str, pairs: dict[str, object]) -> None:
    now = time.monotonic()
    for dropped_event, count in _budget.pop_dropped_counts(now).items():
        dropped = {'event': 'left_out', 'of': dropped_event, 'lines': count}
        logger.log('WARNING', format_pairs(dropped))
    if _budget.allow(event, now):
        logger.log(level, format_pairs({'event': event, **pairs}))
