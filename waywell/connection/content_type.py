"""Content types of responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

EVENT_STREAM = b'text/event-stream'
"""Content type of a stream of events."""

_CONTENT_TYPE = b'content-type'

_CONTENT_ENCODING = b'content-encoding'

_PLAIN_ENCODINGS = frozenset((b'', b'identity'))


def is_event_stream(headers: Iterable[tuple[bytes, bytes]]) -> bool:
    """Answer whether the body of a response can be read as events.

    Types are compared without regard to case, and without parameters.  The
    events of a compressed body can't be told.
    """
    fields = [(name.lower(), _get_word(text)) for name, text in headers]
    return (_CONTENT_TYPE, EVENT_STREAM) in fields and all(
        word in _PLAIN_ENCODINGS
        for name, word in fields
        if name == _CONTENT_ENCODING
    )


def _get_word(text: bytes) -> bytes:
    """Return the value of a header without its parameters."""
    return text.partition(b';')[0].strip().lower()
