"""Assembly of the platform adapter for a front daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

from waywell.connection.store_era import EraTracker
from waywell.platform.endpoints import (
    make_directory_handlers,
    make_ready_handlers,
)
from waywell.platform.messages import ServerWire
from waywell.platform.orders import ServerOrders
from waywell.platform.store import ObjectStore
from waywell.process.front_adapter import FrontAdapter

if TYPE_CHECKING:
    from waywell.process.front_settings import FrontSettings


def make_adapter(settings: FrontSettings) -> FrontAdapter:
    """Return the adapter that implements the platform's protocol."""
    eras = EraTracker(settings.node.first_start)
    store = settings.store
    return FrontAdapter(
        platform=ObjectStore(store.address, store.timeout, eras),
        eras=eras,
        wire=ServerWire(),
        orders=ServerOrders(),
        make_ready=make_ready_handlers,
        make_directory=make_directory_handlers,
    )
