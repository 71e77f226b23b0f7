"""Numbered documents and the changes between their versions.

The configuration and the roster are both kept as one document: a number
that only rises and a map of entries.  Nodes pass on changes where the
receiver has the base, and whole documents elsewhere.
"""

from __future__ import annotations

import enum
from typing import Any

import msgspec

Entry = dict[str, Any]
"""Plain JSON values of one entry."""

PLATFORM_VALUE_BYTES = 1_000_000
"""The platform's limit for the value of one object, in bytes."""

HISTORY_LENGTH = 8
"""Earlier versions kept to answer peers with changes."""


OPERATIONS_KEPT = 32
"""Operation ids that a document carries."""


class DocumentKind(enum.Enum):
    """The documents that every node holds."""

    CONFIGURATION = 'configuration'
    ROSTER = 'roster'


class Document(msgspec.Struct, frozen=True):
    """One version of a document.

    Parameters
    ----------
    number
        Version; a higher number replaces a lower one.
    entries
        Map of ``kind/name`` to plain JSON values.
    operations
        Ids of the operations that wrote this version and those before it,
        newest last, to recognise a write whose answer was lost.
    """

    number: int = 0
    entries: dict[str, Entry] = {}
    operations: tuple[str, ...] = ()

    def encode(self) -> bytes:
        """Return the document as JSON bytes, keys in order."""
        return msgspec.json.encode(self, order='deterministic')

    def make_next_version(
        self,
        entries: dict[str, Entry],
        operation: str,
        floor: int = 0,
    ) -> Document:
        """Return the next version, above ``floor`` as well."""
        number = max(self.number, floor) + 1
        operations = (*self.operations, operation)
        return Document(number, entries, operations[-OPERATIONS_KEPT:])


class Change(msgspec.Struct, frozen=True):
    """What differs between two versions of a document."""

    base: int
    """Number of the version that the change applies to."""

    number: int
    """Number of the version that it leads to."""

    replaced: dict[str, Entry]
    """Entries that are new or different."""

    removed: tuple[str, ...]
    """Keys of entries that are gone."""

    operations: tuple[str, ...]
    """Operation ids of the new version."""


def compare_documents(old: Document, new: Document) -> Change:
    """Return the change that leads from ``old`` to ``new``."""
    replaced = {
        key: entry
        for key, entry in new.entries.items()
        if old.entries.get(key) != entry
    }
    removed = tuple(key for key in old.entries if key not in new.entries)
    return Change(old.number, new.number, replaced, removed, new.operations)


def apply_change(document: Document, change: Change) -> Document | None:
    """Return the changed document, or ``None`` on another base."""
    if document.number != change.base:
        return None
    entries = {**document.entries, **change.replaced}
    for key in change.removed:
        entries.pop(key, None)
    return Document(change.number, entries, change.operations)


class DocumentHistory:
    """The version in force of one document and a few earlier ones.

    The number in force never goes down, whatever is offered.
    """

    def __init__(self, kind: DocumentKind) -> None:
        """Start without a version in force (number 0)."""
        self.kind = kind
        self.current = Document()
        self._history: list[Document] = []

    def adopt(self, document: Document) -> bool:
        """Put a higher version in force; answer whether it was higher."""
        if document.number <= self.current.number:
            return False
        earlier = [*self._history, self.current]
        self._history = earlier[-HISTORY_LENGTH:]
        self.current = document
        return True

    def preview(self, change: Change) -> Document | None:
        """Return what a change leads to from the version in force."""
        return apply_change(self.current, change)

    def make_update(self, number: int) -> Change | Document:
        """Return what brings a holder of ``number`` up to date."""
        for earlier in self._history:
            if earlier.number == number and number:
                return compare_documents(earlier, self.current)
        return self.current
