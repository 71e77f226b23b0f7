"""Interface between a front daemon and the protocols of its platform."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

import attrs

from waywell.connection.box_orders import BoxOrders
from waywell.connection.platform import Platform
from waywell.connection.query_site import QueryHandler
from waywell.connection.store_era import EraTracker
from waywell.connection.wire_format import WireFormat

Handlers = Mapping[str, QueryHandler]
"""Handlers of HTTP calls by path."""

ListAddresses = Callable[[str], Sequence[str]]
"""Returns the addresses of entry boxes, those of the given data hall first."""

ReadyMaker = Callable[[Callable[[], bool]], Handlers]
"""Creates the readiness handlers from a function that returns readiness."""

DirectoryMaker = Callable[[ListAddresses, float], Handlers]
"""Creates the handlers of the entry list.

The arguments are a function that lists addresses, and the seconds for which a
caller may keep the list."""


@attrs.frozen
class FrontAdapter:
    """Implementations of the platform's protocols for a front daemon."""

    platform: Platform
    """Client of the platform's store."""

    eras: EraTracker
    """Tracks the era of the platform's store."""

    wire: WireFormat
    """Converts requests and answers from and to the platform's headers."""

    orders: BoxOrders
    """Sends orders to boxes."""

    make_ready: ReadyMaker
    """Creates the handlers that report whether the node is ready."""

    make_directory: DirectoryMaker
    """Creates the handlers that list the entry boxes."""
