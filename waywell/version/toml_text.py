"""Reading of text files and parsing of TOML."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

from waywell.version.input_validation import InvalidInputError


def read_text(path: str) -> str:
    """Return the contents of a UTF-8 text file.

    Raises
    ------
    InvalidInputError
        If the file can't be read, with the reason.
    """
    try:
        return Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidInputError([f'{path}: {error}']) from error


def read_toml(text: str, place: str) -> dict[str, Any]:
    """Return the plain values of a TOML text.

    Raises
    ------
    InvalidInputError
        If the text is no valid TOML, with the line and column.
    """
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise InvalidInputError([f'{place}: {error}']) from error
