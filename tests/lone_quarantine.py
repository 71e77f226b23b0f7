"""A quarantine whose words to other nodes are only noted."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from waywell.quarantine.quarantine import Quarantine
from waywell.request.running import RunningAttempts

if TYPE_CHECKING:
    from waywell.ids import NodeId
    from waywell.process.clock import Clock
    from waywell.version.fleet import FleetBox


class NotedLinks:
    """Streams that only note what is sent."""

    def __init__(self) -> None:
        """Send nothing yet."""
        self.spread_words: list[Any] = []
        self.passed: list[Any] = []
        self.sent: list[tuple[NodeId, Any]] = []

    def subscribe(self, *_words: object) -> None:
        """Take no subscriber."""

    def has_peer(self, _node: NodeId) -> bool:
        """Answer that no stream stands."""
        return False

    def broadcast(self, word: Any) -> None:
        """Note a word to all."""
        self.spread_words.append(word)

    def forward(self, word: Any, _source: NodeId) -> None:
        """Note a word that is passed on."""
        self.passed.append(word)

    def send(self, node: NodeId, word: Any) -> None:
        """Note a word to one node."""
        self.sent.append((node, word))


class LoneQuarantine(Quarantine):
    """A quarantine; boxes are reachable unless they are named."""

    def __init__(self, clock: Clock) -> None:
        """Know of no end."""
        self.noted = NotedLinks()
        self.ended: set[str] = set()
        self.is_prober = True
        super().__init__(
            self.noted,
            RunningAttempts(),
            clock,
            self._is_listening,
            lambda: self.is_prober,
        )

    async def _is_listening(self, box: FleetBox) -> bool:
        return box.box not in self.ended
