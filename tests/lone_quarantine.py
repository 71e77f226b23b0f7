"""Quarantine for tests that records its messages instead of sending them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from waywell.quarantine.quarantine import Quarantine
from waywell.request.running_attempts import RunningAttempts

if TYPE_CHECKING:
    from waywell.ids import NodeId
    from waywell.process.clock import Clock
    from waywell.version.fleet import FleetBox


class RecordingLinks:
    """Stand-in for peer streams that records the messages."""

    def __init__(self) -> None:
        """Start without messages."""
        self.broadcasts: list[Any] = []
        self.forwarded: list[Any] = []
        self.sent: list[tuple[NodeId, Any]] = []

    def subscribe(self, *_kinds: object) -> None:
        """Ignore a subscription."""

    def has_peer(self, _node: NodeId) -> bool:
        """Return that no peer is connected."""
        return False

    def broadcast(self, message: Any) -> None:
        """Record a message to all peers."""
        self.broadcasts.append(message)

    def forward(self, message: Any, _source: NodeId) -> None:
        """Record a message that is forwarded."""
        self.forwarded.append(message)

    def send(self, node: NodeId, message: Any) -> None:
        """Record a message to one node."""
        self.sent.append((node, message))


class LoneQuarantine(Quarantine):
    """Quarantine for which all boxes but the ended ones are reachable."""

    def __init__(self, clock: Clock) -> None:
        """Start without crashes."""
        self.recorder = RecordingLinks()
        self.ended: set[str] = set()
        self.is_prober = True
        super().__init__(
            self.recorder,
            RunningAttempts(),
            clock,
            self._is_listening,
            lambda: self.is_prober,
        )

    async def _is_listening(self, box: FleetBox) -> bool:
        return box.box not in self.ended
