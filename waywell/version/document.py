"""Numbered documents and the changes between their versions.

The configuration and the roster are each kept as one document, which has a
number that only rises and a map of entries.  Nodes send a change to peers that
have its base version, and the whole document to others.
"""

from __future__ import annotations

import enum
from typing import Any

import msgspec

from waywell.bounded_types import VersionNumber

Entry = dict[str, Any]
"""Plain JSON values of one document entry."""

PLATFORM_VALUE_BYTES = 1_000_000
"""Largest value of an object that the platform accepts, in bytes."""

HISTORY_LENGTH = 8
"""Number of earlier versions kept to send changes to peers."""


OPERATIONS_KEPT = 32
"""Largest number of operation ids that a document carries."""


class DocumentKind(enum.Enum):
    """Kinds of documents that every node holds."""

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
        Ids of the operations that wrote this version and earlier ones, newest
        last.  They reveal whether a write succeeded whose answer was lost.
    """

    number: VersionNumber = 0
    entries: dict[str, Entry] = {}
    operations: tuple[str, ...] = ()

    def encode(self) -> bytes:
        """Return the document as JSON with sorted keys."""
        return msgspec.json.encode(self, order='deterministic')

    def make_next_version(
        self,
        entries: dict[str, Entry],
        operation: str,
        floor: int = 0,
    ) -> Document:
        """Return the next version, numbered above ``floor`` as well."""
        number = max(self.number, floor) + 1
        operations = (*self.operations, operation)
        return Document(number, entries, operations[-OPERATIONS_KEPT:])


class Change(msgspec.Struct, frozen=True):
    """Differences between two versions of a document."""

    base: int
    """Number of the version that the change applies to."""

    number: int
    """Number of the version that results from the change."""

    replaced: dict[str, Entry]
    """Entries that are new or changed, by key."""

    removed: tuple[str, ...]
    """Keys of the entries that are removed."""

    operations: tuple[str, ...]
    """Operation ids of the new version."""


def compare_documents(old: Document, new: Document) -> Change:
    """Return the change from ``old`` to ``new``."""
    replaced = {
        key: entry
        for key, entry in new.entries.items()
        if old.entries.get(key) != entry
    }
    removed = tuple(key for key in old.entries if key not in new.entries)
    return Change(old.number, new.number, replaced, removed, new.operations)


def apply_change(document: Document, change: Change) -> Document | None:
    """Return the changed document, or ``None`` if it is not the base."""
    if document.number != change.base:
        return None
    entries = {**document.entries, **change.replaced}
    for key in change.removed:
        entries.pop(key, None)
    return Document(change.number, entries, change.operations)


class DocumentHistory:
    """Holds the version in force of one document and a few earlier ones.

    The number of the version in force never decreases.
    """

    def __init__(self, kind: DocumentKind) -> None:
        """Start with an empty document, which has number 0."""
        self.kind = kind
        self.current = Document()
        self._history: list[Document] = []

    def adopt(self, document: Document) -> bool:
        """Put a document in force if its number is higher.

        Returns
        -------
        bool
            Whether the document is in force now.
        """
        if document.number <= self.current.number:
            return False
        earlier = [*self._history, self.current]
        self._history = earlier[-HISTORY_LENGTH:]
        self.current = document
        return True

    def preview(self, change: Change) -> Document | None:
        """Return the result of a change without putting it in force."""
        return apply_change(self.current, change)

    def make_update(self, number: int) -> Change | Document:
        """Return an update for a peer that has version ``number``.

        It is the whole document if that version is not kept any more.
        """
        for earlier in self._history:
            if earlier.number == number and number:
                return compare_documents(earlier, self.current)
        return self.current
