"""Tells whether a stream of events stands between two events."""

from __future__ import annotations

LINE_ENDS = b'\r\n'
"""Bytes of line ends: CR LF, LF or CR."""

COMMENT = b':'
"""Begin of a line that belongs to no event."""


class EventBoundaryTracker:
    """Follows a stream by its lines, and keeps none of its bytes.

    An event is one or more lines that are no comments, and ends with an
    empty line (https://html.spec.whatwg.org/multipage/server-sent-events.html).
    """

    def __init__(self) -> None:
        """Start before the first byte."""
        self.has_events = False
        self._is_line_open = False
        self._is_comment = False
        self._has_field = False
        self._ended_with_cr = False

    @property
    def is_inside_event(self) -> bool:
        """Return whether a line, or an event, has begun and not ended."""
        return self._is_line_open or self._has_field

    def feed(self, raw: bytes) -> None:
        """Follow the next bytes."""
        if self._ended_with_cr and raw:
            # The second half of a CR LF ends no other line.
            raw = raw.removeprefix(b'\n')
            self._ended_with_cr = False
        if raw:
            self._ended_with_cr = raw.endswith(b'\r')
        for line in raw.splitlines(keepends=True):
            self._follow(line)

    def _follow(self, line: bytes) -> None:
        text = line.rstrip(LINE_ENDS)
        if text and not self._is_line_open:
            self._is_line_open = True
            self._is_comment = text.startswith(COMMENT)
        if len(text) == len(line):
            return
        if not self._is_line_open:
            self.has_events = self.has_events or self._has_field
            self._has_field = False
        elif not self._is_comment:
            self._has_field = True
        self._is_line_open = False
