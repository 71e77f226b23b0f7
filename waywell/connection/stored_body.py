"""Decoding of the body of a stored object, which others may have written."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import msgspec

from waywell.connection.lenient_json import DECODING_ERRORS
from waywell.telemetry.events import log_warning

if TYPE_CHECKING:
    from waywell.connection.platform import Stored

Body = TypeVar('Body')
"""Type that a body is decoded to."""


def decode_body(stored: Stored, expected_type: type[Body]) -> Body | None:
    """Return a decoded body; log one that is unusable and return ``None``."""
    try:
        return msgspec.convert(stored.body, expected_type)
    except DECODING_ERRORS as error:
        log_warning(
            'object_unreadable',
            kind=stored.kind,
            name=stored.name,
            revision=stored.version,
            error=str(error),
        )
        return None
