"""Detection of event boundaries in a stream of server-sent events."""

from __future__ import annotations

LINE_ENDS = b'\r\n'
"""Characters of line terminators: CR LF, LF or CR."""

COMMENT = b':'
"""First byte of a comment line, which belongs to no event."""


class EventBoundaryTracker:
    """Tracks whether a stream is between two events, without buffering it.

    An event consists of one or more lines other than comments and ends with
    an empty line, as in
    https://html.spec.whatwg.org/multipage/server-sent-events.html.
    """

    def __init__(self) -> None:
        """Start at the beginning of a stream."""
        self.has_events = False
        self._is_line_open = False
        self._is_comment = False
        self._has_field = False
        self._ended_with_cr = False

    @property
    def is_inside_event(self) -> bool:
        """Return whether the last line or the last event is incomplete."""
        return self._is_line_open or self._has_field

    def feed(self, raw: bytes) -> None:
        """Process the next bytes of the stream."""
        if self._ended_with_cr and raw:
            # The LF of a CR LF that was split does not end another line.
            raw = raw.removeprefix(b'\n')
            self._ended_with_cr = False
        if raw:
            self._ended_with_cr = raw.endswith(b'\r')
        for line in raw.splitlines(keepends=True):
            self._process_line(line)

    def _process_line(self, line: bytes) -> None:
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
