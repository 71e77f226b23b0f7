"""A stream that goes silent is closed and its peer is dialled again."""

from __future__ import annotations

from typing import Any

from tests.manual_clock import ManualClock
from tests.test_membership import make_record
from waywell.ids import NodeId
from waywell.membership.gossip import Gossip
from waywell.membership.links import PeerLinks
from waywell.membership.membership import MembershipTable, NodeState
from waywell.telemetry.timing import TimingSettings

B = NodeId('b')


class _Links:
    """Stand-in for the links, with one peer whose stream may be silent."""

    def __init__(self) -> None:
        self.peers = {B}
        self.dropped: list[NodeId] = []
        self.dialled: list[NodeId | None] = []

    def subscribe(self, *_args: object) -> None:
        """Ignore the subscription."""

    def list_peers(self) -> set[NodeId]:
        return set(self.peers)

    list_dialled = list_peers

    def broadcast(self, _message: Any) -> None:
        """Ignore the message."""

    send = close_dialled_except = broadcast

    def disconnect(self, node: NodeId) -> None:
        self.dropped.append(node)
        self.peers.discard(node)

    def dial(self, _host: str, _port: int, node: NodeId | None = None) -> None:
        self.dialled.append(node)


def make_gossip() -> tuple[Gossip, _Links, ManualClock]:
    table = MembershipTable(make_record('a'), 2.0)
    table.merge(make_record('b'), 0.0)
    links, clock = _Links(), ManualClock()
    gossip = Gossip(table, links, clock, TimingSettings())  # type: ignore[arg-type]
    gossip._received_at[B] = clock.now
    return gossip, links, clock


def test_silent_stream_is_closed_and_its_peer_dialled_again(
    monkeypatch: Any,
) -> None:
    """A connection may stay silent forever while new ones would work.

    If its stream is kept, the peer alternates between suspect and live.
    """
    gossip, links, clock = make_gossip()
    monkeypatch.setattr(gossip, '_publish_changes', lambda *_args: None)
    clock.now += TimingSettings().silence
    gossip._suspect_silent(clock.now)
    assert links.dropped == [B]
    assert gossip.table.find(B).state is NodeState.SUSPECT  # type: ignore[union-attr]
    links.dialled.clear()
    gossip.on_unreachable(PeerLinks.Unreachable(B))
    assert links.dialled == [B]


def test_stream_with_recent_messages_is_kept(monkeypatch: Any) -> None:
    gossip, links, clock = make_gossip()
    monkeypatch.setattr(gossip, '_publish_changes', lambda *_args: None)
    clock.now += TimingSettings().silence - 0.1
    gossip._suspect_silent(clock.now)
    assert not links.dropped
