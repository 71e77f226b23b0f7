"""TOML read from files."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

from waywell.version.input_validation import InvalidInputError


def read_text(path: str) -> str:
    """Read a text file.

    Raises
    ------
    InvalidInputError
        With the reason why the file can't be read.
    """
    try:
        return Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidInputError([f'{path}: {error}']) from error


def read_toml(text: str, place: str) -> dict[str, Any]:
    """Read TOML text.

    Raises
    ------
    InvalidInputError
        With the line and column of the fault.
    """
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise InvalidInputError([f'{place}: {error}']) from error
