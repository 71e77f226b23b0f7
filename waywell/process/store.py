"""Storage of documents in the platform.

Writes are conditional on the stored version, so that no document is lost or
replaced by an older one.
"""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING

import msgspec
from returns.result import Failure, Result, Success

from waywell.connection.platform import Kind, PlatformFault
from waywell.connection.stored_body import decode_body
from waywell.version.document import (
    PLATFORM_VALUE_BYTES,
    Document,
    DocumentKind,
)

if TYPE_CHECKING:
    from waywell.connection.platform import Platform

OBJECT_NAME = 'current'
"""Name of the single object of each document kind."""

_OBJECT_KINDS = MappingProxyType(
    {
        DocumentKind.CONFIGURATION: Kind.CONFIGURATION,
        DocumentKind.ROSTER: Kind.ROSTER,
    },
)


class StoredDocument(msgspec.Struct, frozen=True):
    """A document as stored in the platform."""

    document: Document
    """Content of the object; an empty document with number 0 if missing."""

    version: int
    """Version of the object in the platform; 0 if the object is missing."""


class DocumentStore:
    """Reads and writes one document in the platform.

    Parameters
    ----------
    kind
        Kind of the document.
    platform
        Client of the platform's object API.
    """

    def __init__(self, kind: DocumentKind, platform: Platform) -> None:
        """Select the platform's object kind for the document."""
        self._kind = _OBJECT_KINDS[kind]
        self._platform = platform

    async def read(self) -> Result[StoredDocument, PlatformFault]:
        """Return the stored document."""
        answer = await self._platform.fetch(self._kind, OBJECT_NAME)
        if isinstance(answer, Failure):
            return answer
        stored = answer.unwrap()
        if stored is None:
            return Success(StoredDocument(Document(), 0))
        document = decode_body(stored, Document)
        if document is None:
            return Failure(PlatformFault.UNREADABLE)
        return Success(StoredDocument(document, stored.version))

    async def write(
        self,
        document: Document,
        version: int,
    ) -> Result[Document, PlatformFault]:
        """Write a document if the object still has the given version.

        If a write that was sent fails, the stored document is searched for
        its operation id; the write stays ``UNANSWERED`` only if that read
        fails or doesn't find it.

        Parameters
        ----------
        document
            Document to write.
        version
            Version of the object that the document replaces.
        """
        if len(document.encode()) > PLATFORM_VALUE_BYTES:
            return Failure(PlatformFault.TOO_LARGE)
        answer = await self._platform.write(
            self._kind,
            OBJECT_NAME,
            msgspec.to_builtins(document),
            version,
        )
        if not isinstance(answer, Failure):
            return Success(document)
        fault = answer.failure()
        if fault is PlatformFault.NOT_SENT:
            return Failure(fault)
        return await self._check_outcome(document, version, fault)

    async def _check_outcome(
        self,
        document: Document,
        version: int,
        fault: PlatformFault,
    ) -> Result[Document, PlatformFault]:
        read = await self.read()
        if isinstance(read, Failure):
            return Failure(fault)
        stored = read.unwrap()
        if document.operations[-1] in stored.document.operations:
            return Success(document)
        return Failure(fault)
