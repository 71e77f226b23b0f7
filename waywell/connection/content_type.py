"""Detection of event streams by the content type of a response."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

EVENT_STREAM = b'text/event-stream'
"""Content type of server-sent events."""

_CONTENT_TYPE = b'content-type'

_CONTENT_ENCODING = b'content-encoding'

_PLAIN_ENCODINGS = frozenset((b'', b'identity'))


def is_event_stream(headers: Iterable[tuple[bytes, bytes]]) -> bool:
    """Return whether the body of a response can be parsed as events.

    Content types are compared without case and parameters.  The events of a
    compressed body can't be recognized.
    """
    fields = [
        (name.lower(), _strip_parameters(text)) for name, text in headers
    ]
    return (_CONTENT_TYPE, EVENT_STREAM) in fields and all(
        text in _PLAIN_ENCODINGS
        for name, text in fields
        if name == _CONTENT_ENCODING
    )


def _strip_parameters(text: bytes) -> bytes:
    """Return a header value in lower case and without its parameters."""
    return text.partition(b';')[0].strip().lower()
