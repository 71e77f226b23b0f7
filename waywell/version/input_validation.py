"""Validation of structured input that reports all faults at once."""

from __future__ import annotations

import difflib
import enum
from typing import TYPE_CHECKING, Any, TypeVar

import attrs
import cattrs
from cattrs.errors import (
    BaseValidationError,
    ForbiddenExtraKeysError,
    IterableValidationNote,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

Shape = TypeVar('Shape')
"""Class that the input is converted to."""


class InvalidInputError(Exception):
    """Input is invalid.

    Parameters
    ----------
    faults
        One line for each fault, with its place in the input.
    """

    def __init__(self, faults: Iterable[str]) -> None:
        """Store the faults in their order."""
        self.faults = tuple(faults)
        super().__init__('\n'.join(self.faults))


def _describe_unknown_keys(
    error: ForbiddenExtraKeysError, place: str
) -> list[str]:
    known = [field.name for field in attrs.fields(error.cl)]
    lines = []
    for extra in sorted(error.extra_fields):
        near = difflib.get_close_matches(extra, known, n=1, cutoff=0)
        hint = f'; nearest known key: {near[0]}' if near else ''
        lines.append(f'{place}.{extra}: unknown key{hint}')
    return lines


def _describe_fault(error: Exception, place: str) -> list[str]:
    if isinstance(error, ForbiddenExtraKeysError):
        return _describe_unknown_keys(error, place)
    if isinstance(error, KeyError):
        return [f'{place}: missing']
    return [f'{place}: {error}']


def _extend_place(place: str, note: str) -> str:
    if isinstance(note, IterableValidationNote):
        return f'{place}[{note.index}]'
    name = getattr(note, 'name', '')
    return f'{place}.{name}' if name else place


def list_faults(error: Exception, place: str) -> list[str]:
    """Return one line for each fault below ``place`` in the input."""
    if not isinstance(error, BaseValidationError):
        return _describe_fault(error, place)
    faults: list[str] = []
    for inner in error.exceptions:
        inner_place = place
        for note in getattr(inner, '__notes__', ()):
            inner_place = _extend_place(inner_place, note)
        faults.extend(list_faults(inner, inner_place))
    return faults


def _check_number(raw: Any, kind: Any) -> Any:
    accepted = (int, float) if kind is float else (int,)
    if isinstance(raw, bool) or not isinstance(raw, accepted):
        raise TypeError(f'{raw!r} is not of type {kind.__name__}')
    return kind(raw)


def _check_type(raw: Any, kind: Any) -> Any:
    if not isinstance(raw, kind):
        raise TypeError(f'{raw!r} is not of type {kind.__name__}')
    return raw


def _check_enum(raw: Any, kind: type[enum.Enum]) -> enum.Enum:
    allowed = [member.value for member in kind]
    if raw not in allowed:
        raise ValueError(f'{raw!r} is not one of {allowed}')
    return kind(raw)


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    for number_type in (int, float):
        converter.register_structure_hook(number_type, _check_number)
    for plain_type in (str, bool):
        converter.register_structure_hook(plain_type, _check_type)
    converter.register_structure_hook_func(
        lambda kind: isinstance(kind, type) and issubclass(kind, enum.Enum),
        _check_enum,
    )
    return converter


_CONVERTER = _make_converter()


def structure_input(raw: Any, shape: type[Shape], place: str) -> Shape:
    """Convert plain values to an instance of ``shape``.

    Parameters
    ----------
    raw
        Plain values, as read from TOML or JSON.
    shape
        Class to convert to.
    place
        Name of the input, which begins the place of each fault.

    Raises
    ------
    InvalidInputError
        With every fault and its place.
    """
    try:
        return _CONVERTER.structure(raw, shape)
    except Exception as error:
        raise InvalidInputError(list_faults(error, place)) from error


def unstructure_value(shaped: Any) -> Any:
    """Convert an attrs instance to plain values."""
    return _CONVERTER.unstructure(shaped)
