"""Streams of events, cut into whole events."""

from __future__ import annotations

import msgspec

from waywell.connection.event_boundary import EventBoundary

EVENT_END = b'\n\n'
"""Bytes that end an event."""

ID_FIELD = b'id:'
"""Field with an event's number."""


class StreamEvent(msgspec.Struct, frozen=True):
    """One whole event."""

    raw: bytes
    """Its bytes, with the end."""

    number: int | None
    """Its number, if it has one."""


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
        boundary = EventBoundary()
        boundary.feed(self._rest)
        return len(self._rest) if boundary.is_inside_event else 0

    def feed(self, raw: bytes) -> list[StreamEvent]:
        """Return the events that are whole now."""
        *whole, rest = (self._rest + raw).split(EVENT_END)
        self._rest = rest
        return [
            StreamEvent(piece + EVENT_END, _read_number(piece))
            for piece in whole
        ]


def _read_number(piece: bytes) -> int | None:
    for line in piece.split(b'\n'):
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
