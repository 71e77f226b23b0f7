"""The task that keeps the documents in force and spreads them."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from waywell.connection.entry_peer import DocumentNews, DocumentWanted
from waywell.connection.peer import Beat
from waywell.membership.gossip import Numbers
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


ASK_SECONDS = 1.0
"""Seconds until another neighbour is asked for the same document."""


class InForce:
    """The versions that requests are served by; replaced, never changed."""

    def __init__(self) -> None:
        """Start with an empty configuration and roster."""
        self.histories = {kind: DocumentHistory(kind) for kind in DocumentKind}
        self.configuration = Configuration()
        self.roster = Roster(0)
        self.index = ServingIndex(self.configuration, self.roster)

    @property
    def numbers(self) -> Numbers:
        """Return the versions in force."""
        return Numbers(
            self.histories[DocumentKind.CONFIGURATION].current.number,
            self.histories[DocumentKind.ROSTER].current.number,
        )

    def adopt(self, kind: DocumentKind, document: Document) -> bool:
        """Put a document in force if it is higher and holds together.

        Raises
        ------
        Exception
            When the document is not valid; what is in force stays.
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
    """Owns the documents in force at this node.

    Parameters
    ----------
    in_force
        The versions, read by the other tasks.
    links
        Streams to other nodes.
    clock
        Where the time is read.
    """

    class Offer(Message, frozen=True):
        """A document is known to be stored in the platform."""

        kind: DocumentKind
        """Which document."""

        document: Document
        """The whole version."""

    def __init__(
        self,
        in_force: InForce,
        links: PeerLinks,
        clock: Clock,
    ) -> None:
        """Start with what is in force."""
        super().__init__('documents')
        self.in_force = in_force
        self._links = links
        self._clock = clock
        self._asked_at: dict[DocumentKind, float] = {}
        self._watchers: list[Callable[[DocumentKind], None]] = []
        links.subscribe(self, Beat, DocumentNews, DocumentWanted)

    def watch_changes(self, watcher: Callable[[DocumentKind], None]) -> None:
        """Call a watcher with the kind of each newly adopted document."""
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
        """Put a document in force if it is higher, and pass it on."""
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
            self._pass_on(kind, before, document, source)
        return adopted

    def on_offer(self, offer: Offer) -> None:
        """Take in a version that the platform holds."""
        self.adopt(offer.kind, offer.document)

    def on_received(self, received: PeerLinks.Received) -> None:
        """Take in what a peer says of documents."""
        message = received.message
        if isinstance(message, Beat):
            self._compare(received.node, message)
        elif isinstance(message, DocumentNews):
            self._take_news(received.node, message)
        else:
            self._answer(received.node, message)

    def dump(self) -> dict[str, object]:
        """Return the versions in force as plain values."""
        return {
            kind.value: {
                'number': history.current.number,
                'entries': len(history.current.entries),
                'operations': list(history.current.operations[-1:]),
            }
            for kind, history in self.in_force.histories.items()
        }

    def _compare(self, node: NodeId, beat: Beat) -> None:
        numbers = self.in_force.numbers
        if beat.configuration > numbers.configuration:
            self._ask(node, DocumentKind.CONFIGURATION, numbers.configuration)
        if beat.roster > numbers.roster:
            self._ask(node, DocumentKind.ROSTER, numbers.roster)

    def _ask(self, node: NodeId, kind: DocumentKind, have: int) -> None:
        """Ask one neighbour, though several may have shown a later one."""
        now = self._clock.read()
        asked_at = self._asked_at.get(kind, -math.inf)
        if now - asked_at < ASK_SECONDS:
            return
        self._asked_at[kind] = now
        self._links.send(node, DocumentWanted(kind, have))

    def _answer(self, node: NodeId, wanted: DocumentWanted) -> None:
        offered = self.in_force.histories[wanted.kind].make_update(wanted.have)
        if isinstance(offered, Change):
            news = DocumentNews(wanted.kind, change=offered)
        else:
            news = DocumentNews(wanted.kind, document=offered)
        self._links.send(node, news)

    def _take_news(self, node: NodeId, news: DocumentNews) -> None:
        history = self.in_force.histories[news.kind]
        if news.document is not None:
            self.adopt(news.kind, news.document, node)
            return
        change = news.change
        if change is None or change.number <= history.current.number:
            return
        changed = history.preview(change)
        if changed is None:
            self._ask(node, news.kind, history.current.number)
        else:
            self.adopt(news.kind, changed, node)

    def _pass_on(
        self,
        kind: DocumentKind,
        before: Document,
        document: Document,
        source: NodeId | None,
    ) -> None:
        self._asked_at.pop(kind, None)
        log_event('document_adopted', kind=kind.value, number=document.number)
        change = compare_documents(before, document)
        self._links.spread(DocumentNews(kind, change=change), skip=source)
        for watcher in self._watchers:
            watcher(kind)
