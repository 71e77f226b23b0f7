"""History of requests, written for checkers of a whole test run."""

from __future__ import annotations

import abc
from pathlib import Path
from typing import TYPE_CHECKING, BinaryIO

import msgspec

if TYPE_CHECKING:
    from waywell.process.clock import Clock


class History(abc.ABC):
    """Records the events of requests."""

    @abc.abstractmethod
    def record(self, event: str, /, **pairs: object) -> None:
        """Record an event with its details."""


class NoHistory(History):
    """Discards all events."""

    def record(self, event: str, /, **pairs: object) -> None:
        """Do nothing."""


class FileHistory(History):
    """Appends each event to a file as a line of JSON.

    Parameters
    ----------
    history
        File opened without buffering, so that a killed process loses no
        event.
    node
        Name of the entry box.
    clock
        Clock of the node.
    """

    def __init__(self, history: BinaryIO, node: str, clock: Clock) -> None:
        """Append to an open file."""
        self._history = history
        self._node = node
        self._clock = clock

    def record(self, event: str, /, **pairs: object) -> None:
        """Append an event to the file."""
        at = self._clock.read_wall()
        line = {'event': event, 'at': at, 'node': self._node, **pairs}
        raw = msgspec.json.encode(line)
        # A single write for each line, so that a line is complete or absent.
        self._history.write(b'%s\n' % raw)


def open_history(path: str, node: str, clock: Clock) -> History:
    """Return a history that appends to a file, or discards if no path."""
    if not path:
        return NoHistory()
    history = Path(path).open('ab', buffering=0)  # noqa: SIM115
    return FileHistory(history, node, clock)
