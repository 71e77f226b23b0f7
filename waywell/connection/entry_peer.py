"""What only the product's own entry daemons say to each other."""

from __future__ import annotations

import msgspec

from waywell.health.health import Evidence
from waywell.ids import GroupId, NodeId, RequestId
from waywell.request.claim import ClaimState
from waywell.version.document import Change, Document, DocumentKind


class DocumentUpdate(
    msgspec.Struct, frozen=True, tag='DocumentNews', array_like=True
):
    """A document's new version, as a change or whole."""

    kind: DocumentKind
    """Which document."""

    change: Change | None = None
    """What changed, for holders of its base."""

    document: Document | None = None
    """The whole version."""


class DocumentRequest(
    msgspec.Struct, frozen=True, tag='DocumentWanted', array_like=True
):
    """A request for a document's version in force."""

    kind: DocumentKind
    """Which document."""

    known_version: int
    """Version that the sender has."""


class HealthUpdate(
    msgspec.Struct, frozen=True, tag='HealthNews', array_like=True
):
    """Words of probers about groups."""

    evidence: tuple[Evidence, ...]
    """Words that are news."""


class LoadUpdate(msgspec.Struct, frozen=True, tag='LoadNews', array_like=True):
    """Requests in flight at groups, as their probers saw them."""

    loads: tuple[tuple[GroupId, int, int], ...]
    """Group, sequence of the word, requests in flight."""


class ClaimRequest(
    msgspec.Struct, frozen=True, tag='ClaimAsk', array_like=True
):
    """May the asker run this request?"""

    account: str
    """Client account."""

    request_id: RequestId
    """Request id."""

    holder: NodeId
    """Asker."""

    holder_incarnation: int
    """Its incarnation."""

    final_state: ClaimState | None = None
    """How a run that was granted before has ended."""


class ClaimAnswer(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """The home's answer."""

    state: ClaimState
    """What it knows of the id."""
