"""Operations on the configuration and the boxes, requested by operators."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING, Any

import attrs
import msgspec
from returns.result import Failure

from waywell.codes import Code, Ran, Refusal
from waywell.connection.platform import Kind, PlatformFault
from waywell.connection.stored_body import decode_body
from waywell.process.store import DocumentStore, StoredDocument
from waywell.telemetry.measures import count_stranded
from waywell.version.configuration import (
    check_configuration,
    make_configuration_entries,
)
from waywell.version.document import DocumentKind
from waywell.version.input_validation import InvalidInputError, structure_input
from waywell.version.objects import DEFAULT_KIND
from waywell.version.roster import Box
from waywell.version.selector import Selector
from waywell.version.serving import RequestShape, explain_choice, hash_key

if TYPE_CHECKING:
    from collections.abc import Iterable

    from waywell.connection.platform import Platform, Stored
    from waywell.process.documents import Documents

ANY_NUMBER = -1
"""Expected version of an apply that replaces any stored version."""

RETRY_SECONDS = 2.0
"""Seconds after which an operator should retry a call that the platform
didn't carry out."""

_CODE_BY_FAULT = MappingProxyType(
    {
        PlatformFault.CONFLICT: Code.STALE_VERSION,
        PlatformFault.TOO_LARGE: Code.DOCUMENT_TOO_LARGE,
        PlatformFault.UNANSWERED: Code.OUTCOME_UNKNOWN,
    },
)


@attrs.frozen
class ExplainQuestion:
    """Request whose routing is to be explained."""

    service: str
    """Name of the requested service."""

    account: str
    """Client account that sends the request."""

    kind: str = DEFAULT_KIND
    """Kind of the request, which routing rules may match."""

    session_labels: dict[str, str] = attrs.Factory(dict)
    """Labels of the request's session, which routing rules may match."""


@attrs.frozen
class Relabel:
    """Change of the labels of boxes."""

    boxes: Selector
    """Selects the boxes by their labels."""

    labels: dict[str, str]
    """Labels to set; an empty value removes the label."""


