"""Log lines: one event a line, as key=value pairs."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from loguru import Record

_PLAIN = frozenset(
    'abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._:/@+-',
)


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


def open_log(level: str) -> None:
    """Send events of a level and above to the standard error."""
    logger.remove()
    logger.add(sys.stderr, level=level, format=_format_record)


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
    logger.log(level, format_pairs({'event': event, **pairs}))
