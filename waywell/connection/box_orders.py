"""Calls that give orders to boxes."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from waywell.version.fleet import FleetBox
    from waywell.version.orders import Assignment, OrderResult


class BoxOrders(abc.ABC):
    """Gives orders and asks boxes; another protocol is another subclass."""

    @abc.abstractmethod
    async def give(self, assignment: Assignment) -> OrderResult:
        """Give an order to a box and return what came of it."""

    @abc.abstractmethod
    async def is_alive(self, box: FleetBox) -> bool:
        """Ask a box for a sign of life; answer whether one came."""