class Administration:
    """Carries out operators' calls; every change is written to the platform.

    Parameters
    ----------
    platform
        Client of the platform's object API.
    documents
        Documents in force at this node.
    """

    def __init__(self, platform: Platform, documents: Documents) -> None:
        """Open the store of the configuration document."""
        self._platform = platform
        self._documents = documents
        self._store = DocumentStore(DocumentKind.CONFIGURATION, platform)

    def find_operator(
        self,
        key: str,
        bootstrap_hashes: list[str],
    ) -> str | None:
        """Return the name of the operator that owns a key, if any.

        A key whose hash is in the settings belongs to ``bootstrap``.
        """
        digits = hash_key(key)
        for operator in self._documents.in_force.configuration.operator:
            if digits in operator.key_hashes:
                return operator.name
        return 'bootstrap' if digits in bootstrap_hashes else None

    def read_configuration(self, wanted: Selector) -> dict[str, Any]:
        """Return the entries in force that a selector matches.

        Besides an entry's own labels, the selector may match its ``kind``
        and ``name``.
        """
        histories = self._documents.in_force.histories
        current = histories[DocumentKind.CONFIGURATION].current
        entries = {
            key: entry
            for key, entry in current.entries.items()
            if wanted.admits(_get_entry_labels(key, entry))
        }
        return {'number': current.number, 'entries': entries}

    async def apply(
        self,
        raw: Any,
        expected: int,
        operation: str,
    ) -> dict[str, Any]:
        """Replace the configuration.

        Parameters
        ----------
        raw
            Plain values of the whole configuration.
        expected
            Version that it replaces, or ``ANY_NUMBER``.
        operation
            Id of the operation; a repeat with the same id isn't applied
            again and returns the stored number.

        Raises
        ------
        Refusal
            When the configuration is invalid, its expected version is
            outdated, or the write failed or has an unknown outcome.
        """
        try:
            configuration = check_configuration(raw, 'configuration')
        except InvalidInputError as error:
            raise Refusal(
                Code.BAD_DOCUMENT,
                detail='\n'.join(error.faults),
            ) from error
        entries = make_configuration_entries(configuration)
        stored = await self._read_stored_document()
        if operation in stored.document.operations:
            return {'number': stored.document.number, 'repeated': True}
        number = stored.document.number
        if expected not in {ANY_NUMBER, number}:
            raise Refusal(
                Code.STALE_VERSION,
                detail=f'stored version: {number}',
            )
        return await self._write_configuration(stored, entries, operation)

    def explain(self, raw: Any, down: dict[str, str]) -> dict[str, Any]:
        """Return to which groups a request would be routed, and why.

        Parameters
        ----------
        raw
            Plain values of an ``ExplainQuestion``.
        down
            Reason by group for the groups that are down.

        Raises
        ------
        Refusal
            When the question is invalid.
        """
        question = _parse_body(raw, ExplainQuestion, 'question')
        shape = RequestShape(
            question.service,
            question.account,
            question.kind,
            tuple(sorted(question.session_labels.items())),
        )
        return explain_choice(self._documents.in_force.index, shape, down)

    async def list_boxes(self, wanted: Selector) -> list[Any]:
        """Return the boxes that a selector matches, sorted by name.

        Raises
        ------
        Refusal
            When the platform doesn't answer.
        """
        stored = await self._fetch_boxes()
        boxes = _decode_boxes(stored)
        return [
            msgspec.to_builtins(box)
            for box in sorted(boxes, key=lambda box: box.box)
            if wanted.admits(box.selectable)
        ]

    async def count_stranded(self) -> int | None:
        """Return the number of stranded accelerators.

        The result is ``None`` when the platform doesn't answer.
        """
        try:
            stored = await self._fetch_boxes()
        except Refusal:
            return None
        boxes = _decode_boxes(stored)
        return count_stranded(boxes, self._documents.in_force.roster)

    async def relabel(self, raw: Any) -> dict[str, Any]:
        """Set labels on the boxes that a selector matches.

        Raises
        ------
        Refusal
            When the call is invalid, the platform doesn't answer, or a
            write fails; boxes written before that keep their new labels.
        """
        order = _parse_body(raw, Relabel, 'relabel')
        changed = []
        for stored in await self._fetch_boxes():
            box = decode_body(stored, Box)
            if box is None:
                continue
            labels = _merge_labels(box.labels, order.labels)
            if order.boxes.admits(box.selectable) and labels != box.labels:
                await self._write_labels(stored, box, labels)
                changed.append(box.box)
        return {'changed': changed}

    async def _read_stored_document(self) -> StoredDocument:
        read = await self._store.read()
        if isinstance(read, Failure):
            raise Refusal(Code.PLATFORM_DOWN, retry_after=RETRY_SECONDS)
        return read.unwrap()

    async def _write_configuration(
        self,
        stored: StoredDocument,
        entries: dict[str, Any],
        operation: str,
    ) -> dict[str, Any]:
        floor = self._documents.in_force.numbers.configuration
        document = stored.document.make_next_version(entries, operation, floor)
        written = await self._store.write(document, stored.version)
        if isinstance(written, Failure):
            raise _make_write_refusal(written.failure())
        # This node serves by the new version before it answers the operator.
        self._documents.adopt(DocumentKind.CONFIGURATION, document)
        return {'number': document.number, 'repeated': False}

    async def _fetch_boxes(self) -> tuple[Stored, ...]:
        answer = await self._platform.fetch_all(Kind.BOX)
        if isinstance(answer, Failure):
            raise Refusal(Code.PLATFORM_DOWN, retry_after=RETRY_SECONDS)
        return answer.unwrap().objects

    async def _write_labels(
        self,
        stored: Stored,
        box: Box,
        labels: dict[str, str],
    ) -> None:
        relabelled = msgspec.structs.replace(box, labels=labels)
        answer = await self._platform.write(
            Kind.BOX,
            box.box,
            msgspec.to_builtins(relabelled),
            stored.version,
        )
        if isinstance(answer, Failure):
            raise _make_write_refusal(answer.failure())


def _decode_boxes(stored: Iterable[Stored]) -> list[Box]:
    """Return the boxes of the readable entries."""
    boxes = [decode_body(listed, Box) for listed in stored]
    return [box for box in boxes if box is not None]


def _make_write_refusal(fault: PlatformFault) -> Refusal:
    code = _CODE_BY_FAULT.get(fault, Code.PLATFORM_DOWN)
    unknown = code is Code.OUTCOME_UNKNOWN
    return Refusal(
        code,
        Ran.MAY_HAVE_RUN if unknown else Ran.NOT_RUN,
        retry_after=RETRY_SECONDS,
    )


def _parse_body(raw: Any, shape: type[Any], place: str) -> Any:
    try:
        return structure_input(raw, shape, place)
    except InvalidInputError as error:
        raise Refusal(
            Code.BAD_DOCUMENT,
            detail='\n'.join(error.faults),
        ) from error


def _get_entry_labels(key: str, entry: dict[str, Any]) -> dict[str, str]:
    kind, _, name = key.partition('/')
    return {**entry.get('labels', {}), 'kind': kind, 'name': name}


def _merge_labels(
    labels: dict[str, str],
    changes: dict[str, str],
) -> dict[str, str]:
    merged = {**labels, **changes}
    return {key: text for key, text in merged.items() if text}
