"""Entry boxes of the presence objects in the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from waywell.bounded_types import Port
from waywell.connection.stored_body import decode_body
from waywell.ids import NodeId

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from waywell.connection.platform import Stored


class PresentNode(msgspec.Struct, frozen=True):
    """An entry box of a presence object."""

    node: NodeId
    """Name of the entry box."""

    host: str
    """IP address at which other entry boxes reach it."""

    peer_port: Port
    """Port for other entry boxes."""


def list_present_nodes(objects: Iterable[Stored]) -> Iterator[PresentNode]:
    """Yield the entry boxes of all readable presence objects."""
    for stored in objects:
        nodes = decode_body(stored, list[PresentNode])
        if nodes is not None:
            yield from nodes
