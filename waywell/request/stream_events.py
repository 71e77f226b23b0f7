"""Splitting of event streams into complete events."""

from __future__ import annotations

import re

import msgspec

from waywell.connection.event_boundary import EventBoundaryTracker

EVENT_END = re.compile(rb'(?>\r\n|\n|\r){2}')
"""Line end followed by an empty line; lines end in CR LF, LF or CR."""

MAX_PARTIAL_END_BYTES = 2
"""Maximum number of bytes of an event's end that may have arrived without the
rest of it; the search for an end starts that far before the new bytes."""

ID_FIELD = b'id:'
"""Name of the field that holds the number of an event."""

MAX_NUMBER_DIGITS = 18
"""Maximum number of digits of an event number; longer ids are ignored."""


class StreamEvent(msgspec.Struct, frozen=True):
    """A complete event, or a piece of a body without events."""

    raw: bytes
    """Bytes, including the empty line that ends an event."""

    number: int | None
    """Number from the ``id`` field; ``None`` if there is no valid one."""

    @property
    def has_fields(self) -> bool:
        """Return whether it holds more than comments and empty lines."""
        if self.number is not None:
            return True
        boundary = EventBoundaryTracker()
        boundary.feed(self.raw)
        return boundary.has_events or boundary.is_inside_event


class EventSplitter:
    """Splits a stream that arrives in pieces into complete events."""

    def __init__(self) -> None:
        """Start at the beginning of a stream."""
        self._remainder = b''

    @property
    def remainder(self) -> bytes:
        """Return the bytes after the last complete event."""
        return self._remainder

    def count_unfinished_bytes(self) -> int:
        """Return the size of an unfinished event in bytes, or 0."""
        boundary = EventBoundaryTracker()
        boundary.feed(self._remainder)
        return len(self._remainder) if boundary.is_inside_event else 0

    def feed(self, raw: bytes) -> list[StreamEvent]:
        """Add received bytes and return the events that they complete."""
        searched = max(0, len(self._remainder) - MAX_PARTIAL_END_BYTES)
        pending = self._remainder + raw
        begin = 0
        events = []
        for end in EVENT_END.finditer(pending, searched):
            piece = pending[begin : end.end()]
            events.append(StreamEvent(piece, _parse_event_number(piece)))
            begin = end.end()
        self._remainder = pending[begin:]
        return events


def _parse_event_number(piece: bytes) -> int | None:
    for line in piece.splitlines():
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            is_number = text.isdigit() and len(text) <= MAX_NUMBER_DIGITS
            return int(text) if is_number else None
    return None
