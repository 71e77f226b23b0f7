"""Decoding of objects and pages of the platform's store.

Objects of other writers may hold invalid UTF-8, lack fields or have fields of
another type.  Such an object does not keep others on its page from being read.
"""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

from waywell.bounded_types import MAX_NUMBER
from waywell.connection.lenient_json import DECODING_ERRORS, parse_leniently

UNKNOWN_REVISION = 0
"""Revision of an object that has no readable one."""

_Revision = Annotated[int, msgspec.Meta(ge=1, le=MAX_NUMBER)]
_Name = Annotated[str, msgspec.Meta(min_length=1)]


class _Meta(msgspec.Struct):
    name: _Name
    # Revision of the object's last change, not of the whole store.
    revision: _Revision


class _Object(msgspec.Struct):
    metadata: _Meta
    spec: Any = None


class _Event(msgspec.Struct):
    # For a removal, the last state of the object.
    object: _Object
    removed: bool = False


class _Page(msgspec.Struct):
    items: list[_Object] = []
    events: list[_Event] = []
    has_more: bool = False
    # Revision of the whole store, from which a watch continues.
    current_rev: int = 0


class _PlainPage(msgspec.Struct):
    items: list[Any] = []
    events: list[Any] = []
    has_more: bool = False
    current_rev: int = 0


class StoredObject(msgspec.Struct, frozen=True):
    """An object with a readable name and revision."""

    name: str
    """Name, unique among the objects of its kind."""

    revision: int
    """Revision of its last change."""

    spec: Any = None
    """Content as plain values, not yet decoded into a type."""

    removed: bool = False
    """Whether the object has been removed."""


class ForeignObject(msgspec.Struct, frozen=True):
    """An object that cannot be decoded."""

    name: str
    """Name, or empty if it has no readable one."""

    revision: int
    """Revision of its last change, or 0 if it has no readable one."""

    error: str
    """Description of the decoding error."""


class StorePage(msgspec.Struct, frozen=True):
    """Decoded content of one answer of the store."""

    objects: tuple[StoredObject, ...]
    """Listed objects, or changed ones."""

    foreign: tuple[ForeignObject, ...]
    """Objects that cannot be decoded."""

    has_more: bool
    """Whether the list has further pages."""

    revision: int
    """Revision of the whole store."""

    last_name: str
    """Last name on the page, after which the next page starts, or empty."""


def decode_page(raw: bytes) -> StorePage:
    """Return the decoded page of an answer with several objects.

    Raises
    ------
    ValueError
        When the answer as a whole cannot be decoded.
    """
    try:
        page = msgspec.json.decode(raw, type=_Page)
    except DECODING_ERRORS:
        return _decode_separately(raw)
    objects = (
        *(_make_stored_object(item) for item in page.items),
        *(
            _make_stored_object(event.object, event.removed)
            for event in page.events
        ),
    )
    last_name = page.items[-1].metadata.name if page.items else ''
    return StorePage(objects, (), page.has_more, page.current_rev, last_name)


def decode_object(raw: bytes) -> StoredObject:
    """Return the object of an answer with one object.

    If only its name and revision are readable, its content is left out, so
    that the object can be overwritten.

    Raises
    ------
    ValueError
        When its name or revision cannot be read.
    """
    try:
        return _make_stored_object(msgspec.json.decode(raw, type=_Object))
    except DECODING_ERRORS as error:
        foreign = _describe_foreign(parse_leniently(raw), error)
    if foreign.name and foreign.revision:
        return StoredObject(foreign.name, foreign.revision)
    raise ValueError(foreign.error)


def _make_stored_object(
    wire_object: _Object, removed: bool = False
) -> StoredObject:
    meta = wire_object.metadata
    return StoredObject(meta.name, meta.revision, wire_object.spec, removed)


def _decode_separately(raw: bytes) -> StorePage:
    """Return a page decoded object by object, foreign ones separately."""
    try:
        page = msgspec.convert(parse_leniently(raw), _PlainPage)
    except DECODING_ERRORS as error:
        raise ValueError(str(error)) from error
    decoded = [
        *(_read_plain(item, False) for item in page.items),
        *(_read_event(event) for event in page.events),
    ]
    names = [item.name for item in decoded[: len(page.items)] if item.name]
    return StorePage(
        tuple(item for item in decoded if isinstance(item, StoredObject)),
        tuple(item for item in decoded if isinstance(item, ForeignObject)),
        page.has_more,
        page.current_rev,
        names[-1] if names else '',
    )


def _read_event(plain: Any) -> StoredObject | ForeignObject:
    if not isinstance(plain, dict):
        return ForeignObject('', UNKNOWN_REVISION, 'an event of no fields')
    return _read_plain(plain.get('object'), plain.get('removed') is True)


def _read_plain(plain: Any, removed: bool) -> StoredObject | ForeignObject:
    """Return the object, or a foreign one if it cannot be decoded."""
    if removed:
        removed_object = _describe_foreign(plain, None)
        if removed_object.name:
            return StoredObject(
                removed_object.name, removed_object.revision, removed=True
            )
    try:
        # Encoding detects strings of invalid UTF-8 at any depth.
        msgspec.json.encode(plain)
        return _make_stored_object(msgspec.convert(plain, _Object), removed)
    except DECODING_ERRORS as error:
        return _describe_foreign(plain, error)


def _describe_foreign(plain: Any, error: Exception | None) -> ForeignObject:
    """Return a foreign object with the name and revision if readable."""
    meta = plain.get('metadata') if isinstance(plain, dict) else None
    if not isinstance(meta, dict):
        meta = {}
    return ForeignObject(
        _convert_or_default(meta.get('name'), _Name, ''),
        _convert_or_default(meta.get('revision'), _Revision, UNKNOWN_REVISION),
        repr(error),
    )


def _convert_or_default(plain: Any, wanted_type: Any, default: Any) -> Any:
    """Return a value converted to a type, or a default if that fails."""
    try:
        msgspec.json.encode(plain)
        return msgspec.convert(plain, wanted_type)
    except DECODING_ERRORS:
        return default
