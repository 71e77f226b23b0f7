"""Streams: of two with one peer, the one that lives is used."""

from __future__ import annotations

from typing import TYPE_CHECKING

from waywell.connection.peer import Beat
from waywell.ids import NodeId
from waywell.process.links import PeerLinks, _Link

if TYPE_CHECKING:
    from waywell.process.membership import NodeRecord

BEAT = Beat(1, 1, 1, 0)


def describe() -> NodeRecord:
    raise AssertionError('no stream is opened here')


def make_link(links: PeerLinks, peer: str, heard_at: float) -> _Link:
    link = _Link(dialled=heard_at > 5)
    link.peer = NodeId(peer)
    link.heard_at = heard_at
    links._links.add(link)
    return link


def test_what_came_from_a_peer_goes_on_to_dialled_ones_only() -> None:
    links = PeerLinks(describe)
    dialled = [make_link(links, name, heard_at=9) for name in 'bc']
    accepted = make_link(links, 'd', heard_at=2)
    links.pass_on(BEAT, NodeId('b'))
    assert [link.outgoing.qsize() for link in dialled] == [0, 1]
    assert accepted.outgoing.qsize() == 0


def test_stream_that_was_heard_last_is_used() -> None:
    links = PeerLinks(describe)
    dead = [make_link(links, 'b', heard_at=at) for at in (1, 2, 3)]
    alive = make_link(links, 'b', heard_at=9)
    other = make_link(links, 'c', heard_at=2)
    links.send(NodeId('b'), BEAT)
    links.spread(BEAT)
    links.spread(BEAT, skip=NodeId('c'))
    assert alive.outgoing.qsize() == 3
    assert other.outgoing.qsize() == 1
    assert [link.outgoing.qsize() for link in dead] == [0, 0, 0]
    links.send(NodeId('nobody'), BEAT)
