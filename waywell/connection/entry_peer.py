"""Messages that only the product's own entry daemons exchange.

Fields are encoded by position, and a class by its tag, which stays when the
class is renamed.
"""

from __future__ import annotations

import msgspec

from waywell.health.health import Evidence
from waywell.ids import GroupId, NodeId, RequestId
from waywell.request.claim import ClaimState
from waywell.version.document import Change, Document, DocumentKind


class DocumentUpdate(
    msgspec.Struct, frozen=True, tag='DocumentNews', array_like=True
):
    """New version of a document, as a change or complete."""

    kind: DocumentKind
    """Kind of the document."""

    change: Change | None = None
    """Change from an earlier version, for receivers that have that version."""

    document: Document | None = None
    """Complete document; ``None`` if the change is sent."""


class DocumentRequest(
    msgspec.Struct, frozen=True, tag='DocumentWanted', array_like=True
):
    """Request for the version of a document in force at the receiver."""

    kind: DocumentKind
    """Kind of the document."""

    known_version: int
    """Version that the sender has, as the base of a change."""


class HealthUpdate(
    msgspec.Struct, frozen=True, tag='HealthNews', array_like=True
):
    """Evidence that probers found about groups."""

    evidence: tuple[Evidence, ...]
    """Evidence that is new to the sender."""


class LoadUpdate(msgspec.Struct, frozen=True, tag='LoadNews', array_like=True):
    """Requests in flight at groups, as measured by their probers."""

    loads: tuple[tuple[GroupId, int, int], ...]
    """Triples of group, sequence number and requests in flight."""


class ClaimRequest(
    msgspec.Struct, frozen=True, tag='ClaimAsk', array_like=True
):
    """Request for the right to run a request id, or report of how a run ended.

    It is sent to the home of the id.
    """

    account: str
    """Client account of the caller."""

    request_id: RequestId
    """Id of the request."""

    holder: NodeId
    """Node that wants to run the request."""

    holder_incarnation: int
    """Incarnation of that node."""

    final_state: ClaimState | None = None
    """State in which a run granted earlier ended; ``None`` for a new claim."""


class ClaimAnswer(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Answer of the home of a request id."""

    state: ClaimState
    """State of the request id at its home."""
