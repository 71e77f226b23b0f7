"""A stream that falls silent is given up, and its peer dialled anew."""

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
    """A stream to one peer that may be silent."""

    def __init__(self) -> None:
        self.peers = {B}
        self.dropped: list[NodeId] = []
        self.dialled: list[NodeId | None] = []

    def subscribe(self, *_words: object) -> None:
        """Take no subscriber."""

    def list_peers(self) -> set[NodeId]:
        return set(self.peers)

    list_dialled = list_peers

    def spread(self, _message: Any) -> None:
        """Send nothing."""

    send = keep_dialled = spread

    def drop(self, node: NodeId) -> None:
        self.dropped.append(node)
        self.peers.discard(node)

    def dial(self, _host: str, _port: int, node: NodeId | None = None) -> None:
        self.dialled.append(node)


def make_gossip() -> tuple[Gossip, _Links, ManualClock]:
    table = MembershipTable(make_record('a'), 2.0)
    table.merge(make_record('b'), 0.0)
    links, clock = _Links(), ManualClock()
    gossip = Gossip(table, links, clock, TimingSettings())  # type: ignore[arg-type]
    gossip._heard_at[B] = clock.now
    return gossip, links, clock


def test_a_silent_stream_is_closed_and_its_peer_dialled_anew(
    monkeypatch: Any,
) -> None:
    """Open connections may go silent for good while new ones work.

    The stream was kept: its peer was suspected and cleared again each second.
    """
    gossip, links, clock = make_gossip()
    monkeypatch.setattr(gossip, '_report', lambda *_words: None)
    clock.now += TimingSettings().silence
    gossip._suspect_silent(clock.now)
    assert links.dropped == [B]
    assert gossip.table.find(B).state is NodeState.SUSPECT  # type: ignore[union-attr]
    links.dialled.clear()
    gossip.on_unreachable(PeerLinks.Unreachable(B))
    assert links.dialled == [B]


def test_a_stream_that_was_heard_is_kept(monkeypatch: Any) -> None:
    gossip, links, clock = make_gossip()
    monkeypatch.setattr(gossip, '_report', lambda *_words: None)
    clock.now += TimingSettings().silence - 0.1
    gossip._suspect_silent(clock.now)
    assert not links.dropped
