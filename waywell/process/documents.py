"""The documents in force at a node, and their distribution to its peers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from waywell.connection.entry_peer import DocumentRequest, DocumentUpdate
from waywell.connection.peer import Heartbeat
from waywell.membership.gossip import VersionNumbers
from waywell.process.actor import Actor, Message
from waywell.telemetry.events import log_event, log_warning
from waywell.version.configuration import parse_configuration
from waywell.version.document import (
    Change,
    Document,
    DocumentHistory,
    DocumentKind,
    compare_documents,
)
from waywell.version.objects import Configuration
from waywell.version.roster import Roster, parse_roster
from waywell.version.serving import ServingIndex

if TYPE_CHECKING:
    from collections.abc import Callable

    from waywell.ids import NodeId
    from waywell.membership.links import PeerLinks
    from waywell.process.clock import Clock


REQUEST_INTERVAL_SECONDS = 1.0
"""Seconds before the same document is requested from another neighbour."""


class InForce:
    """Versions of the documents by which a node serves requests.

    A new version replaces the objects held here; they are never modified.
    """

    def __init__(self) -> None:
        """Start with an empty configuration and roster."""
        self.histories = {kind: DocumentHistory(kind) for kind in DocumentKind}
        self.configuration = Configuration()
        self.roster = Roster(0)
        self.index = ServingIndex(self.configuration, self.roster)

    @property
    def numbers(self) -> VersionNumbers:
        """Return the version numbers in force."""
        return VersionNumbers(
            self.histories[DocumentKind.CONFIGURATION].current.number,
            self.histories[DocumentKind.ROSTER].current.number,
        )

    def adopt(self, kind: DocumentKind, document: Document) -> bool:
        """Put a document in force if its number is higher.

        Returns
        -------
        bool
            Whether the document was put in force.

        Raises
        ------
        Exception
            When the document is invalid; the former one stays in force.
        """
        if document.number <= self.histories[kind].current.number:
            return False
        if kind is DocumentKind.CONFIGURATION:
            self.configuration = parse_configuration(document)
        else:
            self.roster = parse_roster(document)
        self.histories[kind].adopt(document)
        self.index = ServingIndex(self.configuration, self.roster)
        return True


class Documents(Actor):
    """Updates the documents in force at this node.

    Parameters
    ----------
    in_force
        Documents in force, which the other tasks read.
    links
        Streams to other nodes.
    clock
        Clock of the node.
    """

    class Offer(Message, frozen=True):
        """Offers a version that is stored in the platform."""

        kind: DocumentKind
        """Kind of the document."""

        document: Document
        """Complete version of the document."""

    def __init__(
        self,
        in_force: InForce,
        links: PeerLinks,
        clock: Clock,
    ) -> None:
        """Subscribe to messages of peers about documents."""
        super().__init__('documents')
        self.in_force = in_force
        self._links = links
        self._clock = clock
        self._requested_at: dict[DocumentKind, float] = {}
        self._watchers: list[Callable[[DocumentKind], None]] = []
        links.subscribe(self, Heartbeat, DocumentUpdate, DocumentRequest)

    def watch_changes(self, watcher: Callable[[DocumentKind], None]) -> None:
        """Register a function that gets the kind of each adopted document."""
        self._watchers.append(watcher)

    def get_current(self, kind: DocumentKind) -> Document:
        """Return the version in force of a document."""
        return self.in_force.histories[kind].current

    def adopt(
        self,
        kind: DocumentKind,
        document: Document,
        source: NodeId | None = None,
    ) -> bool:
        """Put a document in force if its number is higher, and distribute it.

        Parameters
        ----------
        kind
            Kind of the document.
        document
            Complete version of the document.
        source
            Peer that sent the document and needs no copy of it.

        Returns
        -------
        bool
            Whether the document was put in force.
        """
        before = self.in_force.histories[kind].current
        try:
            adopted = self.in_force.adopt(kind, document)
        except Exception as error:
            log_warning(
                'document_refused',
                kind=kind.value,
                number=document.number,
                error=repr(error),
            )
            return False
        if adopted:
            self._publish(kind, before, document, source)
        return adopted

    def on_offer(self, offer: Offer) -> None:
        """Adopt a version that is stored in the platform."""
        self.adopt(offer.kind, offer.document)

    def on_received(self, received: PeerLinks.Received) -> None:
        """Handle a peer's versions, update or request for an update."""
        message = received.message
        if isinstance(message, Heartbeat):
            self._compare_versions(received.node, message)
        elif isinstance(message, DocumentUpdate):
            self._apply_news(received.node, message)
        else:
            self._send_update(received.node, message)

    def dump(self) -> dict[str, object]:
        """Return the versions in force as plain values for the state dump."""
        return {
            kind.value: {
                'number': history.current.number,
                'entries': len(history.current.entries),
                'operations': list(history.current.operations[-1:]),
            }
            for kind, history in self.in_force.histories.items()
        }

    def _compare_versions(self, node: NodeId, beat: Heartbeat) -> None:
        numbers = self.in_force.numbers
        if beat.configuration > numbers.configuration:
            self._request_update(
                node, DocumentKind.CONFIGURATION, numbers.configuration
            )
        if beat.roster > numbers.roster:
            self._request_update(node, DocumentKind.ROSTER, numbers.roster)

    def _request_update(
        self, node: NodeId, kind: DocumentKind, have: int
    ) -> None:
        """Request a later version unless one was requested recently.

        Several neighbours may announce the same version.
        """
        now = self._clock.read()
        requested_at = self._requested_at.get(kind, -math.inf)
        if now - requested_at < REQUEST_INTERVAL_SECONDS:
            return
        self._requested_at[kind] = now
        self._links.send(node, DocumentRequest(kind, have))

    def _send_update(self, node: NodeId, wanted: DocumentRequest) -> None:
        update = self.in_force.histories[wanted.kind].make_update(
            wanted.known_version
        )
        if isinstance(update, Change):
            news = DocumentUpdate(wanted.kind, change=update)
        else:
            news = DocumentUpdate(wanted.kind, document=update)
        self._links.send(node, news)

    def _apply_news(self, node: NodeId, news: DocumentUpdate) -> None:
        history = self.in_force.histories[news.kind]
        if news.document is not None:
            self.adopt(news.kind, news.document, node)
            return
        change = news.change
        if change is None or change.number <= history.current.number:
            return
        changed = history.preview(change)
        if changed is None:
            self._request_update(node, news.kind, history.current.number)
        else:
            self.adopt(news.kind, changed, node)

    def _publish(
        self,
        kind: DocumentKind,
        before: Document,
        document: Document,
        source: NodeId | None,
    ) -> None:
        self._requested_at.pop(kind, None)
        log_event('document_adopted', kind=kind.value, number=document.number)
        change = compare_documents(before, document)
        self._links.broadcast(DocumentUpdate(kind, change=change), skip=source)
        for watcher in self._watchers:
            watcher(kind)
