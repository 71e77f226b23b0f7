"""What a front daemon needs of the part that speaks a platform's language."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

import attrs

from waywell.connection.box_orders import BoxOrders
from waywell.connection.platform import Platform
from waywell.connection.query_site import QueryHandler
from waywell.connection.store_era import EraTracker
from waywell.connection.wire_format import WireFormat

Handlers = Mapping[str, QueryHandler]
"""Handlers of small calls, by path."""

ListAddresses = Callable[[str], Sequence[str]]
"""Returns the addresses of entry boxes, those of a data hall first."""

ReadyMaker = Callable[[Callable[[], bool]], Handlers]
"""Makes handlers of what answers whether the node is ready."""

DirectoryMaker = Callable[[ListAddresses, float], Handlers]
"""Makes handlers of a list of addresses and the seconds it may be kept."""


@attrs.frozen
class FrontAdapter:
    """What speaks the platform's language for the daemon."""

    platform: Platform
    """The platform's store."""

    eras: EraTracker
    """Era of the platform's store."""

    wire: WireFormat
    """Requests and answers."""

    orders: BoxOrders
    """Orders to boxes."""

    make_ready: ReadyMaker
    """Makes the handlers that answer whether the node is ready."""

    make_directory: DirectoryMaker
    """Makes the handlers that answer which entry boxes there are."""
