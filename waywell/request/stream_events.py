"""Streams of events, cut into whole events."""

from __future__ import annotations

import re

import msgspec

from waywell.connection.event_boundary import EventBoundaryTracker

EVENT_END = re.compile(rb'(?>\r\n|\n|\r){2}')
"""A line end and an empty line, each of CR LF, LF or CR."""

OPEN_END_BYTES = 2
"""Most bytes of an event's end that may have come without the rest of it."""

ID_FIELD = b'id:'
"""Field with an event's number."""

NUMBER_DIGITS = 18
"""Most digits of an event's number; longer ones are no numbers."""


class StreamEvent(msgspec.Struct, frozen=True):
    """One whole event."""

    raw: bytes
    """Its bytes, with the end."""

    number: int | None
    """Its number, if it has one."""

    @property
    def has_fields(self) -> bool:
        """Return whether it is more than comments and empty lines."""
        if self.number is not None:
            return True
        boundary = EventBoundaryTracker()
        boundary.feed(self.raw)
        return boundary.has_events or boundary.is_inside_event


class EventCutter:
    """Cuts what comes into whole events."""

    def __init__(self) -> None:
        """Start before the first byte."""
        self._rest = b''

    @property
    def rest(self) -> bytes:
        """Return the bytes after the last whole event."""
        return self._rest

    def count_unfinished(self) -> int:
        """Return the bytes of an event that has begun; 0 between events."""
        boundary = EventBoundaryTracker()
        boundary.feed(self._rest)
        return len(self._rest) if boundary.is_inside_event else 0

    def feed(self, raw: bytes) -> list[StreamEvent]:
        """Return the events that are whole now."""
        searched = max(0, len(self._rest) - OPEN_END_BYTES)
        pending = self._rest + raw
        begin = 0
        events = []
        for end in EVENT_END.finditer(pending, searched):
            piece = pending[begin : end.end()]
            events.append(StreamEvent(piece, _read_number(piece)))
            begin = end.end()
        self._rest = pending[begin:]
        return events


def _read_number(piece: bytes) -> int | None:
    for line in piece.splitlines():
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            is_number = text.isdigit() and len(text) <= NUMBER_DIGITS
            return int(text) if is_number else None
    return None
