"""Pages of the platform's store, decoded object by object.

An object may come from another writer: bytes that are no text, fields that are
missing or of another type.  It costs none of its neighbours.
"""

from __future__ import annotations

import json
from typing import Annotated, Any

import msgspec

UNKNOWN_REVISION = 0
"""Revision of an object that tells none."""

_Revision = Annotated[int, msgspec.Meta(ge=1)]
_Name = Annotated[str, msgspec.Meta(min_length=1)]

_UNDECODABLE = (ValueError, TypeError, OverflowError, RecursionError)
"""What bytes that are no message raise in the codecs; errors of encodings are
value errors."""


class _Meta(msgspec.Struct):
    name: _Name
    # Of the object's last change, not of the whole store.
    revision: _Revision


class _Object(msgspec.Struct):
    metadata: _Meta
    spec: Any = None


class _Event(msgspec.Struct):
    # Holds the object as it last was where it is removed.
    object: _Object
    removed: bool = False


class _Page(msgspec.Struct):
    items: list[_Object] = []
    events: list[_Event] = []
    has_more: bool = False
    # Of the whole store; a watch goes on from here.
    current_rev: int = 0


class _PlainPage(msgspec.Struct):
    items: list[Any] = []
    events: list[Any] = []
    has_more: bool = False
    current_rev: int = 0


class StoredObject(msgspec.Struct, frozen=True):
    """An object whose frame is understood."""

    name: str
    """Its name."""

    revision: int
    """Revision of its last change."""

    spec: Any = None
    """Plain values."""

    removed: bool = False
    """Whether it is there no more."""


class ForeignObject(msgspec.Struct, frozen=True):
    """An object that is not understood."""

    name: str
    """Its name; empty where it tells none."""

    revision: int
    """Revision of its last change; 0 where it tells none."""

    error: str
    """What was not understood."""


class StorePage(msgspec.Struct, frozen=True):
    """What one answer of the store holds."""

    objects: tuple[StoredObject, ...]
    """Objects, or changes of them."""

    foreign: tuple[ForeignObject, ...]
    """Objects that are not understood."""

    has_more: bool
    """Whether the list goes on."""

    revision: int
    """Revision of the store."""

    last_name: str
    """Last name on the page, from which a list goes on; empty for none."""


def decode_page(raw: bytes) -> StorePage:
    """Return what an answer with several objects holds.

    Raises
    ------
    ValueError
        When the answer itself is not understood.
    """
    try:
        page = msgspec.json.decode(raw, type=_Page)
    except _UNDECODABLE:
        return _decode_singly(raw)
    objects = (
        *(_take_object(item) for item in page.items),
        *(_take_object(event.object, event.removed) for event in page.events),
    )
    last_name = page.items[-1].metadata.name if page.items else ''
    return StorePage(objects, (), page.has_more, page.current_rev, last_name)


def decode_object(raw: bytes) -> StoredObject:
    """Return what an answer with one object holds.

    What is not understood in it is left out, as long as it tells its name and
    revision: so it can be written over.

    Raises
    ------
    ValueError
        When it does not tell them.
    """
    try:
        return _take_object(msgspec.json.decode(raw, type=_Object))
    except _UNDECODABLE as error:
        foreign = _describe_foreign(_parse_leniently(raw), error)
    if foreign.name and foreign.revision:
        return StoredObject(foreign.name, foreign.revision)
    raise ValueError(foreign.error)


def _take_object(found: _Object, removed: bool = False) -> StoredObject:
    meta = found.metadata
    return StoredObject(meta.name, meta.revision, found.spec, removed)


def _decode_singly(raw: bytes) -> StorePage:
    """Return what can be understood of an answer as a whole that can't."""
    try:
        page = msgspec.convert(_parse_leniently(raw), _PlainPage)
    except _UNDECODABLE as error:
        raise ValueError(str(error)) from error
    read = [
        *(_read_plain(item, False) for item in page.items),
        *(_read_event(event) for event in page.events),
    ]
    names = [one.name for one in read[: len(page.items)] if one.name]
    return StorePage(
        tuple(one for one in read if isinstance(one, StoredObject)),
        tuple(one for one in read if isinstance(one, ForeignObject)),
        page.has_more,
        page.current_rev,
        names[-1] if names else '',
    )


def _parse_leniently(raw: bytes) -> Any:
    """Return plain values of JSON whose texts may be no text.

    Raises
    ------
    ValueError
        When it has not the shape of JSON.
    """
    text = raw.decode('utf-8', 'surrogateescape')
    try:
        return json.loads(text, parse_constant=_NotNumber)
    except RecursionError as error:
        raise ValueError('nested too deep') from error


class _NotNumber:
    """Stands for a number that JSON does not have; no codec takes it."""

    def __init__(self, word: str) -> None:
        """Keep the word, for nobody."""
        self.word = word


def _read_event(plain: Any) -> StoredObject | ForeignObject:
    if not isinstance(plain, dict):
        return ForeignObject('', UNKNOWN_REVISION, 'an event of no fields')
    return _read_plain(plain.get('object'), plain.get('removed') is True)


def _read_plain(plain: Any, removed: bool) -> StoredObject | ForeignObject:
    """Return an object, as one that is not understood where it is none."""
    if removed:
        gone = _describe_foreign(plain, None)
        if gone.name:
            return StoredObject(gone.name, gone.revision, removed=True)
    try:
        # Encoding finds texts that are no text, at any depth.
        msgspec.json.encode(plain)
        return _take_object(msgspec.convert(plain, _Object), removed)
    except _UNDECODABLE as error:
        return _describe_foreign(plain, error)


def _describe_foreign(plain: Any, error: Exception | None) -> ForeignObject:
    """Return whose object it is that is not understood, if it tells that."""
    meta = plain.get('metadata') if isinstance(plain, dict) else None
    if not isinstance(meta, dict):
        meta = {}
    return ForeignObject(
        _convert_or(meta.get('name'), _Name, ''),
        _convert_or(meta.get('revision'), _Revision, UNKNOWN_REVISION),
        repr(error),
    )


def _convert_or(plain: Any, wanted: Any, otherwise: Any) -> Any:
    """Return a value of a type, or another one where it is of none."""
    try:
        msgspec.json.encode(plain)
        return msgspec.convert(plain, wanted)
    except _UNDECODABLE:
        return otherwise
