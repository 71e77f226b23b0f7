"""Content types of responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

EVENT_STREAM = b'text/event-stream'
"""Content type of a stream of events."""

_CONTENT_TYPE = b'content-type'


def is_event_stream(headers: Iterable[tuple[bytes, bytes]]) -> bool:
    """Answer whether a response is a stream of events.

    Types are compared without regard to case, and without parameters.
    """
    return any(
        name.lower() == _CONTENT_TYPE
        and text.partition(b';')[0].strip().lower() == EVENT_STREAM
        for name, text in headers
    )
