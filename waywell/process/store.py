"""Writing documents to the platform so that none is lost or lowered."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING

import msgspec
from returns.result import Failure, Result, Success

from waywell.connection.platform import Kind, PlatformFault
from waywell.version.document import (
    PLATFORM_VALUE_BYTES,
    Document,
    DocumentKind,
)

if TYPE_CHECKING:
    from waywell.connection.platform import Platform

OBJECT_NAME = 'current'
"""Name of the one object of each document kind."""

_KINDS = MappingProxyType(
    {
        DocumentKind.CONFIGURATION: Kind.CONFIGURATION,
        DocumentKind.ROSTER: Kind.ROSTER,
    },
)


class StoredDocument(msgspec.Struct, frozen=True):
    """A document as the platform holds it."""

    document: Document
    """The document; number 0 when there is none."""

    version: int
    """The platform's version of the object; 0 when there is none."""


class DocumentStore:
    """Reads and writes one document in the platform.

    Parameters
    ----------
    kind
        Which document.
    platform
        The platform.
    """

    def __init__(self, kind: DocumentKind, platform: Platform) -> None:
        """Keep where to write."""
        self._kind = _KINDS[kind]
        self._platform = platform

    async def read(self) -> Result[StoredDocument, PlatformFault]:
        """Return the stored document."""
        answer = await self._platform.fetch(self._kind, OBJECT_NAME)
        if isinstance(answer, Failure):
            return answer
        stored = answer.unwrap()
        if stored is None:
            return Success(StoredDocument(Document(), 0))
        document = msgspec.convert(stored.body, Document)
        return Success(StoredDocument(document, stored.version))

    async def write(
        self,
        document: Document,
        version: int,
    ) -> Result[Document, PlatformFault]:
        """Write a document over the object's version.

        A write without an answer is looked up by its operation id; it
        stays ``UNANSWERED`` only when the look-up fails as well.
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
        return await self._look_up(document, version, fault)

    async def _look_up(
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
