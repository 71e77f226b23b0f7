"""The history of requests, written as it happens, for checkers."""

from __future__ import annotations

import abc
from pathlib import Path
from typing import TYPE_CHECKING, BinaryIO

import msgspec

if TYPE_CHECKING:
    from waywell.process.clock import Clock


class History(abc.ABC):
    """Takes in what happens to requests."""

    @abc.abstractmethod
    def record(self, event: str, /, **pairs: object) -> None:
        """Note an event."""


class NoHistory(History):
    """Keeps nothing."""

    def record(self, event: str, /, **pairs: object) -> None:
        """Do nothing."""


class FileHistory(History):
    """Appends one JSON line an event to a file.

    Parameters
    ----------
    history
        File, opened unbuffered, so that a killed process loses nothing.
    node
        Name of the entry box.
    clock
        Where the time is read.
    """

    def __init__(self, history: BinaryIO, node: str, clock: Clock) -> None:
        """Keep the file."""
        self._history = history
        self._node = node
        self._clock = clock

    def record(self, event: str, /, **pairs: object) -> None:
        """Write an event."""
        at = self._clock.read_wall()
        line = {'event': event, 'at': at, 'node': self._node, **pairs}
        raw = msgspec.json.encode(line)
        # One write a line, so that a line is whole or absent.
        self._history.write(b'%s\n' % raw)


def open_history(path: str, node: str, clock: Clock) -> History:
    """Return a history in a file, or none where the path is empty."""
    if not path:
        return NoHistory()
    history = Path(path).open('ab', buffering=0)  # noqa: SIM115
    return FileHistory(history, node, clock)
