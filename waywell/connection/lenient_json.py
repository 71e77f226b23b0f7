"""JSON of which a part may be unusable, without rejecting the rest."""

from __future__ import annotations

import json
import math
import re
from typing import Any

MAX_DEPTH = 64
"""Nesting of arrays and objects up to which values are parsed.  What lies
deeper is replaced by ``null``: parsers and encoders recurse, and give up a
whole answer for one such value."""

MAX_INTEGER_DIGITS = 19
"""Digits of the largest integer that fits into 64 bits with a sign."""

DECODING_ERRORS = (ValueError, TypeError, OverflowError, RecursionError)
"""Errors that codecs raise for invalid input; ``UnicodeError`` and the errors
of msgspec are ``ValueError``."""

_TOKEN = re.compile(r'"(?:[^"\\]|\\.)*+"|[\[\]{}]', re.DOTALL)


class UnreadableNumber:
    """Number that no codec accepts, such as NaN or one of 5,000 digits."""

    def __init__(self, token: str) -> None:
        """Keep the token as it was written."""
        self.token = token


def parse_leniently(raw: bytes) -> Any:
    """Return plain values of JSON with unusable parts replaced.

    Strings may hold surrogates for bytes that are not UTF-8, numbers may be
    ``UnreadableNumber``, and values that are nested too deep are ``None``.

    Raises
    ------
    ValueError
        When it is not JSON.
    """
    text = raw.decode('utf-8', 'surrogateescape')
    return json.loads(
        _replace_deep_values(text),
        parse_constant=UnreadableNumber,
        parse_int=_parse_integer,
        parse_float=_parse_float,
    )


def _replace_deep_values(text: str) -> str:
    """Replace each value that begins below the greatest depth by ``null``."""
    depth = 0
    kept: list[str] = []
    start = 0
    for token in _TOKEN.finditer(text):
        bracket = token.group()
        if bracket in {'[', '{'}:
            depth += 1
            if depth == MAX_DEPTH + 1:
                kept.extend((text[start : token.start()], 'null'))
        elif bracket in {']', '}'}:
            depth -= 1
            if depth == MAX_DEPTH:
                start = token.end()
    if depth > MAX_DEPTH:
        # Unbalanced brackets, which the parser reports.
        return text[:start]
    kept.append(text[start:])
    return ''.join(kept)


def _parse_integer(token: str) -> int | UnreadableNumber:
    if len(token.lstrip('-')) > MAX_INTEGER_DIGITS:
        return UnreadableNumber(token)
    return int(token)


def _parse_float(token: str) -> float | UnreadableNumber:
    number = float(token)
    return number if math.isfinite(number) else UnreadableNumber(token)
